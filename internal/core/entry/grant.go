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

// grantsHeard starts work on the granted slots. A slot that can't be used is
// given back by the next report, which acknowledges the grant without the work
// running. Grants of a dispatcher that the entry no longer reports to are void.
func (stp *step) grantsHeard(from string, grs message.Grants) {
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
		stp.useSlot(grs.Pool, work.Slot{VM: grt.VM, GrantedAt: stp.now, Reserve: grt.Reserve}, laneOf(grt))
	}
}

// candidatesPerGrant bounds how much waiting work is looked at for one slot.
const candidatesPerGrant = 16

// Timing of slots that are used again without a new grant.
const (
	// reuseFor is how long after a grant its slot may be used for the next
	// work of the same lane. It bounds how long one entry can keep a slot from
	// the older work of another.
	reuseFor = time.Second
	// recallFor is how long a recall holds. The dispatcher repeats it if the
	// slots are still wanted back.
	recallFor = 200 * time.Millisecond
)

// recallHeard notes the slots that a dispatcher wants back.
func (stp *step) recallHeard(msg message.Recall) {
	for _, rcl := range msg.Slots {
		key := slotKey{pool: msg.Pool, team: rcl.Team, reserve: rcl.Reserve}
		stp.st.recalls = stp.st.recalls.Set(key, recall{count: rcl.Count, until: stp.now.Add(recallFor)})
	}
}

// isRecalled reports whether the slot that work has just left is wanted back,
// and counts it.
func (stp *step) isRecalled(left work.Work) bool {
	key := slotKey{pool: left.Pool, team: left.Team, reserve: left.Reserve}
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

// reuseSlot starts the next work of a team on the slot that its work has just
// left. It saves the time and the messages of a report and a grant.
func (stp *step) reuseSlot(left work.Work) {
	if stp.now.Sub(left.GrantedAt) < reuseFor && !stp.isRecalled(left) {
		stp.useSlot(left.Pool, left.Slot(), stp.nextLane(left))
	}
}

// nextLane returns the team's most urgent lane with work waiting. A slot of the
// reserve goes to urgent work only.
func (stp *step) nextLane(left work.Work) work.Lane {
	urgent := work.Lane{Team: left.Team, Urgency: table.UrgencyUrgent}
	if left.Reserve {
		return urgent
	}
	for _, cnt := range stp.pool(left.Pool).queue.Counts() {
		if cnt.Lane.Team == left.Team && !cnt.Lane.Retry {
			return cnt.Lane
		}
	}
	return urgent
}

// useSlot starts the oldest work of a lane that may run on the slot's VM.
func (stp *step) useSlot(pool string, slt work.Slot, lan work.Lane) {
	target, ok := stp.mayUse(pool, slt.VM)
	if !ok {
		return
	}
	own := stp.pool(pool)
	for _, id := range own.queue.Oldest(lan, candidatesPerGrant) {
		wrk, ok := stp.st.works.Get(id)
		if !ok || wrk.HasTried(slt.VM) || !stp.stillAuthorized(wrk) {
			continue
		}
		if stp.st.Running(wrk.Team) < stp.st.HeldPermits(wrk.Team) {
			stp.startWork(wrk, target, slt)
		}
		return
	}
}

// mayUse checks, at the moment of the start, what must hold of the entry and
// of the VM: the entry's configuration is fresh, and the VM is in the pool, in
// an availability zone that is in, and not leaving.
func (stp *step) mayUse(pool, vmID string) (target vm.VM, ok bool) {
	if !stp.st.view.IsFresh(stp.now, stp.st.config) {
		stp.record("entry", "start_withheld", vmID, "the configuration is not fresh")
		return vm.VM{}, false
	}
	target, ok = stp.st.fleet.VM(vmID)
	if !ok || stp.st.config.PoolOf(vmID) != pool || stp.st.config.IsOut(target.AZ) || stp.st.fleet.IsLeaving(vmID) {
		return vm.VM{}, false
	}
	return target, true
}

// stillAuthorized checks the key of waiting work again and refuses the work if
// the key was withdrawn.
func (stp *step) stillAuthorized(wrk work.Work) bool {
	rou, ok := stp.st.config.Route(wrk.Route)
	if !ok {
		stp.endWaiting(wrk, *notRun(outcome.CodeUnknownRoute, "The route was removed."))
		return false
	}
	if wrk.Kind == table.KindTask {
		return true
	}
	team, refusal := stp.authorize(rou, wrk.KeyHash)
	if refusal == nil && team == wrk.Team {
		return true
	}
	stp.endWaiting(wrk, *notRun(outcome.CodeUnauthorized, "The key was withdrawn."))
	return false
}

// endWaiting refuses work that has not started.
func (stp *step) endWaiting(wrk work.Work, ref outcome.Refusal) {
	if wrk.Kind == table.KindTask {
		stp.parkTask(wrk, ref.Message)
		return
	}
	stp.refuseWork(wrk, ref)
}

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
	stp.occupy(wrk)
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
