package entry

import (
	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// grantsHeard starts work on the granted slots. A slot that can't be used is
// given back by the next report, which acknowledges the grant without the work
// running.
func (stp *step) grantsHeard(from string, grs message.Grants) {
	own := stp.pool(grs.Pool)
	for _, grt := range grs.Grants {
		if own.dispatcher == from {
			own.acknowledged = max(own.acknowledged, grt.Seq)
		}
	}
	own.dirty = true
	stp.putPool(grs.Pool, own)
	for _, grt := range grs.Grants {
		stp.useGrant(grs.Pool, grt)
	}
}

// candidatesPerGrant bounds how much waiting work is looked at for one slot.
const candidatesPerGrant = 16

// useGrant starts the oldest work of the lane that may run on the VM.
func (stp *step) useGrant(pool string, grt message.Grant) {
	target, ok := stp.mayUse(pool, grt.VM)
	if !ok {
		return
	}
	own := stp.pool(pool)
	for _, id := range own.queue.Oldest(laneOf(grt), candidatesPerGrant) {
		wrk, ok := stp.st.works.Get(id)
		if !ok || wrk.HasTried(grt.VM) || !stp.stillAuthorized(wrk) {
			continue
		}
		if stp.st.Running(wrk.Team) >= stp.st.Rights(wrk.Team) {
			return
		}
		stp.startWork(wrk, target)
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
	stp.refuse(stp.requestOf(wrk.ID), ref)
	stp.forget(wrk)
}

func (stp *step) startWork(wrk work.Work, target vm.VM) {
	stp.dequeue(wrk)
	if wrk.Attempt == 0 {
		own := stp.pool(wrk.Pool)
		own.budget = own.budget.WithStart()
		stp.putPool(wrk.Pool, own)
	}
	if wrk.Kind == table.KindTask {
		stp.recordTaskStart(wrk, target)
		return
	}
	wrk = wrk.WithStart(target.ID, work.PhaseRunning)
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
