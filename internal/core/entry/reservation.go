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

// Limits of the registry of idempotency keys.
const (
	// sweepThreshold is the number of keys above which expired ones are
	// removed.
	sweepThreshold = 1024
	// maxKeysPerMessage bounds the keys that are handed over in one message.
	maxKeysPerMessage = 1000
)

// pendingReservation is a request that waits for its idempotency key to be
// reserved. The replicas of a key are the voters that remember it.
type pendingReservation struct {
	work work.ID
	// hash identifies the key and the team in messages.
	hash string
	// confirmed lists the replicas that replied that the key is new.
	confirmed []string
	// replicas lists the members that were queried; needed of them must
	// confirm.
	replicas []string
	needed   int
	since    time.Time
}

// reserve requests a reservation of the idempotency key from the key's replicas.
// The request is queued once enough of them confirm.
func (stp *step) reserve(wrk work.Work, idempotencyKey string) {
	sum := sha256.Sum256([]byte(wrk.Team + "\x00" + idempotencyKey))
	hash := hex.EncodeToString(sum[:])
	replicas := idempotency.Replicas(stp.st.config.VoterIDs(), hash)
	if len(replicas) == 0 {
		stp.refuseNotRun(stp.requestOf(wrk.ID), outcome.CodeNoFreshConfig, "No voting member can remember the idempotency key.")
		stp.forget(wrk)
		return
	}
	stp.putWork(wrk.WithPhase(work.PhaseRecording))
	stp.st.queries.lastID++
	id := stp.st.queries.lastID
	rsv := pendingReservation{work: wrk.ID, hash: hash, replicas: replicas, needed: len(replicas)/2 + 1, since: stp.now}
	stp.st.queries.reservations = stp.st.queries.reservations.Set(id, rsv)
	stp.st.queries.reservationOf = stp.st.queries.reservationOf.Set(stp.requestOf(wrk.ID), hash)
	for _, replica := range replicas {
		stp.send(replica, message.ReserveKey{RequestID: id, Hash: hash})
	}
}

func (stp *step) handleReserveKey(from string, msg message.ReserveKey) {
	if stp.st.registry.Len() > sweepThreshold && stp.random(sweepThreshold) == 0 {
		stp.st.registry = stp.st.registry.WithoutExpired(stp.now)
	}
	next, fresh := stp.st.registry.WithReservation(stp.now, msg.Hash, from, msg.RequestID)
	stp.st.registry = next
	stp.send(from, message.ReserveKeyReply{RequestID: msg.RequestID, Hash: msg.Hash, Fresh: fresh})
}

func (stp *step) handleReserveKeyReply(from string, msg message.ReserveKeyReply) {
	rsv, ok := stp.st.queries.reservations.Get(msg.RequestID)
	if !ok || rsv.hash != msg.Hash {
		return
	}
	if !msg.Fresh {
		stp.refuseDuplicate(msg.RequestID, rsv)
		return
	}
	if !slices.Contains(rsv.confirmed, from) {
		rsv.confirmed = append(slices.Clip(rsv.confirmed), from)
	}
	stp.st.queries.reservations = stp.st.queries.reservations.Set(msg.RequestID, rsv)
	if len(rsv.confirmed) >= rsv.needed && !stp.awaitsLiveReplica(rsv) {
		stp.finishReservation(msg.RequestID, rsv)
	}
}

// awaitsLiveReplica reports whether a live replica has not replied. It may be
// the only one that remembers the key, because the others may have become
// replicas later.
func (stp *step) awaitsLiveReplica(rsv pendingReservation) bool {
	for _, replica := range rsv.replicas {
		if !slices.Contains(rsv.confirmed, replica) && slices.Contains(stp.st.live, replica) {
			return true
		}
	}
	return false
}

func (stp *step) finishReservation(id uint64, rsv pendingReservation) {
	stp.st.queries.reservations = stp.st.queries.reservations.Delete(id)
	if wrk, ok := stp.st.works.Get(rsv.work); ok && wrk.Phase == work.PhaseRecording {
		stp.enqueue(wrk)
	}
}

// handOverKeys sends the keys that this entry remembers to the members that
// became their replicas by a change of the voters.
func (stp *step) handOverKeys(old []string) {
	for _, hdo := range stp.st.registry.Handovers(stp.now, stp.st.settings.ID, old, stp.st.config.VoterIDs()) {
		var handedOver []message.IdempotencyKey
		for _, key := range hdo.Keys {
			handedOver = append(handedOver, message.IdempotencyKey{Hash: key.Hash, Owner: key.Owner, AgeMillis: key.Age.Milliseconds()})
		}
		for part := range slices.Chunk(handedOver, maxKeysPerMessage) {
			stp.send(hdo.To, message.KeyHandover{Keys: part})
		}
	}
}

func (stp *step) handleKeyHandover(msg message.KeyHandover) {
	var keys []idempotency.Key
	for _, idk := range msg.Keys {
		age := time.Duration(idk.AgeMillis) * time.Millisecond
		keys = append(keys, idempotency.Key{Hash: idk.Hash, Owner: idk.Owner, Age: age})
	}
	stp.st.registry = stp.st.registry.WithKeys(stp.now, keys)
}

// refuseDuplicate refuses a request whose key was seen before. This request is
// not run, but the earlier one may have been, so the outcome is unknown.
func (stp *step) refuseDuplicate(id uint64, rsv pendingReservation) {
	stp.st.queries.reservations = stp.st.queries.reservations.Delete(id)
	wrk, ok := stp.st.works.Get(rsv.work)
	if !ok {
		return
	}
	stp.refuse(stp.requestOf(wrk.ID), outcome.Refusal{
		Outcome: outcome.Unknown, Code: outcome.CodeDuplicate,
		Message: "A request with this idempotency key was taken before and may have run.",
	})
	stp.forget(wrk)
}

// releaseReservation releases the key of a request that was not run, so that
// the caller may repeat it.
func (stp *step) releaseReservation(request uint64) {
	hash, ok := stp.st.queries.reservationOf.Get(request)
	if !ok {
		return
	}
	stp.st.queries.reservationOf = stp.st.queries.reservationOf.Delete(request)
	for _, replica := range idempotency.Replicas(stp.st.config.VoterIDs(), hash) {
		stp.send(replica, message.ReleaseKey{Hash: hash})
	}
}

func (stp *step) handleReleaseKey(from string, msg message.ReleaseKey) {
	stp.st.registry = stp.st.registry.WithoutReservation(msg.Hash, from)
}

func (stp *step) tickReservations() {
	itr := stp.st.queries.reservations.Iterator()
	for !itr.Done() {
		id, rsv, _ := itr.Next()
		if stp.now.Sub(rsv.since) < peerReplyTimeout {
			continue
		}
		if len(rsv.confirmed) >= rsv.needed {
			stp.finishReservation(id, rsv)
			continue
		}
		stp.st.queries.reservations = stp.st.queries.reservations.Delete(id)
		if wrk, ok := stp.st.works.Get(rsv.work); ok {
			stp.refuseNotRun(stp.requestOf(wrk.ID), outcome.CodeNoFreshConfig, "Too few members could remember the idempotency key.")
			stp.forget(wrk)
		}
	}
}
