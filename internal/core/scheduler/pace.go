package scheduler

import (
	"github.com/balsamgauge/balsamgauge/internal/core/pace"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// tailRatio returns the highest ratio of tail latency to target among the
// serving tasks on a host, and whether both serving and best-effort tasks run
// there.
func (hos *host) tailRatio() (ratio float64, mixed bool) {
	serving, bestEffort := false, false
	for _, pla := range hos.runList {
		if pla.stage == nil {
			continue
		}
		ste := pla.stage.step
		bestEffort = bestEffort || ste.BestEffort
		if ste.TailTarget <= 0 {
			continue
		}
		serving = true
		if pla.percent == percentWorking {
			ratio = max(ratio, float64(pla.load)/float64(ste.TailTarget.Milliseconds()))
		}
	}
	return ratio, serving && bestEffort
}

// controlPace sets the pace of a host's best-effort tasks after a poll. It rises
// to full speed while no serving task runs beside them. Tasks of a former dispatcher keep
// the pace that it ordered until the pace is cut or raised, from the least that they may have.
func (sta *State) controlPace(hos *host) {
	ratio, mixed := hos.tailRatio()
	if !mixed {
		ratio = 0
	}
	if hos.paceUnordered {
		if pace.Keeps(ratio) {
			return
		}
		hos.pace, hos.paceUnordered = hos.pace.From(hos.leastPace(mixed)), false
	}
	before := hos.pace.Percent
	hos.pace = hos.pace.WithTailRatio(sta.now, ratio)
	if hos.pace.Percent != before {
		sta.logDecision("pace_changed", "", map[string]any{"vm": hos.vm.ID, "percent": hos.pace.Percent, "tail_ratio": ratio})
	}
	for _, pla := range hos.runList {
		if pla.stage == nil || !pla.stage.step.BestEffort || pla.state != runRunning || pla.pace == hos.pace.Percent || pla.paceInFlight {
			continue
		}
		pla.paceInFlight = true
		sta.emit(Pace{VM: hos.vm, Token: hos.token, Task: pla.task, Run: pla.run, Percent: hos.pace.Percent})
	}
}

// adopt records that a former dispatcher started a run, and may have ordered a pace for it.
func (hos *host) adopt(pla *placement) {
	pla.adopted = true
	if pla.stage != nil && pla.stage.step.BestEffort {
		pla.pace, hos.paceUnordered = pace.Unknown, true
	}
}

// leastPace returns the least pace that the best-effort tasks on a host may have. Beside no
// serving task it doesn't matter.
func (hos *host) leastPace(mixed bool) int {
	least := pace.Full
	for _, pla := range hos.runList {
		if !mixed || pla.stage == nil || !pla.stage.step.BestEffort {
			continue
		}
		known := pla.pace
		if known == pace.Unknown {
			known = pace.Least(pla.load, pla.stage.step.Size.CPU)
		}
		least = min(least, known)
	}
	return least
}

// paceAnswered handles the answer to an order to set the pace of a task.
func (sta *State) paceAnswered(hos *host, evt PaceAnswered) {
	pla := hos.runs[evt.Task]
	if pla == nil {
		return
	}
	pla.paceInFlight = false
	switch evt.Result {
	case worker.ResultOK:
		pla.pace = evt.Percent
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has accepted a higher term")
	}
}
