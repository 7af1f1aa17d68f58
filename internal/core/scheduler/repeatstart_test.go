package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/settle"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// repeatFixture is a dispatcher with one VM, whose starts the test answers and whose
// report it sets.
type repeatFixture struct {
	sta    *State
	now    time.Time
	vm     worker.VM
	starts []Start
	stops  int
	// stopResult is the answer to stops.
	stopResult worker.Result
	report     worker.Report
}

func newRepeatFixture() *repeatFixture {
	fix := &repeatFixture{now: time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC), vm: testVM("vm-1")}
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = fix.now, 10, 1
	fix.sta = New(opt)
	fix.report = worker.Report{StartedAtMS: fix.vm.StartedAtMS, Clock: time.Second}
	fix.reduce(CatalogChanged{testCatalog()}, VMRegistered{fix.vm}, JobsLoaded{})
	return fix
}

// reduce passes events and answers all polls and stops.
func (fix *repeatFixture) reduce(events ...Event) {
	fix.now = reduceAnswered(fix.sta, fix.now, events, func(eff Effect) []Event {
		switch eff := eff.(type) {
		case Start:
			fix.starts = append(fix.starts, eff)
		case Stop:
			fix.stops++
			return []Event{StopAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run, Result: fix.stopResult}}
		case Poll:
			return []Event{PollAnswered{VM: eff.VM, Sent: fix.now, Report: fix.report}}
		}
		return nil
	})
}

// reduceAnswered passes events to a dispatcher 10 ms after a time, and then the answers
// to its effects, until there are none. It returns the time of the last.
func reduceAnswered(sta *State, now time.Time, events []Event, answer func(Effect) []Event) time.Time {
	now = now.Add(10 * time.Millisecond)
	events = append(events, JobWatchProgressed{At: now})
	for len(events) > 0 {
		effects := sta.Reduce(now, events)
		events = nil
		for _, eff := range effects {
			events = append(events, answer(eff)...)
		}
		now = now.Add(time.Millisecond)
	}
	return now
}

func (fix *repeatFixture) run(span time.Duration) {
	for end := fix.now.Add(span); fix.now.Before(end); {
		fix.reduce(Tick{})
	}
}

// answer answers the last start.
func (fix *repeatFixture) answer(res worker.Result) {
	sta := fix.starts[len(fix.starts)-1]
	fix.reduce(StartAnswered{VM: sta.VM, Task: sta.Task, Run: sta.Run, Result: res})
}

func (fix *repeatFixture) submitServing() job.Task {
	spe := job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
	}}
	fix.reduce(JobAccepted{Spec: spe, Revision: 11})
	return job.Task{Job: spe.ID}
}

// TestLateStartOfServingTaskIsNotStopped guards against serving tasks that a stop
// ends when too many others of their step are away: the stop was meant for a start
// without an answer, which the VM carried out late.
func TestLateStartOfServingTaskIsNotStopped(t *testing.T) {
	fix := newRepeatFixture()
	name := fix.submitServing()
	assert.Equal(t, len(fix.starts), 1)
	fix.answer(worker.ResultUnknown)
	fix.run(500 * time.Millisecond)
	assert.Equal(t, len(fix.starts), 2)
	assert.Equal(t, fix.starts[1].Run, fix.starts[0].Run)
	fix.report.Running = []worker.Running{{Task: name, Run: 1, Percent: 100}}
	fix.answer(worker.ResultOK)
	fix.run(10 * time.Second)
	assert.Equal(t, fix.stops, 0)
	assert.Equal(t, len(fix.starts), 2)
}

// TestRepeatedStartOfEndedRun guards against a task that runs again though it is done:
// a start without an answer is carried out late, and its run ends before the repeated
// start arrives, which is refused as old.
func TestRepeatedStartOfEndedRun(t *testing.T) {
	fix := newRepeatFixture()
	fix.reduce(JobAccepted{Spec: job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, Estimate: 100 * time.Millisecond},
	}}, Revision: 11})
	fix.answer(worker.ResultUnknown)
	fix.run(500 * time.Millisecond)
	assert.Equal(t, len(fix.starts), 2)
	fix.report.Ends = []worker.End{{Number: 1, Task: fix.starts[0].Task, Run: 1, Kind: worker.EndDone}}
	fix.answer(worker.ResultOldRun)
	fix.run(5 * time.Second)
	assert.Equal(t, len(fix.starts), 2)
	assert.Equal(t, fix.sta.jobs[jobName(1)].final, job.StateCompleted)
}

// TestStartIsNotRepeatedForEver guards against a task that waits for a VM that answers
// polls and never a start.
func TestStartIsNotRepeatedForEver(t *testing.T) {
	fix := newRepeatFixture()
	fix.submitServing()
	for range settle.MaxRepeats {
		fix.answer(worker.ResultUnknown)
		fix.run(500 * time.Millisecond)
	}
	assert.Equal(t, fix.stops, 0)
	fix.answer(worker.ResultUnknown)
	fix.run(500 * time.Millisecond)
	assert.Equal(t, fix.stops, 1)
	assert.Equal(t, fix.starts[len(fix.starts)-1].Run, 2)
}
