package queue

import (
	"math"
	"time"
)

// rateWindow is the time constant of the decay.
const rateWindow = time.Second

// minStarts is the decayed number of starts below which no wait is estimated.
const minStarts = 3

// Rate estimates how many pieces of work start per rateWindow by a count of
// starts that decays exponentially. It is immutable.
type Rate struct {
	// starts is the decayed number of starts as of the time at.
	starts float64
	at     time.Time
}

// WithStart returns the rate after a piece of work started.
func (rat Rate) WithStart(now time.Time) Rate {
	return Rate{starts: rat.decayed(now) + 1, at: now}
}

// EstimateWait returns how long work with the given number of pieces ahead of
// it will wait, and whether enough work started recently for an estimate.
func (rat Rate) EstimateWait(now time.Time, ahead int) (span time.Duration, known bool) {
	starts := rat.decayed(now)
	if starts < minStarts {
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
