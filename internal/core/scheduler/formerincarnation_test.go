package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// formerIncarnation is a dispatcher with two VMs, of which the first has restarted under its ID
// while the start of run 1 is on its way to it.
type formerIncarnation struct {
	t        *testing.T
	sta      *State
	now      time.Time
	one, oth worker.VM
	name     job.Task
	// running reports whether the start has reached the new incarnation, and its run is active.
	running bool
	// rejected reports whether the new incarnation was told to stop the run.
	rejected bool
	starts   []Start
}

// newFormerIncarnation returns a dispatcher that has ordered the start of a task on the first
// VM.
func newFormerIncarnation(t *testing.T) *formerIncarnation {
	fix := &formerIncarnation{t: t, now: time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC), one: testVM("vm-1"), oth: testVM("vm-2")}
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = fix.now, 10, 1
	fix.sta = New(opt)
	spe := fanOut(1, "large", 1, 4000, 20*time.Second)
	spe.Accepted = fix.now
	fix.name = job.Task{Job: spe.ID}
	fix.reduce(CatalogChanged{testCatalog()}, VMRegistered{fix.one}, JobsLoaded{})
	// No leases of a former dispatcher are in force any more.
	fix.now = fix.now.Add(10 * time.Second)
	spe.Accepted = fix.now
	fix.reduce(JobAccepted{Spec: spe, Revision: 11})
	assert.Equal(t, len(fix.starts), 1)
	fix.reduce(VMRegistered{fix.oth})
	fix.one.StartedAtMS = 2
	return fix
}

// reduce passes events, and answers all polls and stops.
func (fix *formerIncarnation) reduce(events ...Event) {
	fix.now = reduceAnswered(fix.sta, fix.now, events, fix.answer)
}

func (fix *formerIncarnation) answer(eff Effect) []Event {
	switch eff := eff.(type) {
	case Start:
		assert.Assert(fix.t, len(fix.starts) == 0 || fix.rejected && !fix.running, "run %d starts on %s before run 1 is over", eff.Run, eff.VM.ID)
		fix.starts = append(fix.starts, eff)
	case Stop:
		assert.Assert(fix.t, eff.VM.SameIncarnation(fix.one), "the stop is for %v", eff.VM)
		fix.rejected, fix.running = true, false
		return []Event{StopAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run}}
	case Poll:
		if eff.VM.ID == fix.oth.ID {
			return []Event{PollAnswered{VM: eff.VM, Sent: fix.now, Report: worker.Report{StartedAtMS: fix.oth.StartedAtMS, Clock: time.Second}}}
		}
		rep := worker.Report{StartedAtMS: fix.one.StartedAtMS, Clock: time.Second}
		if fix.running {
			rep.Running = []worker.Running{{Task: fix.name, Run: 1}}
		}
		return []Event{PollAnswered{VM: eff.VM, Sent: fix.now, Report: rep}}
	}
	return nil
}

// TestStartForFormerIncarnationRunsNoTaskTwice guards against a task that runs twice: a start
// without an answer reaches the next incarnation of its VM, under the same ID, after the task
// has started elsewhere.
func TestStartForFormerIncarnationRunsNoTaskTwice(t *testing.T) {
	for _, tst := range []struct {
		noticedBy string
		events    func(former, next worker.VM, now time.Time, name job.Task) []Event
	}{
		{"registration", func(_, next worker.VM, _ time.Time, _ job.Task) []Event { return []Event{VMRegistered{next}} }},
		{"report", func(former, _ worker.VM, _ time.Time, name job.Task) []Event {
			return []Event{StartAnswered{VM: former, Task: name, Run: 1, Result: worker.ResultUnknown}}
		}},
		{"loss of the former incarnation", func(former, next worker.VM, now time.Time, _ job.Task) []Event {
			return []Event{PollAnswered{VM: former, Sent: now, Result: worker.ResultOtherIncarnation}, VMRegistered{next}}
		}},
	} {
		for _, arrived := range []bool{false, true} {
			t.Run(tst.noticedBy, func(t *testing.T) {
				fix := newFormerIncarnation(t)
				fix.running = arrived
				former := fix.one
				former.StartedAtMS = 1
				fix.reduce(tst.events(former, fix.one, fix.now, fix.name)...)
				for range 100 {
					fix.reduce(Tick{})
				}
				assert.Assert(t, len(fix.starts) > 1 || fix.running, "the task doesn't run")
			})
		}
	}
}
