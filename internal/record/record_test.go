package record

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// store is a store with one record, which can leave writes unanswered and carry them
// out later.
type store struct {
	mu    sync.Mutex
	rev   kv.Revision
	value string
	// lose is how many of the next writes are kept in late instead of carried out.
	lose int
	late []kv.Txn
	// refuse is how many of the next writes are refused.
	refuse int
	writes int
}

func (sto *store) commit(_ context.Context, txn kv.Txn) (kv.Revision, error) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.writes++
	switch {
	case sto.lose > 0:
		sto.lose--
		sto.late = append(sto.late, txn)
		return 0, kv.ErrUnknown
	case sto.refuse > 0:
		sto.refuse--
		return 0, kv.ErrNotDone
	}
	return sto.apply(txn)
}

func (sto *store) apply(txn kv.Txn) (kv.Revision, error) {
	for _, cnd := range txn.Conditions {
		if cnd.Revision != sto.rev {
			return 0, &kv.ConflictError{Current: []kv.Item{{Key: cnd.Key, Revision: sto.rev}}}
		}
	}
	sto.rev += 3
	sto.value = string(txn.Puts[0].Value)
	return sto.rev, nil
}

func put(value string) kv.Put { return kv.Put{Key: "duty/load", Value: []byte(value)} }

// TestLateWritesReplaceNoNewerOne guards against a stored value that stays old: a write
// without an answer is carried out after a newer one, in any order of the late ones.
func TestLateWritesReplaceNoNewerOne(t *testing.T) {
	ctx := context.Background()
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}} {
		for before := range 4 {
			sto := &store{rev: 40, value: "former"}
			rec := New("duty/load", sto.commit)
			sto.lose = 3
			for i := range 3 {
				assert.ErrorIs(t, rec.Write(ctx, put(fmt.Sprintf("old %d", i))), kv.ErrUnknown)
			}
			assert.Equal(t, sto.value, "former")
			late := func(from, to int) {
				for _, i := range order[from:to] {
					_, err := sto.apply(sto.late[i])
					assert.Assert(t, err != nil || to <= before)
				}
			}
			late(0, min(before, 3))
			assert.NilError(t, rec.Write(ctx, put("new")))
			late(min(before, 3), 3)
			assert.Equal(t, sto.value, "new", "late writes in the order %v, %d before the new one", order, before)
		}
	}
}

// TestLatestWritesTheLast checks that values given during a write replace each other, and
// that the last one is written until it is stored.
func TestLatestWritesTheLast(t *testing.T) {
	sto := &store{lose: 1, refuse: 1}
	failures := make(chan error, 10)
	lat := NewLatest("duty/load", sto.commit, func(err error) { failures <- err })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 20 {
		lat.Put(ctx, put(fmt.Sprint(i)))
	}
	assert.ErrorIs(t, <-failures, kv.ErrUnknown)
	assert.ErrorIs(t, <-failures, kv.ErrNotDone)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		sto.mu.Lock()
		value := sto.value
		sto.mu.Unlock()
		if value == "19" {
			break
		}
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	assert.Equal(t, sto.value, "19")
	assert.Assert(t, sto.writes <= 6, "%d writes", sto.writes)
	_, err := sto.apply(sto.late[0])
	assert.Assert(t, err != nil)
}
