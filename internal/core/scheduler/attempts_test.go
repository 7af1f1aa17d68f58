package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// testVM returns a VM of the test's pool.
func testVM(name string) worker.VM {
	return worker.VM{ID: name, StartedAtMS: 1, Pool: "lots", Address: name, AZ: "az0", Capacity: job.Size{CPU: 16_000, Memory: 32_768}}
}

// reportedEnd returns a VM's answer to a poll with one end.
func reportedEnd(vm worker.VM, sent time.Time, end worker.End) PollAnswered {
	return PollAnswered{VM: vm, Sent: sent, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: time.Second, Ends: []worker.End{end}}}
}

// TestFailuresReportedOutOfOrder checks that a task does not start beyond its
// attempts. A former dispatcher saw two of its runs fail and stored neither;
// after the takeover the VM with the later run reports first. Both runs must
// count.
func TestFailuresReportedOutOfOrder(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 2
	sta := New(opt)
	cat := testCatalog()
	cat.Queues[0].MaxAttempts = 2
	one, oth := testVM("vm-1"), testVM("vm-2")
	spe := fanOut(1, "large", 1, 500, time.Second)
	spe.Accepted = now
	name := job.Task{Job: spe.ID}
	reduce := func(events ...Event) []Effect {
		now = now.Add(10 * time.Millisecond)
		return sta.Reduce(now, append(events, JobWatchProgressed{At: now}))
	}
	reduce(CatalogChanged{cat}, VMRegistered{one}, VMRegistered{oth}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{})
	reduce(MachinesListed{RequestedAt: now, Machines: []worker.Machine{
		{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}, {Name: "m-2", Pool: "lots", State: worker.MachineUp, VM: oth.ID},
	}})
	effects := reduce(reportedEnd(oth, now, worker.End{Number: 1, Task: name, Run: 2, Kind: worker.EndFailed}))
	effects = append(effects, reduce(reportedEnd(one, now, worker.End{Number: 1, Task: name, Run: 1, Kind: worker.EndFailed}))...)
	for range 20 {
		effects = append(effects, reduce(Tick{})...)
	}
	for _, eff := range effects {
		if sta, ok := eff.(Start); ok {
			t.Errorf("task %s is started as run %d after two of two attempts failed", sta.Task, sta.Run)
		}
	}
	assert.Equal(t, sta.jobs[spe.ID].final, job.StateFailed)
}

// TestAttemptsOfRemovedQueue guards against jobs that fail with attempts left: after
// the removal of their queue, one failed run was enough.
func TestAttemptsOfRemovedQueue(t *testing.T) {
	sta, reduce := newTenure()
	one := testVM("vm-1")
	spe := fanOut(1, "large", 1, 500, time.Second)
	spe.Accepted = sta.now
	name := job.Task{Job: spe.ID}
	cat := testCatalog()
	reduce(CatalogChanged{cat}, VMRegistered{one}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{})
	removed := cat
	removed.Queues = cat.Queues[1:]
	reduce(CatalogChanged{catalog.New(removed)})
	attempts := cat.Queues[0].MaxAttempts
	for run := 1; run <= attempts; run++ {
		assert.Equal(t, sta.jobs[spe.ID].final, job.State(""), "after %d of %d attempts", run-1, attempts)
		reduce(reportedEnd(one, sta.now, worker.End{Number: int64(run), Task: name, Run: run, Kind: worker.EndFailed}))
	}
	assert.Equal(t, sta.jobs[spe.ID].final, job.StateFailed)
}

// withoutGate returns the test's configuration after the queue gate was removed.
func withoutGate() catalog.Catalog {
	cat := testCatalog()
	return catalog.New(catalog.Catalog{Version: 2, Revision: 2, Queues: cat.Queues[1:], Pools: cat.Pools, Accounts: cat.Accounts})
}

// TestJobOutlivesItsQueue guards against giving up a job after one failed run
// because its queue has been removed from the configuration.
func TestJobOutlivesItsQueue(t *testing.T) {
	fix := newOutageFixture(2)
	liv := fix.submit(1, 1)
	first := &liv.occs[0].stages[0].tasks[0]
	assert.Assert(t, first.host != nil)
	fix.reduce(CatalogChanged{withoutGate()})
	fix.reduce(reportedEnd(first.host.vm, fix.now, worker.End{Number: 1, Task: job.Task{Job: liv.spec.ID}, Run: first.run, Kind: worker.EndFailed}))
	assert.Equal(t, liv.final, job.State(""))
}

// TestJobWithoutQueueStartsAfterTakeover guards against an accepted job that is
// never started: its queue was removed, and the dispatcher that knew the queue's
// pool was killed.
func TestJobWithoutQueueStartsAfterTakeover(t *testing.T) {
	fix := newOutageFixture(2)
	fix.reduce(CatalogChanged{withoutGate()})
	fix.submit(1, 1)
	fix.run(10 * time.Second)
	assert.Equal(t, fix.starts["vm-0"]+fix.starts["vm-1"], 1)
}

// TestTaskTriesAnotherVM guards against giving up a job because of one VM that
// fails all that it starts, beside others that are sound and idle.
func TestTaskTriesAnotherVM(t *testing.T) {
	fix := newOutageFixture(4)
	liv := fix.submit(1, 1)
	first := &liv.occs[0].stages[0].tasks[0]
	assert.Assert(t, first.host != nil)
	faulty := first.host.vm
	for number := int64(1); first.host != nil && first.host.vm.ID == faulty.ID; number++ {
		fix.reduce(reportedEnd(faulty, fix.now, worker.End{Number: number, Task: job.Task{Job: liv.spec.ID}, Run: first.run, Kind: worker.EndFailed}))
		fix.run(time.Second)
	}
	assert.Assert(t, fix.starts[faulty.ID] < 3, "%d of %d attempts were made on the same VM", fix.starts[faulty.ID], fix.sta.catalog.Queue("gate").MaxAttempts)
}
