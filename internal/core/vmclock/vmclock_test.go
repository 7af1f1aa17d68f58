package vmclock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowest is the rate of the slowest clock of a VM.
const slowest = 0.98

// TestOldReadingNeverOutlastsLongestLease guards against a task that runs twice: the
// lease of an idle VM, whose slow clock was read long ago, outlasts the time after
// which the task starts elsewhere.
func TestOldReadingNeverOutlastsLongestLease(t *testing.T) {
	const lease = 4 * time.Second
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	for _, rate := range []float64{1, 0.99, slowest} {
		for _, age := range []time.Duration{0, 50 * time.Millisecond, time.Second, 7 * time.Second, 70 * time.Second, time.Hour} {
			rea := NewReading(10*time.Second, start)
			now := start.Add(age)
			shows := 10*time.Second + time.Duration(rate*float64(age))
			lasts := time.Duration(float64(rea.Deadline(now, lease)-shows) / rate)
			assert.Assert(t, lasts <= LongestLease(lease)-expirySlack, "rate %v, age %v: the lease lasts %v", rate, age, lasts)
		}
	}
}

// TestLeaseOfRecentReading checks that the lease by a reading that is not old lasts
// nearly as long as was asked for.
func TestLeaseOfRecentReading(t *testing.T) {
	const lease = 4 * time.Second
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	rea := NewReading(0, start)
	now := start.Add(maxAge)
	assert.Assert(t, !rea.IsOld(now))
	assert.Assert(t, rea.IsOld(now.Add(time.Millisecond)))
	lasts := rea.Deadline(now, lease) - maxAge
	assert.Assert(t, lasts >= lease*5/6, "the lease lasts %v", lasts)
}
