package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestStaleRunOnVM checks that a task does not start on a VM where an older
// run of it is still being stopped. After a takeover two VMs report runs of
// the same task, of which the newer one fails. The accounting must be right
// once the older run has ended.
func TestStaleRunOnVM(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 2
	sta := New(opt)
	one, oth := testVM("vm-1"), testVM("vm-2")
	spe := fanOut(1, "large", 1, 500, time.Second)
	spe.Accepted = now
	name := job.Task{Job: spe.ID}
	var starts []Start
	reduce := func(events ...Event) {
		now = now.Add(10 * time.Millisecond)
		for _, eff := range sta.Reduce(now, append(events, JobWatchProgressed{At: now})) {
			if start, ok := eff.(Start); ok {
				starts = append(starts, start)
			}
		}
	}
	lists := func(vm worker.VM, runs ...int) PollAnswered {
		rep := worker.Report{StartedAtMS: vm.StartedAtMS, Clock: time.Second}
		for _, run := range runs {
			rep.Running = append(rep.Running, worker.Running{Task: name, Run: run})
		}
		return PollAnswered{VM: vm, Sent: now.Add(time.Millisecond), Report: rep}
	}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, VMRegistered{oth}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{})
	reduce(MachinesListed{RequestedAt: now, Machines: []worker.Machine{
		{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}, {Name: "m-2", Pool: "lots", State: worker.MachineUp, VM: oth.ID},
	}})
	reduce(lists(oth, 5))
	reduce(lists(one, 3))
	// VM 2 is in quarantine for a while, so VM 1 is the only candidate.
	sta.hosts[oth.ID].failures = maxFailures + 2
	reduce(PollAnswered{VM: oth, Sent: now, Report: worker.Report{StartedAtMS: 1, Clock: time.Second, Ends: []worker.End{{Number: 1, Task: name, Run: 5, Kind: worker.EndFailed}}}})
	reduce(Tick{})
	for _, start := range starts {
		assert.Assert(t, start.VM.ID != one.ID, "run %d starts on %s, where run 3 is being stopped", start.Run, start.VM.ID)
	}
	reduce(PollAnswered{VM: one, Sent: now, Report: worker.Report{StartedAtMS: 1, Clock: time.Second, Ends: []worker.End{{Number: 1, Task: name, Run: 3, Kind: worker.EndStopped}}}})
	for range 300 {
		reduce(Tick{})
	}
	assert.Assert(t, len(starts) > 0, "the task is not started again")
	recorded := 0
	for _, hos := range sta.hostList {
		recorded += len(hos.runList)
		assert.Equal(t, len(hos.runList), len(hos.runs), "runs on %s", hos.vm.ID)
	}
	assert.Equal(t, recorded, 1)
}
