// Package store defines the operations on the platform's key-value store, and
// their results, as data.
//
// It requires a store with revisions, compare-and-swap and leases, such as etcd
// version 3. Keys are relative to the deployment's prefix.
package store

import (
	"fmt"
	"time"
)

// Keys and prefixes, relative to the deployment's prefix.
const (
	// KeyConfigHead holds the revision of the configuration. It is written
	// together with KeyConfig, so that entries can check or watch the small head
	// and read the configuration only when it has changed.
	KeyConfigHead = "config/head"
	// KeyConfig holds the whole configuration.
	KeyConfig = "config/doc"
	// PrefixMembers precedes the keys that the members hold under their leases.
	PrefixMembers = "members/"
	// PrefixFences precedes the keys that name the owner of each task log.
	PrefixFences   = "fences/"
	prefixTaskLogs = "tasks/"
)

// MemberKey returns the key that a member holds under its lease.
func MemberKey(id string) string { return PrefixMembers + id }

// FenceKey returns the key that names the owner of a member's task log.
func FenceKey(id string) string { return PrefixFences + id }

// LogPrefix returns the prefix of the segments of a member's task log.
func LogPrefix(id string) string { return prefixTaskLogs + id + "/" }

// LogKey returns the key of one segment. Keys sort in the order of segments.
func LogKey(id string, seq int64) string { return fmt.Sprintf("%s%012d", LogPrefix(id), seq) }

// An Op is one operation. The closed set is Get, List, Write, LeaseGrant,
// LeaseRefresh and LeaseRevoke.
type Op interface{ isOp() }

// Get reads one key.
type Get struct{ Key string }

// List reads all keys with a prefix, sorted.
type List struct {
	Prefix   string
	KeysOnly bool
}

// Write puts and deletes keys atomically if all the conditions hold.
type Write struct {
	Conditions []Condition
	Puts       []Put
	// Deletes lists keys; DeletePrefixes lists prefixes.
	Deletes        []string
	DeletePrefixes []string
	// DeleteRanges lists half-open ranges of keys.
	DeleteRanges []Range
}

// Range is a half-open range of keys.
type Range struct{ From, To string }

// Condition holds if the key was last modified at the given revision of the
// store. Zero requires that the key is absent.
type Condition struct {
	Key         string
	ModRevision int64
}

// Put sets a key.
type Put struct {
	Key   string
	Value []byte
	// Lease is 0 for a key without a lease.
	Lease int64
}

// LeaseGrant creates a lease.
type LeaseGrant struct{ TTL time.Duration }

// LeaseRefresh renews a lease.
type LeaseRefresh struct{ Lease int64 }

// LeaseRevoke ends a lease and deletes its keys.
type LeaseRevoke struct{ Lease int64 }

func (Get) isOp()          {}
func (List) isOp()         {}
func (Write) isOp()        {}
func (LeaseGrant) isOp()   {}
func (LeaseRefresh) isOp() {}
func (LeaseRevoke) isOp()  {}

// A Result is the result of an Op. The closed set is Values, Written, Leased
// and Failed.
type Result interface{ isResult() }

// KeyValue is one key with its value and the revision of its last change.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
}

// Values is the result of Get and List.
type Values struct{ Values []KeyValue }

// Written is the result of Write. Succeeded is false when a condition did not
// hold; then nothing was changed.
type Written struct {
	Succeeded bool
	// Revision is the store's revision after the write.
	Revision int64
}

// Leased is the result of the operations on leases. A TTL of zero means that
// the lease has ended.
type Leased struct {
	Lease int64
	TTL   time.Duration
}

// Failed means that the operation returned no result. A Write may still have
// taken effect unless NotSent is set.
type Failed struct {
	Reason string
	// NotSent reports whether the call is guaranteed not to have reached the
	// store.
	NotSent bool
}

func (Values) isResult()  {}
func (Written) isResult() {}
func (Leased) isResult()  {}
func (Failed) isResult()  {}
