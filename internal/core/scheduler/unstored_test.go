package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestMachineWithUnstoredEnd guards against done tasks that start again after a
// takeover: their VM was moved or went down for upkeep before the ends that it
// had reported were stored.
func TestMachineWithUnstoredEnd(t *testing.T) {
	sta, reduce := newTenure()
	one, oth := testVM("vm-1"), testVM("vm-2")
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 2, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: time.Minute},
	}}
	running := func(vm worker.VM, index int) PollAnswered {
		return PollAnswered{VM: vm, Sent: sta.now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: time.Second, Running: []worker.Running{
			{Task: job.Task{Job: spe.ID, Index: index}, Run: 3},
		}}}
	}
	list := func() MachinesListed {
		return MachinesListed{RequestedAt: sta.now, Machines: []worker.Machine{
			{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}, {Name: "m-2", Pool: "lots", State: worker.MachineUp, VM: oth.ID},
		}}
	}
	movable := func() (names []string) {
		for _, idl := range sta.rebalancePools()[0].Idle {
			names = append(names, idl.Machine)
		}
		return names
	}
	for range 10 {
		reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, VMRegistered{oth}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{}, running(one, 0), running(oth, 1), list())
	}
	done := reportedEnd(one, sta.now, worker.End{Number: 1, Task: job.Task{Job: spe.ID}, Run: 3, Kind: worker.EndDone})
	reduce(done, running(oth, 1))
	for range 3 {
		reduce(running(oth, 1), list())
		assert.Equal(t, len(movable()), 0, "the end is not stored")
	}
	reduce(WaveRequested{Wave: upkeep.Wave{Number: 1, Machines: []string{"m-1"}, Duration: 2 * time.Second, Cap: 1}})
	for range 30 {
		reduce(running(oth, 1), list())
		assert.Assert(t, !sta.hosts[one.ID].goingDown, "the end is not stored")
	}
	assert.Assert(t, sta.commits[0].inFlight)
	assert.Assert(t, sta.hosts[one.ID].cordoned, "no new tasks start on the machine")
	reduce(Committed{Revision: 20}, running(oth, 1), list())
	assert.Assert(t, sta.hosts[one.ID].ackableUpTo == 1)
	assert.Assert(t, sta.hosts[one.ID].goingDown, "the end is stored")
}

// TestRunOfOccurrenceNotYetDue guards against an occurrence that is done twice: a
// former dispatcher whose clock was ahead started its tasks, and the next one, for
// which it was not due yet, stopped them or acknowledged their ends without
// storing them.
func TestRunOfOccurrenceNotYetDue(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 2
	sta := New(opt)
	one := testVM("vm-1")
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: now, Occurrences: 2, FirstDue: now.Add(-time.Second), Interval: 3 * time.Second, Steps: []job.Step{
		{Count: 3, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: time.Minute},
	}}
	task := func(index int) job.Task { return job.Task{Job: spe.ID, Occurrence: 1, Index: index} }
	acked := int64(0)
	started := map[job.Task]time.Duration{}
	var commits int
	reduce := func(events ...Event) {
		now = now.Add(150 * time.Millisecond)
		for _, eff := range sta.Reduce(now, append(events, JobWatchProgressed{At: now})) {
			switch eff := eff.(type) {
			case Poll:
				acked = max(acked, eff.Acked)
			case Start:
				started[eff.Task] = spe.Due(eff.Task.Occurrence).Sub(now)
			case Stop:
				t.Errorf("%s is stopped", eff.Task)
			case Commit:
				commits++
			}
		}
	}
	first := job.Progress{}
	for i := range 3 {
		first.Tasks = append(first.Tasks, job.TaskRecord{Index: i, Done: true, Run: 1})
	}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobAccepted{Spec: spe, Revision: 5, Progress: first}, JobsLoaded{})
	machines := MachinesListed{RequestedAt: now, Machines: []worker.Machine{{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}}}
	report := func() PollAnswered {
		rep := worker.Report{StartedAtMS: one.StartedAtMS, Clock: time.Second, Running: []worker.Running{{Task: task(1), Run: 7}}}
		if acked < 1 {
			rep.Ends = []worker.End{{Number: 1, Task: task(0), Run: 7, Kind: worker.EndDone}}
		}
		if _, ok := started[task(2)]; ok {
			rep.Running = append(rep.Running, worker.Running{Task: task(2), Run: 1001})
		}
		return PollAnswered{VM: one, Sent: now.Add(time.Millisecond), Report: rep}
	}
	for range 5 {
		reduce(machines, report())
		reduce()
	}
	assert.Equal(t, acked, int64(0), "the end is not stored")
	assert.Equal(t, commits, 1)
	assert.Equal(t, len(started), 0, "the occurrence is not due")
	reduce(Committed{Revision: 20})
	for range 8 {
		reduce(report())
		reduce()
	}
	assert.Equal(t, acked, int64(1))
	assert.Equal(t, len(started), 1)
	assert.Assert(t, started[task(2)] <= 0, "started %v before it is due", started[task(2)])
}

// TestCordonOfWithdrawnWave guards against machines that get no tasks any more
// because the wave for whose upkeep they were cordoned was withdrawn.
func TestCordonOfWithdrawnWave(t *testing.T) {
	sta, reduce := newTenure()
	one := testVM("vm-1")
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: time.Minute},
	}}
	report := func() PollAnswered {
		return PollAnswered{VM: one, Sent: sta.now, Report: worker.Report{StartedAtMS: one.StartedAtMS, Clock: time.Second, Running: []worker.Running{{Task: job.Task{Job: spe.ID}, Run: 3}}}}
	}
	list := func() MachinesListed {
		return MachinesListed{RequestedAt: sta.now, Machines: []worker.Machine{{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}}}
	}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{}, list())
	reduce(report(), WaveRequested{Wave: upkeep.Wave{Number: 1, Machines: []string{"m-1"}, Duration: time.Minute, Cap: 1}})
	for range 10 {
		reduce(report(), list())
	}
	assert.Assert(t, !sta.hosts[one.ID].usable(sta.now), "the machine waits for its upkeep")
	reduce(report(), WaveWithdrawn{Number: 1})
	assert.Assert(t, sta.hosts[one.ID].usable(sta.now), "the wave was withdrawn")
}

// TestRunOnRestartedVM guards against two runs of a task at the same time: a VM that
// had restarted under the same ID started a task before its restart was known, and the
// report that showed the restart also made the task start on another VM.
func TestRunOnRestartedVM(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 2
	sta := New(opt)
	one, oth := testVM("vm-1"), testVM("vm-2")
	var starts []Start
	reduce := func(events ...Event) {
		now = now.Add(100 * time.Millisecond)
		for _, eff := range sta.Reduce(now, append(events, JobWatchProgressed{At: now})) {
			if start, ok := eff.(Start); ok {
				starts = append(starts, start)
			}
		}
	}
	machines := MachinesListed{RequestedAt: now, Machines: []worker.Machine{
		{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}, {Name: "m-2", Pool: "lots", State: worker.MachineUp, VM: oth.ID},
	}}
	report := func(vm worker.VM, running ...worker.Running) PollAnswered {
		polled := testVM(vm.ID)
		if hos := sta.hosts[vm.ID]; hos != nil {
			polled = hos.vm
		}
		return PollAnswered{VM: polled, Sent: now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: time.Second, Running: running}}
	}
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: time.Minute},
	}}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobsLoaded{}, machines)
	reduce(report(one))
	reduce(JobAccepted{Spec: spe, Revision: 15})
	assert.Equal(t, len(starts), 1)
	run := worker.Running{Task: starts[0].Task, Run: starts[0].Run}
	reduce(StartAnswered{VM: one, Task: run.Task, Run: run.Run, Result: worker.ResultOK}, VMRegistered{oth})
	reduce(report(oth))
	restarted := one
	restarted.StartedAtMS = 2
	for range 10 {
		reduce(report(restarted, run), report(oth))
	}
	assert.Equal(t, len(starts), 1, "%v", starts)
	assert.Assert(t, sta.hosts[one.ID] != nil && sta.hosts[one.ID].runs[run.Task] != nil, "the run is not recorded")
	reduce(VMRegistered{restarted})
	assert.Assert(t, sta.hosts[one.ID].runs[run.Task] != nil, "the run is not recorded")
}
