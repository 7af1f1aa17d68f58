package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Limits of permit requests.
const (
	// permitRequestInterval is the time between two rounds of permit requests.
	permitRequestInterval = 5 * time.Millisecond
	// permitHeadroom is the number of permits that an entry with a backlog
	// keeps free for the next grants. Requesting permits for the whole backlog
	// would move them away from the entries that get the slots.
	permitHeadroom = 8
)

// teamState holds the demand and the free permits of a team at this entry.
type teamState struct {
	waiting int
	oldest  time.Time
	// urgent is set if urgent work waits.
	urgent bool
	// free is the number of permits that are not in use. It is negative if the
	// entry runs more work than it holds permits for.
	free int
}

// spare returns the number of permits that the entry has no work for.
func (tst teamState) spare() int { return max(0, tst.free-tst.waiting) }

func (stp *step) teamState(team string) teamState {
	tst := teamState{free: stp.st.HeldPermits(team) - stp.st.Running(team)}
	if _, waits := stp.st.waiting.Get(team); !waits {
		return tst
	}
	itr := stp.st.backlogged.Iterator()
	for !itr.Done() {
		pool, _, _ := itr.Next()
		for _, cnt := range stp.pool(pool).queue.Backlog() {
			if cnt.Lane.Team != team {
				continue
			}
			tst.waiting += cnt.Waiting
			tst.urgent = tst.urgent || cnt.Lane.Urgency == table.UrgencyUrgent
			if tst.oldest.IsZero() || cnt.Oldest.Before(tst.oldest) {
				tst.oldest = cnt.Oldest
			}
		}
	}
	return tst
}

// tickPermits requests from the peers the permits that waiting work lacks.
func (stp *step) tickPermits() {
	if stp.now.Sub(stp.st.permitsRequestedAt) < permitRequestInterval {
		return
	}
	stp.st.permitsRequestedAt = stp.now
	itr := stp.st.waiting.Iterator()
	for !itr.Done() {
		team, _, _ := itr.Next()
		tst := stp.teamState(team)
		shortfall := min(tst.waiting, permitHeadroom) - tst.free
		if shortfall > 0 {
			stp.requestPermits(team, shortfall, tst)
		}
	}
}

// requestPermits sends requests to the peers that reported spare permits. If
// these are not enough, it requests the rest from a random peer.
func (stp *step) requestPermits(team string, shortfall int, tst teamState) {
	req := message.PermitRequest{
		Team: team, Urgent: tst.urgent, Free: max(0, tst.free),
		AgeMillis: stp.now.Sub(tst.oldest).Milliseconds(),
	}
	for shortfall > 0 {
		peer, spare := stp.peerWithMostSpare(team)
		if spare <= 0 {
			break
		}
		req.Permits = min(shortfall, spare)
		stp.setPeerSpare(team, peer, spare-req.Permits)
		stp.send(peer, req)
		shortfall -= req.Permits
	}
	peers := stp.transferPeers()
	if shortfall <= 0 || len(peers) == 0 {
		return
	}
	req.Permits = shortfall
	stp.send(peers[stp.random(len(peers))], req)
}

// transferPeers returns the peers that permits can be transferred with: the
// voters whose messages arrive and with which transfers are not frozen.
func (stp *step) transferPeers() []string {
	var peers []string
	for _, per := range stp.st.view.Peers() {
		_, votes := stp.st.config.Voter(per.ID)
		if votes && stp.now.Sub(per.LastSeenAt) <= member.LivenessTimeout && !stp.st.ledger.IsFrozen(per.ID) {
			peers = append(peers, per.ID)
		}
	}
	return peers
}

// peerWithMostSpare returns the peer that reported the most spare permits of a
// team.
func (stp *step) peerWithMostSpare(team string) (peer string, spare int) {
	for _, id := range stp.transferPeers() {
		peerSpare, _ := stp.st.peerSpares.Get(spareKey{team, id})
		if peerSpare > spare {
			peer, spare = id, peerSpare
		}
	}
	return peer, spare
}

func (stp *step) setPeerSpare(team, peer string, spare int) {
	key := spareKey{team, peer}
	if spare <= 0 {
		stp.st.peerSpares = stp.st.peerSpares.Delete(key)
		return
	}
	stp.st.peerSpares = stp.st.peerSpares.Set(key, spare)
}

// spareOf returns the number of permits of a team that the entry has no work
// for.
func (stp *step) spareOf(team string) int {
	return stp.teamState(team).spare()
}

// handlePermitRequest transfers as many permits as the requester may have.
func (stp *step) handlePermitRequest(from string, req message.PermitRequest) {
	if _, votes := stp.st.config.Voter(from); !votes {
		return
	}
	count := min(req.Permits, stp.transferable(req))
	if count > 0 {
		stp.st.ledger, _ = stp.st.ledger.WithSent(req.Team, from, count)
		stp.markBacklogDirty()
	}
	stp.send(from, message.PermitTransfer{
		Totals:       stp.st.ledger.SentTo(from),
		SparePermits: []message.SparePermits{{Team: req.Team, Permits: stp.spareOf(req.Team)}},
	})
}

// transferable returns the number of permits that a requester may have: all
// that this entry has no work for; otherwise, if the requester has no free
// permit, half of the free ones, or the last one if the requester's work is
// more urgent or older. So no entry can monopolize a team's permits.
func (stp *step) transferable(req message.PermitRequest) int {
	tst := stp.teamState(req.Team)
	spare := tst.spare()
	if spare > 0 || tst.free <= 0 || req.Free > 0 {
		return spare
	}
	if tst.free > 1 {
		return tst.free / 2
	}
	requesterOldest := stp.now.Add(-time.Duration(req.AgeMillis) * time.Millisecond)
	if req.Urgent != tst.urgent {
		return boolToInt(req.Urgent)
	}
	return boolToInt(requesterOldest.Before(tst.oldest))
}

func boolToInt(cond bool) int {
	if cond {
		return 1
	}
	return 0
}

func (stp *step) handlePermitTransfer(from string, msg message.PermitTransfer) {
	if _, votes := stp.st.config.Voter(from); votes {
		for _, ttl := range msg.Totals {
			stp.st.ledger = stp.st.ledger.WithReceived(ttl.Team, from, ttl.Count)
		}
		stp.markBacklogDirty()
	}
	stp.updatePeerSpares(from, msg.SparePermits)
}

// changedSpares returns the teams whose spare permits have changed enough since
// the last report to affect where peers send their requests.
func (stp *step) changedSpares() []message.SparePermits {
	var changed []message.SparePermits
	for _, tea := range stp.st.config.Tables.Teams {
		spare := stp.spareOf(tea.Name)
		reported, _ := stp.st.reportedSpares.Get(tea.Name)
		if !withinFactorOfTwo(spare, reported) {
			changed = append(changed, message.SparePermits{Team: tea.Name, Permits: spare})
			stp.st.reportedSpares = stp.st.reportedSpares.Set(tea.Name, spare)
		}
	}
	return changed
}

// withinFactorOfTwo reports whether two counts are both zero or within a factor
// of two.
func withinFactorOfTwo(a, b int) bool {
	return (a == 0) == (b == 0) && a <= 2*b && b <= 2*a
}

// reportedSpares returns the spare permits as last reported to the peers.
func (stp *step) reportedSpares() []message.SparePermits {
	var reported []message.SparePermits
	itr := stp.st.reportedSpares.Iterator()
	for !itr.Done() {
		team, spare, _ := itr.Next()
		reported = append(reported, message.SparePermits{Team: team, Permits: spare})
	}
	return reported
}

// updatePeerSpares stores the spare permits that a peer reported.
func (stp *step) updatePeerSpares(from string, spares []message.SparePermits) {
	for _, spa := range spares {
		stp.setPeerSpare(spa.Team, from, spa.Permits)
	}
}
