// Package record writes records of the store of which only the last value counts.
//
// A write that got no answer may be carried out seconds later, after newer ones. So
// each write is conditional on the revision that it replaces: a late one finds another
// and fails.
package record

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Commit applies a transaction to the store.
type Commit func(ctx context.Context, txn kv.Txn) (rev kv.Revision, err error)

// maxConflicts is how often a write is repeated because an earlier one of this process
// has been carried out since the last known revision.
const maxConflicts = 3

// Record is a record that one process writes at a time. It is safe for concurrent use;
// writes wait for each other.
type Record struct {
	key    string
	commit Commit

	mu sync.Mutex
	// revision is that of the last value that is known to be stored; 0 for none.
	revision kv.Revision
}

// New returns a record whose stored revision isn't known yet.
func New(key string, commit Commit) *Record { return &Record{key: key, commit: commit} }

// Value is a value of a record.
type Value struct {
	// Puts are the values to store, of which one is that of the record's key.
	Puts []kv.Put
	// Claims are values that hold only while another key is at a revision, which Source
	// requires. They are left out once it isn't.
	Claims []kv.Put
	Source kv.Condition
	// Outdated is called when the claims are left out; it may be nil.
	Outdated func()
}

// withoutClaims returns the value without its claims.
func (val Value) withoutClaims() Value {
	if val.Outdated != nil {
		val.Outdated()
	}
	return Value{Puts: val.Puts}
}

// txn returns the transaction that stores the value.
func (val Value) txn(last kv.Condition) kv.Txn {
	txn := kv.Txn{Conditions: []kv.Condition{last}, Puts: val.Puts}
	if len(val.Claims) > 0 {
		txn.Conditions = append(txn.Conditions, val.Source)
		txn.Puts = append(slices.Clip(txn.Puts), val.Claims...)
	}
	return txn
}

// Write stores a value in place of the last one. If it fails without an answer from the
// store, the value may be stored later, unless another write succeeds before. Claims are
// never stored while their source is at another revision.
func (rec *Record) Write(ctx context.Context, val Value) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write %s: %w", rec.key, err)
		}
	}()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for range maxConflicts {
		rev, failure := rec.commit(ctx, val.txn(kv.Condition{Key: rec.key, Revision: rec.revision}))
		var con *kv.ConflictError
		switch {
		case failure == nil:
			rec.revision = rev
			return nil
		case !errors.As(failure, &con):
			return failure
		}
		rec.revision, err = con.Item(rec.key).Revision, failure
		if len(val.Claims) > 0 && con.Item(val.Source.Key).Revision != val.Source.Revision {
			val = val.withoutClaims()
		}
	}
	return err
}
