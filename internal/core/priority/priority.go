// Package priority orders the steps that wait for free capacity in a pool.
package priority

import (
	"cmp"
	"time"
)

// Key is the sort key of a waiting step.
type Key struct {
	// IsLongRunning is set if the tasks run until their job is cancelled.
	IsLongRunning bool
	// Excess is set if the job exceeds the allowance of its client account.
	Excess bool
	// Priority is the priority of the queue; lower values come first.
	Priority int
	// Deadline is the time by which the job must end to meet its latency
	// objective.
	Deadline time.Time
	// Worthless is the time after which the end of the job has no value.
	Worthless time.Time
	// Remaining is the remaining run time of the job if it gets capacity
	// immediately.
	Remaining time.Duration
	// Work is the remaining work of the job in core-seconds.
	Work float64
	// Job is the ID of the job. It breaks ties.
	Job string
}

// CanMeetDeadline reports whether the job can still end by its deadline.
func (key Key) CanMeetDeadline(now time.Time) bool {
	return !now.Add(key.Remaining).After(key.Deadline)
}

// class is the primary sort criterion of waiting steps, the most urgent first.
type class int

const (
	classLongRunning class = iota
	classOnTime
	// classExcess is for jobs that can meet their deadline but exceed the
	// allowance of their account.
	classExcess
	classLate
	classLateExcess
	// classWorthless is for jobs that will end too late to have any value.
	classWorthless
)

func (key Key) class(now time.Time) class {
	switch onTime := key.CanMeetDeadline(now); {
	case key.IsLongRunning:
		return classLongRunning
	case onTime && !key.Excess:
		return classOnTime
	case onTime:
		return classExcess
	case !key.Worthless.IsZero() && now.Add(key.Remaining).After(key.Worthless):
		return classWorthless
	case !key.Excess:
		return classLate
	default:
		return classLateExcess
	}
}

// Compare returns a negative number if one comes before oth, and a positive
// number if it comes after. Long-running steps come first, then steps of jobs
// that can meet their deadline, by deadline, then those of late jobs, by
// remaining work, and last those of jobs whose end has no value any more, also by
// remaining work. Among the jobs that can meet their deadline, and among the late
// ones, those that exceed their account's allowance come last. Within a class,
// the queue's priority takes precedence over deadline and work.
func Compare(now time.Time, one, oth Key) int {
	cls := one.class(now)
	if ord := cmp.Or(cmp.Compare(cls, oth.class(now)), cmp.Compare(one.Priority, oth.Priority)); ord != 0 {
		return ord
	}
	if cls >= classLate {
		if ord := cmp.Compare(one.Work, oth.Work); ord != 0 {
			return ord
		}
	}
	return cmp.Or(one.Deadline.Compare(oth.Deadline), cmp.Compare(one.Job, oth.Job))
}
