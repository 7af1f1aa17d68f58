package scheduler

// MayEnd reports whether the tenure may end after a TenureEnding: no order for a machine is
// under way. The next dispatcher would see the machine up until it is carried out.
func (sta *State) MayEnd() bool {
	return sta.unansweredMoves() == 0 && !sta.upkeeps.AnyUnanswered()
}
