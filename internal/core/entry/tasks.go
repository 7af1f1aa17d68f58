package entry

import (
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/benbjohnson/immutable"
)

// Limits and intervals of tasks.
const (
	// TaskLease is the time that a worker runs a task without a renewal.
	TaskLease = 5 * time.Second
	// pollInterval is the time between two polls of a worker. youngPollInterval
	// applies to a worker with a task younger than youngTaskAge: many tasks are
	// short, and their slot and permit stay in use until a poll reports their
	// end.
	pollInterval      = time.Second
	youngPollInterval = 200 * time.Millisecond
	youngTaskAge      = 2 * time.Second
	// maxTaskVMs is the number of VMs that a task may fail on before it is
	// parked.
	maxTaskVMs = 3
	// rewriteDelay is the wait before a write without a result is repeated.
	rewriteDelay = 200 * time.Millisecond
	// logWritePercent is the part of the write budget for the task logs. The
	// rest is for leases, fences and edits.
	logWritePercent = 90
	percent         = 100
	// acceptTimeout is the time that a submitter waits for the store.
	acceptTimeout = 3 * time.Second
)

// logState is the progress of everything that the task log needs besides its
// records: its fence, its writes, the adoption of other logs, and the polls of
// workers.
type logState struct {
	lastTask uint64
	// fence is the modification revision of the entry's fence, or 0 while it
	// has none.
	fence        int64
	fencePending bool
	fenceTriedAt time.Time
	// writing is set while a write of the segment in flight has no result.
	writing   bool
	rewriteAt time.Time
	// compacting is set if the segment in flight replaces all earlier ones.
	compacting bool
	// adopting is the owner of the log that the segment in flight adopts, and
	// adoptingFence the revision of its fence.
	adopting          string
	adoptingFence     int64
	adoptionCheckedAt time.Time
	// members lists the members with a lease, as last read.
	members []string
	// submitters maps a task to the request that waits for its acceptance.
	submitters *immutable.SortedMap[string, submitter]
	polledAt   time.Time
	// polls counts the rounds of polls.
	polls int
	// reachedAt maps a VM to the time from which its silence counts: its last
	// reply to a poll, or the last start of a task on it if that is later.
	reachedAt *immutable.SortedMap[string, time.Time]
}

// submitter is a request that waits for the acceptance of its task.
type submitter struct {
	request uint64
	since   time.Time
}

func newLogState() logState {
	return logState{
		submitters: immutable.NewSortedMap[string, submitter](nil),
		reachedAt:  immutable.NewSortedMap[string, time.Time](nil),
	}
}

func (stp *step) handleTaskSubmitted(evt event.TaskSubmitted) {
	rou, ok := stp.st.config.Route(evt.Queue)
	if !ok || rou.Kind != table.KindTask {
		stp.refuseUnrouted(evt.Request)
		return
	}
	team, refusal := stp.authorize(rou, evt.KeyHash)
	if refusal == nil {
		refusal = stp.taskRefusal(rou, evt)
	}
	if refusal != nil {
		stp.refuse(evt.Request, *refusal)
		return
	}
	stp.st.logProgress.lastTask++
	rec := task.Record{
		ID:       fmt.Sprintf("%s.%d", stp.st.settings.ID, stp.st.logProgress.lastTask),
		Team:     team,
		Queue:    rou.Name,
		Payload:  evt.Payload,
		State:    task.StateWaiting,
		Accepted: stp.now,
		Deadline: stp.now.Add(time.Duration(rou.Deadline)),
	}
	stp.st.log = stp.st.log.WithPending(rec)
	stp.st.logProgress.submitters = stp.st.logProgress.submitters.Set(rec.ID, submitter{evt.Request, stp.now})
	stp.flushLog()
}

// taskRefusal returns the refusal of a submitted task, or nil if the entry takes
// it.
func (stp *step) taskRefusal(rou table.Route, evt event.TaskSubmitted) *outcome.Refusal {
	poo, _ := stp.st.config.Pool(rou.Pool)
	own := stp.pool(rou.Pool)
	switch {
	case stp.st.view.Leaving():
		return notRun(outcome.CodeShuttingDown, "The entry is shutting down.")
	case !stp.st.view.IsFresh(stp.now, stp.st.config):
		return notRun(outcome.CodeNoFreshConfig, "The entry's configuration is not fresh.")
	case int64(len(evt.Payload)) > rou.MaxBodyBytes:
		return notRun(outcome.CodeBodyTooLarge, "The payload is larger than the queue allows.")
	case own.queue.Len()+stp.st.log.PendingCount() >= poo.MaxWaiting:
		return notRun(outcome.CodePoolFull, "Too much work waits for the pool.")
	default:
		return nil
	}
}

func (stp *step) tickTasks() {
	stp.createFence()
	stp.flushLog()
	stp.expireSubmitters()
	stp.pollWorkers()
	stp.checkAdoption()
}

// recordStored handles one record that is now in the store.
func (stp *step) recordStored(rec task.Record) {
	id, known := stp.st.tasks.Get(rec.ID)
	if !known {
		stp.activateTask(rec)
		return
	}
	wrk, _ := stp.st.works.Get(id)
	switch {
	case rec.State.IsFinal():
		stp.forget(wrk)
	case wrk.Phase == work.PhaseRecording && rec.Attempt == wrk.Attempt:
		stp.startTask(wrk)
	}
}

// activateTask creates the work of a task that is in the store, which is new or
// comes from an adopted log.
func (stp *step) activateTask(rec task.Record) {
	if sub, ok := stp.st.logProgress.submitters.Get(rec.ID); ok {
		stp.st.logProgress.submitters = stp.st.logProgress.submitters.Delete(rec.ID)
		stp.emit(effect.AcceptTask{Request: sub.request, TaskID: rec.ID})
		stp.record("task", "task_accepted", rec.ID, rec.Queue)
	}
	if rec.State.IsFinal() {
		return
	}
	rou, ok := stp.st.config.Route(rec.Queue)
	if !ok {
		stp.st.log = stp.st.log.WithPending(rec.WithEnd(task.StateParked, nil, "The queue was removed.", stp.now))
		return
	}
	wrk := stp.newWork(rou, rec.Team, "")
	wrk.TaskID = rec.ID
	wrk.Payload = rec.Payload
	wrk.Repeatable = rou.Repeatable
	wrk.Arrived, wrk.Deadline = rec.Accepted, rec.Deadline
	wrk.Attempt, wrk.VM, wrk.Tried = rec.Attempt, rec.VM, rec.Tried
	stp.st.tasks = stp.st.tasks.Set(rec.ID, wrk.ID)
	if rec.State == task.StateRunning {
		stp.putWork(wrk.WithPhase(work.PhaseRunning))
		stp.acquire(wrk)
		return
	}
	stp.enqueue(wrk)
}

// recordTaskStart records an attempt before it is made, so that an entry that
// adopts the task knows that it may be running.
func (stp *step) recordTaskStart(wrk work.Work, slt work.Slot) {
	rec, ok := stp.st.log.Latest(wrk.TaskID)
	if !ok {
		return
	}
	wrk = wrk.WithStart(slt, work.PhaseRecording)
	stp.putWork(wrk)
	stp.acquire(wrk)
	rec.State, rec.Attempt, rec.VM, rec.Tried = task.StateRunning, wrk.Attempt, wrk.VM, wrk.Tried
	stp.st.log = stp.st.log.WithPending(rec)
	stp.flushLog()
}

// startTask sends a task to its worker if the VM may still be used.
func (stp *step) startTask(wrk work.Work) {
	target, ok := stp.usableVM(wrk.Pool, wrk.VM)
	if !ok {
		stp.release(wrk)
		stp.retryTask(wrk)
		return
	}
	wrk = wrk.WithPhase(work.PhaseRunning)
	stp.putWork(wrk)
	stp.recordWorkerContact(wrk.VM)
	stp.record("task", "task_started", wrk.TaskID, wrk.VM)
	stp.emit(effect.StartTask{
		Work: wrk.ID, TaskID: wrk.TaskID, Attempt: wrk.Attempt, VM: target.ID,
		Address: target.Address, Payload: wrk.Payload, Queue: wrk.Route, Lease: TaskLease,
	})
}

// handleTaskStartEnded retries a task that its worker has certainly not
// accepted. In all other cases the polls of the worker report the task's state.
func (stp *step) handleTaskStartEnded(evt event.TaskStartEnded) {
	wrk, ok := stp.st.works.Get(evt.Work)
	if !ok || wrk.Phase != work.PhaseRunning || wrk.Attempt != evt.Attempt || !evt.NotAccepted {
		return
	}
	stp.suspect(wrk.VM)
	stp.release(wrk)
	stp.retryTask(wrk)
}

// retryTask schedules a task for another VM.
func (stp *step) retryTask(wrk work.Work) {
	at := stp.now.Add(stp.jitter(maxRetryBackoff))
	wrk = wrk.WithRetry(at)
	stp.putWork(wrk)
	stp.st.delayed = stp.st.delayed.Set(timer{at, wrk.ID}, struct{}{})
}

// endTask records the end of a task. The work is dropped once the record is in
// the store.
func (stp *step) endTask(wrk work.Work, sta task.State, result []byte, reason string) {
	rec, ok := stp.st.log.Latest(wrk.TaskID)
	if !ok || rec.State.IsFinal() {
		return
	}
	stp.dequeue(wrk)
	stp.putWork(wrk.WithPhase(work.PhaseReporting))
	stp.st.log = stp.st.log.WithPending(rec.WithEnd(sta, result, reason, stp.now))
	stp.record("task", "task_"+string(sta), wrk.TaskID, reason)
	stp.flushLog()
}

func (stp *step) parkTask(wrk work.Work, reason string) {
	stp.endTask(wrk, task.StateParked, nil, reason)
}

// expireSubmitters replies to the submitters whose task is not in the store in
// time. A record that was in no write is dropped, and the task is guaranteed
// not to be accepted.
func (stp *step) expireSubmitters() {
	itr := stp.st.logProgress.submitters.Iterator()
	for !itr.Done() {
		id, sub, _ := itr.Next()
		if stp.now.Sub(sub.since) < acceptTimeout {
			continue
		}
		stp.st.logProgress.submitters = stp.st.logProgress.submitters.Delete(id)
		next, removed := stp.st.log.WithoutPending(id)
		if removed {
			stp.st.log = next
			stp.refuseNotRun(sub.request, outcome.CodeStoreUnavailable, "The store did not take the task.")
			continue
		}
		stp.refuse(sub.request, outcome.Refusal{
			Outcome: outcome.Unknown, Code: outcome.CodeAcceptanceUnknown,
			Message: "The store did not say whether it took task " + id + ".",
		})
	}
}

func (stp *step) handleTaskCancelled(evt event.TaskCancelled) {
	rec, ok := stp.st.log.Stored(evt.TaskID)
	id, active := stp.st.tasks.Get(evt.TaskID)
	if !ok || !stp.mayViewTask(rec.Team, rec.Queue, evt.KeyHash) {
		stp.refuseNotRun(evt.Request, outcome.CodeUnknownTask, "This entry holds no such task.")
		return
	}
	if !active {
		stp.emit(effect.ReplyTaskStatus{Request: evt.Request, Status: rec.Status()})
		return
	}
	wrk, _ := stp.st.works.Get(id)
	if wrk.Phase == work.PhaseRunning || wrk.Phase == work.PhaseRecording {
		stp.stopTask(wrk)
		stp.release(wrk)
	}
	stp.endTask(wrk, task.StateCancelled, nil, "Cancelled by its submitter.")
	rec, _ = stp.st.log.Latest(evt.TaskID)
	stp.emit(effect.ReplyTaskStatus{Request: evt.Request, Status: rec.Status()})
}

func (stp *step) stopTask(wrk work.Work) {
	target, ok := stp.st.fleet.VM(wrk.VM)
	if !ok {
		return
	}
	stp.emit(effect.StopTask{
		VM: target.ID, Address: target.Address,
		TaskAttempt: effect.TaskAttempt{TaskID: wrk.TaskID, Attempt: wrk.Attempt},
	})
}
