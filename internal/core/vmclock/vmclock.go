// Package vmclock computes the leases of what runs on VMs from readings of the VMs'
// own clocks.
//
// A VM ends its tasks at the deadline that it was last given, a time on its own
// clock. This clock may be slow, by up to 2%, and is known only from the VM's
// answers. Between them it is bounded: since a reading it has advanced by at least
// the time that has passed divided by driftFactor.
package vmclock

import "time"

const (
	// driftFactor is an upper limit for the real time that passes in one unit of
	// time on a VM's clock.
	driftFactor = 1.03
	// expirySlack is the delay with which a VM notices that a lease has expired.
	expirySlack = 100 * time.Millisecond
	// maxAge is the age from which a reading is old. Leases by an old reading are
	// too short to outlast a takeover.
	maxAge = 20 * time.Second
	// MaxSkew bounds the difference between two times of day.
	MaxSkew = 5 * time.Second
)

// Reading is a reading of a VM's clock. It is immutable.
type Reading struct {
	// value is what the clock showed when the VM answered, which was not after
	// receivedAt.
	value      time.Duration
	receivedAt time.Time
}

// NewReading returns a reading that was received at a time.
func NewReading(value time.Duration, receivedAt time.Time) Reading {
	return Reading{value: value, receivedAt: receivedAt}
}

// ReceivedAt returns when the reading was received; zero if there is none.
func (rea Reading) ReceivedAt() time.Time { return rea.receivedAt }

// IsOld reports whether the clock should be read again before the VM gets tasks.
func (rea Reading) IsOld(now time.Time) bool { return now.Sub(rea.receivedAt) > maxAge }

// Deadline returns the time on the VM's clock at which a lease ends that begins
// now. It is guaranteed to have ended after LongestLease, however old the reading
// is: the deadline counts from the least that the clock can show now.
func (rea Reading) Deadline(now time.Time, lease time.Duration) time.Duration {
	advanced := time.Duration(float64(now.Sub(rea.receivedAt)) / driftFactor)
	return rea.value + advanced + lease
}

// LongestLease returns the longest real time from the grant of a lease to the end
// of all that it covers, on the slowest clock.
func LongestLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*driftFactor) + expirySlack
}
