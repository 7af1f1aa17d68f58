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

// TestTakeoverHoldsBackOnlyForCaps guards against jobs that wait for a silent VM
// after a takeover although they could start: only what the VM may run counts
// against a cap, and until its former lease has ended.
func TestTakeoverHoldsBackOnlyForCaps(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 5, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.after(1900*time.Millisecond, func() { emu.vms["lots-0"].partitioned = true })
	emu.after(2*time.Second, emu.killDispatcher)
	wide := func(n int, account string) job.Spec {
		return job.Spec{ID: jobName(n), Queue: "gate", Account: account, Payload: "x", Steps: []job.Step{
			{Count: 12, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: 10 * time.Second},
		}}
	}
	emu.after(4*time.Second, func() {
		emu.submit(wide(1, "small"))
		emu.submit(wide(2, "large"))
	})
	started := func(n int) (count int) {
		for i := range 12 {
			count += len(emu.truthOf(job.Task{Job: jobName(n), Index: i}).starts)
		}
		return count
	}
	emu.run(4200 * time.Millisecond)
	assert.Equal(t, started(1), 8, "the silent VM may run 16 of the 24 cores of the cap")
	assert.Equal(t, started(2), 12, "the account has no cap")
	emu.run(8 * time.Second)
	assert.Equal(t, started(1), 12, "the former lease of the silent VM has ended")
	assert.DeepEqual(t, emu.violations, []string(nil))
}

// TestCapHoldsWithBestEffortTasksOnASilentVM guards against an account that exceeds
// its cap after a takeover by best-effort tasks, which reserve no CPU of their VM.
func TestCapHoldsWithBestEffortTasksOnASilentVM(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 1, 1, job.Size{CPU: 4000, Memory: 32_768})
	emu.takeOver(testOptions())
	filler := job.Spec{ID: jobName(1), Queue: "gate", Account: "small", Payload: "x", Steps: []job.Step{
		{Count: 24, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true, BestEffort: true},
	}}
	emu.after(time.Second, func() { emu.submit(filler) })
	emu.after(1500*time.Millisecond, func() { emu.addVMs("more", 2, 1, job.Size{CPU: 16_000, Memory: 32_768}) })
	emu.after(1900*time.Millisecond, func() {
		assert.Equal(t, len(emu.vms["lots-0"].runs), 24)
		emu.vms["lots-0"].partitioned = true
	})
	emu.after(2*time.Second, emu.killDispatcher)
	// The queues use the pool "more" from now on.
	emu.after(2100*time.Millisecond, func() {
		for i := range emu.catalog.Queues {
			emu.catalog.Queues[i].Pool = "more"
		}
	})
	emu.after(4200*time.Millisecond, func() { emu.submit(fanOut(2, "small", 8, 1000, time.Second)) })
	emu.run(5 * time.Second)
	for i := range 8 {
		assert.Equal(t, len(emu.truthOf(job.Task{Job: jobName(2), Index: i}).starts), 0, "the cap is used up by the best-effort tasks")
	}
}
