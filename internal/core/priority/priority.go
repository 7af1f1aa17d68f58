// Package priority orders steps that wait for room in a pool.
package priority

import (
	"cmp"
	"time"
)

// Bid is what a step that waits brings to the order.
type Bid struct {
	// Lasts says that the tasks run until their job is cancelled.
	Lasts bool
	// Priority is the queue's; 0 comes first.
	Priority int
	// Deadline is when the job must have ended to be of full worth.
	Deadline time.Time
	// Remaining is how long the job needs yet, if it gets room at once.
	Remaining time.Duration
	// Work is the core-seconds that the job needs yet.
	Work float64
	// Job breaks ties.
	Job string
}

// Timely reports whether the job can still end in time.
func (bid Bid) Timely(now time.Time) bool {
	return !now.Add(bid.Remaining).After(bid.Deadline)
}

// class groups bids: what lasts, what can be in time, and what is late.
func (bid Bid) class(now time.Time) int {
	switch {
	case bid.Lasts:
		return 0
	case bid.Timely(now):
		return 1
	default:
		return 2
	}
}

// Compare is negative if a bid comes before another one.
func Compare(now time.Time, one, oth Bid) int {
	if ord := cmp.Or(cmp.Compare(one.class(now), oth.class(now)), cmp.Compare(one.Priority, oth.Priority)); ord != 0 {
		return ord
	}
	if one.class(now) == 2 {
		if ord := cmp.Compare(one.Work, oth.Work); ord != 0 {
			return ord
		}
	}
	return cmp.Or(one.Deadline.Compare(oth.Deadline), cmp.Compare(one.Job, oth.Job))
}
