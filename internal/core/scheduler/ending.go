package scheduler

// MayEnd reports whether the tenure may end after a TenureEnding: no order is under way that
// the next dispatcher would take for one that wasn't given. It sees a machine up until an
// order for it is carried out, and a run listed until it has stopped. What VMs that don't
// answer do is not awaited.
func (sta *State) MayEnd() bool {
	if sta.unansweredMoves() > 0 || sta.upkeeps.AnyUnanswered() {
		return false
	}
	if !sta.hasStops {
		return true
	}
	for _, hos := range sta.hostList {
		for _, pla := range hos.runList {
			if pla.ending() && pla.isServing() && hos.failedPolls == 0 && !hos.goingDown {
				return false
			}
		}
	}
	return true
}

// isServing reports whether a run is one of a long-running task whose job has not ended.
func (pla *placement) isServing() bool {
	return pla.stage != nil && pla.stage.step.LongRunning && pla.stage.liveJob.final == ""
}
