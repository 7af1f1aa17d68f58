package entry

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
)

// lostAfter is how long after its last answer a worker's tasks are certainly
// stopped: their lease lapsed, with a margin for the worker's clock.
const lostAfter = TaskLease + 2*time.Second

// pollWorkers asks every worker that runs a task of this entry for news, which
// renews the tasks' leases, and gives up the tasks of workers that are lost.
func (stp *step) pollWorkers() {
	if stp.now.Sub(stp.st.logs.polledAt) < pollYoungEvery || stp.st.tasks.Len() == 0 {
		return
	}
	stp.st.logs.polledAt = stp.now
	stp.st.logs.polls++
	all := stp.st.logs.polls%int(pollEvery/pollYoungEvery) == 0
	for _, vmID := range stp.busyWorkers(all) {
		stp.pollWorker(vmID)
	}
}

// busyWorkers returns the VMs that run tasks of this entry, sorted: all of
// them, or those with a young task.
func (stp *step) busyWorkers(all bool) []string {
	var vms []string
	for _, wrk := range stp.runningTasks() {
		if all || stp.now.Sub(wrk.GrantedAt) < youngFor {
			vms = append(vms, wrk.VM)
		}
	}
	slices.Sort(vms)
	return slices.Compact(vms)
}

func (stp *step) runningTasks() []work.Work {
	var wrks []work.Work
	itr := stp.st.tasks.Iterator()
	for !itr.Done() {
		_, id, _ := itr.Next()
		if wrk, ok := stp.st.works.Get(id); ok && wrk.Phase == work.PhaseRunning {
			wrks = append(wrks, wrk)
		}
	}
	slices.SortFunc(wrks, func(a, b work.Work) int { return int(a.ID) - int(b.ID) })
	return wrks
}

func (stp *step) pollWorker(vmID string) {
	reached, ok := stp.st.logs.reachedAt.Get(vmID)
	if !ok {
		stp.touchWorker(vmID)
		reached = stp.now
	}
	target, listed := stp.st.fleet.VM(vmID)
	if stp.now.Sub(reached) > lostAfter {
		stp.loseWorker(vmID)
		return
	}
	if !listed {
		return
	}
	poll := effect.PollWorker{VM: vmID, Address: target.Address, Lease: TaskLease}
	for _, wrk := range stp.runningTasks() {
		if wrk.VM == vmID {
			poll.Tasks = append(poll.Tasks, effect.TaskAttempt{TaskID: wrk.TaskID, Attempt: wrk.Attempt})
		}
	}
	stp.emit(poll)
}

func (stp *step) touchWorker(vmID string) {
	stp.st.logs.reachedAt = stp.st.logs.reachedAt.Set(vmID, stp.now)
}

func (stp *step) loseWorker(vmID string) {
	stp.st.logs.reachedAt = stp.st.logs.reachedAt.Delete(vmID)
	stp.record("vm", "worker_lost", vmID, "")
	for _, wrk := range stp.runningTasks() {
		if wrk.VM == vmID {
			stp.attemptLost(wrk, "The worker was lost.")
		}
	}
}

// attemptLost goes on after an attempt whose outcome nobody can tell.
func (stp *step) attemptLost(wrk work.Work, reason string) {
	stp.release(wrk)
	if wrk.Repeatable {
		stp.retryTask(wrk)
		return
	}
	stp.endTask(wrk, task.StateUnknown, nil, reason+" The task may not be repeated.")
}

func (stp *step) workerReported(evt event.WorkerReported) {
	if !evt.Reached {
		return
	}
	stp.touchWorker(evt.VM)
	for _, wtk := range evt.Tasks {
		id, ok := stp.st.tasks.Get(wtk.TaskID)
		if !ok {
			continue
		}
		wrk, _ := stp.st.works.Get(id)
		if wrk.Phase == work.PhaseRunning && wrk.VM == evt.VM && wrk.Attempt == wtk.Attempt {
			stp.taskReported(wrk, wtk)
		}
	}
}

func (stp *step) taskReported(wrk work.Work, wtk event.WorkerTask) {
	switch wtk.State {
	case event.WorkerDone:
		stp.release(wrk)
		stp.clearSuspicion(wrk.VM)
		stp.endTask(wrk, task.StateDone, wtk.Result, "")
	case event.WorkerFailed:
		stp.taskFailed(wrk, wtk.Reason)
	case event.WorkerUnknown:
		stp.attemptLost(wrk, "The worker does not know the task.")
	}
}

// failuresBeforeQuarantine is how many tasks must fail on a worker in a row
// before it is the worker's fault rather than the tasks'.
const failuresBeforeQuarantine = 3

// noteFailure keeps new work from a worker on which several tasks in a row have
// failed. The span doubles with each further failure, so the tasks that it gets
// are probes that grow rarer.
func (stp *step) noteFailure(vmID string) {
	sus, _ := stp.st.suspects.Get(vmID)
	sus.failures++
	stp.st.suspects = stp.st.suspects.Set(vmID, sus)
	if sus.failures >= failuresBeforeQuarantine {
		stp.suspect(vmID)
	}
}

// taskFailed tries a task on another VM, or parks it once it has failed on
// several.
func (stp *step) taskFailed(wrk work.Work, reason string) {
	stp.release(wrk)
	stp.noteFailure(wrk.VM)
	if wrk.Repeatable && len(wrk.Tried)+1 < maxTaskTries {
		stp.retryTask(wrk)
		return
	}
	stp.parkTask(wrk, "The task failed: "+reason)
}
