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
	// checkRemovalEvery is the time between two looks for departed members.
	checkRemovalEvery = 500 * time.Millisecond
	// freezeTimeout bounds how long the others may take to freeze their
	// transfers.
	freezeTimeout = 3 * time.Second
	// stopMargin is added to the time after which a departed member certainly
	// runs nothing, for clocks that run at different rates.
	stopMargin = time.Second
)

// removalState is a removal of voters that this entry carries out.
type removalState struct {
	checkedAt time.Time
	// absent lists the silent voters without a lease, sorted by ID.
	absent []absence
	// members is empty while no removal is under way.
	members []string
	since   time.Time
	replies []table.Settlement
}

type absence struct {
	id    string
	since time.Time
}

// noteAbsent notes the voters that are silent and have no lease. It follows
// each reading of the members' leases.
func (stp *step) noteAbsent() {
	var absent []absence
	for _, id := range stp.st.config.VoterIDs() {
		if id == stp.st.set.ID || stp.isReporting(id) || slices.Contains(stp.st.logs.members, id) {
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

// StopTimeout is how long after its lease lapsed a member certainly runs
// nothing: it stops starting work once its configuration is no longer fresh,
// its requests end with their deadlines, and its tasks with their leases.
func StopTimeout(cfg *table.Config) time.Duration {
	return member.FreshFor + max(cfg.Tables.LongestRequest(), TaskLease) + stopMargin
}

func (stp *step) tickRemoval() {
	rem := &stp.st.removal
	if stp.now.Sub(rem.checkedAt) < checkRemovalEvery || stp.st.view.Leaving() {
		return
	}
	rem.checkedAt = stp.now
	if len(rem.members) > 0 {
		if stp.now.Sub(rem.since) > freezeTimeout {
			rem.members = nil
		}
		return
	}
	var gone []string
	for _, abs := range rem.absent {
		if !stp.isReporting(abs.id) && stp.now.Sub(abs.since) >= StopTimeout(stp.st.config) {
			gone = append(gone, abs.id)
		}
	}
	if len(gone) > 0 && member.Leader(stp.st.view.Live(stp.now), "adoption") == stp.st.set.ID {
		stp.beginRemoval(gone)
	}
}

// beginRemoval asks every remaining voter to end its transfers with the
// departed ones.
func (stp *step) beginRemoval(gone []string) {
	stp.st.removal.members = gone
	stp.st.removal.since = stp.now
	stp.st.removal.replies = nil
	for _, id := range stp.st.config.VoterIDs() {
		if !slices.Contains(gone, id) {
			stp.send(id, message.Freeze{Members: gone})
		}
	}
	stp.finishRemoval()
}

// freezeHeard ends the transfers with members that are to be removed, if they
// certainly run nothing as far as this entry can tell. A member that is cut off
// from the remover and the store may be heard here, and work on by that.
func (stp *step) freezeHeard(from string, msg message.Freeze) {
	if slices.Contains(msg.Members, stp.st.set.ID) {
		stp.dismissed(from)
		return
	}
	for _, id := range msg.Members {
		if id != from && !stp.hasStopped(id) {
			stp.record("member", "removal_refused", id, "it was heard here")
			return
		}
	}
	stp.st.ledger = stp.st.ledger.WithFrozen(msg.Members)
	stp.send(from, message.Frozen{Members: msg.Members, Settlement: table.Settlement{
		Member: stp.st.set.ID,
		Net:    stp.st.ledger.Net(msg.Members),
		Debts:  stp.debts(),
	}})
}

// hasStopped reports whether a member has not been heard here for as long as it
// takes to stop, or is gone. It can't have heard this entry either: a heartbeat
// counts for it only when it comes back as an echo.
func (stp *step) hasStopped(id string) bool {
	per, known := stp.st.view.Peer(id)
	return !known || stp.st.view.IsGone(id) || stp.now.Sub(per.HeardAt) >= StopTimeout(stp.st.config)
}

// dismissed ends the entry: another one takes it for departed and has ended its
// transfers with it. The process that takes its place is a new member.
func (stp *step) dismissed(by string) {
	if stp.st.view.Leaving() {
		return
	}
	stp.record("entry", "dismissed", stp.st.set.ID, "by "+by)
	stp.emit(effect.Exit{})
}

// isDismissed reports whether a member is to be removed and has not itself asked
// for it. It gets no heartbeats, so that it stops, and its messages are void.
func (stp *step) isDismissed(id string) bool {
	per, _ := stp.st.view.Peer(id)
	return stp.st.ledger.IsFrozen(id) && !per.Leaving
}

// debts lists how much more of each team's work the entry runs than its
// permits allow, because it adopted running tasks.
func (stp *step) debts() []table.TeamPermits {
	var debts []table.TeamPermits
	for _, tea := range stp.st.config.Tables.Teams {
		if owed := stp.st.Running(tea.Name) - stp.st.HeldPermits(tea.Name); owed > 0 {
			debts = append(debts, table.TeamPermits{Team: tea.Name, Permits: owed})
		}
	}
	return debts
}

func (stp *step) frozenHeard(from string, msg message.Frozen) {
	rem := &stp.st.removal
	stale := !slices.Equal(rem.members, msg.Members) || len(rem.members) == 0
	if stale || msg.Settlement.Member != from {
		return
	}
	rem.replies = slices.DeleteFunc(slices.Clone(rem.replies), func(stl table.Settlement) bool { return stl.Member == from })
	rem.replies = append(rem.replies, msg.Settlement)
	stp.finishRemoval()
}

// finishRemoval removes the departed voters once every remaining one has frozen
// its transfers, so that the sums can no longer change.
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
