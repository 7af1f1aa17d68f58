package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestServingTasksUnderLateOrders guards against serving tasks that orders end beyond the
// budget of their step, and against two runs of a task, while half of the orders and
// their answers are late or lost, and beside a takeover.
func TestServingTasksUnderLateOrders(t *testing.T) {
	for seed := range uint64(20) {
		emu := newEmulator(seed, testCatalog())
		emu.addVMs("lots", 9, 3, job.Size{CPU: 16_000, Memory: 32_768})
		opt := testOptions()
		emu.takeOver(opt)
		emu.run(time.Second)
		emu.lateOrder, emu.loseOrder, emu.loseAnswer = 0.4, 0.05, 0.05
		emu.repeats = int(seed / 2 % 4)
		for n := range 4 {
			emu.submit(job.Spec{ID: jobName(n + 1), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{
				{Count: 20, Size: job.Size{CPU: 1000, Memory: 1024}, LongRunning: true, MaxUnavailable: 2},
			}})
			emu.run(time.Duration(2+3*n) * time.Second)
		}
		if seed%2 == 1 {
			emu.killDispatcher()
		}
		emu.run(25 * time.Second)
		emu.lateOrder, emu.loseOrder, emu.loseAnswer = 0, 0, 0
		emu.run(60 * time.Second)
		assert.Equal(t, len(emu.violations), 0, "seed %d: %v", seed, emu.violations)
		for id, spe := range emu.specs {
			for i := range spe.Steps[0].Count {
				name := job.Task{Job: id, Index: i}
				assert.Equal(t, emu.truthOf(name).running, 1, fmt.Sprintf("seed %d: %s", seed, name))
			}
		}
	}
}
