package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestListBeforeAnsweredStart guards against two runs of one task: a VM crashes, a list of
// machines that shows it down is requested and late, and the VM is back under its ID and
// answers a start. The list removes it with the new run.
func TestListBeforeAnsweredStart(t *testing.T) {
	now, one, oth := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC), testVM("vm-1"), testVM("vm-2")
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 1
	sta := New(opt)
	var starts []Start
	answers := true
	reduce := func(events ...Event) {
		now = reduceAnswered(sta, now, events, func(eff Effect) []Event {
			switch eff := eff.(type) {
			case Start:
				starts = append(starts, eff)
			case Poll:
				if answers || eff.VM.ID == oth.ID {
					return []Event{PollAnswered{VM: eff.VM, Sent: now, Report: worker.Report{StartedAtMS: eff.VM.StartedAtMS, Clock: time.Second}}}
				}
				return []Event{PollAnswered{VM: eff.VM, Sent: now, Result: worker.ResultUnknown}}
			}
			return nil
		})
	}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobsLoaded{})
	answers = false
	reduce(JobAccepted{Spec: job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, Estimate: time.Second},
	}}, Revision: 11})
	assert.Equal(t, len(starts), 1)
	reduce(VMRegistered{oth})
	requested := now
	for range 6 {
		reduce(Tick{})
	}
	reduce(StartAnswered{VM: one, Task: starts[0].Task, Run: 1, Result: worker.ResultOK})
	reduce(MachinesListed{RequestedAt: requested, Machines: []worker.Machine{
		{Name: "m-1", Pool: one.Pool, State: worker.MachineDown, AZ: one.AZ},
		{Name: "m-2", Pool: oth.Pool, State: worker.MachineUp, AZ: oth.AZ, VM: oth.ID},
	}})
	for range 20 {
		reduce(Tick{})
	}
	assert.Equal(t, len(starts), 1, "run 2 starts on %s while the VM that answered the start of run 1 may run it", starts[len(starts)-1].VM.ID)
}
