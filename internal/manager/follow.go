package manager

import (
	"context"
	"errors"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Times of watches.
const (
	// followRetry is the pause after a read of the store that failed.
	followRetry = 100 * time.Millisecond
	// readTimeout bounds a read of the store.
	readTimeout = 1200 * time.Millisecond
)

// follower keeps up with the keys of a prefix.
type follower struct {
	store  kv.Store
	prefix string
	// wait is how long a watch waits for changes. It bounds for how long a
	// connection that went silent goes unnoticed.
	wait time.Duration
	log  *decisionlog.Log
	now  func() time.Time
	// reset is told of all items at the start, and whenever changes were lost.
	reset func(items []kv.Item)
	// change is told of each change in turn.
	change func(cha kv.Change)
	// confirmed is told when a read was sent that showed the present state. It
	// may be nil.
	confirmed func(sent time.Time)
}

// run follows until the context is done.
func (fol *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		rev, ok := fol.list(ctx)
		if !ok {
			pause(ctx, followRetry)
			continue
		}
		fol.watch(ctx, rev)
	}
}

func (fol *follower) list(ctx context.Context) (rev kv.Revision, ok bool) {
	sent := fol.now()
	ask, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, rev, err := kv.List(ask, fol.store, fol.prefix)
	if err != nil {
		if ctx.Err() == nil {
			fol.log.Event("store_read_failed", decisionlog.Fields{"prefix": fol.prefix, "error": err.Error()})
		}
		return 0, false
	}
	fol.reset(items)
	fol.confirm(sent)
	return rev, true
}

// watch follows from a revision until changes are lost.
func (fol *follower) watch(ctx context.Context, rev kv.Revision) {
	failed := false
	for ctx.Err() == nil {
		sent := fol.now()
		bat, err := fol.store.Watch(ctx, fol.prefix, rev, fol.wait)
		if errors.Is(err, kv.ErrCompacted) {
			fol.log.Event("store_history_gone", decisionlog.Fields{"prefix": fol.prefix, "revision": rev})
			return
		}
		if err != nil {
			if ctx.Err() == nil && !failed {
				fol.log.Event("store_lost", decisionlog.Fields{"prefix": fol.prefix, "error": err.Error()})
			}
			failed = true
			pause(ctx, followRetry)
			continue
		}
		if failed {
			failed = false
			fol.log.Event("store_regained", decisionlog.Fields{"prefix": fol.prefix, "revision": bat.Revision})
		}
		rev = bat.Revision
		for _, cha := range bat.Changes {
			fol.change(cha)
		}
		fol.confirm(sent)
	}
}

func (fol *follower) confirm(sent time.Time) {
	if fol.confirmed != nil {
		fol.confirmed(sent)
	}
}

// pause waits for a span unless the context is done before.
func pause(ctx context.Context, span time.Duration) {
	tim := time.NewTimer(span)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	}
}
