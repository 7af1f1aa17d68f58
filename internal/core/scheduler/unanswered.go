package scheduler

import (
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/settle"
)

// settleStart settles a start that got no answer, and whose run the VM doesn't list.
func (sta *State) settleStart(hos *host, pla *placement) {
	run := latestart.Run{Task: pla.task, Number: pla.run}
	next := settle.Start{
		Repeats: pla.repeats, Rejected: pla.rejected, MayRepeat: sta.mayRepeat(hos, pla), MayStop: pla.mayEnd(),
		MayArrive: sta.lateStarts.MayArrive(hos.vm.ID, run, sta.now),
	}.Next()
	pla.waits = next == settle.Wait
	switch next {
	case settle.Repeat:
		pla.repeats++
		sta.logDecision("start_repeated", pla.task.Job, map[string]any{"task": pla.task.String(), "run": pla.run, "vm": hos.vm.ID, "repeats": pla.repeats, "age_ms": sta.now.Sub(pla.since).Milliseconds()})
		pla.setState(runOrdered, sta.now)
		sta.sendStart(hos, pla)
	case settle.Stop:
		sta.countLostStart(hos, pla)
		sta.stop(hos, pla, stopUnanswered)
	case settle.Release:
		sta.countLostStart(hos, pla)
		sta.logDecision("start_lost", pla.task.Job, map[string]any{"task": pla.task.String(), "run": pla.run, "vm": hos.vm.ID, "repeats": pla.repeats, "rejected": pla.rejected})
		sta.release(hos, pla)
	}
}

// maxLostStarts is the number of runs whose starts may get no answer before their task waits until
// it isn't bound to the VM any more. Each further start on it would bind the task for longer.
const maxLostStarts = 2

// countLostStart counts that a run is given up as its start got no answer.
func (sta *State) countLostStart(hos *host, pla *placement) {
	if sta.isWanted(hos, pla) {
		tas := &pla.stage.tasks[pla.task.Index]
		tas.lostStarts, tas.lostOn = tas.lostStarts+1, hos.vm.ID
	}
}

// mayRepeat reports whether the start of a run may be sent to its VM again. After a
// stop the VM may already reject the run.
func (sta *State) mayRepeat(hos *host, pla *placement) bool {
	stg := pla.stage
	if !sta.isWanted(hos, pla) || !pla.stopSent.IsZero() || !hos.usable(sta.now) || sta.zonesOut[hos.vm.AZ] {
		return false
	}
	return !sta.needsAdvice(stg.liveJob) || stg.advice.ticketFor(hos.vm.ID, sta.now) != ""
}

// isWanted reports whether a run is the one that its task has.
func (sta *State) isWanted(hos *host, pla *placement) bool {
	stg := pla.stage
	if stg == nil || stg.liveJob.final != "" {
		return false
	}
	tas := &stg.tasks[pla.task.Index]
	return tas.host == hos && tas.run == pla.run
}

// mayEnd reports whether the step's availability budget allows that a run ends which may
// be at work.
func (pla *placement) mayEnd() bool {
	stg := pla.stage
	if stg == nil || !stg.step.LongRunning || stg.step.MaxUnavailable == 0 || stg.liveJob.final != "" {
		return true
	}
	return stg.countUnavailableBeside(pla.task.Index) < stg.step.MaxUnavailable
}

// rejectsStart reports whether a run is being stopped only so that its VM rejects the
// start.
func (pla *placement) rejectsStart() bool {
	return pla.stopReason == stopUnanswered || pla.stopReason == stopLateStart
}

// withdrawBeyondBudget withdraws the stop of a run that may wait, if the step's budget
// doesn't allow its end by now. It reports whether it did.
func (sta *State) withdrawBeyondBudget(hos *host, pla *placement) bool {
	if pla.mayEnd() {
		return false
	}
	switch pla.stopReason {
	case stopUnanswered:
		sta.withdrawStop(hos, pla, runUnknown)
	case stopRelocated:
		sta.withdrawStop(hos, pla, runRunning)
	default:
		return false
	}
	return true
}

// withdrawStop returns a run whose stop the VM has not accepted to a former state: it has
// begun to work, or too many other tasks of its step are unavailable by now.
func (sta *State) withdrawStop(hos *host, pla *placement, state runState) {
	sta.logDecision("stop_withdrawn", pla.task.Job, map[string]any{"task": pla.task.String(), "run": pla.run, "vm": hos.vm.ID, "reason": pla.stopReason, "run_state": state.String(), "sent": !pla.stopSent.IsZero()})
	pla.setState(state, sta.now)
}
