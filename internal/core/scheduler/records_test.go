package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestFinalRecordBeforeProgress guards against a job that has ended and is shown as
// completed only after the progress of all other jobs is stored: a transaction holds
// the progress of 15 jobs, one is in flight at a time, and a dispatcher that is
// behind takes longer for each.
func TestFinalRecordBeforeProgress(t *testing.T) {
	const jobs = 100
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Term, opt.MachineOrdersPerSecond = now, 1, 0
	sta := New(opt)
	vm := testVM("vm-1")
	vm.Capacity = job.Size{CPU: 1_000_000, Memory: 1_000_000}
	var effects []Effect
	reduce := func(span time.Duration, events ...Event) {
		now = now.Add(span)
		effects = sta.Reduce(now, append(events, JobWatchProgressed{At: now}))
	}
	report := func(ends []worker.End) PollAnswered {
		return PollAnswered{VM: vm, Sent: now, Report: worker.Report{StartedAtMS: 1, Clock: time.Second, Ends: ends}}
	}
	reduce(0, CatalogChanged{Catalog: testCatalog()}, VMRegistered{VM: vm}, JobsLoaded{})
	reduce(0, report(nil))
	var ends []worker.End
	for i := range jobs {
		spe := fanOut(i+1, "large", 1, 500, time.Second)
		if i == jobs-1 {
			spe.Steps = spe.Steps[:1]
		}
		spe.Accepted = now
		reduce(time.Millisecond, JobAccepted{Spec: spe, Revision: 2})
		for _, eff := range effects {
			if sta, ok := eff.(Start); ok {
				ends = append(ends, worker.End{Number: int64(len(ends) + 1), Task: sta.Task, Run: sta.Run, Kind: worker.EndDone})
			}
		}
		reduce(time.Millisecond, StartAnswered{VM: vm, Task: ends[i].Task, Run: ends[i].Run})
	}
	// All jobs but the last have progress that is due.
	reduce(time.Millisecond, report(ends[:jobs-1]))
	reduce(saveDelay)
	reduce(time.Millisecond, report(ends))
	last := ends[jobs-1].Task.Job
	assert.Equal(t, sta.jobs[last].final, job.StateCompleted)
	for commit := 1; ; commit++ {
		reduce(20*time.Millisecond, Committed{Revision: 9})
		for _, eff := range effects {
			com, ok := eff.(Commit)
			if !ok {
				continue
			}
			for _, put := range com.Txn.Puts {
				if put.Key == job.EndedKey(last) {
					assert.Equal(t, commit, 1, "the transaction with the final record, from the job's end on")
					return
				}
			}
		}
		assert.Assert(t, commit < jobs)
	}
}

// TestRecordsKeepUp guards against jobs that have ended and are shown as completed
// seconds later: with one transaction of five final records in flight, a dispatcher
// whose writes take 60 ms stores 83 records a second, and others queue.
func TestRecordsKeepUp(t *testing.T) {
	const write, between = 60 * time.Millisecond, 8 * time.Millisecond
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Term, opt.MachineOrdersPerSecond = now, 1, 0
	sta := New(opt)
	vm := testVM("vm-1")
	sta.Reduce(now, []Event{CatalogChanged{Catalog: testCatalog()}, VMRegistered{VM: vm}, JobsLoaded{}})
	answers := map[time.Time][]Event{}
	var worst time.Duration
	for i := range 300 {
		now = now.Add(between)
		spe := fanOut(i+1, "large", 1, 500, time.Second)
		spe.Accepted = now
		events := append(answers[now], JobAccepted{Spec: spe, Revision: 2}, JobWatchProgressed{At: now})
		sta.Reduce(now, events)
		// Any end of a job is stored in the same way.
		sta.finish(sta.jobs[spe.ID], job.StateFailed, reasonAttempts)
		for _, eff := range sta.Reduce(now, []Event{Tick{}}) {
			if com, ok := eff.(Commit); ok {
				at := now.Add(write).Truncate(between)
				answers[at] = append(answers[at], Committed{Revision: 9, Lane: com.Lane})
			}
		}
		for _, liv := range sta.jobList {
			if !liv.dirtySince.IsZero() {
				worst = max(worst, now.Sub(liv.dirtySince))
			}
		}
	}
	assert.Assert(t, worst <= 3*write, "a final record waited for %v to be written", worst)
}
