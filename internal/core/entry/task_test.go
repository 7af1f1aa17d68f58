package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"gotest.tools/v3/assert"
)

// withWorkers returns a small deployment with workers.
func withWorkers() shape {
	shp := small
	shp.workers = 3
	return shp
}

// acceptedID returns the ID of the accepted task with a name.
func (drv *driver) acceptedID(t *testing.T, name string) string {
	t.Helper()
	assert.Equal(t, drv.reply[name].outcome, outcome.Accepted, "%s: %v", name, drv.reply[name])
	return string(drv.reply[name].code)
}

// stateOf queries the first live node for the state of a task.
func (drv *driver) stateOf(taskID, team string) task.State {
	for _, nod := range drv.nodes {
		if nod.alive {
			drv.queryTask(nod, "state of "+taskID, team, taskID)
			drv.run(time.Second)
			return drv.reply["state of "+taskID].state
		}
	}
	return ""
}

func TestTaskRunsOnceAndStatusIsVisibleToItsTeam(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.submit(drv.nodes[0], "a", "big", "once")
	drv.run(3 * time.Second)
	id := drv.acceptedID(t, "a")
	for _, nod := range drv.nodes {
		drv.queryTask(nod, "own "+nod.id, "big", id)
		drv.queryTask(nod, "other "+nod.id, "tiny", id)
		drv.run(time.Second)
		assert.Equal(t, drv.reply["own "+nod.id].state, task.StateDone)
		assert.Equal(t, drv.reply["other "+nod.id].code, outcome.CodeUnknownTask)
	}
	assert.Equal(t, len(drv.taskRuns[id]), 1)
}

// TestTaskSurvivesLossOfItsEntry kills the entry of a task that is not
// repeatable, in each run 7 ms later than in the last: before and after the task
// is recorded, started and ended. An accepted task must end and start at most
// once.
func TestTaskSurvivesLossOfItsEntry(t *testing.T) {
	for at := time.Duration(0); at <= 400*time.Millisecond; at += 7 * time.Millisecond {
		drv := deploy(t, uint64(at), withWorkers())
		drv.runDuration = func(string) time.Duration { return 150 * time.Millisecond }
		drv.submit(drv.nodes[0], "a", "big", "once")
		drv.run(at)
		drv.kill(drv.nodes[0])
		drv.run(30 * time.Second)
		rpl, answered := drv.reply["a"]
		if !answered || rpl.outcome != outcome.Accepted {
			continue
		}
		id := drv.acceptedID(t, "a")
		state := drv.stateOf(id, "big")
		assert.Assert(t, state.IsFinal(), "lost after %s: %q", at, state)
		assert.Assert(t, len(drv.taskRuns[id]) <= 1, "lost after %s: started on %v", at, drv.taskRuns[id])
	}
}

// TestTasksOfLostWorker checks that a repeatable task of a lost worker runs
// again and that another one ends with an unknown outcome.
func TestTasksOfLostWorker(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.runDuration = func(string) time.Duration { return 20 * time.Second }
	drv.submit(drv.nodes[0], "once", "big", "once")
	drv.submit(drv.nodes[1], "again", "big", "again")
	drv.run(3 * time.Second)
	once, again := drv.acceptedID(t, "once"), drv.acceptedID(t, "again")
	assert.Equal(t, len(drv.taskRuns[once]), 1)
	drv.worker(drv.taskRuns[once][0]).lost = true
	drv.worker(drv.taskRuns[again][0]).lost = true
	drv.run(40 * time.Second)
	assert.Equal(t, drv.stateOf(once, "big"), task.StateUnknown)
	assert.Equal(t, len(drv.taskRuns[once]), 1)
	assert.Equal(t, drv.stateOf(again, "big"), task.StateDone)
	assert.Equal(t, len(drv.taskRuns[again]), 2)
}

// TestFailingWorkerIsQuarantined bounds the tasks started on a failing worker,
// which would otherwise get a third of them.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.worker("wk000").failing = true
	const tasks = 200
	for i := range tasks {
		drv.submit(drv.nodes[i%3], fmt.Sprint(i), "big", "again")
	}
	drv.run(60 * time.Second)
	wasted := 0
	for i := range tasks {
		id := drv.acceptedID(t, fmt.Sprint(i))
		vms := drv.taskRuns[id]
		if vms[0] == "wk000" {
			wasted++
		}
		rec, _ := drv.nodes[i%3].state.log.Stored(id)
		assert.Equal(t, rec.State, task.StateDone, "%s ran on %v", id, vms)
	}
	t.Logf("%d of %d tasks were tried on the failing worker", wasted, tasks)
	assert.Assert(t, wasted <= tasks/6, "%d", wasted)
}

func TestTaskThatFailsEverywhereIsParked(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	for i := range 3 {
		drv.worker(fmt.Sprintf("wk%03d", i)).failing = true
	}
	drv.submit(drv.nodes[0], "a", "big", "again")
	drv.run(20 * time.Second)
	id := drv.acceptedID(t, "a")
	assert.Equal(t, drv.stateOf(id, "big"), task.StateParked)
	assert.Equal(t, len(drv.taskRuns[id]), 3)
}

// TestSubmissionDuringStoreOutage checks that a submission is reported as not
// run only if no write may have stored it.
func TestSubmissionDuringStoreOutage(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.flt.storeDown = true
	drv.submit(drv.nodes[0], "first", "big", "once")
	drv.run(500 * time.Millisecond)
	drv.submit(drv.nodes[0], "second", "big", "once")
	drv.run(5 * time.Second)
	// The first task was in a write without a result; the second was in none.
	assert.Equal(t, drv.reply["first"].outcome, outcome.Unknown)
	assert.Equal(t, drv.reply["second"].outcome, outcome.NotRun)
	drv.flt.storeDown = false
	drv.run(10 * time.Second)
	assert.Equal(t, len(drv.taskRuns), 1, "the first task runs now and the second never")
}

func TestBurstOfCancellations(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.runDuration = func(string) time.Duration { return 30 * time.Second }
	for i := range 60 {
		drv.submit(drv.nodes[0], fmt.Sprint(i), "big", "again")
	}
	drv.run(2 * time.Second)
	nod := drv.nodes[0]
	for i := range 60 {
		nod.lastRequest++
		nod.requests[nod.lastRequest] = fmt.Sprint("cancel ", i)
		evt := event.TaskCancelled{Request: nod.lastRequest, TaskID: drv.acceptedID(t, fmt.Sprint(i))}
		evt.KeyHash = arrival("big", 0, "").KeyHash
		drv.feed(nod, evt)
	}
	drv.run(2 * time.Second)
	for i := range 60 {
		assert.Equal(t, drv.reply[fmt.Sprint("cancel ", i)].state, task.StateCancelled)
	}
	assert.Equal(t, nod.state.Running("big"), 0)
	assert.Equal(t, nod.state.tasks.Len(), 0)
}

// TestStoreWritesStayWithinBudget submits far more tasks per second than the
// store accepts writes. All entries together may write at most 100 times a
// second.
func TestStoreWritesStayWithinBudget(t *testing.T) {
	shp := deployed
	shp.services, shp.workers = 1, 50
	drv := deploy(t, 1, shp)
	drv.kv.writes = 0
	const seconds = 5
	for i := range seconds * 1000 {
		nod := drv.nodes[i%len(drv.nodes)]
		drv.after(time.Duration(i)*time.Millisecond, func() {
			for k := range 3 {
				drv.submit(nod, fmt.Sprint(i, k), "t1", "again")
			}
		})
	}
	drv.run(seconds * time.Second)
	t.Logf("%d writes for %d tasks in %d s", drv.kv.writes, 3*seconds*1000, seconds)
	assert.Assert(t, drv.kv.writes <= 100*seconds, "%d writes", drv.kv.writes)
	drv.run(2 * time.Second)
	for i := range seconds * 1000 {
		assert.Equal(t, drv.reply[fmt.Sprint(i, 0)].outcome, outcome.Accepted)
	}
}
