package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/settle"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// servingFixture is a dispatcher with one VM and a step of serving tasks of which one
// may be unavailable.
type servingFixture struct {
	*repeatFixture
	job job.ID
}

func newServingFixture(count int) *servingFixture {
	fix := &servingFixture{repeatFixture: newRepeatFixture(), job: jobName(1)}
	fix.reduce(JobAccepted{Spec: job.Spec{ID: fix.job, Queue: "settle", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: count, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
	}}, Revision: 11})
	return fix
}

func (fix *servingFixture) task(index int) job.Task { return job.Task{Job: fix.job, Index: index} }

// working sets the VM's report to working runs of some tasks.
func (fix *servingFixture) working(indices ...int) {
	fix.report.Running = nil
	for _, index := range indices {
		fix.report.Running = append(fix.report.Running, worker.Running{Task: fix.task(index), Run: 1, Percent: percentWorking})
	}
}

// answerFirst answers the first starts of some tasks.
func (fix *servingFixture) answerFirst(res worker.Result, indices ...int) {
	for _, index := range indices {
		fix.reduce(StartAnswered{VM: fix.vm, Task: fix.task(index), Run: 1, Result: res})
	}
}

// loseStarts leaves all starts of a task without an answer for a time, and returns how
// many there were.
func (fix *servingFixture) loseStarts(index int, span time.Duration) (lost int) {
	seen := 0
	for end := fix.now.Add(span); fix.now.Before(end); {
		for ; seen < len(fix.starts); seen++ {
			if sta := fix.starts[seen]; sta.Task == fix.task(index) {
				lost++
				fix.reduce(StartAnswered{VM: sta.VM, Task: sta.Task, Run: sta.Run, Result: worker.ResultUnknown})
			}
		}
		fix.run(100 * time.Millisecond)
	}
	return lost
}

// TestUnansweredStartIsNotStoppedBeyondBudget guards against a serving task that ends
// while too many others of its step are unavailable: its start and the repeats of it
// got no answer, one of them was carried out late, and the stop that followed ended it.
func TestUnansweredStartIsNotStoppedBeyondBudget(t *testing.T) {
	fix := newServingFixture(3)
	assert.Equal(t, len(fix.starts), 3)
	fix.working(0)
	fix.answerFirst(worker.ResultOK, 0)
	fix.answerFirst(worker.ResultUnknown, 1, 2)
	lost := fix.loseStarts(2, 5*time.Second)
	assert.Equal(t, fix.stops, 0)
	assert.Assert(t, lost > settle.MaxRepeats+1, "the start was sent %d times", lost)
	fix.working(0, 2)
	fix.run(5 * time.Second)
	assert.Equal(t, fix.stops, 0)
	assert.Equal(t, fix.starts[len(fix.starts)-1].Run, 1)
}

// TestStopOfUnansweredStartIsWithdrawn guards against a serving task that is ended by
// the second stop of its start: the first got no answer, and the task has begun to work
// in the meantime.
func TestStopOfUnansweredStartIsWithdrawn(t *testing.T) {
	fix := newServingFixture(3)
	fix.working(0, 1)
	fix.answerFirst(worker.ResultOK, 0, 1)
	fix.stopResult = worker.ResultUnknown
	for fix.stops == 0 {
		fix.loseStarts(2, 100*time.Millisecond)
	}
	fix.working(0, 1, 2)
	fix.run(100 * time.Millisecond)
	fix.working(0, 2)
	fix.run(10 * time.Second)
	assert.Equal(t, fix.stops, 1)
	assert.Equal(t, fix.sta.hosts[fix.vm.ID].runs[fix.task(2)].state, runRunning)
}

// TestTaskOfSilentStartsMovesOn guards against a serving task that waits for a VM which
// answers polls and no start, while too many others of its step are unavailable.
func TestTaskOfSilentStartsMovesOn(t *testing.T) {
	fix := newServingFixture(3)
	fix.answerFirst(worker.ResultUnknown, 0, 1, 2)
	fix.loseStarts(2, 3*latestart.MaxDelay)
	assert.Equal(t, fix.stops, 0)
	assert.Assert(t, fix.starts[len(fix.starts)-1].Run > 1)
}

// TestStopAfterRefusedRepeatKeepsBudget guards against a serving task that ends while too
// many others of its step are unavailable: its first start got no answer and was carried
// out late, and the repeat was refused, so that the run was stopped.
func TestStopAfterRefusedRepeatKeepsBudget(t *testing.T) {
	fix := newServingFixture(3)
	fix.reduce(StartAnswered{VM: fix.vm, Task: fix.task(2), Run: 1, Result: worker.ResultUnhealthy, Unanswered: true})
	fix.run(2 * time.Second)
	fix.working(2)
	fix.run(2 * time.Second)
	assert.Equal(t, fix.stops, 0)
	assert.Equal(t, fix.sta.hosts[fix.vm.ID].runs[fix.task(2)].state, runRunning)
}

// TestStopOfRelocationKeepsBudget guards against a serving task that is ended by the
// second stop of its relocation: the first got no answer, and another task of the step
// has become unavailable in the meantime.
func TestStopOfRelocationKeepsBudget(t *testing.T) {
	fix := newServingFixture(3)
	fix.working(0, 1, 2)
	fix.answerFirst(worker.ResultOK, 0, 1, 2)
	fix.run(time.Second)
	fix.stopResult = worker.ResultUnknown
	fix.reduce(
		MachinesListed{RequestedAt: fix.now, Machines: []worker.Machine{{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: fix.vm.ID}}},
		WaveRequested{Wave: upkeep.Wave{Number: 1, Machines: []string{"m-1"}, Duration: time.Minute, Cap: 1}},
	)
	for range 100 {
		if fix.stops > 0 {
			break
		}
		fix.run(10 * time.Millisecond)
	}
	assert.Equal(t, fix.stops, 1)
	fix.working(0, 1)
	fix.run(5 * time.Second)
	assert.Equal(t, fix.stops, 1)
}
