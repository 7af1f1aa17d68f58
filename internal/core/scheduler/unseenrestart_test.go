package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestStartOnUnseenIncarnationRunsNoTaskTwice guards against two runs of one task: a VM restarts
// under its ID, and its next incarnation carries out and answers a start before the
// dispatcher hears of the restart. The run was released with those of the former
// incarnation, and its task started once more.
func TestStartOnUnseenIncarnationRunsNoTaskTwice(t *testing.T) {
	for _, tst := range []struct {
		noticedBy string
		event     func(former, next worker.VM, sent time.Time) Event
	}{
		{"registration", func(_, next worker.VM, _ time.Time) Event { return VMRegistered{next} }},
		// The answer to the start overtakes the report, which was made before.
		{"report", func(former, next worker.VM, sent time.Time) Event {
			return PollAnswered{VM: former, Sent: sent, Report: worker.Report{StartedAtMS: next.StartedAtMS, Clock: time.Second}}
		}},
	} {
		t.Run(tst.noticedBy, func(t *testing.T) {
			now, former, oth := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC), testVM("vm-1"), testVM("vm-2")
			former.StartedAtMS = 1
			opt := testOptions()
			opt.Since, opt.Revision, opt.Term = now, 10, 1
			sta := New(opt)
			var starts []Start
			stopped, answers := false, true
			next := former
			next.StartedAtMS = 2
			reduce := func(events ...Event) {
				now = reduceAnswered(sta, now, events, func(eff Effect) []Event {
					switch eff := eff.(type) {
					case Start:
						assert.Assert(t, len(starts) == 0 || stopped, "run %d starts on %s while run 1 is active", eff.Run, eff.VM.ID)
						starts = append(starts, eff)
					case Stop:
						stopped = true
						return []Event{StopAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run}}
					case Poll:
						if answers || eff.VM.ID == oth.ID {
							return []Event{PollAnswered{VM: eff.VM, Sent: now, Report: worker.Report{StartedAtMS: eff.VM.StartedAtMS, Clock: time.Second}}}
						}
					}
					return nil
				})
			}
			reduce(CatalogChanged{testCatalog()}, VMRegistered{former}, JobsLoaded{})
			reduce(JobAccepted{Spec: job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: now, Steps: []job.Step{
				{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, Estimate: time.Second},
			}}, Revision: 11})
			assert.Equal(t, len(starts), 1)
			sent := now
			reduce(VMRegistered{oth})
			answers = false
			reduce(StartAnswered{VM: former, Task: starts[0].Task, Run: 1, Result: worker.ResultOK})
			answers = true
			reduce(tst.event(former, next, sent))
			for range 100 {
				reduce(Tick{})
			}
			assert.Equal(t, len(starts), 2)
		})
	}
}

// TestStartOnUnseenIncarnationBehindPartition guards against two runs of one task: the start is
// answered by an incarnation that the dispatcher hasn't heard of and that is cut off at
// once. The lease that the start began is the longest one there is, as its deadline is
// far ahead on the clock of that incarnation.
func TestStartOnUnseenIncarnationBehindPartition(t *testing.T) {
	fix := newRestartFixture(t)
	restarted := false
	fix.holds = func(eff Effect) bool {
		if _, ok := eff.(Start); ok && !restarted {
			restarted = true
			fix.emu.after(time.Millisecond, func() { fix.emu.crash(fix.first, 0) })
			// The start has arrived, and the registration has not.
			fix.emu.after(emulatedLatency+time.Millisecond/2, func() { fix.first.partitioned = true })
		}
		return false
	}
	fix.emu.submit(fanOut(1, "large", 1, 500, 20*time.Second))
	fix.pass(50 * time.Millisecond)
	assert.Assert(t, fix.first.runs[job.Task{Job: jobName(1)}] != nil, "the next incarnation doesn't run the task")
	fix.emu.heal(fix.oth)
	fix.emu.after(40*time.Second, func() { fix.emu.heal(fix.first) })
	fix.pass(150 * time.Second)
	fix.check(1)
}
