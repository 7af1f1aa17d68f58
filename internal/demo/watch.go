package demo

import (
	"context"
	"sync"
	"time"
)

// sampleInterval is the time between two polls of the entries' configurations.
const sampleInterval = 50 * time.Millisecond

// revisionWatch samples the revision of the configuration in force at each entry.
type revisionWatch struct {
	cluster *cluster
	cancel  context.CancelFunc
	done    chan struct{}

	mu sync.Mutex
	// revisions maps the ID of an entry to the revision in its last sample.
	revisions map[string]int64
	// pending holds the changes that are not yet in force at every entry.
	pending []acceptedChange
	obs     observations
}

// acceptedChange is the revision of an accepted change and the time of its
// acceptance.
type acceptedChange struct {
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
		case <-time.After(sampleInterval):
		}
	}
}

// trackChange adds an accepted change whose propagation to the entries is
// measured.
func (wch *revisionWatch) trackChange(revision int64, at time.Time) {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	wch.pending = append(wch.pending, acceptedChange{revision, at})
}

func (wch *revisionWatch) stop() {
	wch.cancel()
	<-wch.done
}

// sample polls every live entry. An entry that does not reply is left out.
func (wch *revisionWatch) sample(ctx context.Context) {
	lowest := int64(-1)
	for _, prc := range wch.cluster.live() {
		cfg, err := prc.admin.Config(ctx)
		if err != nil {
			continue
		}
		wch.mu.Lock()
		wch.obs.samples++
		if cfg.Revision < wch.revisions[prc.runner.ID()] {
			wch.obs.regressions++
		}
		wch.revisions[prc.runner.ID()] = cfg.Revision
		seen := map[string]bool{}
		for _, asg := range cfg.VMs {
			if seen[asg.VM] {
				wch.obs.sharedVMs++
			}
			seen[asg.VM] = true
		}
		wch.mu.Unlock()
		if lowest < 0 || cfg.Revision < lowest {
			lowest = cfg.Revision
		}
	}
	wch.resolvePending(lowest)
}

// resolvePending completes the pending changes up to the lowest revision in force.
func (wch *revisionWatch) resolvePending(lowest int64) {
	wch.mu.Lock()
	defer wch.mu.Unlock()
	var remaining []acceptedChange
	for _, acc := range wch.pending {
		if lowest >= acc.revision {
			wch.obs.propagations = append(wch.obs.propagations, time.Since(acc.at))
		} else {
			remaining = append(remaining, acc)
		}
	}
	wch.pending = remaining
}
