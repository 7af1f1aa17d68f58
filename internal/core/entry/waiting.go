package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/queue"
	"github.com/balsamgauge/balsamgauge/internal/core/retry"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Shortest and longest time for which a VM under suspicion gets no new work.
const (
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 30 * time.Second
)

// pool returns the entry's own state of a pool.
func (stp *step) pool(name string) poolState {
	own, ok := stp.st.pools.Get(name)
	if !ok {
		own = poolState{queue: queue.New(), budget: retry.NewBudget()}
		own.leader = member.Leader(stp.st.live, poolElectionKey(name))
	}
	return own
}

func (stp *step) putPool(name string, own poolState) {
	stp.st.pools = stp.st.pools.Set(name, own)
}

func (stp *step) markDirty(pool string) {
	if _, dirty := stp.st.dirty.Get(pool); !dirty {
		stp.st.dirty = stp.st.dirty.Set(pool, struct{}{})
	}
}

// countWaiting updates the counts of waiting work by pool and team.
func (stp *step) countWaiting(wrk work.Work, delta int, remaining int) {
	count, _ := stp.st.waiting.Get(wrk.Team)
	if count+delta == 0 {
		stp.st.waiting = stp.st.waiting.Delete(wrk.Team)
	} else {
		stp.st.waiting = stp.st.waiting.Set(wrk.Team, count+delta)
	}
	if remaining == 0 {
		stp.st.backlogged = stp.st.backlogged.Delete(wrk.Pool)
	} else {
		stp.st.backlogged = stp.st.backlogged.Set(wrk.Pool, struct{}{})
	}
}

func (stp *step) putWork(wrk work.Work) {
	stp.st.works = stp.st.works.Set(wrk.ID, wrk)
}

// enqueue queues work for a grant.
func (stp *step) enqueue(wrk work.Work) {
	wrk.Phase = work.PhaseWaiting
	stp.putWork(wrk)
	own := stp.pool(wrk.Pool)
	own.queue = own.queue.With(wrk)
	stp.putPool(wrk.Pool, own)
	stp.markDirty(wrk.Pool)
	stp.countWaiting(wrk, 1, own.queue.Len())
	stp.st.expiry = stp.st.expiry.Set(timer{wrk.Deadline, wrk.ID}, struct{}{})
}

// dequeue removes work from the queue and the timers.
func (stp *step) dequeue(wrk work.Work) {
	own := stp.pool(wrk.Pool)
	before := own.queue.Len()
	own.queue = own.queue.Without(wrk)
	if own.queue.Len() < before {
		stp.putPool(wrk.Pool, own)
		stp.markDirty(wrk.Pool)
		stp.countWaiting(wrk, -1, own.queue.Len())
	}
	stp.st.expiry = stp.st.expiry.Delete(timer{wrk.Deadline, wrk.ID})
	stp.st.delayed = stp.st.delayed.Delete(timer{wrk.NotBefore, wrk.ID})
}

// forget drops work that has ended.
func (stp *step) forget(wrk work.Work) {
	stp.dequeue(wrk)
	stp.st.works = stp.st.works.Delete(wrk.ID)
	if request, ok := stp.st.requestOf.Get(wrk.ID); ok {
		stp.st.requests = stp.st.requests.Delete(request)
		stp.st.queries.reservationOf = stp.st.queries.reservationOf.Delete(request)
		stp.st.requestOf = stp.st.requestOf.Delete(wrk.ID)
	}
	if wrk.TaskID != "" {
		stp.st.tasks = stp.st.tasks.Delete(wrk.TaskID)
	}
}

func (stp *step) setRequest(id work.ID, request uint64) {
	stp.st.requestOf = stp.st.requestOf.Set(id, request)
}

func (stp *step) requestOf(id work.ID) uint64 {
	request, _ := stp.st.requestOf.Get(id)
	return request
}

// acquire takes a permit and a slot for work that starts.
func (stp *step) acquire(wrk work.Work) {
	stp.addRunning(wrk, 1)
}

// release returns the permit and the slot of work that ended.
func (stp *step) release(wrk work.Work) {
	stp.addRunning(wrk, -1)
}

func (stp *step) addRunning(wrk work.Work, delta int) {
	count, _ := stp.st.running.Get(wrk.Team)
	stp.st.running = stp.st.running.Set(wrk.Team, count+delta)
	slk := slotKey{wrk.Pool, wrk.VM, wrk.Team, wrk.Reserve}
	held, _ := stp.st.held.Get(slk)
	if held+delta == 0 {
		stp.st.held = stp.st.held.Delete(slk)
	} else {
		stp.st.held = stp.st.held.Set(slk, held+delta)
	}
	stp.markDirty(wrk.Pool)
}

// tickWork queues the retries that are due and refuses work that can't start in
// time.
func (stp *step) tickWork() {
	var due []work.Work
	stp.st.delayed, due = stp.takeDue(stp.st.delayed)
	for _, wrk := range due {
		stp.enqueue(wrk)
	}
	stp.st.expiry, due = stp.takeDue(stp.st.expiry)
	for _, wrk := range due {
		stp.expire(wrk)
	}
}

// takeDue removes the timers that are due and returns their work that still
// waits.
func (stp *step) takeDue(timers timerMap) (remaining timerMap, due []work.Work) {
	remaining = timers
	itr := timers.Iterator()
	for !itr.Done() {
		tmr, _, _ := itr.Next()
		if tmr.at.After(stp.now) {
			break
		}
		remaining = remaining.Delete(tmr)
		if wrk, ok := stp.st.works.Get(tmr.id); ok && wrk.Phase == work.PhaseWaiting {
			due = append(due, wrk)
		}
	}
	return remaining, due
}

// expire refuses a waiting request, or parks a waiting task, whose deadline has
// passed.
func (stp *step) expire(wrk work.Work) {
	cod, msg := outcome.CodeDeadlinePassed, "The deadline passed before the work could start."
	if stp.st.HeldPermits(wrk.Team) <= stp.st.Running(wrk.Team) {
		cod, msg = outcome.CodeOverLimit, "The team's upper limit was reached until the deadline passed."
	}
	if wrk.Kind == table.KindTask {
		stp.endTask(wrk, task.StateParked, nil, msg)
		return
	}
	if wrk.Attempt > 0 {
		cod, msg = outcome.CodeUpstreamFailed, "No other VM took the work in time."
	}
	stp.refuseWork(wrk, *notRun(cod, msg))
}

// suspect keeps new work from a VM that failed. The time doubles with each
// failure, up to maxSuspicion.
func (stp *step) suspect(vmID string) {
	sus, _ := stp.st.suspects.Get(vmID)
	sus.duration = min(maxSuspicion, max(minSuspicion, 2*sus.duration))
	sus.until = stp.now.Add(stp.jitter(sus.duration))
	stp.st.suspects = stp.st.suspects.Set(vmID, sus)
	stp.record("vm", "vm_suspected", vmID, sus.duration.String())
}

func (stp *step) clearSuspicion(vmID string) {
	if _, ok := stp.st.suspects.Get(vmID); ok {
		stp.st.suspects = stp.st.suspects.Delete(vmID)
	}
}

// markVMLeaving records that a VM is shutting down and reports it to the peers
// immediately.
func (stp *step) markVMLeaving(vmID string) {
	if stp.st.fleet.IsLeaving(vmID) {
		return
	}
	stp.st.fleet = stp.st.fleet.WithLeaving(vmID, stp.now)
	stp.record("vm", "vm_leaving", vmID, "seen by this entry")
	stp.sendHeartbeats()
	stp.markDirty(stp.st.config.PoolOf(vmID))
}

// updateReady emits a change of the entry's readiness.
func (stp *step) updateReady() {
	ready := !stp.st.view.Leaving() && stp.st.config.Revision > 0 && stp.st.view.IsFresh(stp.now, stp.st.config)
	if ready != stp.st.ready {
		stp.st.ready = ready
		stp.emit(effect.SetReady{Ready: ready})
	}
}
