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
	// rate is the average number of answers a second, counted until countedAt;
	// count is the number since then.
	rate      float64
	count     int
	countedAt time.Time
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
	win.count++
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

// answerRateWindow is the time constant of the average rate of answers, and
// withheldSpan how long a withheld start shows that the dispatcher is behind.
const (
	answerRateWindow = time.Second
	withheldSpan     = 500 * time.Millisecond
)

// answersPerSecond returns the average rate of answers to starts.
func (win *startWindow) answersPerSecond(now time.Time) float64 {
	span := now.Sub(win.countedAt)
	if win.countedAt.IsZero() || span <= 0 {
		win.countedAt = now
		return win.rate
	}
	weight := 1 - math.Exp(-span.Seconds()/answerRateWindow.Seconds())
	win.rate += (float64(win.count)/span.Seconds() - win.rate) * weight
	win.count, win.countedAt = 0, now
	return win.rate
}

// isBehind reports whether the dispatcher cannot send starts as fast as VMs have
// room for them.
func (win *startWindow) isBehind(now time.Time) bool {
	return !win.withheldAt.IsZero() && now.Sub(win.withheldAt) <= withheldSpan
}
