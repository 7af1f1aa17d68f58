// Package allowance counts what client accounts submit against the rate that
// they are entitled to when a pool is full.
package allowance

import "time"

// Bucket holds what an account may submit at once. The zero Bucket is full. It is
// immutable.
type Bucket struct {
	// spent is how many jobs are still counted at a time; it sinks with the rate.
	spent float64
	at    time.Time
}

// WithJob returns the bucket after a job of an account that is entitled to a
// number of jobs a second, averaged over a window, and reports whether the job
// lies within that. A rate of 0 is no bound.
func (buc Bucket) WithJob(now time.Time, rate float64, window time.Duration) (after Bucket, within bool) {
	if rate <= 0 {
		return buc, true
	}
	spent := buc.spent
	if !buc.at.IsZero() {
		spent = max(0, spent-rate*now.Sub(buc.at).Seconds())
	}
	if spent+1 > max(1, rate*window.Seconds()) {
		return Bucket{spent: spent, at: now}, false
	}
	return Bucket{spent: spent + 1, at: now}, true
}
