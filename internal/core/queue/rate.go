package queue

import (
	"math"
	"time"
)

// rateWindow is the time over which starts are averaged.
const rateWindow = time.Second

// minSample is how many starts of late the rate must rest on to be told.
const minSample = 3

// Rate is how much work has started of late, as a mean that decays. It is
// immutable.
type Rate struct {
	// starts is the decayed number of starts in a window, as of at.
	starts float64
	at     time.Time
}

// WithStart returns the rate after a piece of work started.
func (rat Rate) WithStart(now time.Time) Rate {
	return Rate{starts: rat.decayed(now) + 1, at: now}
}

// EstimateWait returns how long work with so much ahead of it will wait, and whether
// enough has started of late to tell.
func (rat Rate) EstimateWait(now time.Time, ahead int) (span time.Duration, known bool) {
	starts := rat.decayed(now)
	if starts < minSample {
		return 0, false
	}
	return time.Duration(float64(ahead) / starts * float64(rateWindow)), true
}

func (rat Rate) decayed(now time.Time) float64 {
	if rat.at.IsZero() {
		return 0
	}
	return rat.starts * math.Exp(-float64(now.Sub(rat.at))/float64(rateWindow))
}
