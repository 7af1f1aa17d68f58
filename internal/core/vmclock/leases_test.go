package vmclock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestInheritedLease checks the bounds of leases that calls for a former incarnation of a VM
// extend: a call is carried out as late as possible and gets the longest lease on the
// slowest clock.
func TestInheritedLease(t *testing.T) {
	const maxDelay = 13 * time.Second
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	for _, longest := range []time.Duration{0, 6 * time.Second, 10 * time.Second} {
		lea := NewLeases(4*time.Second, longest, maxDelay)
		assert.Equal(t, lea.Inherited("a"), time.Time{})
		end := lea.Extend("a", start)
		assert.Equal(t, end, start.Add(LongestLease(4*time.Second)))
		granted := time.Duration(float64(max(longest, 4*time.Second)) / slowest)
		assert.Assert(t, !lea.Inherited("a").Before(start.Add(maxDelay+granted)))
		lea.Extend("a", start.Add(time.Second))
		assert.Assert(t, !lea.Inherited("a").Before(start.Add(time.Second+maxDelay+granted)))
		lea.Expire(lea.Inherited("a"))
		assert.Assert(t, !lea.Inherited("a").IsZero())
		lea.Expire(lea.Inherited("a").Add(time.Millisecond))
		assert.Equal(t, lea.Inherited("a"), time.Time{})
	}
}

// TestLeaseAcceptedFromFormerDispatcher checks that a VM that has restarted around a
// takeover may hold the longest lease, by a late call of the former dispatcher, and others
// hold none that is longer than the former dispatcher asked for.
func TestLeaseAcceptedFromFormerDispatcher(t *testing.T) {
	since := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	lea := NewLeases(4*time.Second, 10*time.Second, 13*time.Second)
	for _, tst := range []struct {
		after, age time.Duration
		want       time.Time
	}{
		{time.Second, time.Hour, since.Add(LongestLease(4 * time.Second))},
		{time.Second, 500 * time.Millisecond, since.Add(time.Second + LongestLease(10*time.Second))},
		{12 * time.Second, time.Second, since.Add(12*time.Second + LongestLease(10*time.Second))},
		{time.Second, 14 * time.Second, since.Add(time.Second + LongestLease(10*time.Second))},
		{time.Minute, time.Second, since.Add(LongestLease(4 * time.Second))},
	} {
		assert.Equal(t, lea.Accepted(since, since.Add(tst.after), tst.age), tst.want, "after %v, age %v", tst.after, tst.age)
	}
}
