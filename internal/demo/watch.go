package demo

import (
	"context"
	"sync"
	"time"
)

// sampleEvery is the time between two looks at every entry's configuration.
const sampleEvery = 50 * time.Millisecond

// revisionWatch samples which revision each entry runs by.
type revisionWatch struct {
	cluster *cluster
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// revisions maps an entry to the highest revision that it was seen at.
	revisions map[string]int64
	pending   []acceptance
	mom       moments
}

type acceptance struct {
	revision int64
	at       time.Time
}

func watchRevisions(cls *cluster) *revisionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	wch := &revisionWatch{cluster: cls, cancel: cancel, done: make(chan struct{}), revisions: map[string]int64{}}
	go wch.run(ctx)
	return wch
}

func (wch *revisionWatch) run(ctx context.Context) {
	defer close(wch.done)
	for ctx.Err() == nil {
		wch.sample(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(sampleEvery):
		}
	}
}

// accepted notes a change whose way to the entries is to be timed.
func (wch *revisionWatch) accepted(revision int64, at time.Time) {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.pending = append(wch.pending, acceptance{revision, at})
}

func (wch *revisionWatch) stop() {
	wch.cancel()
	<-wch.done
}

func (wch *revisionWatch) sample(ctx context.Context) {
	lowest := int64(-1)
	for _, prc := range wch.cluster.live() {
		cfg, err := prc.admin.Config(ctx)
		if err != nil {
			continue
		}
		wch.mu.Lock()
		wch.mom.samples++
		if cfg.Revision < wch.revisions[prc.runner.ID()] {
			wch.mom.regressions++
		}
		wch.revisions[prc.runner.ID()] = cfg.Revision
		seen := map[string]bool{}
		for _, asg := range cfg.VMs {
			if seen[asg.VM] {
				wch.mom.doubledVMs++
			}
			seen[asg.VM] = true
		}
		wch.mu.Unlock()
		if lowest < 0 || cfg.Revision < lowest {
			lowest = cfg.Revision
		}
	}
	wch.settle(lowest)
}

func (wch *revisionWatch) settle(lowest int64) {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	var still []acceptance
	for _, acc := range wch.pending {
		if lowest >= acc.revision {
			wch.mom.propagations = append(wch.mom.propagations, time.Since(acc.at))
		} else {
			still = append(still, acc)
		}
	}
	wch.pending = still
}
