package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestCapHoldsWhileAVMIsSilent guards against an account that exceeds its cap after
// a takeover: a VM has not answered the new dispatcher yet, and the runs there are
// not counted when tasks of new jobs start.
func TestCapHoldsWhileAVMIsSilent(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	long := job.Spec{ID: jobName(1), Queue: "gate", Account: "small", Payload: "x", Steps: []job.Step{
		{Count: 24, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: 20 * time.Second},
	}}
	emu.after(time.Second, func() { emu.submit(long) })
	emu.after(1900*time.Millisecond, func() { emu.vms["lots-0"].partitioned = true })
	emu.after(2*time.Second, emu.killDispatcher)
	emu.after(5*time.Second, func() { emu.vms["lots-0"].partitioned = false })
	spe := fanOut(2, "small", 8, 1000, time.Second)
	emu.after(4200*time.Millisecond, func() { emu.submit(spe) })
	emu.run(5500 * time.Millisecond)
	assert.DeepEqual(t, emu.violations, []string(nil))
}
