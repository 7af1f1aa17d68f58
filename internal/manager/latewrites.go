package manager

import (
	"context"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/follow"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// lateWritesKey is written by processes whose writes get no answer, and holds the name of the
// last one. All processes follow the keys of the duty, so that all know at once that the
// store may carry writes out late.
const lateWritesKey = duty.Prefix + "late"

// Times of reports of late writes.
const (
	// lateWritesInterval is the minimum time between two reports of a process.
	lateWritesInterval = 3 * time.Second
	// lateWritesTimeout bounds the tries of a report.
	lateWritesTimeout = 5 * time.Second
)

// lateWrites limits the reports of late writes. The zero value has made none.
type lateWrites struct {
	mu         sync.Mutex
	reportedAt time.Time
}

// due reports whether a report may be made now, which is noted.
func (lat *lateWrites) due(now time.Time) bool {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	if !lat.reportedAt.IsZero() && now.Sub(lat.reportedAt) < lateWritesInterval {
		return false
	}
	lat.reportedAt = now
	return true
}

// reportLateWrites tells all processes, in the background, that a write of this one got no
// answer.
func (nod *Node) reportLateWrites() {
	if !nod.late.due(nod.now()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lateWritesTimeout)
		defer cancel()
		txn := kv.Txn{Puts: []kv.Put{{Key: lateWritesKey, Value: []byte(nod.settings().Name)}}}
		for {
			callCtx, cancelCall := context.WithTimeout(ctx, follow.ReadTimeout)
			_, err := nod.store.Commit(callCtx, txn)
			cancelCall()
			if err == nil {
				return
			}
			nod.log.Event("late_writes_not_reported", decisionlog.Fields{"error": err.Error()})
			clock.Pause(ctx, follow.RetryDelay)
			if ctx.Err() != nil {
				return
			}
		}
	}()
}

// lateWritesReported handles the report of any process.
func (nod *Node) lateWritesReported(itm kv.Item) {
	nod.log.Event("late_writes_reported", decisionlog.Fields{"by": string(itm.Value), "revision": itm.Revision})
	nod.jobs.NoteLateWrites(nod.now())
}
