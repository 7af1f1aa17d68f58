// Package idempotency records the idempotency keys of requests, so that a
// request repeated at another entry does not run twice.
//
// Each key is recorded by a few voters, its replicas. A majority of them must
// confirm that a key is new, so two entries can't both reserve it.
package idempotency

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/benbjohnson/immutable"
)

// Bounds of the registry.
const (
	// replicaCount is the number of members that record a key.
	replicaCount = 3
	// KeyRetention is how long a key is kept.
	KeyRetention = 10 * time.Minute
)

// Registry holds the keys that one member has recorded. It is immutable.
type Registry struct {
	// keys maps a hash of team and key to the key's reservation.
	keys *immutable.Map[string, reservation]
}

// reservation records which entry first reserved a key, by which request and
// when.
type reservation struct {
	owner     string
	requestID uint64
	at        time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() Registry {
	return Registry{keys: immutable.NewMap[string, reservation](nil)}
}

// Len returns the number of recorded keys.
func (reg Registry) Len() int { return reg.keys.Len() }

// WithReservation returns the registry after an entry requested a reservation of
// a key, and whether the key is new. Repeating the request with the same owner
// and ID returns the same result.
func (reg Registry) WithReservation(now time.Time, hash, owner string, requestID uint64) (next Registry, fresh bool) {
	old, seen := reg.keys.Get(hash)
	fresh = !seen || now.Sub(old.at) > KeyRetention || (old.owner == owner && old.requestID == requestID)
	if fresh {
		reg.keys = reg.keys.Set(hash, reservation{owner: owner, requestID: requestID, at: now})
	}
	return reg, fresh
}

// WithoutReservation returns the registry after the owner of a key released it,
// because its request is guaranteed not to have run.
func (reg Registry) WithoutReservation(hash, owner string) Registry {
	if old, seen := reg.keys.Get(hash); seen && old.owner == owner {
		reg.keys = reg.keys.Delete(hash)
	}
	return reg
}

// Key is a recorded key, as one member transfers it to another.
type Key struct {
	Hash  string
	Owner string
	// Age is the time since the key was recorded.
	Age time.Duration
}

// WithKeys returns the registry with keys transferred from another member.
func (reg Registry) WithKeys(now time.Time, keys []Key) Registry {
	for _, key := range keys {
		if _, seen := reg.keys.Get(key.Hash); !seen {
			reg.keys = reg.keys.Set(key.Hash, reservation{owner: key.Owner, at: now.Add(-key.Age)})
		}
	}
	return reg
}

// WithoutExpired returns the registry without the keys older than KeyRetention.
func (reg Registry) WithoutExpired(now time.Time) Registry {
	itr := reg.keys.Iterator()
	for !itr.Done() {
		hash, old, _ := itr.Next()
		if now.Sub(old.at) > KeyRetention {
			reg.keys = reg.keys.Delete(hash)
		}
	}
	return reg
}

// Replicas returns the voters that record a key: the first ones in the
// rendezvous order of its hash.
func Replicas(voters []string, hash string) []string {
	ids := slices.Clone(voters)
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(member.Score(b, hash), member.Score(a, hash))
	})
	return ids[:min(len(ids), replicaCount)]
}

// A Handover is a set of keys to transfer to a member.
type Handover struct {
	To   string
	Keys []Key
}

// Handovers returns the keys to transfer to the members that became replicas of
// them by a change of the voters, sorted by member and hash.
func (reg Registry) Handovers(now time.Time, self string, old, next []string) []Handover {
	byReplica := map[string][]Key{}
	itr := reg.keys.Iterator()
	for !itr.Done() {
		hash, one, _ := itr.Next()
		age := now.Sub(one.at)
		if age > KeyRetention {
			continue
		}
		before := Replicas(old, hash)
		for _, replica := range Replicas(next, hash) {
			if replica != self && !slices.Contains(before, replica) {
				byReplica[replica] = append(byReplica[replica], Key{Hash: hash, Owner: one.owner, Age: age})
			}
		}
	}
	var hds []Handover
	for replica, keys := range byReplica {
		slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(a.Hash, b.Hash) })
		hds = append(hds, Handover{To: replica, Keys: keys})
	}
	slices.SortFunc(hds, func(a, b Handover) int { return cmp.Compare(a.To, b.To) })
	return hds
}
