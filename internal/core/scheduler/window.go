package scheduler

import "time"

// Limits of the starts that are unanswered at the same time. Each carries the
// payload of its job. A burst of them would otherwise fill the dispatcher's
// link and delay polls until VMs that run are taken for silent.
const (
	// maxStartsInFlight is the maximum number of unanswered starts.
	maxStartsInFlight = 64
	// minStartPatience is the minimum time for which an unanswered start counts.
	// Starts that are older are probably lost and must not block others.
	minStartPatience = 120 * time.Millisecond
	// patienceFactor is the multiple of the usual response time for which an
	// unanswered start counts.
	patienceFactor = 3
	// responseTimeWeight is the weight of a new sample in the response time.
	responseTimeWeight = 0.1
)

// startWindow limits the starts that are in flight.
type startWindow struct {
	// inFlight holds the starts that may be unanswered, oldest first.
	inFlight []*placement
	// responseTime is the average time from a start to its answer.
	responseTime time.Duration
}

// prune drops the starts that have been answered or are probably lost.
func (win *startWindow) prune(now time.Time) {
	patience := max(minStartPatience, patienceFactor*win.responseTime)
	kept := win.inFlight[:0]
	for _, pla := range win.inFlight {
		if pla.state == runOrdered && now.Sub(pla.since) <= patience {
			kept = append(kept, pla)
		}
	}
	clear(win.inFlight[len(kept):])
	win.inFlight = kept
}

// full reports whether no further start may be sent.
func (win *startWindow) full() bool { return len(win.inFlight) >= maxStartsInFlight }

// add records a start that is being sent.
func (win *startWindow) add(pla *placement) { win.inFlight = append(win.inFlight, pla) }

// answered records the response time of a start.
func (win *startWindow) answered(took time.Duration) {
	win.responseTime += time.Duration(float64(took-win.responseTime) * responseTimeWeight)
}
