// Package allowance meters the jobs of a client account against the rate that the
// account is entitled to when a pool is full.
package allowance

import "time"

// Bucket is the leaky bucket of one account. The zero Bucket has its full burst
// allowance left. It is immutable.
type Bucket struct {
	// spent is the number of jobs in the bucket at the time updated. It drains at
	// the account's rate.
	spent   float64
	updated time.Time
}

// WithJob returns the bucket after a job was submitted, and reports whether the
// job is within the account's allowance: rate jobs per second, averaged over
// window. A job beyond the allowance is not counted. A rate of 0 means no limit.
func (buc Bucket) WithJob(now time.Time, rate float64, window time.Duration) (after Bucket, within bool) {
	if rate <= 0 {
		return buc, true
	}
	spent := buc.spent
	if !buc.updated.IsZero() {
		spent = max(0, spent-rate*now.Sub(buc.updated).Seconds())
	}
	if spent+1 > max(1, rate*window.Seconds()) {
		return Bucket{spent: spent, updated: now}, false
	}
	return Bucket{spent: spent + 1, updated: now}, true
}
