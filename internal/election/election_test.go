package election

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// slowStore is a store in memory whose calls take a fixed time. Leases do not
// expire.
type slowStore struct {
	latency time.Duration

	mu     sync.Mutex
	rev    kv.Revision
	leases kv.LeaseID
	items  map[string]kv.Item
	// revoked holds the leases that were revoked.
	revoked []kv.LeaseID
}

// wait waits for the latency of a call.
func (sto *slowStore) wait(ctx context.Context) error {
	select {
	case <-time.After(sto.latency):
		return nil
	case <-ctx.Done():
		return errors.Join(kv.ErrUnknown, ctx.Err())
	}
}

func (sto *slowStore) Get(ctx context.Context, key string) (itm kv.Item, err error) {
	if err := sto.wait(ctx); err != nil {
		return kv.Item{}, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	itm, ok := sto.items[key]
	if !ok {
		return kv.Item{}, kv.ErrNotFound
	}
	return itm, nil
}

func (sto *slowStore) Range(ctx context.Context, prefix, _ string) (pag kv.Page, err error) {
	if err := sto.wait(ctx); err != nil {
		return kv.Page{}, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for key, itm := range sto.items {
		if strings.HasPrefix(key, prefix) {
			pag.Items = append(pag.Items, itm)
		}
	}
	pag.Revision = sto.rev
	return pag, nil
}

func (sto *slowStore) Watch(ctx context.Context, _ string, after kv.Revision, _ time.Duration) (bat kv.Batch, err error) {
	return kv.Batch{Revision: after}, sto.wait(ctx)
}

func (sto *slowStore) Commit(ctx context.Context, txn kv.Txn) (rev kv.Revision, err error) {
	if err := sto.wait(ctx); err != nil {
		return 0, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for _, cnd := range txn.Conditions {
		if sto.items[cnd.Key].Revision != cnd.Revision {
			return 0, &kv.ConflictError{}
		}
	}
	sto.rev++
	for _, put := range txn.Puts {
		sto.items[put.Key] = kv.Item{Key: put.Key, Value: put.Value, Lease: put.Lease, Revision: sto.rev}
	}
	return sto.rev, nil
}

func (sto *slowStore) Grant(ctx context.Context, _ time.Duration) (lea kv.LeaseID, err error) {
	if err := sto.wait(ctx); err != nil {
		return 0, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.leases++
	return sto.leases, nil
}

func (sto *slowStore) Renew(ctx context.Context, lea kv.LeaseID) (err error) {
	if err := sto.wait(ctx); err != nil {
		return err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for _, itm := range sto.items {
		if itm.Lease == lea {
			return nil
		}
	}
	return kv.ErrLeaseGone
}

func (sto *slowStore) Revoke(ctx context.Context, lea kv.LeaseID) (err error) {
	if err := sto.wait(ctx); err != nil {
		return err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revoked = append(sto.revoked, lea)
	for key, itm := range sto.items {
		if itm.Lease == lea {
			delete(sto.items, key)
		}
	}
	return nil
}

// TestClaimFromSlowStore checks that the duty is taken over from a store that
// needs 340 ms for each call, well within the lease of the VMs' tasks, and with
// the term after the stored one.
func TestClaimFromSlowStore(t *testing.T) {
	// The log's writer does not end, so it must be outside the bubble.
	log := decisionlog.New(io.Discard, "next", time.Now)
	synctest.Test(t, func(t *testing.T) {
		former, err := duty.Holder{Name: "former", Term: 6}.Encode()
		assert.NilError(t, err)
		sto := &slowStore{latency: 340 * time.Millisecond, rev: 9, items: map[string]kv.Item{duty.TermKey: {Key: duty.TermKey, Value: former, Revision: 9}}}
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		taken := make(chan duty.Tenure, 1)
		ele := New(Options{
			Store: sto, Name: "next", CPUShare: 1, Log: log, Now: time.Now,
			Dispatch: func(ctx context.Context, ten *Tenure) {
				taken <- ten.Current()
				<-ctx.Done()
			},
			EndTimeout: func() time.Duration { return 0 },
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			ele.Run(ctx)
		}()
		select {
		case ten := <-taken:
			assert.Equal(t, ten.Holder.Term, int64(7))
			assert.Assert(t, ten.Holds(time.Now()))
			assert.Assert(t, time.Since(began) <= 1500*time.Millisecond, "taken after %v", time.Since(began))
		case <-time.After(5 * time.Second):
			t.Error("the duty was not taken in 5 s")
		}
		cancel()
		<-done
	})
}

// endTimeout is the EndTimeout of the electors whose tenures end.
const endTimeout = 4 * time.Second

// ending is a way in which a tenure ends.
type ending struct {
	name string
	// begin begins the end, and takes is how long the dispatcher goes on after
	// Tenure.Ending.
	begin func(end *endedTenure)
	takes time.Duration
	// asked reports whether the dispatcher is to end by itself, and stopped whether its
	// context ends before it has.
	asked, stopped bool
}

// endedTenure is a tenure that ends.
type endedTenure struct {
	t        *testing.T
	way      ending
	ele      *Elector
	sto      *slowStore
	ten      *Tenure
	shutDown context.CancelFunc
	ended    chan struct{}
}

// dispatch begins the end of the first tenure.
func (end *endedTenure) dispatch(ctx context.Context, ten *Tenure) {
	if ten.Current().Holder.Term > 1 {
		<-ctx.Done()
		return
	}
	defer close(end.ended)
	end.ten = ten
	// A process hands the duty back only after minTenure.
	time.Sleep(minTenure + time.Second)
	end.way.begin(end)
	select {
	case <-ctx.Done():
		assert.Check(end.t, !end.way.asked, "stopped at once")
		return
	case <-ten.Ending():
		assert.Check(end.t, end.way.asked, "asked to end")
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		assert.Check(end.t, end.way.stopped && time.Since(began) == endTimeout, "stopped after %v", time.Since(began))
	case <-time.After(end.way.takes):
		assert.Check(end.t, !end.way.stopped)
	}
	_, err := end.sto.Get(context.Background(), duty.HolderKey)
	assert.Check(end.t, err, "the duty is released before the dispatcher has ended")
	assert.Check(end.t, ten.Holds(time.Now()))
}

// TestTenureEnds checks that a dispatcher that still holds the duty ends by itself when the
// process shuts down or hands the duty back, within a timeout and under its lease, and that it
// is stopped at once otherwise.
func TestTenureEnds(t *testing.T) {
	shutDown := func(end *endedTenure) { end.shutDown() }
	for _, way := range []ending{
		{"shutdown", shutDown, 3 * time.Second, true, false},
		{"shutdown, nothing under way", shutDown, 0, true, false},
		{"shutdown, timeout", shutDown, time.Minute, true, true},
		{"handback", func(end *endedTenure) {
			end.ele.ObserveLargest(kv.Item{Key: LargestKey, Value: []byte("9"), Revision: 1})
		}, 3 * time.Second, true, false},
		{"ended by the dispatcher", func(end *endedTenure) { end.ten.End() }, 0, false, true},
		{"lease lost", func(end *endedTenure) {
			end.sto.mu.Lock()
			defer end.sto.mu.Unlock()
			delete(end.sto.items, duty.HolderKey)
		}, 0, false, true},
	} {
		t.Run(way.name, func(t *testing.T) {
			// The log's writer does not end, so it must be outside the bubble.
			log := decisionlog.New(io.Discard, "entry-0", time.Now)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				end := &endedTenure{
					t: t, way: way, sto: &slowStore{latency: 10 * time.Millisecond, items: map[string]kv.Item{}}, shutDown: cancel, ended: make(chan struct{}),
				}
				end.ele = New(Options{
					Store: end.sto, Name: "entry-0", CPUShare: 1, Log: log, Now: time.Now, Dispatch: end.dispatch,
					EndTimeout: func() time.Duration { return endTimeout },
				})
				done := make(chan struct{})
				go func() {
					defer close(done)
					end.ele.Run(ctx)
				}()
				<-end.ended
				time.Sleep(100 * time.Millisecond)
				end.sto.mu.Lock()
				revoked := slices.Clone(end.sto.revoked)
				end.sto.mu.Unlock()
				assert.Check(t, slices.Contains(revoked, 1), "the lease isn't revoked 0.1 s after the dispatcher has ended")
				cancel()
				<-done
			})
		})
	}
}
