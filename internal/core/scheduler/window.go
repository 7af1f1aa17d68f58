package scheduler

import (
	"math"
	"time"
)

// Limits of the starts that are unanswered at the same time. Each carries the
// payload of its job. A burst of them would otherwise fill the dispatcher's
// link, or its processor's queue, and delay polls until VMs that run are taken for
// silent. Tasks that are not started yet wait in order of priority instead.
const (
	// maxStartBacklog is the maximum time that the dispatcher's link takes for all
	// unanswered starts.
	maxStartBacklog = 250 * time.Millisecond
	// startBytes is the size of a start without its payload.
	startBytes = 500
	// startPatience is the time for which an unanswered start counts.
	// Starts that are older are probably lost and must not block others.
	startPatience = 2 * maxStartBacklog
	// maxStartLatency is the time to a start's answer above which fewer starts are
	// sent: VMs answer within milliseconds, so the dispatcher itself is behind.
	maxStartLatency = 100 * time.Millisecond
	// minStarts and maxStarts bound the number of starts in flight that results;
	// it is firstStarts in the beginning.
	minStarts   = 32
	maxStarts   = 256
	firstStarts = 64
	// slowStartFactor is the ratio by which the number falls with a late answer.
	slowStartFactor = 0.95
)

// startWindow limits the starts that are in flight.
type startWindow struct {
	// maxBytes limits the size of all starts that are in flight.
	maxBytes float64
	// inFlight holds the starts that may be unanswered, oldest first.
	inFlight []*placement
	// bytes is the size of the starts that are in flight.
	bytes float64
	// maxCount limits the number of starts that are in flight.
	maxCount float64
	// withheldAt is when a start was last withheld that would have fit on a VM.
	withheldAt time.Time
	// latency is the average time to an answer, in seconds; 0 before the first.
	latency float64
}

// newStartWindow returns a window for a link, whose bandwidth is unlimited if it
// is 0.
func newStartWindow(bytesPerSecond float64) startWindow {
	if bytesPerSecond == 0 {
		return startWindow{maxBytes: math.Inf(1), maxCount: firstStarts}
	}
	return startWindow{maxBytes: bytesPerSecond * maxStartBacklog.Seconds(), maxCount: firstStarts}
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
func (win *startWindow) full() bool {
	return win.bytes >= win.maxBytes || float64(len(win.inFlight)) >= win.maxCount
}

// answered adapts the number of starts to the time that one took to be answered.
// Lost starts do not count, as they say nothing about the dispatcher.
func (win *startWindow) answered(latency time.Duration) {
	if win.latency == 0 {
		win.latency = latency.Seconds()
	}
	win.latency += (latency.Seconds() - win.latency) * latencyWeight
	if latency > maxStartLatency {
		win.maxCount = max(minStarts, win.maxCount*slowStartFactor)
	} else {
		win.maxCount = min(maxStarts, win.maxCount+1)
	}
}

// add records a start that is being sent.
func (win *startWindow) add(pla *placement) {
	win.inFlight = append(win.inFlight, pla)
	win.bytes += pla.startBytes()
}

// startBytes returns the size of the order that starts the run.
func (pla *placement) startBytes() float64 {
	return float64(startBytes + len(pla.stage.liveJob.spec.Payload))
}

// latencyWeight is the weight of an answer in the average latency, and
// withheldSpan how long a withheld start shows that the dispatcher is behind.
const (
	latencyWeight = 0.05
	withheldSpan  = 500 * time.Millisecond
)

// startsPerSecond returns the number of starts a second that the dispatcher is
// able to send; 0 if it is unknown.
func (win *startWindow) startsPerSecond() float64 {
	if win.latency == 0 {
		return 0
	}
	// By Little's law.
	return win.maxCount / win.latency
}

// isBehind reports whether the dispatcher cannot send starts as fast as VMs have
// room for them.
func (win *startWindow) isBehind(now time.Time) bool {
	return !win.withheldAt.IsZero() && now.Sub(win.withheldAt) <= withheldSpan
}
