// Package kv defines the key-value store that the product needs, with
// revisions, leases and watches. Adapters implement Store.
package kv

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that a Store returns, possibly wrapped.
var (
	// ErrNotFound means that the key doesn't exist.
	ErrNotFound = errors.New("key not found")
	// ErrNotDone means that the store refused the call, or that it was never
	// sent: it had no effect.
	ErrNotDone = errors.New("store refused the call")
	// ErrRejected means that the store refuses the call as it is: it would refuse
	// it again. It comes with ErrNotDone.
	ErrRejected = errors.New("store rejects the call as it is")
	// ErrUnknown means that no answer arrived: a write may have taken effect,
	// or may still do so while its conditions hold.
	ErrUnknown = errors.New("no answer from the store")
	// ErrUnreadable means that an answer arrived and can't be decoded. It comes
	// with ErrUnknown. A watch from the same revision would fail again.
	ErrUnreadable = errors.New("unreadable answer of the store")
	// ErrCompacted means that the history after a revision is gone.
	ErrCompacted = errors.New("history is no longer available")
	// ErrLeaseGone means that a lease has expired or was revoked.
	ErrLeaseGone = errors.New("lease has ended")
)

// Revision counts the changes of the store; the first is above 0.
type Revision int64

// LeaseID identifies a lease; 0 is none.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the latest change; 0 means that the key doesn't
	// exist.
	Revision Revision
	// Created is the revision at which the key was created.
	Created Revision
	// Lease is the lease that the key is attached to.
	Lease LeaseID
}

// Change is one change of a key. A deletion has no value.
type Change struct {
	Item    Item
	Deleted bool
}

// Condition requires a key to be at a revision; 0 means that it doesn't exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a value. The key is removed when its lease, if any, ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is applied atomically if all its conditions hold.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Len returns the number of conditions, puts and deletes, which stores limit.
func (txn Txn) Len() int { return len(txn.Conditions) + len(txn.Puts) + len(txn.Deletes) }

// MaxTxnEntries is the store's limit of Txn.Len.
const MaxTxnEntries = 32

// MaxValueBytes is the size up to which a store holds a value, unless its operators
// set another.
const MaxValueBytes = 1 << 20

// ConflictError reports that a condition of a transaction didn't hold.
type ConflictError struct {
	// Current holds the current items of the keys in the conditions. An item
	// that doesn't exist has revision 0.
	Current []Item
}

// Error returns a message with the number of items.
func (con *ConflictError) Error() string {
	return fmt.Sprintf("condition failed on %d items", len(con.Current))
}

// Item returns the current item of a key. It has revision 0 if the key doesn't
// exist.
func (con *ConflictError) Item(key string) Item {
	for _, itm := range con.Current {
		if itm.Key == key {
			return itm
		}
	}
	return Item{Key: key}
}

// Page is one page of a range. Pages of the same range may be read at different
// revisions.
type Page struct {
	Items []Item
	More  bool
	// Revision is the store's when it answered.
	Revision Revision
}

// Batch is the result of a watch.
type Batch struct {
	Changes []Change
	// Revision is where the next watch continues.
	Revision Revision
}

// Store is a key-value store. Reads are linearizable. Range and Watch fail with
// ErrUnknown once the store falls silent, however long an answer that keeps
// arriving takes.
type Store interface {
	// Get returns an item. It fails with ErrNotFound if the key doesn't exist.
	Get(ctx context.Context, key string) (itm Item, err error)
	// Range returns a page of the items whose keys begin with a prefix and are
	// greater than after.
	Range(ctx context.Context, prefix, after string) (pag Page, err error)
	// Watch returns once something under the prefix has changed after a
	// revision, or when the wait has passed. It fails with ErrCompacted if the
	// history after the revision is gone.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (bat Batch, err error)
	// Commit applies a transaction. It fails with a ConflictError if a condition
	// doesn't hold.
	Commit(ctx context.Context, txn Txn) (rev Revision, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lea LeaseID, err error)
	// Renew restarts a lease's time to live.
	Renew(ctx context.Context, lea LeaseID) (err error)
	// Revoke ends a lease before it expires, which removes its keys.
	Revoke(ctx context.Context, lea LeaseID) (err error)
}

// List reads all pages of a prefix. Changes after the returned revision must be
// read by a watch; some of them may already be in the items.
func List(ctx context.Context, sto Store, prefix string) (items []Item, rev Revision, err error) {
	after := ""
	for {
		pag, err := sto.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, fmt.Errorf("list %q: %w", prefix, err)
		}
		if rev == 0 {
			rev = pag.Revision
		}
		items = append(items, pag.Items...)
		if !pag.More || len(pag.Items) == 0 {
			return items, rev, nil
		}
		last := pag.Items[len(pag.Items)-1].Key
		if last <= after {
			return nil, 0, fmt.Errorf("list %q: page after %.200q ends at %.200q: %w", prefix, after, last, ErrUnreadable)
		}
		after = last
	}
}
