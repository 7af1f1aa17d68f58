package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// crashAll crashes all VMs of the emulator, which are back after a second.
func (emu *emulator) crashAll() {
	for _, name := range emu.names {
		emu.crash(emu.vms[name], time.Second)
	}
}

// TestSuspectsLeaveCapacity guards against suspects that take all VMs for
// themselves: after all VMs have crashed twice, serving tasks stand alone on every
// one until their startup is over, and all other jobs wait.
func TestSuspectsLeaveCapacity(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 8, 4, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	serving := job.Spec{ID: jobName(999), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{
		{Count: 24, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true},
	}}
	emu.after(0, func() { emu.submit(serving) })
	emu.after(2*time.Second, emu.crashAll)
	emu.after(5*time.Second, emu.crashAll)
	spe := fanOut(1, "large", 4, 500, 200*time.Millisecond)
	emu.after(6500*time.Millisecond, func() { emu.submit(spe) })
	emu.run(9500 * time.Millisecond)
	assert.Equal(t, emu.stateOf(t, spe.ID), job.StateCompleted, "3 s after its submission")
	assert.DeepEqual(t, emu.violations, []string(nil))
}

// TestUnansweredStartIsNoCrash guards against a job that fails without a failed run:
// its only run is done, but its VM crashed before the end was acknowledged, and two
// orders to start it again went to VMs that were already down.
func TestUnansweredStartIsNoCrash(t *testing.T) {
	sta, reduce := newTenure()
	one := testVM("vm-1")
	spe := fanOut(1, "large", 1, 500, time.Second)
	spe.Accepted = sta.now
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{})
	reduce(MachinesListed{RequestedAt: sta.now, Machines: []worker.Machine{{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}}})
	for crash := range maxCrashes {
		reduce(PollAnswered{VM: one, Sent: sta.now, Report: worker.Report{StartedAtMS: one.StartedAtMS, Clock: time.Second}})
		name := job.Task{Job: spe.ID}
		for range 30 {
			reduce(Tick{})
		}
		pla := sta.hosts[one.ID].runs[name]
		assert.Assert(t, pla != nil, "run after %d crashes", crash)
		result := worker.ResultUnknown
		if crash == 0 {
			result = worker.ResultOK
		}
		reduce(StartAnswered{VM: one, Task: name, Run: pla.run, Result: result})
		one.StartedAtMS++
		reduce(VMRegistered{one})
	}
	assert.Equal(t, sta.jobs[spe.ID].final, job.State(""))
}

// TestOutageOfFleetGivesUpNoJob guards against giving up a job because all VMs
// crashed several times while its tasks ran on every one.
func TestOutageOfFleetGivesUpNoJob(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 6, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Steps: []job.Step{
		{Count: 6, Size: job.Size{CPU: 16_000, Memory: 512}, Estimate: 6 * time.Second},
	}}
	emu.after(time.Second, func() { emu.submit(spe) })
	for i := range maxCrashes {
		emu.after(time.Duration(3+6*i)*time.Second, emu.crashAll)
	}
	emu.run(40 * time.Second)
	assert.Equal(t, emu.stateOf(t, spe.ID), job.StateCompleted)
	assert.DeepEqual(t, emu.violations, []string(nil))
}

// TestTasksStartBesideSuspects guards against accepted jobs that are lost as their tasks
// wait beside VMs with room (LOST): long tasks of a job that VMs have crashed under, each
// alone on a VM, kept all others away for as long as they ran.
func TestTasksStartBesideSuspects(t *testing.T) {
	fix := newOutageFixture(8)
	fix.submitSuspects(7)
	others := job.Spec{ID: jobName(2), Queue: "gate", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: 8, Size: job.Size{CPU: 8000, Memory: 2400}, Estimate: 20 * time.Second},
	}}
	fix.reduce(JobAccepted{Spec: others, Revision: 12})
	fix.run(3 * time.Second)
	assert.Equal(t, fix.sta.jobs[others.ID].occs[0].stages[0].waiting, 0)
}
