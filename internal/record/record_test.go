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
	// others holds the revisions of other keys, and written the keys of the last values.
	others  map[string]kv.Revision
	written []string
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
	var current []kv.Item
	failed := false
	for _, cnd := range txn.Conditions {
		rev, other := sto.others[cnd.Key]
		if !other {
			rev = sto.rev
		}
		current = append(current, kv.Item{Key: cnd.Key, Revision: rev})
		failed = failed || cnd.Revision != rev
	}
	if failed {
		return 0, &kv.ConflictError{Current: current}
	}
	sto.rev += 3
	sto.value = string(txn.Puts[0].Value)
	sto.written = nil
	for _, put := range txn.Puts {
		sto.written = append(sto.written, put.Key)
	}
	return sto.rev, nil
}

func value(text string) Value {
	return Value{Puts: []kv.Put{{Key: "duty/load", Value: []byte(text)}}}
}

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
				assert.ErrorIs(t, rec.Write(ctx, value(fmt.Sprintf("old %d", i))), kv.ErrUnknown)
			}
			assert.Equal(t, sto.value, "former")
			late := func(from, to int) {
				for _, i := range order[from:to] {
					_, err := sto.apply(sto.late[i])
					assert.Assert(t, err != nil || to <= before)
				}
			}
			late(0, min(before, 3))
			assert.NilError(t, rec.Write(ctx, value("new")))
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
		lat.Put(ctx, value(fmt.Sprint(i)))
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

// TestLateClaimOfOutdatedSource guards against a claim about another key that is stored after
// that has changed: the write got no answer and is carried out late, or it is sent late.
func TestLateClaimOfOutdatedSource(t *testing.T) {
	ctx := context.Background()
	source := kv.Condition{Key: "op/wave/1", Revision: 5}
	outdated := 0
	val := value("progress")
	val.Claims = []kv.Put{{Key: "status/wave/1", Value: []byte("completed")}}
	val.Source, val.Outdated = source, func() { outdated++ }
	for _, lost := range []bool{false, true} {
		sto := &store{rev: 40, value: "former", others: map[string]kv.Revision{source.Key: source.Revision}}
		rec := New("duty/load", sto.commit)
		if lost {
			sto.lose = 1
			assert.ErrorIs(t, rec.Write(ctx, val), kv.ErrUnknown)
		}
		sto.others[source.Key]++
		for _, txn := range sto.late {
			_, err := sto.apply(txn)
			assert.Assert(t, err != nil)
		}
		assert.NilError(t, rec.Write(ctx, val))
		assert.Equal(t, sto.value, "progress")
		assert.DeepEqual(t, sto.written, []string{"duty/load"})
	}
	assert.Equal(t, outdated, 2)
}

// TestClaim checks that a claim is stored with the value while its source is as it was.
func TestClaim(t *testing.T) {
	sto := &store{others: map[string]kv.Revision{"op/wave/1": 5}}
	val := value("progress")
	val.Claims, val.Source = []kv.Put{{Key: "status/wave/1"}}, kv.Condition{Key: "op/wave/1", Revision: 5}
	assert.NilError(t, New("duty/load", sto.commit).Write(context.Background(), val))
	assert.DeepEqual(t, sto.written, []string{"duty/load", "status/wave/1"})
}
