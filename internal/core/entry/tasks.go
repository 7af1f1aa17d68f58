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

// Bounds of tasks.
const (
	// TaskLease is how long a worker runs a task without a renewal.
	TaskLease = 5 * time.Second
	// pollEvery is the time between two polls of a worker, and pollYoungEvery
	// of one with a task that is younger than youngFor: many tasks are short,
	// and a slot and a permit stay taken until their end is seen.
	pollEvery      = time.Second
	pollYoungEvery = 200 * time.Millisecond
	youngFor       = 2 * time.Second
	// maxTaskTries is how many VMs a task may fail on before it is parked.
	maxTaskTries = 3
	// rewriteEvery is the wait before a write without an answer is repeated.
	rewriteEvery = 200 * time.Millisecond
	// logPercent is the part of the budget of writes that the logs may spend.
	// The rest is for leases, fences and edits.
	logPercent = 90
	percent    = 100
	// acceptWithin bounds how long a submitter waits for the store.
	acceptWithin = 3 * time.Second
)

// logState is what goes on around the entry's task log.
type logState struct {
	nextTask uint64
	// fence is the store's revision of the entry's fence, or 0.
	fence     int64
	fenceBusy bool
	fenceAt   time.Time
	// writing says that a write of the segment in flight awaits its answer.
	writing bool
	rewrite time.Time
	// compacting says that the segment in flight replaces all earlier ones.
	compacting bool
	// adopting is the owner whose log the segment in flight takes over, and
	// adoptingFence its fence.
	adopting      string
	adoptingFence int64
	adoptCheckAt  time.Time
	// members lists the members with a lease, as last read.
	members []string
	// submitters maps a task to the request that waits for its acceptance.
	submitters *immutable.SortedMap[string, submitter]
	polledAt   time.Time
	// polls counts the rounds of polls.
	polls int
	// reachedAt maps a VM to when it last answered a poll.
	reachedAt *immutable.SortedMap[string, time.Time]
}

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

func (stp *step) taskSubmitted(evt event.TaskSubmitted) {
	rou, ok := stp.st.config.Route(evt.Queue)
	if !ok || rou.Kind != table.KindTask {
		stp.refuseUnrouted(evt.Request)
		return
	}
	team, refusal := stp.authorize(rou, evt.KeyHash)
	if refusal == nil {
		refusal = stp.refuseTask(rou, evt)
	}
	if refusal != nil {
		stp.refuse(evt.Request, *refusal)
		return
	}
	stp.st.logs.nextTask++
	rec := task.Record{
		ID:       fmt.Sprintf("%s.%d", stp.st.set.ID, stp.st.logs.nextTask),
		Team:     team,
		Queue:    rou.Name,
		Payload:  evt.Payload,
		State:    task.StateWaiting,
		Accepted: stp.now,
		Deadline: stp.now.Add(time.Duration(rou.Deadline)),
	}
	stp.st.log = stp.st.log.WithPending(rec)
	stp.st.logs.submitters = stp.st.logs.submitters.Set(rec.ID, submitter{evt.Request, stp.now})
	stp.flushLog()
}

func (stp *step) refuseTask(rou table.Route, evt event.TaskSubmitted) *outcome.Refusal {
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
	stp.makeFence()
	stp.flushLog()
	stp.giveUpSubmitters()
	stp.pollWorkers()
	stp.checkAdoption()
}

func (stp *step) recordKept(rec task.Record) {
	id, known := stp.st.tasks.Get(rec.ID)
	if !known {
		stp.beginTask(rec)
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

// beginTask takes up a task that the store has: a new one, or one of an adopted
// log.
func (stp *step) beginTask(rec task.Record) {
	if sub, ok := stp.st.logs.submitters.Get(rec.ID); ok {
		stp.st.logs.submitters = stp.st.logs.submitters.Delete(rec.ID)
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
		stp.occupy(wrk)
		return
	}
	stp.enqueue(wrk)
}

// recordTaskStart records an attempt before it is made, so that whoever adopts
// the task knows that it may be running.
func (stp *step) recordTaskStart(wrk work.Work, slt work.Slot) {
	rec, ok := stp.st.log.Latest(wrk.TaskID)
	if !ok {
		return
	}
	wrk = wrk.WithStart(slt, work.PhaseRecording)
	stp.putWork(wrk)
	stp.occupy(wrk)
	rec.State, rec.Attempt, rec.VM, rec.Tried = task.StateRunning, wrk.Attempt, wrk.VM, wrk.Tried
	stp.st.log = stp.st.log.WithPending(rec)
	stp.flushLog()
}

// startTask sends a task to its worker, if the VM may still be used.
func (stp *step) startTask(wrk work.Work) {
	target, ok := stp.mayUse(wrk.Pool, wrk.VM)
	if !ok {
		stp.release(wrk)
		stp.retryTask(wrk)
		return
	}
	wrk = wrk.WithPhase(work.PhaseRunning)
	stp.putWork(wrk)
	stp.touchWorker(wrk.VM)
	stp.record("task", "task_started", wrk.TaskID, wrk.VM)
	stp.emit(effect.StartTask{
		Work: wrk.ID, TaskID: wrk.TaskID, Attempt: wrk.Attempt, VM: target.ID,
		Address: target.Address, Payload: wrk.Payload, Queue: wrk.Route, Lease: TaskLease,
	})
}

func (stp *step) taskStartEnded(evt event.TaskStartEnded) {
	wrk, ok := stp.st.works.Get(evt.Work)
	if !ok || wrk.Phase != work.PhaseRunning || wrk.Attempt != evt.Attempt || !evt.NotAccepted {
		return
	}
	stp.suspect(wrk.VM)
	stp.release(wrk)
	stp.retryTask(wrk)
}

// retryTask lets a task wait for another VM.
func (stp *step) retryTask(wrk work.Work) {
	at := stp.now.Add(stp.jitter(retryMax))
	wrk = wrk.WithRetry(at)
	stp.putWork(wrk)
	stp.st.delayed = stp.st.delayed.Set(timer{at, wrk.ID}, struct{}{})
}

// endTask records the end of a task. The work is forgotten once the store has
// the record.
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

// giveUpSubmitters answers the submitters whose task the store has not taken in
// time. A record that no write has carried is dropped, and the task certainly
// not accepted.
func (stp *step) giveUpSubmitters() {
	itr := stp.st.logs.submitters.Iterator()
	for !itr.Done() {
		id, sub, _ := itr.Next()
		if stp.now.Sub(sub.since) < acceptWithin {
			continue
		}
		stp.st.logs.submitters = stp.st.logs.submitters.Delete(id)
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

func (stp *step) taskCancelled(evt event.TaskCancelled) {
	rec, ok := stp.st.log.Stored(evt.TaskID)
	id, active := stp.st.tasks.Get(evt.TaskID)
	if !ok || !stp.mayAsk(rec.Team, rec.Queue, evt.KeyHash) {
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
