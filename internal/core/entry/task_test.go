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

// withWorkers is a small deployment with workers.
func withWorkers() shape {
	shp := small
	shp.workers = 3
	return shp
}

// accepted returns the ID of a task that was accepted under a name.
func (drv *driver) accepted(t *testing.T, name string) string {
	t.Helper()
	assert.Equal(t, drv.told[name].outcome, outcome.Accepted, "%s: %v", name, drv.told[name])
	return string(drv.told[name].code)
}

// stateOf asks any live node for a task.
func (drv *driver) stateOf(taskID, team string) task.State {
	for _, nod := range drv.nodes {
		if nod.alive {
			drv.askTask(nod, "state of "+taskID, team, taskID)
			drv.run(time.Second)
			return drv.told["state of "+taskID].state
		}
	}
	return ""
}

func TestTaskIsRunAndItsResultCanBeAskedFor(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.submit(drv.nodes[0], "a", "big", "once")
	drv.run(3 * time.Second)
	id := drv.accepted(t, "a")
	for _, nod := range drv.nodes {
		drv.askTask(nod, "ask "+nod.id, "big", id)
		drv.askTask(nod, "spy "+nod.id, "tiny", id)
		drv.run(time.Second)
		assert.Equal(t, drv.told["ask "+nod.id].state, task.StateDone)
		assert.Equal(t, drv.told["spy "+nod.id].code, outcome.CodeUnknownTask)
	}
	assert.Equal(t, len(drv.taskRuns[id]), 1)
}

// TestTaskOutlivesItsEntry loses the entry at each millisecond around the steps
// of a task that may not be repeated: before and after it is recorded, started
// and ended.
func TestTaskOutlivesItsEntry(t *testing.T) {
	for at := time.Duration(0); at <= 400*time.Millisecond; at += 7 * time.Millisecond {
		drv := deploy(t, uint64(at), withWorkers())
		drv.span = func(string) time.Duration { return 150 * time.Millisecond }
		drv.submit(drv.nodes[0], "a", "big", "once")
		drv.run(at)
		drv.kill(drv.nodes[0])
		drv.run(30 * time.Second)
		tld, answered := drv.told["a"]
		if !answered || tld.outcome != outcome.Accepted {
			continue
		}
		id := drv.accepted(t, "a")
		state := drv.stateOf(id, "big")
		assert.Assert(t, state.IsFinal(), "lost after %s: %q", at, state)
		assert.Assert(t, len(drv.taskRuns[id]) <= 1, "lost after %s: started on %v", at, drv.taskRuns[id])
	}
}

func TestLostWorker(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.span = func(string) time.Duration { return 20 * time.Second }
	drv.submit(drv.nodes[0], "once", "big", "once")
	drv.submit(drv.nodes[1], "again", "big", "again")
	drv.run(3 * time.Second)
	once, again := drv.accepted(t, "once"), drv.accepted(t, "again")
	assert.Equal(t, len(drv.taskRuns[once]), 1)
	drv.worker(drv.taskRuns[once][0]).lost = true
	drv.worker(drv.taskRuns[again][0]).lost = true
	drv.run(40 * time.Second)
	assert.Equal(t, drv.stateOf(once, "big"), task.StateUnknown)
	assert.Equal(t, len(drv.taskRuns[once]), 1)
	assert.Equal(t, drv.stateOf(again, "big"), task.StateDone)
	assert.Equal(t, len(drv.taskRuns[again]), 2)
}

// TestWorkerThatFailsEverythingGetsLittleWork compares the starts on a failing
// worker with the third of all starts that it would get.
func TestWorkerThatFailsEverythingGetsLittleWork(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.worker("wk000").failing = true
	const tasks = 200
	for i := range tasks {
		drv.submit(drv.nodes[i%3], fmt.Sprint(i), "big", "again")
	}
	drv.run(60 * time.Second)
	wasted := 0
	for i := range tasks {
		id := drv.accepted(t, fmt.Sprint(i))
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
	id := drv.accepted(t, "a")
	assert.Equal(t, drv.stateOf(id, "big"), task.StateParked)
	assert.Equal(t, len(drv.taskRuns[id]), 3)
}

func TestSubmissionWhileTheStoreIsDownIsTruthful(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.flt.storeDown = true
	drv.submit(drv.nodes[0], "first", "big", "once")
	drv.run(500 * time.Millisecond)
	drv.submit(drv.nodes[0], "second", "big", "once")
	drv.run(5 * time.Second)
	// The first was in a write whose fate nobody knows; the second in none.
	assert.Equal(t, drv.told["first"].outcome, outcome.Unknown)
	assert.Equal(t, drv.told["second"].outcome, outcome.NotRun)
	drv.flt.storeDown = false
	drv.run(10 * time.Second)
	assert.Equal(t, len(drv.taskRuns), 1, "the first is run now, the second never")
}

func TestCancellationsInAWave(t *testing.T) {
	drv := deploy(t, 1, withWorkers())
	drv.span = func(string) time.Duration { return 30 * time.Second }
	for i := range 60 {
		drv.submit(drv.nodes[0], fmt.Sprint(i), "big", "again")
	}
	drv.run(2 * time.Second)
	nod := drv.nodes[0]
	for i := range 60 {
		nod.next++
		nod.requests[nod.next] = fmt.Sprint("cancel ", i)
		ask := event.TaskCancelled{Request: nod.next, TaskID: drv.accepted(t, fmt.Sprint(i))}
		ask.KeyHash = arrival("big", 0, "").KeyHash
		drv.feed(nod, ask)
	}
	drv.run(2 * time.Second)
	for i := range 60 {
		assert.Equal(t, drv.told[fmt.Sprint("cancel ", i)].state, task.StateCancelled)
	}
	assert.Equal(t, nod.state.Running("big"), 0)
	assert.Equal(t, nod.state.tasks.Len(), 0)
}

// TestWritesStayWithinTheBudget submits far more tasks than the store takes
// writes. At most 100 a second may come from all entries.
func TestWritesStayWithinTheBudget(t *testing.T) {
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
		assert.Equal(t, drv.told[fmt.Sprint(i, 0)].outcome, outcome.Accepted)
	}
}
