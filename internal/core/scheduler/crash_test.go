package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// Counts of crashes that tests rely on. A task whose VM crashes as it starts is a suspect
// after suspectCrashes, and its job is given up after maxCrashes, or maxServingCrashes
// if the step lasts.
const (
	suspectCrashes    = 2
	maxCrashes        = 3
	maxServingCrashes = 4
)

// crashScenario runs 100 jobs for ten seconds, every twentieth of which has a task
// that crashes each VM that starts it, beside tasks that serve. It returns the
// deadly tasks and all jobs.
func crashScenario(t *testing.T, seed uint64, kills ...time.Duration) (emu *emulator, deadly []job.Task, jobs []job.Spec) {
	emu = newEmulator(seed, testCatalog())
	emu.addVMs("lots", 12, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.deadly = func(tas job.Task) bool {
		for _, dea := range deadly {
			if tas == dea {
				return true
			}
		}
		return false
	}
	emu.takeOver(testOptions())
	serving := job.Spec{ID: jobName(999), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{
		{Count: 12, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
	}}
	emu.after(0, func() { emu.submit(serving) })
	for i := range 100 {
		spe := fanOut(i+1, "large", 4, 1000, 500*time.Millisecond)
		if i%20 == 10 {
			deadly = append(deadly, job.Task{Job: spe.ID, Index: 2})
		}
		jobs = append(jobs, spe)
		emu.after(time.Second+time.Duration(emu.rng.Int64N(int64(10*time.Second))), func() { emu.submit(spe) })
	}
	for _, at := range kills {
		emu.after(at, emu.killDispatcher)
	}
	emu.run(40 * time.Second)
	assert.DeepEqual(t, emu.violations, []string(nil))
	return emu, deadly, jobs
}

// stateOf returns the stored state of a job; empty if it has not ended.
func (emu *emulator) stateOf(t *testing.T, id job.ID) job.State {
	itm, ok := emu.store.items[job.EndedKey(id)]
	if !ok {
		return ""
	}
	out, err := job.Unmarshal[job.Outcome](itm.Value)
	assert.NilError(t, err)
	return out.State
}

// TestTaskThatCrashesVMs guards against a task that crashes one VM after the
// other: it is given up, and the tasks that ran beside it are done.
func TestTaskThatCrashesVMs(t *testing.T) {
	for seed := range uint64(10) {
		for _, kills := range [][]time.Duration{nil, {4 * time.Second}, {2500 * time.Millisecond, 6 * time.Second}} {
			emu, deadly, jobs := crashScenario(t, seed, kills...)
			failed := map[job.ID]bool{}
			for _, dea := range deadly {
				failed[dea.Job] = true
				assert.Assert(t, len(emu.truthOf(dea).crashes) <= 3+len(kills), "seed %d: %s crashed %d VMs", seed, dea, len(emu.truthOf(dea).crashes))
			}
			for _, spe := range jobs {
				want := job.StateCompleted
				if failed[spe.ID] {
					want = job.StateFailed
				}
				assert.Equal(t, emu.stateOf(t, spe.ID), want, "seed %d, kills %v: job %s", seed, kills, spe.ID)
			}
			assert.Equal(t, emu.stateOf(t, jobName(999)), job.State(""), "the serving job must live on")
		}
	}
}

// newTenure returns the state of a second dispatcher, and a function that passes
// events to it, each time 100 ms later.
func newTenure() (sta *State, reduce func(events ...Event)) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 2
	sta = New(opt)
	sta.now = now
	return sta, func(events ...Event) {
		now = now.Add(100 * time.Millisecond)
		sta.Reduce(now, append(events, JobWatchProgressed{At: now}))
	}
}

// TestAdoptedTaskIsNotGivenUp guards against giving up a job that lasts because a
// VM crashed soon after a takeover: the new dispatcher does not know how long the
// task has run, but did not start it.
func TestAdoptedTaskIsNotGivenUp(t *testing.T) {
	sta, reduce := newTenure()
	one := testVM("vm-1")
	spe := job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true},
	}}
	name := job.Task{Job: spe.ID}
	progress := job.Progress{Tasks: []job.TaskRecord{{Crashes: maxServingCrashes - 1, Run: 3}}}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobAccepted{Spec: spe, Revision: 5, Progress: progress}, JobsLoaded{})
	reduce(PollAnswered{VM: one, Sent: sta.now, Report: worker.Report{StartedAtMS: one.StartedAtMS, Clock: time.Second, Running: []worker.Running{{Task: name, Run: 3, Percent: 100}}}})
	assert.Assert(t, sta.hosts[one.ID].runs[name] != nil, "the run must be adopted")
	again := one
	again.StartedAtMS = 2
	reduce(VMRegistered{again})
	assert.Equal(t, sta.jobs[spe.ID].final, job.State(""))
	assert.Equal(t, sta.jobs[spe.ID].occs[0].stages[0].tasks[0].blamed.Crashes, maxServingCrashes-1)
}

// TestCrashUnderSuspectClearsOthers guards against blaming tasks that started
// beside a suspect for the crash that it causes.
func TestCrashUnderSuspectClearsOthers(t *testing.T) {
	sta, reduce := newTenure()
	one := testVM("vm-1")
	serving := job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true},
	}}
	deadly := fanOut(2, "large", 1, 500, time.Second)
	deadly.Accepted = sta.now
	progress := job.Progress{Tasks: []job.TaskRecord{{Crashes: maxCrashes - 1, Run: 3}}}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobAccepted{Spec: serving, Revision: 11}, JobAccepted{Spec: deadly, Revision: 12, Progress: progress}, JobsLoaded{})
	reduce(PollAnswered{VM: one, Sent: sta.now, Report: worker.Report{StartedAtMS: one.StartedAtMS, Clock: time.Second}})
	beside := job.Task{Job: serving.ID}
	sta.reserve(sta.hosts[one.ID], sta.stageOf(beside), beside, 1, runRunning)
	assert.Equal(t, len(sta.hosts[one.ID].runs), 2, "both tasks must run on the VM")
	reduce(StartAnswered{VM: one, Task: job.Task{Job: deadly.ID}, Run: 1001})
	again := one
	again.StartedAtMS = 2
	reduce(VMRegistered{again})
	assert.Equal(t, sta.jobs[deadly.ID].final, job.StateFailed)
	assert.Equal(t, sta.jobs[serving.ID].occs[0].stages[0].tasks[0].blamed.Crashes, 0)
}

// TestServingJobOutlivesOtherCrashes guards against giving up a serving job when
// its VM crashes for another cause soon after the task was moved there from VMs that
// tasks beside it had crashed.
func TestServingJobOutlivesOtherCrashes(t *testing.T) {
	sta, reduce := newTenure()
	one := testVM("vm-1")
	serving := job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true},
	}}
	progress := job.Progress{Tasks: []job.TaskRecord{{Crashes: 2, Run: 3}}}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobAccepted{Spec: serving, Revision: 12, Progress: progress}, JobsLoaded{})
	reduce(PollAnswered{VM: one, Sent: sta.now, Report: worker.Report{StartedAtMS: one.StartedAtMS, Clock: time.Second}})
	assert.Equal(t, len(sta.hosts[one.ID].runs), 1)
	reduce(StartAnswered{VM: one, Task: job.Task{Job: serving.ID}, Run: 1001})
	again := one
	again.StartedAtMS = 2
	reduce(VMRegistered{again})
	assert.Equal(t, sta.jobs[serving.ID].occs[0].stages[0].tasks[0].blamed.Crashes, 3)
	assert.Equal(t, sta.jobs[serving.ID].final, job.State(""))
}

// TestServingTaskThatCrashesVMs guards against a serving task that crashes VMs
// for ever.
func TestServingTaskThatCrashesVMs(t *testing.T) {
	for seed := range uint64(5) {
		emu := newEmulator(seed, testCatalog())
		emu.addVMs("lots", 8, 3, job.Size{CPU: 16_000, Memory: 32_768})
		serving := job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{
			{Count: 4, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
		}}
		deadly := job.Task{Job: serving.ID, Index: 1}
		emu.deadly = func(tas job.Task) bool { return tas == deadly }
		emu.takeOver(testOptions())
		emu.after(time.Second, func() { emu.submit(serving) })
		emu.run(60 * time.Second)
		assert.DeepEqual(t, emu.violations, []string(nil))
		assert.Equal(t, emu.stateOf(t, serving.ID), job.StateFailed)
		assert.Assert(t, len(emu.truthOf(deadly).crashes) <= maxServingCrashes, "seed %d: %d crashes", seed, len(emu.truthOf(deadly).crashes))
	}
}

// TestSuspectGetsVMThatCanRunIt guards against a suspect that waits for as long
// as the pool is busy: the VM that is kept free for it can't run it.
func TestSuspectGetsVMThatCanRunIt(t *testing.T) {
	sta, reduce := newTenure()
	events := []Event{CatalogChanged{testCatalog()}}
	for i := range 8 {
		vm := testVM(fmt.Sprintf("vm-%d", i))
		if i >= 6 {
			vm.Labels = []string{"large"}
		}
		events = append(events, VMRegistered{vm}, PollAnswered{VM: vm, Sent: sta.now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: time.Second}})
	}
	busy := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 24, Size: job.Size{CPU: 5000, Memory: 512}, Estimate: 5 * time.Second},
	}}
	suspect := job.Spec{ID: jobName(2), Queue: "settle", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true, Label: "large"},
	}}
	reduce(append(events, JobAccepted{Spec: busy, Revision: 11}, JobsLoaded{})...)
	reduce(JobAccepted{Spec: suspect, Revision: 12, Progress: job.Progress{Tasks: []job.TaskRecord{{Crashes: suspectCrashes, Run: 3}}}})
	assert.Assert(t, slices.ContainsFunc(sta.hostList, func(hos *host) bool { return hos.keptFree && hos.vm.HasLabel("large") }))
}

// TestMoveByFormerDispatcherIsNoCrash guards against giving up a job because a
// machine went down by an order of a former dispatcher that was carried out late.
func TestMoveByFormerDispatcherIsNoCrash(t *testing.T) {
	for _, listed := range []worker.Machine{
		{Name: "m-1", Pool: "other", State: worker.MachineMoving},
		{Name: "m-1", Pool: "other", State: worker.MachineMoving, VM: "vm-1"},
		{Name: "m-1", Pool: "lots", State: worker.MachineUpkeep},
	} {
		sta, reduce := newTenure()
		one := testVM("vm-1")
		spe := fanOut(1, "large", 1, 500, 10*time.Second)
		spe.Accepted = sta.now
		progress := job.Progress{Tasks: []job.TaskRecord{{Crashes: maxCrashes - 1, Run: 3}}}
		reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobAccepted{Spec: spe, Revision: 5, Progress: progress}, JobsLoaded{})
		reduce(PollAnswered{VM: one, Sent: sta.now, Report: worker.Report{StartedAtMS: one.StartedAtMS, Clock: time.Second, Running: []worker.Running{{Task: job.Task{Job: spe.ID}, Run: 3}}}})
		reduce(MachinesListed{RequestedAt: sta.now, Machines: []worker.Machine{{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}}})
		reduce(PollAnswered{VM: one, Sent: sta.now, Result: worker.ResultUnknown})
		reduce(MachinesListed{RequestedAt: sta.now, Machines: []worker.Machine{listed}})
		reduce(PollAnswered{VM: one, Sent: sta.now, Result: worker.ResultUnknown}, MachinesListed{RequestedAt: sta.now, Machines: []worker.Machine{listed}})
		assert.Assert(t, sta.hosts[one.ID] == nil, "the VM must be known to be gone")
		assert.Equal(t, sta.jobs[spe.ID].final, job.State(""))
	}
}
