package advisory

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// failureBackoff is how long a source gets no queries after a failure.
const failureBackoff = 2 * time.Second

// Pool spreads queries over ticket sources, each of which serves one at a time.
// It is safe for concurrent use.
type Pool struct {
	now func() time.Time

	mu      sync.Mutex
	sources map[string]*pooledSource
	// changed is closed and replaced when a source may have become free.
	changed chan struct{}
}

type pooledSource struct {
	source TicketSource
	busy   bool
	// retryAt is the end of the backoff after a failure.
	retryAt time.Time
}

// NewPool returns a pool without sources.
func NewPool(now func() time.Time) *Pool {
	return &Pool{now: now, sources: map[string]*pooledSource{}, changed: make(chan struct{})}
}

// Set replaces the sources by those with the given names. Sources that the pool
// already has keep their state; dial makes the others.
func (poo *Pool) Set(names []string, dial func(name string) TicketSource) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	for name := range poo.sources {
		if !slices.Contains(names, name) {
			delete(poo.sources, name)
		}
	}
	for _, name := range names {
		if poo.sources[name] == nil {
			poo.sources[name] = &pooledSource{source: dial(name)}
		}
	}
	poo.notify()
}

// Available returns how many sources are not backing off, busy or not.
func (poo *Pool) Available() (n int) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	now := poo.now()
	for _, src := range poo.sources {
		if !now.Before(src.retryAt) {
			n++
		}
	}
	return n
}

// Answer is the outcome of a query.
type Answer struct {
	Tickets Tickets
	// Sent is when the query was sent; the tickets are no older.
	Sent time.Time
}

// RequestTickets sends a query to the next source that is free.
func (poo *Pool) RequestTickets(ctx context.Context, que Query) (ans Answer, err error) {
	name, src, err := poo.acquire(ctx)
	if err != nil {
		return Answer{}, err
	}
	ans.Sent = poo.now()
	ans.Tickets, err = src.source.RequestTickets(ctx, que)
	poo.release(src, err == nil)
	if err != nil {
		return Answer{}, fmt.Errorf("step %d of job %s by %s: %w", que.Step, que.Job, name, err)
	}
	return ans, nil
}

// acquire waits for a free source and reserves it.
func (poo *Pool) acquire(ctx context.Context) (name string, src *pooledSource, err error) {
	for {
		poo.mu.Lock()
		now := poo.now()
		for _, name := range slices.Sorted(maps.Keys(poo.sources)) {
			if src := poo.sources[name]; !src.busy && !now.Before(src.retryAt) {
				src.busy = true
				poo.mu.Unlock()
				return name, src, nil
			}
		}
		changed := poo.changed
		poo.mu.Unlock()
		select {
		case <-ctx.Done():
			return "", nil, fmt.Errorf("no ticket source is free: %w", ctx.Err())
		case <-changed:
		}
	}
}

func (poo *Pool) release(src *pooledSource, succeeded bool) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	src.busy = false
	if !succeeded {
		src.retryAt = poo.now().Add(failureBackoff)
	}
	poo.notify()
}

func (poo *Pool) notify() {
	close(poo.changed)
	poo.changed = make(chan struct{})
}
