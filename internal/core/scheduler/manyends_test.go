package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// fullReportFixture is a dispatcher with a task that runs on a VM, which lists as many ends
// of other tasks as a report holds. The store doesn't answer, so that none is acknowledged.
func fullReportFixture(ends int) (fix *repeatFixture, name job.Task) {
	fix = newRepeatFixture()
	spe := func(id job.ID, count int) job.Spec {
		return job.Spec{ID: id, Queue: "gate", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
			{Count: count, Size: job.Size{CPU: 500, Memory: 512}, Estimate: time.Second},
		}}
	}
	fix.reduce(JobAccepted{Spec: spe(jobName(1), 1), Revision: 11})
	fix.answer(worker.ResultOK)
	for i := range ends {
		fix.report.Ends = append(fix.report.Ends, worker.End{Number: int64(i + 1), Task: job.Task{Job: jobName(2), Index: i}, Run: 1, Kind: worker.EndDone})
	}
	name = job.Task{Job: jobName(1)}
	fix.report.Running = []worker.Running{{Task: name, Run: 1}}
	fix.reduce(JobAccepted{Spec: spe(jobName(2), ends), Revision: 12})
	fix.run(200 * time.Millisecond)
	return fix, name
}

func (fix *repeatFixture) startsOf(name job.Task) (n int) {
	for _, sta := range fix.starts {
		if sta.Task == name {
			n++
		}
	}
	return n
}

// TestEndBeyondFullReportRunsNoTaskTwice guards against a task that runs again though it is
// done: its VM lists 500 ends at a time, and the end of the run is behind those that
// are not acknowledged yet.
func TestEndBeyondFullReportRunsNoTaskTwice(t *testing.T) {
	fix, name := fullReportFixture(worker.MaxEnds)
	fix.report.Running = nil
	fix.run(time.Second)
	assert.Equal(t, fix.startsOf(name), 1, "the task starts again before the end of its run is listed")
	// The end is listed once others have been acknowledged.
	fix.report.Ends = []worker.End{{Number: worker.MaxEnds + 1, Task: name, Run: 1, Kind: worker.EndDone}}
	fix.run(time.Second)
	assert.Equal(t, fix.startsOf(name), 1)
	assert.Equal(t, fix.sta.jobs[name.Job].final, job.StateCompleted)
}

// TestRunMissingBesideLastEnds guards against a run that is kept for ever because its VM has
// ends: as soon as a report lists all of them, a run that is missing is over.
func TestRunMissingBesideLastEnds(t *testing.T) {
	fix, name := fullReportFixture(worker.MaxEnds)
	fix.report.Running = nil
	fix.report.Ends = fix.report.Ends[1:]
	fix.run(time.Second)
	assert.Equal(t, fix.startsOf(name), 2)
}

// TestFullReportAfterTakeoverRunsNoTaskTwice guards against the same after a takeover: the
// next dispatcher has seen the first 500 ends of a VM, and starts a task whose end is
// behind them.
func TestFullReportAfterTakeoverRunsNoTaskTwice(t *testing.T) {
	fix := &repeatFixture{now: time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC), vm: testVM("vm-1")}
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = fix.now, 20, 2
	fix.sta = New(opt)
	fix.report = worker.Report{StartedAtMS: fix.vm.StartedAtMS, Clock: time.Minute}
	spe := func(id job.ID, count int) job.Spec {
		return job.Spec{ID: id, Queue: "gate", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
			{Count: count, Size: job.Size{CPU: 500, Memory: 512}, Estimate: time.Second},
		}}
	}
	for i := range worker.MaxEnds {
		fix.report.Ends = append(fix.report.Ends, worker.End{Number: int64(i + 1), Task: job.Task{Job: jobName(2), Index: i}, Run: 1, Kind: worker.EndDone})
	}
	fix.reduce(CatalogChanged{testCatalog()}, JobAccepted{Spec: spe(jobName(1), 1), Revision: 11}, JobAccepted{Spec: spe(jobName(2), worker.MaxEnds), Revision: 12}, VMRegistered{fix.vm}, JobsLoaded{})
	fix.run(10 * time.Second)
	assert.Equal(t, fix.startsOf(job.Task{Job: jobName(1)}), 0, "the task starts, and its end may not be listed yet")
	// They are stored and acknowledged.
	fix.report.Ends = nil
	fix.reduce(Committed{Revision: 30})
	fix.run(time.Second)
	assert.Equal(t, fix.startsOf(job.Task{Job: jobName(1)}), 1, "the task doesn't start, and all ends are listed")
}
