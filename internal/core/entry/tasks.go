package entry

import (
	"bytes"
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
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

// makeFence writes the entry's fence, without which it can't own tasks.
func (stp *step) makeFence() {
	lgs := &stp.st.logs
	if lgs.fence != 0 || lgs.fenceBusy || !stp.st.store.listed || stp.now.Sub(lgs.fenceAt) < rewriteEvery {
		return
	}
	lgs.fenceBusy = true
	lgs.fenceAt = stp.now
	key := store.FenceKey(stp.st.set.ID)
	stp.callStore(fenceMade{}, store.Write{Puts: []store.Put{{Key: key, Value: []byte(stp.st.set.ID)}}})
}

func (stp *step) fenceAnswered(res store.Result) {
	stp.st.logs.fenceBusy = false
	if wrt, ok := res.(store.Written); ok && wrt.Succeeded {
		stp.st.logs.fence = wrt.Revision
	}
}

// flushEvery is the time between two writes of the log: the budget of writes
// is divided between the voters.
func (stp *step) flushEvery() time.Duration {
	voters := time.Duration(max(1, len(stp.st.config.Voters)))
	writes := time.Duration(max(1, stp.st.set.StoreWritesPerSecond))
	return time.Second * voters * percent / (writes * logPercent)
}

// flushLog writes the pending records if it is time, or repeats a write whose
// answer did not come.
func (stp *step) flushLog() {
	lgs := &stp.st.logs
	if lgs.fence == 0 || lgs.writing {
		return
	}
	if len(stp.st.log.InFlight()) > 0 {
		if !stp.now.Before(lgs.rewrite) {
			stp.writeSegment()
		}
		return
	}
	if stp.now.Sub(stp.st.log.FlushedAt) < stp.flushEvery() {
		return
	}
	switch {
	case stp.st.log.PendingCount() > 0:
		stp.st.log = stp.st.log.WithFlight(stp.now)
		stp.writeSegment()
	case stp.st.log.NeedsCompaction():
		stp.compactLog()
	}
}

func (stp *step) compactLog() {
	next, ok := stp.st.log.WithCompaction(stp.now)
	if !ok || len(next.InFlight()) == 0 {
		return
	}
	stp.st.log = next
	stp.st.logs.compacting = true
	stp.writeSegment()
}

// writeSegment writes the records in flight. Repeating it is safe: the segment
// is written only if it is not there, and only by the owner of the fence.
func (stp *step) writeSegment() {
	lgs := &stp.st.logs
	self := stp.st.set.ID
	data, _ := task.EncodeSegment(stp.st.log.InFlight())
	key := store.LogKey(self, stp.st.log.Seq)
	wrt := store.Write{
		Conditions: []store.Condition{
			{Key: store.FenceKey(self), ModRevision: lgs.fence},
			{Key: key, ModRevision: 0},
		},
		Puts: []store.Put{{Key: key, Value: data}},
	}
	if lgs.compacting {
		wrt.DeleteRanges = []store.Range{{From: store.LogKey(self, stp.st.log.Oldest), To: key}}
	}
	if lgs.adopting != "" {
		fence := store.FenceKey(lgs.adopting)
		wrt.Conditions = append(wrt.Conditions, store.Condition{Key: fence, ModRevision: lgs.adoptingFence})
		wrt.Deletes = []string{fence}
		wrt.DeletePrefixes = []string{store.LogPrefix(lgs.adopting)}
	}
	lgs.writing = true
	stp.callStore(segmentWritten{}, wrt)
}

func (stp *step) segmentAnswered(res store.Result) {
	stp.st.logs.writing = false
	wrt, ok := res.(store.Written)
	switch {
	case ok && wrt.Succeeded:
		stp.segmentKept()
	case ok:
		key := store.LogKey(stp.st.set.ID, stp.st.log.Seq)
		stp.st.logs.writing = true
		stp.callStore(segmentConfirmed{}, store.Get{Key: key})
	default:
		stp.st.logs.rewrite = stp.now.Add(rewriteEvery)
	}
}

// segmentConfirmed goes on after a condition did not hold. If the segment is
// there, an earlier write took effect and only its answer was lost.
func (stp *step) segmentConfirmed(res store.Result) {
	stp.st.logs.writing = false
	vls, ok := res.(store.Values)
	if !ok {
		stp.st.logs.rewrite = stp.now.Add(rewriteEvery)
		return
	}
	data, _ := task.EncodeSegment(stp.st.log.InFlight())
	switch {
	case len(vls.Values) == 1 && bytes.Equal(vls.Values[0].Value, data):
		stp.segmentKept()
	case stp.st.logs.adopting != "":
		stp.abandonAdoption()
	default:
		stp.record("task", "fence_lost", stp.st.set.ID, "another entry adopted the task log")
		stp.emit(effect.Exit{})
	}
}

// segmentKept acts on the records that the store now has.
func (stp *step) segmentKept() {
	recs := stp.st.log.InFlight()
	lgs := &stp.st.logs
	seq := stp.st.log.Seq
	stp.st.log = stp.st.log.WithWritten()
	if lgs.compacting {
		stp.st.log = stp.st.log.WithOldest(seq)
	}
	compacted := lgs.compacting
	if lgs.adopting != "" {
		stp.record("task", "log_adopted", lgs.adopting, fmt.Sprintf("%d records", len(recs)))
	}
	lgs.compacting, lgs.adopting = false, ""
	if compacted {
		return
	}
	for _, rec := range recs {
		stp.recordKept(rec)
	}
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
	if !ok || wrk.Phase != work.PhaseRunning || wrk.Attempt != evt.Attempt || !evt.Refused {
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
	rec, ok := stp.st.log.Kept(evt.TaskID)
	id, active := stp.st.tasks.Get(evt.TaskID)
	if !ok || !stp.mayAsk(rec.Team, rec.Queue, evt.KeyHash) {
		stp.refuseNotRun(evt.Request, outcome.CodeUnknownTask, "This entry holds no such task.")
		return
	}
	if !active {
		stp.emit(effect.TellTask{Request: evt.Request, Status: rec.Status()})
		return
	}
	wrk, _ := stp.st.works.Get(id)
	if wrk.Phase == work.PhaseRunning || wrk.Phase == work.PhaseRecording {
		stp.stopTask(wrk)
		stp.release(wrk)
	}
	stp.endTask(wrk, task.StateCancelled, nil, "Cancelled by its submitter.")
	rec, _ = stp.st.log.Latest(evt.TaskID)
	stp.emit(effect.TellTask{Request: evt.Request, Status: rec.Status()})
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
