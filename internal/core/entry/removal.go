package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Timing of the removal of members.
const (
	// removalCheckInterval is the time between two searches for departed
	// members.
	removalCheckInterval = 500 * time.Millisecond
	// freezeTimeout is the time that the other voters have to freeze their
	// transfers.
	freezeTimeout = 3 * time.Second
	// clockDriftMargin is added to the time by which a departed member has
	// stopped, because clocks run at different rates.
	clockDriftMargin = time.Second
)

// removalState is the state of a removal of voters by this entry.
type removalState struct {
	checkedAt time.Time
	// absent lists the voters without messages and without a lease, sorted by
	// ID.
	absent []absence
	// members lists the voters that are being removed. It is empty while no
	// removal is in progress.
	members []string
	// since is when the removal began.
	since time.Time
	// replies holds the settlements of the remaining voters so far.
	replies []table.Settlement
}

// absence is an absent voter, and since when this entry has found it absent.
type absence struct {
	id    string
	since time.Time
}

// updateAbsent updates the list of absent voters. It is called after each read
// of the members with a lease.
func (stp *step) updateAbsent() {
	var absent []absence
	for _, id := range stp.st.config.VoterIDs() {
		if id == stp.st.settings.ID || stp.seenRecently(id) || slices.Contains(stp.st.logProgress.members, id) {
			continue
		}
		abs := absence{id: id, since: stp.now}
		for _, old := range stp.st.removal.absent {
			if old.id == id {
				abs.since = old.since
			}
		}
		absent = append(absent, abs)
	}
	stp.st.removal.absent = absent
}

// StopTimeout returns the time after its lease expired by which a member is
// guaranteed to have stopped all work: it stops starting work once its
// configuration is no longer fresh, its requests end at their deadlines, and
// its tasks end with their leases.
func StopTimeout(cfg *table.Config) time.Duration {
	return member.FreshnessTimeout + max(cfg.Tables.LongestRequestDeadline(), TaskLease) + clockDriftMargin
}

func (stp *step) tickRemoval() {
	rem := &stp.st.removal
	if stp.now.Sub(rem.checkedAt) < removalCheckInterval || stp.st.view.Leaving() {
		return
	}
	rem.checkedAt = stp.now
	if len(rem.members) > 0 {
		if stp.now.Sub(rem.since) > freezeTimeout {
			rem.members = nil
		}
		return
	}
	var departed []string
	for _, abs := range rem.absent {
		if !stp.seenRecently(abs.id) && stp.now.Sub(abs.since) >= StopTimeout(stp.st.config) {
			departed = append(departed, abs.id)
		}
	}
	// The member that adopts task logs also removes voters.
	if len(departed) > 0 && member.Leader(stp.st.view.Live(stp.now), "adoption") == stp.st.settings.ID {
		stp.beginRemoval(departed)
	}
}

// beginRemoval requests every remaining voter to freeze its transfers with the
// voters to be removed: departed ones, or this entry in its shutdown.
func (stp *step) beginRemoval(ids []string) {
	stp.st.removal.members = ids
	stp.st.removal.since = stp.now
	stp.st.removal.replies = nil
	for _, id := range stp.st.config.VoterIDs() {
		if !slices.Contains(ids, id) {
			stp.send(id, message.Freeze{Members: ids})
		}
	}
	stp.finishRemoval()
}

// handleFreeze ends the transfers with members that are to be removed, if they
// have stopped as far as this entry can tell. A member without contact to the
// remover and the store may be in contact with this entry and therefore still
// run work.
func (stp *step) handleFreeze(from string, msg message.Freeze) {
	if slices.Contains(msg.Members, stp.st.settings.ID) {
		stp.handleDismissal(from)
		return
	}
	for _, id := range msg.Members {
		if id != from && !stp.hasStopped(id) {
			stp.record("member", "removal_refused", id, "this entry receives its messages")
			return
		}
	}
	stp.st.ledger = stp.st.ledger.WithFrozen(msg.Members)
	stp.send(from, message.Frozen{Members: msg.Members, Settlement: table.Settlement{
		Member: stp.st.settings.ID,
		Net:    stp.st.ledger.Net(msg.Members),
		Debts:  stp.debts(),
	}})
}

// hasStopped reports whether a member is gone, or no message of it has arrived
// for StopTimeout. Without its heartbeats this entry sends no new echoes, so the
// member no longer counts this entry towards its majority either.
func (stp *step) hasStopped(id string) bool {
	per, known := stp.st.view.Peer(id)
	return !known || stp.st.view.IsGone(id) || stp.now.Sub(per.LastSeenAt) >= StopTimeout(stp.st.config)
}

// handleDismissal ends the entry, because another one considers it departed and
// has ended its transfers with it. The process that replaces it is a new
// member.
func (stp *step) handleDismissal(by string) {
	if stp.st.view.Leaving() {
		return
	}
	stp.record("entry", "dismissed", stp.st.settings.ID, "by "+by)
	stp.emit(effect.Exit{})
}

// isDismissed reports whether the transfers with a member are frozen although
// it is not leaving. It gets no heartbeats, so that it stops, and its messages
// are void.
func (stp *step) isDismissed(id string) bool {
	per, _ := stp.st.view.Peer(id)
	return stp.st.ledger.IsFrozen(id) && !per.Leaving
}

// debts returns by how much the work of each team that the entry runs exceeds
// the permits that it holds, as after the adoption of running tasks.
func (stp *step) debts() []table.TeamPermits {
	var debts []table.TeamPermits
	for _, tea := range stp.st.config.Tables.Teams {
		if owed := stp.st.Running(tea.Name) - stp.st.HeldPermits(tea.Name); owed > 0 {
			debts = append(debts, table.TeamPermits{Team: tea.Name, Permits: owed})
		}
	}
	return debts
}

func (stp *step) handleFrozen(from string, msg message.Frozen) {
	rem := &stp.st.removal
	stale := !slices.Equal(rem.members, msg.Members) || len(rem.members) == 0
	if stale || msg.Settlement.Member != from {
		return
	}
	rem.replies = slices.DeleteFunc(slices.Clone(rem.replies), func(stl table.Settlement) bool { return stl.Member == from })
	rem.replies = append(rem.replies, msg.Settlement)
	stp.finishRemoval()
}

// finishRemoval submits the edit that removes the voters once every remaining
// one has frozen its transfers, so that the settlements can no longer change.
func (stp *step) finishRemoval() {
	rem := &stp.st.removal
	for _, id := range stp.st.config.VoterIDs() {
		replied := func(stl table.Settlement) bool { return stl.Member == id }
		if !slices.Contains(rem.members, id) && !slices.ContainsFunc(rem.replies, replied) {
			return
		}
	}
	slices.SortFunc(rem.replies, func(a, b table.Settlement) int { return cmp.Compare(a.Member, b.Member) })
	stp.submitEdit(pendingEdit{change: table.VotersRemoved{IDs: rem.members, Settlements: rem.replies}})
	rem.members = nil
	rem.absent = nil
}
