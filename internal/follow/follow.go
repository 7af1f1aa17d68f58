// Package follow replicates the keys of a store under a prefix: it reads them
// all and then watches for changes.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Timing of reads.
const (
	// RetryDelay is the pause after a read of the store that failed.
	RetryDelay = 100 * time.Millisecond
	// ReadTimeout bounds a read of a few small items.
	ReadTimeout = 1200 * time.Millisecond
)

// maxSupersededBytes is the size of superseded values in one answer to a watch
// beyond which the changes come faster than they can be transferred.
const maxSupersededBytes = 64 << 10

// Follower reports the items under a prefix and their changes.
type Follower struct {
	Store  kv.Store
	Prefix string
	// Wait is how long one watch waits for changes. It bounds how long a
	// connection that went silent goes unnoticed.
	Wait time.Duration
	// ListAfterFailure makes a failed watch be followed by a list, which the
	// store answers at once. It is for prefixes with few items, whose view must
	// not get old.
	ListAfterFailure bool
	Log              *decisionlog.Log
	Now              func() time.Time
	// Reset is called with all items at the start, and whenever changes were
	// lost or skipped.
	Reset func(items []kv.Item)
	// Change is called with the changes in order.
	Change func(cha kv.Change)
	// Confirmed is called after each successful read or watch with the time at
	// which it was sent: all changes up to that time have been reported. It may
	// be nil.
	Confirmed func(sent time.Time)

	// lost reports whether the last call failed.
	lost bool
}

// Run follows until the context is done.
func (fol *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		rev, ok := fol.list(ctx)
		if !ok {
			clock.Pause(ctx, RetryDelay)
			continue
		}
		fol.watch(ctx, rev)
	}
}

// failed logs the first of several failures in a row.
func (fol *Follower) failed(ctx context.Context, event string, err error) {
	if ctx.Err() == nil && !fol.lost {
		fol.Log.Event(event, decisionlog.Fields{"prefix": fol.Prefix, "error": err.Error()})
	}
	fol.lost = true
}

// answered logs the first answer after failures.
func (fol *Follower) answered(rev kv.Revision) {
	if fol.lost {
		fol.Log.Event("store_regained", decisionlog.Fields{"prefix": fol.Prefix, "revision": rev})
	}
	fol.lost = false
}

func (fol *Follower) list(ctx context.Context) (rev kv.Revision, ok bool) {
	sent := fol.Now()
	items, rev, err := kv.List(ctx, fol.Store, fol.Prefix)
	if err != nil {
		fol.failed(ctx, "store_read_failed", err)
		return 0, false
	}
	fol.answered(rev)
	fol.Reset(items)
	fol.confirm(sent)
	return rev, true
}

// watch reports changes after a revision until some are lost, or come faster than
// they can be transferred, or the context is done. A list transfers only the
// newest version of each item, a watch all of them.
func (fol *Follower) watch(ctx context.Context, rev kv.Revision) {
	for ctx.Err() == nil {
		sent := fol.Now()
		bat, err := fol.Store.Watch(ctx, fol.Prefix, rev, fol.Wait)
		if errors.Is(err, kv.ErrCompacted) {
			fol.Log.Event("store_history_gone", decisionlog.Fields{"prefix": fol.Prefix, "revision": rev})
			return
		}
		if err != nil {
			fol.failed(ctx, "store_lost", err)
			clock.Pause(ctx, RetryDelay-fol.Now().Sub(sent))
			if fol.ListAfterFailure || errors.Is(err, kv.ErrUnreadable) {
				return
			}
			continue
		}
		fol.answered(bat.Revision)
		rev = bat.Revision
		for _, cha := range bat.Changes {
			fol.Change(cha)
		}
		fol.confirm(sent)
		if size := supersededBytes(bat.Changes); size > maxSupersededBytes {
			fol.Log.Event("store_changes_skipped", decisionlog.Fields{"prefix": fol.Prefix, "revision": rev, "superseded_bytes": size})
			return
		}
	}
}

// supersededBytes returns the size of the values that later changes replace.
func supersededBytes(changes []kv.Change) (size int) {
	latest := map[string]int{}
	for _, cha := range changes {
		size += latest[cha.Item.Key]
		latest[cha.Item.Key] = len(cha.Item.Value)
	}
	return size
}

func (fol *Follower) confirm(sent time.Time) {
	if fol.Confirmed != nil {
		fol.Confirmed(sent)
	}
}
