package scheduler

import "github.com/balsamgauge/balsamgauge/internal/core/worker"

// tailRatio returns the highest ratio of a tail to its target on a VM, and
// whether tasks both serve and fill there.
func (hos *host) tailRatio() (ratio float64, mixed bool) {
	serves, fills := false, false
	for _, hel := range hos.runList {
		if hel.stage == nil {
			continue
		}
		ste := hel.stage.step
		fills = fills || ste.Fills
		if ste.TailTarget <= 0 {
			continue
		}
		serves = true
		if hel.percent == atWork {
			ratio = max(ratio, float64(hel.load)/float64(ste.TailTarget.Milliseconds()))
		}
	}
	return ratio, serves && fills
}

// control sets the pace of a VM's tasks that fill, after a look.
func (sta *State) control(hos *host) {
	ratio, mixed := hos.tailRatio()
	if !mixed {
		ratio = 0
	}
	before := hos.pace.Percent
	hos.pace = hos.pace.WithTailRatio(sta.now, ratio)
	if hos.pace.Percent != before {
		sta.logDecision("pace_changed", "", map[string]any{"vm": hos.vm.ID, "percent": hos.pace.Percent, "tail_ratio": ratio})
	}
	for _, hel := range hos.runList {
		if hel.stage == nil || !hel.stage.step.Fills || hel.state != runRunning || hel.pace == hos.pace.Percent || hel.paceInFlight {
			continue
		}
		hel.paceInFlight = true
		sta.emit(Pace{VM: hos.vm, Task: hel.task, Run: hel.run, Percent: hos.pace.Percent})
	}
}

// paceAnswered takes in the answer to a pace.
func (sta *State) paceAnswered(hos *host, evt PaceAnswered) {
	hel := hos.runs[evt.Task]
	if hel == nil {
		return
	}
	hel.paceInFlight = false
	switch evt.Result {
	case worker.ResultOK:
		hel.pace = evt.Percent
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has answered a higher term")
	}
}
