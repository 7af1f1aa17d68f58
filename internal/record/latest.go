package record

import (
	"context"
	"sync"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/follow"
)

// Latest stores the last of the values that it is given, in the background. Values that
// have been replaced before they were written are not written.
type Latest struct {
	rec *Record
	// failed is called with the error of each write that failed. The write is
	// repeated.
	failed func(err error)

	mu sync.Mutex
	// next is the value to write; nil if the last one is being written or stored.
	next    *Value
	writing bool
}

// NewLatest returns a writer of a record.
func NewLatest(key string, commit Commit, failed func(err error)) *Latest {
	return &Latest{rec: New(key, commit), failed: failed}
}

// Put gives the next value and returns at once. The value is written until it is stored,
// replaced or the context is done.
func (lat *Latest) Put(ctx context.Context, val Value) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	lat.next = &val
	if !lat.writing {
		lat.writing = true
		go lat.run(ctx)
	}
}

// Settled reports whether the last value is stored, or none was given.
func (lat *Latest) Settled() bool {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	return !lat.writing
}

// run writes until the last value is stored or the context is done.
func (lat *Latest) run(ctx context.Context) {
	for val := lat.take(nil); val != nil; {
		err := lat.rec.Write(ctx, *val)
		if err == nil {
			val = lat.take(nil)
			continue
		}
		if ctx.Err() == nil {
			lat.failed(err)
			clock.Pause(ctx, follow.RetryDelay)
		}
		if ctx.Err() != nil {
			val = nil
		}
		val = lat.take(val)
	}
}

// take returns the next value, or else the given one. If there is neither, the writer
// stops.
func (lat *Latest) take(old *Value) (val *Value) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	val, lat.next = lat.next, nil
	if val == nil {
		val = old
	}
	lat.writing = val != nil
	return val
}
