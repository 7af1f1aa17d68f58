package entry

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
)

// forgetPeerAfter is how long a peer that does not vote is remembered in
// silence.
const forgetPeerAfter = time.Minute

// repeatTotalsEvery is the time between two repetitions of the cumulative
// permits. A lost transfer is made up for with a new link; this is for one that
// was lost without anybody's noticing.
const repeatTotalsEvery = 5 * time.Second

// liveCheckEvery is the time between two looks at who is live.
const liveCheckEvery = 50 * time.Millisecond

func (stp *step) peerUp(evt event.PeerUp) {
	per, _ := stp.st.view.Peer(evt.Member)
	per.ID, per.AZ, per.Connected, per.LastSeenAt = evt.Member, evt.AZ, true, stp.now
	stp.st.view = stp.st.view.WithPeer(per)
	stp.record("member", "peer_up", evt.Member, evt.AZ)
	stp.sendHeartbeat(evt.Member, stp.toldSpares())
	stp.sendTotals(evt.Member)
	stp.redirectReports()
	stp.markAllDirty()
}

func (stp *step) peerDown(evt event.PeerDown) {
	per, ok := stp.st.view.Peer(evt.Member)
	if !ok {
		return
	}
	per.Connected = false
	stp.st.view = stp.st.view.WithPeer(per)
	stp.redirectReports()
	stp.record("member", "peer_down", evt.Member, "")
	itr := stp.st.leads.Iterator()
	for !itr.Done() {
		pool, dsp, _ := itr.Next()
		stp.st.leads = stp.st.leads.Set(pool, dsp.WithoutGrants(evt.Member))
	}
}

// heard notes that a member is alive.
func (stp *step) heard(from string) {
	if from == stp.st.set.ID {
		return
	}
	per, _ := stp.st.view.Peer(from)
	if !per.LastSeenAt.Before(stp.now) {
		return
	}
	silent := stp.now.Sub(per.LastSeenAt) > member.LivenessTimeout
	per.ID, per.LastSeenAt = from, stp.now
	stp.st.view = stp.st.view.WithPeer(per)
	if silent {
		stp.redirectReports()
	}
}

func (stp *step) heartbeatHeard(from string, hbt message.Heartbeat) {
	per, _ := stp.st.view.Peer(from)
	wasLeaving := per.Leaving
	per.AZ = hbt.AZ
	per.Leaving = hbt.Leaving
	per.Revision = max(per.Revision, hbt.Revision)
	if hbt.Echo > 0 {
		per.ConfirmedAt = later(per.ConfirmedAt, stp.st.started.Add(time.Duration(hbt.Echo)))
	}
	stp.st.view = stp.st.view.WithPeer(per)
	stp.st.echoes = stp.st.echoes.Set(from, hbt.SentNanos)
	stp.hearSpares(from, hbt.SparePermits)
	for _, vmID := range hbt.SeenLeaving {
		if !stp.st.fleet.IsLeaving(vmID) {
			stp.st.fleet = stp.st.fleet.WithLeaving(vmID, stp.now)
			stp.record("vm", "vm_leaving", vmID, "seen by "+from)
		}
	}
	if hbt.Leaving && !wasLeaving {
		stp.record("member", "peer_leaving", from, "")
		stp.redirectReports()
	}
	stp.membersGone(hbt.Gone, "told by "+from)
	stp.offerEdits(from, hbt.Revision)
	if hbt.Revision > stp.st.config.Revision {
		stp.send(from, message.SnapshotRequest{Have: stp.st.config.Revision})
	}
	stp.checkAcknowledged()
}

func (stp *step) tickMembers() {
	if stp.now.Sub(stp.st.liveCheckAt) >= liveCheckEvery {
		stp.st.liveCheckAt = stp.now
		stp.redirectReports()
		stp.dropReports()
	}
	if stp.now.Sub(stp.st.heartbeatAt) < member.HeartbeatInterval {
		return
	}
	stp.sendHeartbeats()
	for _, per := range stp.st.view.Peers() {
		_, votes := stp.st.config.Voter(per.ID)
		if !votes && !per.Connected && stp.now.Sub(per.LastSeenAt) > forgetPeerAfter {
			stp.st.view = stp.st.view.WithoutPeer(per.ID)
			stp.st.echoes = stp.st.echoes.Delete(per.ID)
		}
	}
}

func (stp *step) sendHeartbeats() {
	stp.st.heartbeatAt = stp.now
	repeat := stp.now.Sub(stp.st.totalsAt) >= repeatTotalsEvery
	if repeat {
		stp.st.totalsAt = stp.now
	}
	spares := stp.changedSpares()
	for _, per := range stp.st.view.Peers() {
		if !per.Connected || stp.isDismissed(per.ID) {
			continue
		}
		stp.sendHeartbeat(per.ID, spares)
		if repeat {
			stp.sendTotals(per.ID)
		}
	}
}

// sendHeartbeat tells one peer that the entry lives, and what changed of its
// spare permits. What was lost on the way is told again when the link is new.
func (stp *step) sendHeartbeat(to string, spares []message.SparePermits) {
	echo, _ := stp.st.echoes.Get(to)
	hbt := message.Heartbeat{
		Revision:     stp.st.config.Revision,
		AZ:           stp.st.set.AZ,
		SentNanos:    max(1, stp.now.Sub(stp.st.started).Nanoseconds()),
		Echo:         echo,
		Leaving:      stp.st.view.Leaving(),
		SeenLeaving:  stp.st.fleet.SeenLeaving(),
		SparePermits: spares,
	}
	for _, vtr := range stp.st.config.Voters {
		if stp.st.view.IsGone(vtr.ID) {
			hbt.Gone = append(hbt.Gone, vtr.ID)
		}
	}
	stp.send(to, hbt)
}

// sendTotals repeats the cumulative permits sent to a member, in case an
// earlier message was lost.
func (stp *step) sendTotals(to string) {
	if totals := stp.st.ledger.SentTo(to); len(totals) > 0 {
		stp.send(to, message.PermitTransfer{Totals: totals})
	}
}

func (stp *step) vmsListed(evt event.VMsListed) {
	stp.noteGoneVMs(evt)
	stp.st.fleet = stp.st.fleet.WithList(evt.VMs, stp.now)
	for _, asg := range stp.st.config.VMs {
		if _, ok := stp.st.fleet.VM(asg.VM); !ok {
			stp.clearSuspicion(asg.VM)
			stp.st.answeredAt = stp.st.answeredAt.Delete(asg.VM)
		}
	}
	stp.dropReports()
}

// noteGoneVMs takes the voters for gone whose own VM the platform listed before
// and lists no more. A VM that was never listed proves nothing: the list lags.
func (stp *step) noteGoneVMs(evt event.VMsListed) {
	var gone []string
	for _, vtr := range stp.st.config.Voters {
		_, was := stp.st.fleet.VM(vtr.VM)
		listed := slices.ContainsFunc(evt.VMs, func(one vm.VM) bool { return one.ID == vtr.VM })
		if was && !listed && vtr.ID != stp.st.set.ID {
			gone = append(gone, vtr.ID)
		}
	}
	stp.membersGone(gone, "the platform took its VM away")
}

func (stp *step) membersGone(ids []string, reason string) {
	for _, id := range ids {
		if id != stp.st.set.ID && !stp.st.view.IsGone(id) {
			stp.st.view = stp.st.view.WithGone([]string{id})
			stp.record("member", "member_gone", id, reason)
		}
	}
}

// connect tells the driver which voters to keep links to.
func (stp *step) connect() {
	stp.emit(effect.Connect{Voters: stp.st.config.Voters})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
