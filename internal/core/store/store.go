// Package store defines the calls that the core makes to the platform's
// key-value store, as data, and their results.
//
// It assumes a store with revisions, compare-and-swap and leases, such as etcd
// version 3. Keys are relative to the deployment's prefix.
package store

import (
	"fmt"
	"time"
)

// Keys and prefixes, relative to the deployment's prefix.
const (
	KeyConfigHead  = "config/head"
	KeyConfig      = "config/doc"
	PrefixMembers  = "members/"
	PrefixFences   = "fences/"
	prefixTaskLogs = "tasks/"
)

// MemberKey is where a member's lease is seen.
func MemberKey(id string) string { return PrefixMembers + id }

// FenceKey is where the owner of a member's task log is named.
func FenceKey(id string) string { return PrefixFences + id }

// LogPrefix is where the segments of a member's task log stand.
func LogPrefix(id string) string { return prefixTaskLogs + id + "/" }

// LogKey is where one segment stands. Keys sort in the order of segments.
func LogKey(id string, seq int64) string { return fmt.Sprintf("%s%012d", LogPrefix(id), seq) }

// An Op is one call. The closed set is Get, List, Write, LeaseGrant,
// LeaseRefresh and LeaseRevoke.
type Op interface{ isOp() }

// Get reads one key.
type Get struct{ Key string }

// List reads all keys with a prefix, sorted.
type List struct {
	Prefix   string
	KeysOnly bool
}

// Write puts and deletes keys in one step if all the conditions hold.
type Write struct {
	Conditions []Condition
	Puts       []Put
	// Deletes are keys; DeletePrefixes are prefixes.
	Deletes        []string
	DeletePrefixes []string
	// DeleteRanges are half-open ranges of keys.
	DeleteRanges []Range
}

// Range is a half-open range of keys.
type Range struct{ From, To string }

// Condition holds while a key's last change has a given revision of the store.
// Zero means that the key is absent.
type Condition struct {
	Key         string
	ModRevision int64
}

// Put sets a key.
type Put struct {
	Key   string
	Value []byte
	// Lease is 0 for a key that stays.
	Lease int64
}

// LeaseGrant asks for a lease.
type LeaseGrant struct{ TTL time.Duration }

// LeaseRefresh keeps a lease alive.
type LeaseRefresh struct{ Lease int64 }

// LeaseRevoke ends a lease and deletes its keys.
type LeaseRevoke struct{ Lease int64 }

func (Get) isOp()          {}
func (List) isOp()         {}
func (Write) isOp()        {}
func (LeaseGrant) isOp()   {}
func (LeaseRefresh) isOp() {}
func (LeaseRevoke) isOp()  {}

// A Result is the answer to an Op. The closed set is Values, Written, Leased
// and Failed.
type Result interface{ isResult() }

// KeyValue is one key with its value.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
}

// Values answers Get and List.
type Values struct{ Values []KeyValue }

// Written answers Write. Succeeded is false when a condition did not hold;
// then nothing was changed.
type Written struct {
	Succeeded bool
	// Revision is that of the store after the write.
	Revision int64
}

// Leased answers the calls on leases. A TTL of zero means that the lease is
// gone.
type Leased struct {
	Lease int64
	TTL   time.Duration
}

// Failed means that no answer came. A Write may have taken effect all the same
// unless Refused is set.
type Failed struct {
	Reason  string
	Refused bool
}

func (Values) isResult()  {}
func (Written) isResult() {}
func (Leased) isResult()  {}
func (Failed) isResult()  {}
