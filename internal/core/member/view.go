package member

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Timeouts of the freshness rule and of failure detection.
const (
	// FreshnessTimeout is how long after contact with the store or with a
	// majority of the voters an entry may start work.
	FreshnessTimeout = 2 * time.Second
	// LivenessTimeout is the time after a member's last message at which it no
	// longer counts as live. Urgent work that waits for a failed dispatcher
	// must still start within 1.2 s.
	LivenessTimeout = 600 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats to each peer.
	HeartbeatInterval = 200 * time.Millisecond
)

// Peer is the last known state of another entry.
type Peer struct {
	ID string
	AZ string
	// LastSeenAt is the time of the last message. It never goes back.
	LastSeenAt time.Time
	// ConfirmedAt is the time at which the entry sent the latest heartbeat that
	// the peer has echoed. The peer's report is at least as recent, however
	// long its message was in transit.
	ConfirmedAt time.Time
	// Revision is the highest configuration revision that the peer reported.
	Revision int64
	// Leaving reports whether the peer is shutting down gracefully.
	Leaving bool
	// Connected reports whether a link to the peer is up.
	Connected bool
}

// View is one entry's state of the other entries. It is immutable.
type View struct {
	self string
	// peers is sorted by ID and excludes the entry itself.
	peers []Peer
	// storeContactAt is the send time of the latest read of store.KeyConfigHead
	// that the store answered.
	storeContactAt time.Time
	leaving        bool
	// gone is sorted and lists members that are guaranteed to have terminated:
	// the platform removed their VM, or an operator confirmed it.
	gone []string
}

// NewView returns the view of an entry that has received no message.
func NewView(self string) View {
	return View{self: self}
}

// Self returns the entry's own ID.
func (vie View) Self() string { return vie.self }

// Leaving reports whether the entry itself is shutting down.
func (vie View) Leaving() bool { return vie.leaving }

// StoreContactAt returns the send time of the latest read that the store
// answered.
func (vie View) StoreContactAt() time.Time { return vie.storeContactAt }

// Peers returns the known peers, sorted by ID. The caller must not modify the
// slice.
func (vie View) Peers() []Peer { return vie.peers }

// Peer returns the last known state of a member.
func (vie View) Peer(id string) (per Peer, ok bool) {
	at, found := vie.find(id)
	if !found {
		return Peer{}, false
	}
	return vie.peers[at], true
}

// WithPeer returns the view with the state of a peer replaced.
func (vie View) WithPeer(per Peer) View {
	at, found := vie.find(per.ID)
	vie.peers = slices.Clone(vie.peers)
	if found {
		vie.peers[at] = per
	} else {
		vie.peers = slices.Insert(vie.peers, at, per)
	}
	return vie
}

// WithoutPeer returns the view without a member.
func (vie View) WithoutPeer(id string) View {
	at, found := vie.find(id)
	if found {
		vie.peers = slices.Delete(slices.Clone(vie.peers), at, at+1)
	}
	return vie
}

// WithStoreContact returns the view after the store answered a read that was
// sent at the given time.
func (vie View) WithStoreContact(sentAt time.Time) View {
	if sentAt.After(vie.storeContactAt) {
		vie.storeContactAt = sentAt
	}
	return vie
}

// WithGone returns the view after members were confirmed to have terminated.
// They send no messages, so majorities are counted without them: every entry
// that still starts work is in contact with a majority of the same smaller set.
func (vie View) WithGone(ids []string) View {
	gone := append(slices.Clone(vie.gone), ids...)
	slices.Sort(gone)
	vie.gone = slices.Compact(gone)
	return vie
}

// IsGone reports whether a member is confirmed to have terminated.
func (vie View) IsGone(id string) bool {
	_, found := slices.BinarySearch(vie.gone, id)
	return found
}

// WithLeaving returns the view of an entry that is shutting down.
func (vie View) WithLeaving() View {
	vie.leaving = true
	return vie
}

// Live returns the IDs of the members that are connected and were seen within
// LivenessTimeout, including the entry itself, sorted. Members that are
// shutting down are excluded.
func (vie View) Live(now time.Time) []string {
	ids := make([]string, 0, len(vie.peers)+1)
	for _, per := range vie.peers {
		if !per.Leaving && per.Connected && isWithin(per.LastSeenAt, now, LivenessTimeout) {
			ids = append(ids, per.ID)
		}
	}
	if !vie.leaving {
		ids = append(ids, vie.self)
	}
	slices.Sort(ids)
	return ids
}

// HasQuorum reports whether more than half of the voters that are not gone were
// confirmed within FreshnessTimeout, counting the entry itself if it is a
// voter.
func (vie View) HasQuorum(now time.Time, cfg *table.Config) bool {
	return vie.isMajority(cfg, func(per Peer) bool { return isWithin(per.ConfirmedAt, now, FreshnessTimeout) })
}

// isMajority reports whether a condition holds for more than half of the voters
// that are not gone. It always holds for the entry itself.
func (vie View) isMajority(cfg *table.Config, holds func(per Peer) bool) bool {
	voters, count := 0, 0
	for _, vtr := range cfg.Voters {
		if vie.IsGone(vtr.ID) {
			continue
		}
		voters++
		per, known := vie.Peer(vtr.ID)
		if vtr.ID == vie.self || (known && holds(per)) {
			count++
		}
	}
	return 2*count > voters
}

// IsFresh reports whether the entry may start work: within FreshnessTimeout it
// had contact with the store or with a majority of the voters.
func (vie View) IsFresh(now time.Time, cfg *table.Config) bool {
	if isWithin(vie.storeContactAt, now, FreshnessTimeout) {
		return true
	}
	return vie.HasQuorum(now, cfg)
}

// Acknowledged reports whether a majority of the voters that are not gone
// reported at least the given revision, counting the entry itself if it is a
// voter.
func (vie View) Acknowledged(cfg *table.Config, revision int64) bool {
	return vie.isMajority(cfg, func(per Peer) bool { return per.Revision >= revision })
}

func isWithin(at, now time.Time, span time.Duration) bool {
	return !at.IsZero() && now.Sub(at) <= span
}

func (vie View) find(id string) (at int, found bool) {
	return slices.BinarySearchFunc(vie.peers, id, func(per Peer, id string) int {
		return cmp.Compare(per.ID, id)
	})
}

// Leader returns the member that leads a subject, such as a pool, by rendezvous
// hashing: the one with the highest score for the subject. It returns "" when
// there are no members.
func Leader(members []string, subject string) string {
	best, bestScore := "", uint64(0)
	for _, id := range members {
		score := Score(id, subject)
		if best == "" || score > bestScore || (score == bestScore && id < best) {
			best, bestScore = id, score
		}
	}
	return best
}

// Score returns the rendezvous hash of a member for a subject. It is the same
// at every entry.
func Score(id, subject string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(subject))
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(id))
	return mix(sum.Sum64())
}

// mix spreads the bits of an FNV hash, whose high bits depend too little on the
// last bytes. The constants are those of the SplitMix64 finalizer.
func mix(val uint64) uint64 {
	val ^= val >> 30
	val *= 0xbf58476d1ce4e5b9
	val ^= val >> 27
	val *= 0x94d049bb133111eb
	val ^= val >> 31
	return val
}
