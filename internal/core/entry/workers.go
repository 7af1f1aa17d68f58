package entry

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
)

// workerLostAfter is the time after a worker's last reply by which its tasks
// are guaranteed to have stopped: their lease has expired, with a margin for
// the worker's clock.
const workerLostAfter = TaskLease + 2*time.Second

// pollWorkers polls every worker that runs a task of this entry, which renews
// the tasks' leases, and ends the attempts on lost workers.
func (stp *step) pollWorkers() {
	if stp.now.Sub(stp.st.logProgress.polledAt) < youngPollInterval || stp.st.tasks.Len() == 0 {
		return
	}
	stp.st.logProgress.polledAt = stp.now
	stp.st.logProgress.polls++
	all := stp.st.logProgress.polls%int(pollInterval/youngPollInterval) == 0
	for _, vmID := range stp.busyWorkers(all) {
		stp.pollWorker(vmID)
	}
}

// busyWorkers returns the VMs that run tasks of this entry, sorted: all of
// them, or only those with a young task.
func (stp *step) busyWorkers(all bool) []string {
	var vms []string
	for _, wrk := range stp.runningTasks() {
		if all || stp.now.Sub(wrk.GrantedAt) < youngTaskAge {
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
	reached, ok := stp.st.logProgress.reachedAt.Get(vmID)
	if !ok {
		stp.recordWorkerContact(vmID)
		reached = stp.now
	}
	target, listed := stp.st.fleet.VM(vmID)
	if stp.now.Sub(reached) > workerLostAfter {
		stp.declareWorkerLost(vmID)
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

// recordWorkerContact restarts the time until a worker counts as lost, upon a
// reply of the worker, the start of a task on it, or the first poll.
func (stp *step) recordWorkerContact(vmID string) {
	stp.st.logProgress.reachedAt = stp.st.logProgress.reachedAt.Set(vmID, stp.now)
}

// declareWorkerLost ends the attempts on a worker that has not replied for too
// long.
func (stp *step) declareWorkerLost(vmID string) {
	stp.st.logProgress.reachedAt = stp.st.logProgress.reachedAt.Delete(vmID)
	stp.record("vm", "worker_lost", vmID, "")
	for _, wrk := range stp.runningTasks() {
		if wrk.VM == vmID {
			stp.handleLostAttempt(wrk, "The worker was lost.")
		}
	}
}

// handleLostAttempt continues after an attempt with an unknown outcome.
func (stp *step) handleLostAttempt(wrk work.Work, reason string) {
	stp.release(wrk)
	if wrk.Repeatable {
		stp.retryTask(wrk)
		return
	}
	stp.endTask(wrk, task.StateUnknown, nil, reason+" The task may not be repeated.")
}

func (stp *step) handleWorkerReport(evt event.WorkerReported) {
	if !evt.Reached {
		return
	}
	stp.recordWorkerContact(evt.VM)
	for _, wtk := range evt.Tasks {
		id, ok := stp.st.tasks.Get(wtk.TaskID)
		if !ok {
			continue
		}
		wrk, _ := stp.st.works.Get(id)
		if wrk.Phase == work.PhaseRunning && wrk.VM == evt.VM && wrk.Attempt == wtk.Attempt {
			stp.handleTaskReport(wrk, wtk)
		}
	}
}

func (stp *step) handleTaskReport(wrk work.Work, wtk event.WorkerTask) {
	switch wtk.State {
	case event.WorkerDone:
		stp.release(wrk)
		stp.clearSuspicion(wrk.VM)
		stp.endTask(wrk, task.StateDone, wtk.Result, "")
	case event.WorkerFailed:
		stp.handleTaskFailure(wrk, wtk.Reason)
	case event.WorkerUnknown:
		stp.handleLostAttempt(wrk, "The worker does not know the task.")
	}
}

// failuresBeforeSuspicion is the number of consecutive failures on a worker
// from which they are attributed to the worker rather than to the tasks.
const failuresBeforeSuspicion = 3

// recordFailure counts a failure on a worker and suspects it after several in a
// row. The suspicion doubles with each further failure, so that fewer and fewer
// tasks are spent on probing the worker.
func (stp *step) recordFailure(vmID string) {
	sus, _ := stp.st.suspects.Get(vmID)
	sus.failures++
	stp.st.suspects = stp.st.suspects.Set(vmID, sus)
	if sus.failures >= failuresBeforeSuspicion {
		stp.suspect(vmID)
	}
}

// handleTaskFailure tries a task on another VM, or parks it once it has failed
// on several.
func (stp *step) handleTaskFailure(wrk work.Work, reason string) {
	stp.release(wrk)
	stp.recordFailure(wrk.VM)
	if wrk.Repeatable && len(wrk.Tried)+1 < maxTaskVMs {
		stp.retryTask(wrk)
		return
	}
	stp.parkTask(wrk, "The task failed: "+reason)
}
