package entry

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
)

// Bounds of the memory of idempotency keys.
const (
	// reservationCopies is how many members remember a key. A majority of
	// them must agree that it is new, so two entries can't both be told so.
	reservationCopies = 3
	// KeepReservations is how long a key is remembered.
	KeepReservations = 10 * time.Minute
	// sweepReservationsAbove is the number of keys above which old ones are
	// looked for.
	sweepReservationsAbove = 1024
)

// reservation is a member's memory of an idempotency key.
type reservation struct {
	owner string
	ask   uint64
	at    time.Time
}

// reservationAsk is a request that waits for its key to be remembered.
type reservationAsk struct {
	work work.ID
	hash string
	// fresh lists the homes that take the key for new.
	fresh []string
	// homes lists all that were asked; needed of them must agree.
	homes  []string
	needed int
	since  time.Time
}

// reserve lets members remember a request's idempotency key before the request
// may wait for a slot.
func (stp *step) reserve(wrk work.Work, idempotencyKey string) {
	sum := sha256.Sum256([]byte(wrk.Team + "\x00" + idempotencyKey))
	hash := hex.EncodeToString(sum[:])
	homes := stp.reservationHomes(hash)
	if len(homes) == 0 {
		stp.refuseNotRun(stp.requestOf(wrk.ID), outcome.CodeNoFreshConfig, "No voting member can remember the idempotency key.")
		stp.forget(wrk)
		return
	}
	stp.putWork(wrk.WithPhase(work.PhaseRecording))
	stp.st.asks.next++
	id := stp.st.asks.next
	ask := reservationAsk{work: wrk.ID, hash: hash, homes: homes, needed: len(homes)/2 + 1, since: stp.now}
	stp.st.asks.reservations = stp.st.asks.reservations.Set(id, ask)
	stp.st.asks.reservationOf = stp.st.asks.reservationOf.Set(stp.requestOf(wrk.ID), hash)
	for _, home := range homes {
		stp.send(home, message.Reserve{AskID: id, Hash: hash})
	}
}

// reservationHomes returns the voters that remember a key: those that come
// first in the rendezvous order of its hash.
func (stp *step) reservationHomes(hash string) []string {
	return homesAmong(stp.st.config.VoterIDs(), hash)
}

func homesAmong(ids []string, hash string) []string {
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Compare(member.Score(b, hash), member.Score(a, hash))
	})
	return ids[:min(len(ids), reservationCopies)]
}

func (stp *step) reserveHeard(from string, msg message.Reserve) {
	stp.sweepReservations()
	old, seen := stp.st.reserved.Get(msg.Hash)
	fresh := !seen || stp.now.Sub(old.at) > KeepReservations || (old.owner == from && old.ask == msg.AskID)
	if fresh {
		stp.st.reserved = stp.st.reserved.Set(msg.Hash, reservation{owner: from, ask: msg.AskID, at: stp.now})
	}
	stp.send(from, message.Reserved{AskID: msg.AskID, Hash: msg.Hash, Fresh: fresh})
}

// sweepReservations forgets old keys, now and then.
func (stp *step) sweepReservations() {
	if stp.st.reserved.Len() < sweepReservationsAbove || stp.random(sweepReservationsAbove) != 0 {
		return
	}
	itr := stp.st.reserved.Iterator()
	for !itr.Done() {
		hash, res, _ := itr.Next()
		if stp.now.Sub(res.at) > KeepReservations {
			stp.st.reserved = stp.st.reserved.Delete(hash)
		}
	}
}

func (stp *step) reservedHeard(from string, msg message.Reserved) {
	ask, ok := stp.st.asks.reservations.Get(msg.AskID)
	if !ok || ask.hash != msg.Hash {
		return
	}
	if !msg.Fresh {
		stp.refuseDuplicate(msg.AskID, ask)
		return
	}
	if !slices.Contains(ask.fresh, from) {
		ask.fresh = append(slices.Clip(ask.fresh), from)
	}
	stp.st.asks.reservations = stp.st.asks.reservations.Set(msg.AskID, ask)
	if len(ask.fresh) >= ask.needed && !stp.awaitsHome(ask) {
		stp.reservationDone(msg.AskID, ask)
	}
}

// awaitsHome reports whether a home that is live has yet to answer. Its memory
// may be the only one left: the others may have come to be homes since.
func (stp *step) awaitsHome(ask reservationAsk) bool {
	for _, home := range ask.homes {
		if !slices.Contains(ask.fresh, home) && slices.Contains(stp.st.live, home) {
			return true
		}
	}
	return false
}

func (stp *step) reservationDone(id uint64, ask reservationAsk) {
	stp.st.asks.reservations = stp.st.asks.reservations.Delete(id)
	if wrk, ok := stp.st.works.Get(ask.work); ok && wrk.Phase == work.PhaseRecording {
		stp.enqueue(wrk)
	}
}

// keepsPerMessage bounds the keys that one message hands on.
const keepsPerMessage = 1000

// handOnReservations gives the keys that the entry remembers to the members that
// came to be their homes by a change of the voters.
func (stp *step) handOnReservations(old []string) {
	next := stp.st.config.VoterIDs()
	if slices.Equal(old, next) {
		return
	}
	keeps := map[string][]message.Kept{}
	itr := stp.st.reserved.Iterator()
	for !itr.Done() {
		hash, res, _ := itr.Next()
		if stp.now.Sub(res.at) > KeepReservations {
			continue
		}
		was := homesAmong(slices.Clone(old), hash)
		for _, home := range homesAmong(slices.Clone(next), hash) {
			if home != stp.st.set.ID && !slices.Contains(was, home) {
				kpt := message.Kept{Hash: hash, Owner: res.owner, AgeMillis: stp.now.Sub(res.at).Milliseconds()}
				keeps[home] = append(keeps[home], kpt)
			}
		}
	}
	for _, home := range next {
		slices.SortFunc(keeps[home], func(a, b message.Kept) int { return cmp.Compare(a.Hash, b.Hash) })
		for part := range slices.Chunk(keeps[home], keepsPerMessage) {
			stp.send(home, message.Keep{Keys: part})
		}
	}
}

func (stp *step) keepHeard(msg message.Keep) {
	for _, kpt := range msg.Keys {
		if _, seen := stp.st.reserved.Get(kpt.Hash); !seen {
			at := stp.now.Add(-time.Duration(kpt.AgeMillis) * time.Millisecond)
			stp.st.reserved = stp.st.reserved.Set(kpt.Hash, reservation{owner: kpt.Owner, at: at})
		}
	}
}

// refuseDuplicate answers a request whose key was seen before. This call is not
// run, but what the caller wants may have been, so the outcome is unknown.
func (stp *step) refuseDuplicate(id uint64, ask reservationAsk) {
	stp.st.asks.reservations = stp.st.asks.reservations.Delete(id)
	wrk, ok := stp.st.works.Get(ask.work)
	if !ok {
		return
	}
	stp.refuse(stp.requestOf(wrk.ID), outcome.Refusal{
		Outcome: outcome.Unknown, Code: outcome.CodeDuplicate,
		Message: "A request with this idempotency key was taken before and may have run.",
	})
	stp.forget(wrk)
}

// releaseReservation forgets the key of a request that was certainly not run,
// so that the caller may repeat it.
func (stp *step) releaseReservation(request uint64) {
	hash, ok := stp.st.asks.reservationOf.Get(request)
	if !ok {
		return
	}
	stp.st.asks.reservationOf = stp.st.asks.reservationOf.Delete(request)
	for _, home := range stp.reservationHomes(hash) {
		stp.send(home, message.Release{Hash: hash})
	}
}

func (stp *step) releaseHeard(from string, msg message.Release) {
	if res, ok := stp.st.reserved.Get(msg.Hash); ok && res.owner == from {
		stp.st.reserved = stp.st.reserved.Delete(msg.Hash)
	}
}

func (stp *step) tickReservations() {
	itr := stp.st.asks.reservations.Iterator()
	for !itr.Done() {
		id, ask, _ := itr.Next()
		if stp.now.Sub(ask.since) < askTimeout {
			continue
		}
		if len(ask.fresh) >= ask.needed {
			stp.reservationDone(id, ask)
			continue
		}
		stp.st.asks.reservations = stp.st.asks.reservations.Delete(id)
		if wrk, ok := stp.st.works.Get(ask.work); ok {
			stp.refuseNotRun(stp.requestOf(wrk.ID), outcome.CodeNoFreshConfig, "Too few members could remember the idempotency key.")
			stp.forget(wrk)
		}
	}
}
