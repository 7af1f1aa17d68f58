package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestLostAnswersOfUpkeepKeepCap guards against more machines of a wave that are down
// at once than its cap: an upkeep that is carried out without an answer isn't counted.
func TestLostAnswersOfUpkeepKeepCap(t *testing.T) {
	for _, lost := range []float64{0.3, 1} {
		for seed := range uint64(10) {
			emu := newEmulator(seed, testCatalog())
			emu.addVMs("lots", 8, 4, job.Size{CPU: 16_000, Memory: 32_768})
			emu.loseMachineAnswer, emu.slowList = lost, 3*time.Second
			emu.takeOver(testOptions())
			emu.after(time.Second, func() {
				for i := range 8 {
					emu.submit(fanOut(i+1, "large", 4, 3000, 12*time.Second))
				}
				emu.requestWave(upkeep.Wave{Number: 1, Machines: emu.names, Duration: 30 * time.Second, Cap: 2})
			})
			emu.after(60*time.Second, func() { emu.loseMachineAnswer = 0 })
			emu.run(100 * time.Second)
			assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
			assert.Equal(t, emu.decisions["wave_completed"], 1, "seed %d, %v of the answers lost", seed, lost)
		}
	}
}

// TestTwoWavesOfOneMachine guards against upkeep that takes too many tasks of a step
// away: the refusal of a second wave's order for a machine makes it count as up while
// the first wave's order takes it down.
func TestTwoWavesOfOneMachine(t *testing.T) {
	fix := newOutageFixture(4)
	fix.run(5 * time.Second)
	liv := job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: 4, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
	}}
	fix.reduce(JobAccepted{Spec: liv, Revision: 11})
	fix.run(2 * time.Second)
	machines := []string{"m-vm-0", "m-vm-1", "m-vm-2", "m-vm-3"}
	for number := range int64(2) {
		fix.reduce(WaveRequested{Wave: upkeep.Wave{Number: number + 1, Machines: machines, Duration: 40 * time.Second, Cap: 4}})
	}
	fix.run(300 * time.Millisecond)
	for i, name := range fix.orders {
		res := worker.MachineOK
		if i > 0 {
			res = worker.MachineBusy
		}
		fix.reduce(MachineAnswered{Machine: name, Wave: int64(i + 1), Result: res})
	}
	fix.run(300 * time.Millisecond)
	assert.Equal(t, fmt.Sprint(fix.orders), "[m-vm-0]")
}
