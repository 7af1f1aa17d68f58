package scheduler

import (
	"math"
	"time"
)

// Limits of the starts that are unanswered at the same time. Each carries the
// payload of its job. A burst of them would otherwise fill the dispatcher's
// link and delay polls until VMs that run are taken for silent.
const (
	// maxStartBacklog is the maximum time that the dispatcher's link takes for all
	// unanswered starts.
	maxStartBacklog = 250 * time.Millisecond
	// startBytes is the size of a start without its payload.
	startBytes = 500
	// startPatience is the time for which an unanswered start counts.
	// Starts that are older are probably lost and must not block others.
	startPatience = 2 * maxStartBacklog
)

// startWindow limits the starts that are in flight.
type startWindow struct {
	// maxBytes limits the size of all starts that are in flight.
	maxBytes float64
	// inFlight holds the starts that may be unanswered, oldest first.
	inFlight []*placement
	// bytes is the size of the starts that are in flight.
	bytes float64
}

// newStartWindow returns a window for a link, whose bandwidth is unlimited if it
// is 0.
func newStartWindow(bytesPerSecond float64) startWindow {
	if bytesPerSecond == 0 {
		return startWindow{maxBytes: math.Inf(1)}
	}
	return startWindow{maxBytes: bytesPerSecond * maxStartBacklog.Seconds()}
}

// prune drops the starts that have been answered or are probably lost.
func (win *startWindow) prune(now time.Time) {
	kept := win.inFlight[:0]
	win.bytes = 0
	for _, pla := range win.inFlight {
		if pla.state == runOrdered && now.Sub(pla.since) <= startPatience {
			kept = append(kept, pla)
			win.bytes += pla.startBytes()
		}
	}
	clear(win.inFlight[len(kept):])
	win.inFlight = kept
}

// full reports whether no further start may be sent.
func (win *startWindow) full() bool { return win.bytes >= win.maxBytes }

// add records a start that is being sent.
func (win *startWindow) add(pla *placement) {
	win.inFlight = append(win.inFlight, pla)
	win.bytes += pla.startBytes()
}

// startBytes returns the size of the order that starts the run.
func (pla *placement) startBytes() float64 {
	return float64(startBytes + len(pla.stage.liveJob.spec.Payload))
}
