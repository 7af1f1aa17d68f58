package advisory

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// restTime is for how long an asker that failed gets no questions.
const restTime = 2 * time.Second

// Pool spreads questions over askers, of which each has one at a time. It is
// safe for concurrent use.
type Pool struct {
	now func() time.Time

	mu     sync.Mutex
	askers map[string]*member
	// turned is closed and replaced when an asker may have become free.
	turned chan struct{}
}

type member struct {
	asker TicketSource
	busy  bool
	// rests is until when it gets no questions.
	rests time.Time
}

// NewPool returns a pool without askers.
func NewPool(now func() time.Time) *Pool {
	return &Pool{now: now, askers: map[string]*member{}, turned: make(chan struct{})}
}

// Set replaces the askers by those of the given names; dial makes new ones.
func (poo *Pool) Set(names []string, dial func(name string) TicketSource) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	for name := range poo.askers {
		if !slices.Contains(names, name) {
			delete(poo.askers, name)
		}
	}
	for _, name := range names {
		if poo.askers[name] == nil {
			poo.askers[name] = &member{asker: dial(name)}
		}
	}
	poo.turn()
}

// Available returns how many askers don't rest.
func (poo *Pool) Available() (n int) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	now := poo.now()
	for _, mem := range poo.askers {
		if !now.Before(mem.rests) {
			n++
		}
	}
	return n
}

// Answer is the outcome of a question.
type Answer struct {
	Tickets Tickets
	// Sent is when the question was put; tickets are no older.
	Sent time.Time
}

// RequestTickets puts a question by the next asker that is free.
func (poo *Pool) RequestTickets(ctx context.Context, que Query) (ans Answer, err error) {
	name, mem, err := poo.take(ctx)
	if err != nil {
		return Answer{}, err
	}
	ans.Sent = poo.now()
	ans.Tickets, err = mem.asker.RequestTickets(ctx, que)
	poo.release(mem, err == nil)
	if err != nil {
		return Answer{}, fmt.Errorf("step %d of job %s by %s: %w", que.Step, que.Job, name, err)
	}
	return ans, nil
}

// take waits for a free asker.
func (poo *Pool) take(ctx context.Context) (name string, mem *member, err error) {
	for {
		poo.mu.Lock()
		now := poo.now()
		for _, name := range slices.Sorted(maps.Keys(poo.askers)) {
			if mem := poo.askers[name]; !mem.busy && !now.Before(mem.rests) {
				mem.busy = true
				poo.mu.Unlock()
				return name, mem, nil
			}
		}
		turned := poo.turned
		poo.mu.Unlock()
		select {
		case <-ctx.Done():
			return "", nil, fmt.Errorf("no asker is free: %w", ctx.Err())
		case <-turned:
		}
	}
}

func (poo *Pool) release(mem *member, served bool) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	mem.busy = false
	if !served {
		mem.rests = poo.now().Add(restTime)
	}
	poo.turn()
}

func (poo *Pool) turn() {
	close(poo.turned)
	poo.turned = make(chan struct{})
}
