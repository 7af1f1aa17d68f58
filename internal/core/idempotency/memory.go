// Package idempotency remembers the idempotency keys of requests, so that what a
// caller repeats at another entry does not run twice.
//
// A few voters, its homes, remember each key. A majority of them must agree that
// a key is new, so two entries can't both be told so.
package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/benbjohnson/immutable"
)

// Bounds of the memory.
const (
	// copies is how many members remember a key.
	copies = 3
	// KeyRetention is how long a key is remembered.
	KeyRetention = 10 * time.Minute
)

// Registry is what one member remembers. It is immutable.
type Registry struct {
	// keys maps a hash of team and key to its first use.
	keys *immutable.Map[string, use]
}

// use is the first use of a key.
type use struct {
	owner string
	ask   uint64
	at    time.Time
}

// NewRegistry returns a memory without keys.
func NewRegistry() Registry {
	return Registry{keys: immutable.NewMap[string, use](nil)}
}

// Len returns how many keys are remembered.
func (mem Registry) Len() int { return mem.keys.Len() }

// WithReservation returns the memory after an entry asked for a key, and whether the key
// is new. Asking again with the same number gets the same answer.
func (mem Registry) WithReservation(now time.Time, hash, owner string, ask uint64) (next Registry, fresh bool) {
	old, seen := mem.keys.Get(hash)
	fresh = !seen || now.Sub(old.at) > KeyRetention || (old.owner == owner && old.ask == ask)
	if fresh {
		mem.keys = mem.keys.Set(hash, use{owner: owner, ask: ask, at: now})
	}
	return mem, fresh
}

// WithoutReservation returns the memory after the owner of a key said that its request
// was certainly not run.
func (mem Registry) WithoutReservation(hash, owner string) Registry {
	if old, seen := mem.keys.Get(hash); seen && old.owner == owner {
		mem.keys = mem.keys.Delete(hash)
	}
	return mem
}

// Key is a remembered key, as one member hands it on to another.
type Key struct {
	Hash  string
	Owner string
	// Age is how long ago it was used.
	Age time.Duration
}

// WithKeys returns the memory with keys that another member handed on.
func (mem Registry) WithKeys(now time.Time, keys []Key) Registry {
	for _, key := range keys {
		if _, seen := mem.keys.Get(key.Hash); !seen {
			mem.keys = mem.keys.Set(key.Hash, use{owner: key.Owner, at: now.Add(-key.Age)})
		}
	}
	return mem
}

// WithoutExpired returns the memory without the keys that are too old.
func (mem Registry) WithoutExpired(now time.Time) Registry {
	itr := mem.keys.Iterator()
	for !itr.Done() {
		hash, old, _ := itr.Next()
		if now.Sub(old.at) > KeyRetention {
			mem.keys = mem.keys.Delete(hash)
		}
	}
	return mem
}

// Replicas returns the voters that remember a key: those that come first in the
// rendezvous order of its hash.
func Replicas(voters []string, hash string) []string {
	ids := slices.Clone(voters)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(member.Score(b, hash), member.Score(a, hash))
	})
	return ids[:min(len(ids), copies)]
}

// A Handover is the keys that a member has to learn.
type Handover struct {
	To   string
	Keys []Key
}

// Handovers returns what the members must learn that came to be the homes of keys
// by a change of the voters, sorted by member and hash.
func (mem Registry) Handovers(now time.Time, self string, old, next []string) []Handover {
	byHome := map[string][]Key{}
	itr := mem.keys.Iterator()
	for !itr.Done() {
		hash, one, _ := itr.Next()
		age := now.Sub(one.at)
		if age > KeyRetention {
			continue
		}
		was := Replicas(old, hash)
		for _, home := range Replicas(next, hash) {
			if home != self && !slices.Contains(was, home) {
				byHome[home] = append(byHome[home], Key{Hash: hash, Owner: one.owner, Age: age})
			}
		}
	}
	var hds []Handover
	for home, keys := range byHome {
		slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Hash, b.Hash) })
		hds = append(hds, Handover{To: home, Keys: keys})
	}
	slices.SortFunc(hds, func(a, b Handover) int { return cmp.Compare(a.To, b.To) })
	return hds
}
