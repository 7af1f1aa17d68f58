package manager

import (
	"runtime"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/rcrowley/go-metrics"
)

// arrival is an event and the time at which it was queued for the loop.
type arrival struct {
	event scheduler.Event
	at    time.Time
}

// roundStats measures the rounds of the dispatcher's loop between two log lines.
type roundStats struct {
	loggedAt        time.Time
	rounds          int
	events, effects int
	// oldest is when the oldest event of the current round was queued; zero if
	// there is none.
	oldest time.Time
	// wait is the longest time that an event was queued.
	wait time.Duration
	// reducing is the time spent in the reducer, longest that of its longest call.
	// performing is the time in which effects were begun.
	reducing, longest, performing time.Duration
	// effort is the reducer's effort up to the last log line.
	effort scheduler.Effort
}

// receive adds a queued event to a batch.
func (dis *dispatcher) receive(batch []scheduler.Event, arr arrival) []scheduler.Event {
	if dis.rounds.oldest.IsZero() || arr.at.Before(dis.rounds.oldest) {
		dis.rounds.oldest = arr.at
	}
	return append(batch, arr.event)
}

// add adds a round that began at a time, whose reducer and whose effects ended at
// others.
func (sts *roundStats) add(began, reduced, performed time.Time, events, effects int) {
	if !sts.oldest.IsZero() {
		sts.wait = max(sts.wait, began.Sub(sts.oldest))
	}
	sts.oldest = time.Time{}
	sts.rounds++
	sts.events += events
	sts.effects += effects
	sts.reducing += reduced.Sub(began)
	sts.longest = max(sts.longest, reduced.Sub(began))
	sts.performing += performed.Sub(reduced)
}

// roundLogInterval is the time between two log lines about the rounds.
const roundLogInterval = time.Second

// logRounds logs what the rounds since the last line cost, and updates the
// metrics.
func (dis *dispatcher) logRounds(now time.Time) {
	sts := &dis.rounds
	if now.Sub(sts.loggedAt) < roundLogInterval {
		return
	}
	eff := dis.sta.Effort()
	metrics.GetOrRegisterGauge("dispatcher.event_wait_ms", dis.nod.metrics).Update(sts.wait.Milliseconds())
	metrics.GetOrRegisterGauge("dispatcher.waiting_stages", dis.nod.metrics).Update(int64(eff.Backlog))
	dis.nod.log.Event("rounds", decisionlog.Fields{
		"rounds": sts.rounds, "events": sts.events, "effects": sts.effects, "event_wait_ms": sts.wait.Milliseconds(),
		"reduce_ms": sts.reducing.Milliseconds(), "longest_reduce_ms": sts.longest.Milliseconds(), "perform_ms": sts.performing.Milliseconds(),
		"waiting_stages": eff.Backlog, "stages_tried": eff.Stages - sts.effort.Stages, "vms_examined": eff.Hosts - sts.effort.Hosts,
		"starts_in_flight": eff.StartsInFlight, "max_starts_in_flight": eff.MaxStartsInFlight, "goroutines": runtime.NumGoroutine(),
		"records_due": eff.RecordsDue,
	})
	*sts = roundStats{loggedAt: now, effort: eff}
}
