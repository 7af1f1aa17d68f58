package election

import (
	"context"
	"errors"
	"io"
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

func (sto *slowStore) Renew(ctx context.Context, _ kv.LeaseID) (err error) { return sto.wait(ctx) }

func (sto *slowStore) Revoke(ctx context.Context, lea kv.LeaseID) (err error) {
	if err := sto.wait(ctx); err != nil {
		return err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
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
