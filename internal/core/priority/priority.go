// Package priority orders steps that wait for room in a pool.
package priority

import (
	"cmp"
	"time"
)

// Key is what a step that waits brings to the order.
type Key struct {
	// IsLongRunning says that the tasks run until their job is cancelled.
	IsLongRunning bool
	// Excess says that the job lies beyond what its client account is entitled to.
	Excess bool
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

// CanMeetDeadline reports whether the job can still end in time.
func (bid Key) CanMeetDeadline(now time.Time) bool {
	return !now.Add(bid.Remaining).After(bid.Deadline)
}

// class groups bids.
type class int

const (
	classLasting class = iota
	classTimely
	// classExcess is timely beyond an account's entitlement.
	classExcess
	classLate
	classLateExcess
)

func (bid Key) class(now time.Time) class {
	switch timely := bid.CanMeetDeadline(now); {
	case bid.IsLongRunning:
		return classLasting
	case timely && !bid.Excess:
		return classTimely
	case timely:
		return classExcess
	case !bid.Excess:
		return classLate
	default:
		return classLateExcess
	}
}

// Compare is negative if a bid comes before another one. What lasts comes first,
// then what can be in time by its deadline, then what is late by its work.
func Compare(now time.Time, one, oth Key) int {
	kind := one.class(now)
	if ord := cmp.Or(cmp.Compare(kind, oth.class(now)), cmp.Compare(one.Priority, oth.Priority)); ord != 0 {
		return ord
	}
	if kind >= classLate {
		if ord := cmp.Compare(one.Work, oth.Work); ord != 0 {
			return ord
		}
	}
	return cmp.Or(one.Deadline.Compare(oth.Deadline), cmp.Compare(one.Job, oth.Job))
}
