package scheduler

// Effort counts the work of the reducer. Unlike time it does not depend on the
// machine.
type Effort struct {
	// Stages counts the waiting stages whose tasks were tried to be placed, Hosts
	// the VMs that were examined for a task.
	Stages, Hosts int
	// Backlog is the number of waiting stages in the last call of Reduce.
	Backlog int
	// StartsInFlight is the number of unanswered starts after the last call, and
	// MaxStartsInFlight its present limit.
	StartsInFlight, MaxStartsInFlight int
	// RecordsDue is the number of jobs whose records were due to be stored when the
	// last transaction was composed.
	RecordsDue int
}

// Effort returns the work of all calls of Reduce so far.
func (sta *State) Effort() (eff Effort) {
	eff = sta.effort
	eff.StartsInFlight, eff.MaxStartsInFlight = len(sta.starts.inFlight), int(sta.starts.maxCount)
	return eff
}
