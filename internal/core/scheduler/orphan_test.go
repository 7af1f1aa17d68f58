package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestCapHoldsWhileRunsOutlastTheirJob guards against an account that exceeds its
// cap after a takeover: runs of a job that was cancelled before are still being
// stopped, and as the job is gone, they were not counted.
func TestCapHoldsWhileRunsOutlastTheirJob(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	long := job.Spec{ID: jobName(1), Queue: "gate", Account: "small", Payload: "x", Steps: []job.Step{
		{Count: 24, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: 20 * time.Second},
	}}
	setPartitioned := func(partitioned bool) func() {
		return func() {
			for _, vm := range emu.vms {
				vm.partitioned = partitioned
			}
		}
	}
	emu.after(time.Second, func() { emu.submit(long) })
	emu.after(1850*time.Millisecond, setPartitioned(true))
	emu.after(1900*time.Millisecond, func() { emu.cancel(long.ID) })
	emu.after(2*time.Second, emu.killDispatcher)
	emu.after(3400*time.Millisecond, setPartitioned(false))
	emu.after(3450*time.Millisecond, func() { emu.submit(fanOut(2, "small", 8, 1000, time.Second)) })
	emu.run(3 * time.Second)
	assert.Equal(t, emu.stateOf(t, long.ID), job.StateCancelled)
	emu.run(5 * time.Second)
	assert.DeepEqual(t, emu.violations, []string(nil))
	assert.Assert(t, len(emu.truthOf(job.Task{Job: jobName(2)}).starts) > 0)
}
