package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/idempotency"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
)

// Bounds of the memory of idempotency keys.
const (
	// sweepAbove is the number of keys above which old ones are looked for.
	sweepAbove = 1024
	// keysPerMessage bounds the keys that one message hands on.
	keysPerMessage = 1000
)

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
	homes := idempotency.Replicas(stp.st.config.VoterIDs(), hash)
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
		stp.send(home, message.ReserveKey{RequestID: id, Hash: hash})
	}
}

func (stp *step) reserveHeard(from string, msg message.ReserveKey) {
	if stp.st.memory.Len() > sweepAbove && stp.random(sweepAbove) == 0 {
		stp.st.memory = stp.st.memory.WithoutExpired(stp.now)
	}
	next, fresh := stp.st.memory.WithReservation(stp.now, msg.Hash, from, msg.RequestID)
	stp.st.memory = next
	stp.send(from, message.ReserveKeyReply{RequestID: msg.RequestID, Hash: msg.Hash, Fresh: fresh})
}

func (stp *step) reservedHeard(from string, msg message.ReserveKeyReply) {
	ask, ok := stp.st.asks.reservations.Get(msg.RequestID)
	if !ok || ask.hash != msg.Hash {
		return
	}
	if !msg.Fresh {
		stp.refuseDuplicate(msg.RequestID, ask)
		return
	}
	if !slices.Contains(ask.fresh, from) {
		ask.fresh = append(slices.Clip(ask.fresh), from)
	}
	stp.st.asks.reservations = stp.st.asks.reservations.Set(msg.RequestID, ask)
	if len(ask.fresh) >= ask.needed && !stp.awaitsHome(ask) {
		stp.reservationDone(msg.RequestID, ask)
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

// handOnKeys gives the keys that the entry remembers to the members that came to
// be their homes by a change of the voters.
func (stp *step) handOnKeys(old []string) {
	for _, hdo := range stp.st.memory.Handovers(stp.now, stp.st.set.ID, old, stp.st.config.VoterIDs()) {
		var keeps []message.IdempotencyKey
		for _, key := range hdo.Keys {
			keeps = append(keeps, message.IdempotencyKey{Hash: key.Hash, Owner: key.Owner, AgeMillis: key.Age.Milliseconds()})
		}
		for part := range slices.Chunk(keeps, keysPerMessage) {
			stp.send(hdo.To, message.KeyHandover{Keys: part})
		}
	}
}

func (stp *step) keepHeard(msg message.KeyHandover) {
	var keys []idempotency.Key
	for _, kpt := range msg.Keys {
		age := time.Duration(kpt.AgeMillis) * time.Millisecond
		keys = append(keys, idempotency.Key{Hash: kpt.Hash, Owner: kpt.Owner, Age: age})
	}
	stp.st.memory = stp.st.memory.WithKeys(stp.now, keys)
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
	for _, home := range idempotency.Replicas(stp.st.config.VoterIDs(), hash) {
		stp.send(home, message.ReleaseKey{Hash: hash})
	}
}

func (stp *step) releaseHeard(from string, msg message.ReleaseKey) {
	stp.st.memory = stp.st.memory.WithoutReservation(msg.Hash, from)
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
