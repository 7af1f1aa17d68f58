package manager

import (
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/intake"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/platform"
)

// operatorView is this process's copy of what the operator has written. It is
// safe for concurrent use.
type operatorView struct {
	log *decisionlog.Log
	now func() time.Time

	mu    sync.Mutex
	view  intake.View
	zones map[string]bool
	// waves holds the waves by store key, as a deletion names only the key.
	waves map[string]upkeep.Wave
	// changed is closed and replaced at each change, and at the first confirmation.
	changed chan struct{}
}

func newOperatorView(log *decisionlog.Log, now func() time.Time) *operatorView {
	return &operatorView{log: log, now: now, zones: map[string]bool{}, waves: map[string]upkeep.Wave{}, changed: make(chan struct{})}
}

// snapshot is a copy of an operatorView.
type snapshot struct {
	view  intake.View
	zones map[string]bool
	waves map[int64]upkeep.Wave
	// changed is closed at the next change.
	changed <-chan struct{}
}

func (opv *operatorView) snapshot() snapshot {
	opv.mu.Lock()
	defer opv.mu.Unlock()
	sna := snapshot{view: opv.view, zones: map[string]bool{}, waves: map[int64]upkeep.Wave{}, changed: opv.changed}
	for az := range opv.zones {
		sna.zones[az] = true
	}
	for _, wav := range opv.waves {
		sna.waves[wav.Number] = wav
	}
	return sna
}

func (opv *operatorView) current() intake.View {
	opv.mu.Lock()
	defer opv.mu.Unlock()
	return opv.view
}

// confirm records that the view was the newest when a read or watch was sent. The
// first confirmation counts as a change, because the dispatcher waits for it.
func (opv *operatorView) confirm(sent time.Time) {
	opv.mu.Lock()
	defer opv.mu.Unlock()
	if opv.view.Catalog.Revision == 0 || !sent.After(opv.view.Confirmed) {
		return
	}
	first := opv.view.Confirmed.IsZero()
	opv.view.Confirmed, opv.view.LastContact = sent, opv.now()
	if first {
		opv.notify()
	}
}

// unconfirmed returns the time since the view was last known to be the newest;
// zero before the first confirmation.
func (opv *operatorView) unconfirmed() time.Duration {
	if opv.view.Confirmed.IsZero() {
		return 0
	}
	return opv.now().Sub(opv.view.Confirmed)
}

func (opv *operatorView) reset(items []kv.Item) {
	opv.mu.Lock()
	defer opv.mu.Unlock()
	opv.zones, opv.waves = map[string]bool{}, map[string]upkeep.Wave{}
	for _, itm := range items {
		opv.apply(kv.Change{Item: itm})
	}
	opv.notify()
}

func (opv *operatorView) change(cha kv.Change) {
	opv.mu.Lock()
	defer opv.mu.Unlock()
	opv.apply(cha)
	opv.notify()
}

// learnConfig applies a configuration that the store returned to a transaction.
// It may be newer than what the watch has reported so far.
func (opv *operatorView) learnConfig(itm kv.Item) {
	opv.change(kv.Change{Item: itm})
}

func (opv *operatorView) notify() {
	close(opv.changed)
	opv.changed = make(chan struct{})
}

// apply applies one change. Items that can't be decoded are ignored.
func (opv *operatorView) apply(cha kv.Change) {
	itm := cha.Item
	if az, ok := platform.ParseEvacuation(itm.Key); ok {
		if cha.Deleted {
			delete(opv.zones, az)
		} else {
			opv.zones[az] = true
		}
		opv.log.Event("zone_changed", decisionlog.Fields{"az": az, "out": !cha.Deleted, "revision": itm.Revision})
		return
	}
	switch {
	case itm.Key == platform.ConfigKey && (cha.Deleted || int64(itm.Revision) <= opv.view.Catalog.Revision):
	case itm.Key == platform.ConfigKey:
		cat, err := platform.DecodeCatalog(itm)
		if err != nil {
			opv.log.Ignored(itm.Key, int64(itm.Revision), err)
			return
		}
		opv.view.Catalog = cat
		opv.log.Event("configuration_applied", decisionlog.Fields{
			"version": cat.Version, "revision": cat.Revision, "queues": len(cat.Queues), "accounts": len(cat.Accounts),
			"bytes": len(itm.Value), "unconfirmed_ms": opv.unconfirmed().Milliseconds(),
		})
	case platform.IsWaveKey(itm.Key) && cha.Deleted:
		delete(opv.waves, itm.Key)
		opv.log.Event("wave_withdrawn", decisionlog.Fields{"key": itm.Key, "revision": itm.Revision})
	case platform.IsWaveKey(itm.Key):
		wav, err := platform.DecodeWave(itm)
		if err != nil {
			opv.log.Ignored(itm.Key, int64(itm.Revision), err)
			return
		}
		opv.waves[itm.Key] = wav
		opv.log.Event("wave_received", decisionlog.Fields{
			"wave": wav.Number, "machines": len(wav.Machines), "cap": wav.Cap, "duration_ms": wav.Duration.Milliseconds(),
			"created": itm.Created, "revision": itm.Revision,
		})
	}
}
