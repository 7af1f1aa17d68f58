package scheduler

// dueRecords returns the jobs with changes that are due to be stored. Those that
// have ended come first, as clients wait for their records; the others only spare
// the next dispatcher work.
func (sta *State) dueRecords() (due []*liveJob) {
	var live []*liveJob
	for _, liv := range sta.jobList {
		switch {
		case liv.dirtySince.IsZero() || liv.saving || sta.now.Before(liv.dirtySince):
		case liv.final != "":
			due = append(due, liv)
		case sta.now.Sub(liv.dirtySince) >= saveDelay:
			live = append(live, liv)
		}
	}
	due = append(due, live...)
	sta.effort.RecordsDue = len(due)
	return due
}
