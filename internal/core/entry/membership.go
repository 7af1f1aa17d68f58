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

// forgetPeerAfter is the time after which a silent peer that does not vote is
// forgotten.
const forgetPeerAfter = time.Minute

// totalsRepeatInterval is the time between two repetitions of the totals of the
// permits sent. They are also sent over each new link; the repetition covers a
// transfer that was lost while the link stayed up.
const totalsRepeatInterval = 5 * time.Second

// liveCheckInterval is the time between two checks of which members are live.
const liveCheckInterval = 50 * time.Millisecond

// handlePeerUp sends a newly linked member all state that it may have missed.
func (stp *step) handlePeerUp(evt event.PeerUp) {
	per, _ := stp.st.view.Peer(evt.Member)
	per.ID, per.AZ, per.Connected, per.LastSeenAt = evt.Member, evt.AZ, true, stp.now
	stp.st.view = stp.st.view.WithPeer(per)
	stp.record("member", "peer_up", evt.Member, evt.AZ)
	stp.sendHeartbeat(evt.Member, stp.reportedSpares())
	stp.sendTotals(evt.Member)
	stp.updateLeaders()
	stp.markAllDirty()
}

// handlePeerDown marks a member as disconnected and drops the grants to it,
// which may be lost.
func (stp *step) handlePeerDown(evt event.PeerDown) {
	per, ok := stp.st.view.Peer(evt.Member)
	if !ok {
		return
	}
	per.Connected = false
	stp.st.view = stp.st.view.WithPeer(per)
	stp.updateLeaders()
	stp.record("member", "peer_down", evt.Member, "")
	itr := stp.st.dispatchers.Iterator()
	for !itr.Done() {
		pool, dsp, _ := itr.Next()
		stp.st.dispatchers = stp.st.dispatchers.Set(pool, dsp.WithoutGrants(evt.Member))
	}
}

// markAlive records that a message of a member has arrived.
func (stp *step) markAlive(from string) {
	if from == stp.st.settings.ID {
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
		stp.updateLeaders()
	}
}

func (stp *step) handleHeartbeat(from string, hbt message.Heartbeat) {
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
	stp.updatePeerSpares(from, hbt.SparePermits)
	for _, vmID := range hbt.SeenLeaving {
		if !stp.st.fleet.IsLeaving(vmID) {
			stp.st.fleet = stp.st.fleet.WithLeaving(vmID, stp.now)
			stp.record("vm", "vm_leaving", vmID, "seen by "+from)
		}
	}
	if hbt.Leaving && !wasLeaving {
		stp.record("member", "peer_leaving", from, "")
		stp.updateLeaders()
	}
	stp.markGone(hbt.Gone, "reported by "+from)
	stp.sendMissingEdits(from, hbt.Revision)
	if hbt.Revision > stp.st.config.Revision {
		stp.send(from, message.SnapshotRequest{Have: stp.st.config.Revision})
	}
	stp.completeEdit()
}

func (stp *step) tickMembers() {
	if stp.now.Sub(stp.st.liveCheckedAt) >= liveCheckInterval {
		stp.st.liveCheckedAt = stp.now
		stp.updateLeaders()
		stp.dropStaleReports()
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
	repeat := stp.now.Sub(stp.st.totalsAt) >= totalsRepeatInterval
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

// sendHeartbeat sends one peer a heartbeat with the changes of the entry's
// spare permits. Changes lost on a broken link are sent again over the new one.
func (stp *step) sendHeartbeat(to string, spares []message.SparePermits) {
	echo, _ := stp.st.echoes.Get(to)
	hbt := message.Heartbeat{
		Revision: stp.st.config.Revision,
		AZ:       stp.st.settings.AZ,
		// The time since the entry's start, at least 1 because 0 means none.
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

// sendTotals repeats the totals of the permits sent to a member, in case an
// earlier message was lost.
func (stp *step) sendTotals(to string) {
	if totals := stp.st.ledger.SentTo(to); len(totals) > 0 {
		stp.send(to, message.PermitTransfer{Totals: totals})
	}
}

func (stp *step) handleFleetList(evt event.VMsListed) {
	stp.detectGoneVoters(evt)
	stp.st.fleet = stp.st.fleet.WithList(evt.VMs, stp.now)
	for _, asg := range stp.st.config.VMs {
		if _, ok := stp.st.fleet.VM(asg.VM); !ok {
			stp.clearSuspicion(asg.VM)
			stp.st.answeredAt = stp.st.answeredAt.Delete(asg.VM)
		}
	}
	stp.dropStaleReports()
}

// detectGoneVoters marks the voters as gone whose own VM the platform listed
// earlier and no longer lists. A VM that was never listed is no evidence,
// because the list lags.
func (stp *step) detectGoneVoters(evt event.VMsListed) {
	var gone []string
	for _, vtr := range stp.st.config.Voters {
		_, wasListed := stp.st.fleet.VM(vtr.VM)
		listed := slices.ContainsFunc(evt.VMs, func(one vm.VM) bool { return one.ID == vtr.VM })
		if wasListed && !listed && vtr.ID != stp.st.settings.ID {
			gone = append(gone, vtr.ID)
		}
	}
	stp.markGone(gone, "the platform no longer lists its VM")
}

// markGone marks members as gone, that is, confirmed to run no more.
func (stp *step) markGone(ids []string, reason string) {
	for _, id := range ids {
		if id != stp.st.settings.ID && !stp.st.view.IsGone(id) {
			stp.st.view = stp.st.view.WithGone([]string{id})
			stp.record("member", "member_gone", id, reason)
		}
	}
}

// connect emits the voters that the driver must keep links to.
func (stp *step) connect() {
	stp.emit(effect.Connect{Voters: stp.st.config.Voters})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
