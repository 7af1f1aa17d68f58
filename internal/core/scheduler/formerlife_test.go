package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestStartForFormerLifeRunsNoTaskTwice guards against a task that runs twice: a start
// without an answer reaches the next life of its VM, under the same ID, after the task
// has started elsewhere.
func TestStartForFormerLifeRunsNoTaskTwice(t *testing.T) {
	for _, noticedBy := range []string{"registration", "report", "list"} {
		for _, late := range []bool{false, true} {
			now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
			opt := testOptions()
			opt.Since, opt.Revision, opt.Term = now, 10, 1
			sta := New(opt)
			one, oth := testVM("vm-1"), testVM("vm-2")
			oth.Capacity = job.Size{CPU: 1000, Memory: 32_768}
			spe := fanOut(1, "large", 1, 4000, 20*time.Second)
			spe.Accepted = now
			name := job.Task{Job: spe.ID}
			rejected, running := 0, map[int]bool{}
			var starts []Start
			reduce := func(events ...Event) {
				now = now.Add(10 * time.Millisecond)
				effects := sta.Reduce(now, append(events, JobWatchProgressed{At: now}))
				for len(effects) > 0 {
					var answers []Event
					for _, eff := range effects {
						switch eff := eff.(type) {
						case Start:
							starts = append(starts, eff)
							if len(starts) > 1 {
								assert.Assert(t, !running[starts[0].Run], "%s: run %d starts on %s while run 1 is active", noticedBy, eff.Run, eff.VM.ID)
								assert.Assert(t, rejected > 0, "%s: run %d starts on %s before the late start is rejected", noticedBy, eff.Run, eff.VM.ID)
							}
						case Stop:
							assert.Equal(t, eff.VM.StartedAtMS, int64(2))
							rejected = max(rejected, eff.Run)
							delete(running, eff.Run)
							answers = append(answers, StopAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run})
						case Poll:
							vm, rep := one, worker.Report{Clock: time.Second}
							if eff.VM.ID == oth.ID {
								vm = oth
							}
							rep.StartedAtMS = vm.StartedAtMS
							if run := 1; vm.ID == one.ID && running[run] {
								rep.Running = append(rep.Running, worker.Running{Task: name, Run: run})
							}
							answers = append(answers, PollAnswered{VM: eff.VM, Sent: now, Report: rep})
						}
					}
					effects = nil
					if len(answers) > 0 {
						now = now.Add(time.Millisecond)
						effects = sta.Reduce(now, answers)
					}
				}
			}
			reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, VMRegistered{oth}, JobsLoaded{})
			reduce(JobAccepted{Spec: spe, Revision: 11})
			assert.Equal(t, len(starts), 1)
			former := one
			one.StartedAtMS = 2
			oth.Capacity = testVM("").Capacity
			running[1] = late
			switch noticedBy {
			case "registration":
				reduce(VMRegistered{oth}, VMRegistered{one})
			case "report":
				reduce(VMRegistered{oth}, StartAnswered{VM: former, Task: name, Run: 1, Result: worker.ResultUnknown})
			case "list":
				reduce(VMRegistered{oth}, PollAnswered{VM: former, Sent: now, Result: worker.ResultOtherIncarnation}, VMRegistered{one})
			}
			for range 100 {
				reduce(Tick{})
			}
			assert.Assert(t, len(starts) > 1 || late && len(starts) == 1, "%s: the task isn't started again", noticedBy)
		}
	}
}
