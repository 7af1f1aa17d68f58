package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// handleGrants starts work on the granted slots. A slot that can't be used is
// returned by the next report, which acknowledges the grant without listing the
// slot as used. Grants of a dispatcher that the entry no longer reports to are
// void.
func (stp *step) handleGrants(from string, grs message.Grants) {
	own := stp.pool(grs.Pool)
	if own.dispatcher != from {
		return
	}
	for _, grt := range grs.Grants {
		own.acknowledged = max(own.acknowledged, grt.Seq)
	}
	stp.putPool(grs.Pool, own)
	stp.markDirty(grs.Pool)
	for _, grt := range grs.Grants {
		stp.startOnSlot(grs.Pool, work.Slot{VM: grt.VM, GrantedAt: stp.now, Reserve: grt.Reserve}, laneOf(grt))
	}
}

// candidatesPerGrant bounds the waiting work considered for one slot.
const candidatesPerGrant = 16

// Timing of slots that are used again without a new grant.
const (
	// slotReuseWindow is the time after a grant for which its slot may be used
	// for the next work of the same team. It bounds how long one entry can keep
	// a slot from older work of another.
	slotReuseWindow = time.Second
	// recallTTL is the time for which a recall holds. The dispatcher repeats it
	// while it still needs the slots.
	recallTTL = 200 * time.Millisecond
)

// handleRecall records the slots that a dispatcher recalls.
func (stp *step) handleRecall(msg message.Recall) {
	for _, rcl := range msg.Slots {
		key := slotKey{pool: msg.Pool, team: rcl.Team, reserve: rcl.Reserve}
		stp.st.recalls = stp.st.recalls.Set(key, recall{count: rcl.Count, until: stp.now.Add(recallTTL)})
	}
}

// consumeRecall reports whether the slot of work that has just ended is
// recalled, and counts the slot as returned.
func (stp *step) consumeRecall(ended work.Work) bool {
	key := slotKey{pool: ended.Pool, team: ended.Team, reserve: ended.Reserve}
	rcl, ok := stp.st.recalls.Get(key)
	if !ok {
		return false
	}
	rcl.count--
	if rcl.count <= 0 || stp.now.After(rcl.until) {
		stp.st.recalls = stp.st.recalls.Delete(key)
	} else {
		stp.st.recalls = stp.st.recalls.Set(key, rcl)
	}
	return !stp.now.After(rcl.until)
}

// reuseSlot starts the next work of a team on the slot of its work that has just
// ended, which saves the round trip of a report and a grant.
func (stp *step) reuseSlot(ended work.Work) {
	if stp.now.Sub(ended.GrantedAt) < slotReuseWindow && !stp.consumeRecall(ended) {
		stp.startOnSlot(ended.Pool, ended.Slot(), stp.nextLane(ended))
	}
}

// nextLane returns the team's most urgent lane with waiting work. A slot of the
// reserve is only for urgent work.
func (stp *step) nextLane(ended work.Work) work.Lane {
	urgent := work.Lane{Team: ended.Team, Urgency: table.UrgencyUrgent}
	if ended.Reserve {
		return urgent
	}
	for _, cnt := range stp.pool(ended.Pool).queue.Backlog() {
		if cnt.Lane.Team == ended.Team && !cnt.Lane.Retry {
			return cnt.Lane
		}
	}
	return urgent
}

// startOnSlot starts the oldest work of a lane that may run on the slot's VM, if
// the team has a free permit.
func (stp *step) startOnSlot(pool string, slt work.Slot, lan work.Lane) {
	target, ok := stp.usableVM(pool, slt.VM)
	if !ok {
		return
	}
	own := stp.pool(pool)
	for _, id := range own.queue.Oldest(lan, candidatesPerGrant) {
		wrk, ok := stp.st.works.Get(id)
		if !ok || wrk.HasTried(slt.VM) || !stp.reauthorize(wrk) {
			continue
		}
		if stp.st.Running(wrk.Team) < stp.st.HeldPermits(wrk.Team) {
			stp.startWork(wrk, target, slt)
		}
		return
	}
}

// usableVM returns the VM that work is about to start on. It returns false
// unless the entry's configuration is fresh and the VM is in the pool, in an
// availability zone that is in, and not leaving.
func (stp *step) usableVM(pool, vmID string) (target vm.VM, ok bool) {
	if !stp.st.view.IsFresh(stp.now, stp.st.config) {
		stp.record("entry", "start_withheld", vmID, "the configuration is not fresh")
		return vm.VM{}, false
	}
	target, ok = stp.st.fleet.VM(vmID)
	if !ok || stp.st.config.PoolOf(vmID) != pool || stp.st.config.IsAZOut(target.AZ) || stp.st.fleet.IsLeaving(vmID) {
		return vm.VM{}, false
	}
	return target, true
}

// reauthorize reports whether waiting work may still start: its route exists
// and, for a request, its key is still valid. Otherwise it refuses the work.
func (stp *step) reauthorize(wrk work.Work) bool {
	rou, ok := stp.st.config.Route(wrk.Route)
	if !ok {
		stp.refuseWaiting(wrk, *notRun(outcome.CodeUnknownRoute, "The route was removed."))
		return false
	}
	if wrk.Kind == table.KindTask {
		return true
	}
	team, refusal := stp.authorize(rou, wrk.KeyHash)
	if refusal == nil && team == wrk.Team {
		return true
	}
	stp.refuseWaiting(wrk, *notRun(outcome.CodeUnauthorized, "The key was withdrawn."))
	return false
}

// refuseWaiting refuses a waiting request, or parks a waiting task: it ends the
// task as one that can't run.
func (stp *step) refuseWaiting(wrk work.Work, ref outcome.Refusal) {
	if wrk.Kind == table.KindTask {
		stp.parkTask(wrk, ref.Message)
		return
	}
	stp.refuseWork(wrk, ref)
}

// startWork takes work off the queue and starts it on a slot. The start of a
// task is recorded in the store first.
func (stp *step) startWork(wrk work.Work, target vm.VM, slt work.Slot) {
	stp.dequeue(wrk)
	rate, _ := stp.st.rates.Get(rateKey(wrk))
	stp.st.rates = stp.st.rates.Set(rateKey(wrk), rate.WithStart(stp.now))
	if wrk.Attempt == 0 {
		own := stp.pool(wrk.Pool)
		own.budget = own.budget.WithStart()
		stp.putPool(wrk.Pool, own)
	}
	if wrk.Kind == table.KindTask {
		stp.recordTaskStart(wrk, slt)
		return
	}
	wrk = wrk.WithStart(slt, work.PhaseRunning)
	stp.putWork(wrk)
	stp.acquire(wrk)
	stp.emit(effect.StartAttempt{
		Work:       wrk.ID,
		Request:    stp.requestOf(wrk.ID),
		Attempt:    wrk.Attempt,
		VM:         target.ID,
		Address:    target.Address,
		Repeatable: wrk.Repeatable,
		Deadline:   wrk.Deadline,
	})
}
