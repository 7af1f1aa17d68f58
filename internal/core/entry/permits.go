package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Bounds of asking for permits.
const (
	// askEvery is the time between two rounds of asking peers for permits.
	askEvery = 5 * time.Millisecond
	// headroom is how many permits an entry with a backlog keeps free for the
	// next grants. Asking for the whole backlog would take permits to where
	// the slots are not.
	headroom = 8
)

// teamState is how a team stands at this entry.
type teamState struct {
	waiting int
	oldest  time.Time
	// urgent says that urgent work waits.
	urgent bool
	// free is the number of permits that are not in use; negative in debt.
	free int
}

// spare returns how many permits the entry has no work for.
func (tst teamState) spare() int { return max(0, tst.free-tst.waiting) }

func (stp *step) teamState(team string) teamState {
	tst := teamState{free: stp.st.Rights(team) - stp.st.Running(team)}
	if _, waits := stp.st.waiting.Get(team); !waits {
		return tst
	}
	itr := stp.st.busy.Iterator()
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

// tickPermits asks peers for the permits that waiting work lacks.
func (stp *step) tickPermits() {
	if stp.now.Sub(stp.st.askedAt) < askEvery {
		return
	}
	stp.st.askedAt = stp.now
	itr := stp.st.waiting.Iterator()
	for !itr.Done() {
		team, _, _ := itr.Next()
		tst := stp.teamState(team)
		lacking := min(tst.waiting, headroom) - tst.free
		if lacking > 0 {
			stp.askForPermits(team, lacking, tst)
		}
	}
}

// askForPermits asks the peers that said that they have some to spare, or one
// peer at random when none did.
func (stp *step) askForPermits(team string, lacking int, tst teamState) {
	ask := message.PermitRequest{
		Team: team, Urgent: tst.urgent, Free: max(0, tst.free),
		AgeMillis: stp.now.Sub(tst.oldest).Milliseconds(),
	}
	for lacking > 0 {
		peer, spare := stp.richestPeer(team)
		if spare <= 0 {
			break
		}
		ask.Permits = min(lacking, spare)
		stp.setSpare(team, peer, spare-ask.Permits)
		stp.send(peer, ask)
		lacking -= ask.Permits
	}
	peers := stp.livePeers()
	if lacking <= 0 || len(peers) == 0 {
		return
	}
	ask.Permits = lacking
	stp.send(peers[stp.random(len(peers))], ask)
}

// livePeers returns the voting members other than this entry that are heard.
func (stp *step) livePeers() []string {
	var peers []string
	for _, per := range stp.st.view.Peers() {
		_, votes := stp.st.config.Voter(per.ID)
		if votes && stp.now.Sub(per.LastSeenAt) <= member.LivenessTimeout && !stp.st.ledger.IsFrozen(per.ID) {
			peers = append(peers, per.ID)
		}
	}
	return peers
}

func (stp *step) richestPeer(team string) (peer string, spare int) {
	for _, id := range stp.livePeers() {
		has, _ := stp.st.spares.Get(spareKey{team, id})
		if has > spare {
			peer, spare = id, has
		}
	}
	return peer, spare
}

func (stp *step) setSpare(team, peer string, spare int) {
	key := spareKey{team, peer}
	if spare <= 0 {
		stp.st.spares = stp.st.spares.Delete(key)
		return
	}
	stp.st.spares = stp.st.spares.Set(key, spare)
}

// spareOf returns how many permits of a team the entry has no work for.
func (stp *step) spareOf(team string) int {
	return stp.teamState(team).spare()
}

// permitsAsked gives what the asker should have.
func (stp *step) permitsAsked(from string, ask message.PermitRequest) {
	if _, votes := stp.st.config.Voter(from); !votes {
		return
	}
	given := min(ask.Permits, stp.giveable(ask))
	if given > 0 {
		stp.st.ledger, _ = stp.st.ledger.WithSent(ask.Team, from, given)
		stp.markBusyDirty()
	}
	stp.send(from, message.PermitTransfer{
		Totals:       stp.st.ledger.SentTo(from),
		SparePermits: []message.SparePermits{{Team: ask.Team, Permits: stp.spareOf(ask.Team)}},
	})
}

// giveable returns how many permits an asker may have: all that the entry has no
// work for; half of those that its own work waits to use, if the asker has none
// at all; and the last one if the asker's work is more urgent or older. So no
// entry keeps a team's permits to itself.
func (stp *step) giveable(ask message.PermitRequest) int {
	tst := stp.teamState(ask.Team)
	spare := tst.spare()
	if spare > 0 || tst.free <= 0 || ask.Free > 0 {
		return spare
	}
	if tst.free > 1 {
		return tst.free / 2
	}
	askerSince := stp.now.Add(-time.Duration(ask.AgeMillis) * time.Millisecond)
	if ask.Urgent != tst.urgent {
		return boolToInt(ask.Urgent)
	}
	return boolToInt(askerSince.Before(tst.oldest))
}

func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

func (stp *step) permitsHeard(from string, msg message.PermitTransfer) {
	if _, votes := stp.st.config.Voter(from); votes {
		for _, ttl := range msg.Totals {
			stp.st.ledger = stp.st.ledger.WithReceived(ttl.Team, from, ttl.Count)
		}
		stp.markBusyDirty()
	}
	stp.hearSpares(from, msg.SparePermits)
}

// changedSpares lists the teams whose spare permits have changed so much since
// the peers were last told that it matters to whom they turn.
func (stp *step) changedSpares() []message.SparePermits {
	var changed []message.SparePermits
	for _, tea := range stp.st.config.Tables.Teams {
		spare := stp.spareOf(tea.Name)
		told, _ := stp.st.toldSpares.Get(tea.Name)
		if !isNear(spare, told) {
			changed = append(changed, message.SparePermits{Team: tea.Name, Permits: spare})
			stp.st.toldSpares = stp.st.toldSpares.Set(tea.Name, spare)
		}
	}
	return changed
}

// isNear reports whether two counts are both zero or within a factor of two.
func isNear(a, b int) bool {
	return (a == 0) == (b == 0) && a <= 2*b && b <= 2*a
}

// toldSpares lists all that the peers were told.
func (stp *step) toldSpares() []message.SparePermits {
	var told []message.SparePermits
	itr := stp.st.toldSpares.Iterator()
	for !itr.Done() {
		team, spare, _ := itr.Next()
		told = append(told, message.SparePermits{Team: team, Permits: spare})
	}
	return told
}

func (stp *step) hearSpares(from string, spares []message.SparePermits) {
	for _, spa := range spares {
		stp.setSpare(spa.Team, from, spa.Permits)
	}
}
