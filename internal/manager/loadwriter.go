package manager

import (
	"reflect"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
)

// Intervals between writes of the load.
const (
	// loadInterval is the shortest time between two writes, and the longest while
	// there is a backlog: entries do not use a load older than maxLoadAge.
	loadInterval = time.Second
	// backlogInterval replaces loadInterval as the shortest time if a backlog has
	// changed, as entries admit jobs by it.
	backlogInterval = 250 * time.Millisecond
)

// loadWriter decides when the load is written. Writes do not overlap. It is safe for
// concurrent use.
type loadWriter struct {
	mu sync.Mutex
	// written is the load that was last stored or is being stored.
	written scheduler.Load
	at      time.Time
	// checkedAt is when due was last true.
	checkedAt time.Time
	inFlight  bool
	// stored reports whether written is known to be stored.
	stored bool
}

// due reports whether to compute the load and call begin. It is true at most once
// in backlogInterval, as computing the load takes time on a large fleet.
func (wri *loadWriter) due(now time.Time) bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	if wri.inFlight || now.Sub(wri.checkedAt) < backlogInterval {
		return false
	}
	wri.checkedAt = now
	return true
}

// begin reports whether a load is to be written now. If so, end must be called
// afterwards.
func (wri *loadWriter) begin(now time.Time, loa scheduler.Load) bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	if wri.inFlight || !wri.needed(now, loa) {
		return false
	}
	wri.written, wri.at, wri.inFlight, wri.stored = loa, now, true, false
	return true
}

func (wri *loadWriter) needed(now time.Time, loa scheduler.Load) bool {
	age := now.Sub(wri.at)
	changed := !reflect.DeepEqual(loa.Backlog, wri.written.Backlog) || !reflect.DeepEqual(loa.AccountBacklog, wri.written.AccountBacklog) ||
		loa.StartBacklog != wri.written.StartBacklog
	if changed {
		return age >= backlogInterval
	}
	hasBacklog := len(loa.Backlog)+len(loa.AccountBacklog) > 0 || loa.StartBacklog > 0
	return age >= loadInterval && (hasBacklog || !wri.stored || !reflect.DeepEqual(loa, wri.written))
}

// end ends the write that begin allowed.
func (wri *loadWriter) end(stored bool) {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	wri.inFlight, wri.stored = false, stored
}
