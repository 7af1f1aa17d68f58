package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
)

// askEvery is the time between two rounds of asking peers for permits.
const askEvery = 5 * time.Millisecond

// tickPermits asks peers for the permits that waiting work lacks.
func (stp *step) tickPermits() {
	if stp.now.Sub(stp.st.askedAt) < askEvery {
		return
	}
	stp.st.askedAt = stp.now
	for _, tea := range stp.st.config.Tables.Teams {
		waiting, oldest := stp.waitingOf(tea.Name)
		lacking := waiting + stp.st.Running(tea.Name) - stp.st.Rights(tea.Name)
		if lacking > 0 {
			stp.askForPermits(tea.Name, lacking, stp.now.Sub(oldest))
		}
	}
}

// askForPermits asks the peers that said that they have some to spare, or one
// peer at random when none did.
func (stp *step) askForPermits(team string, lacking int, age time.Duration) {
	for lacking > 0 {
		peer, spare := stp.richestPeer(team)
		if spare <= 0 {
			break
		}
		asked := min(lacking, spare)
		stp.setSpare(team, peer, spare-asked)
		stp.send(peer, message.PermitAsk{Team: team, Permits: asked, AgeMillis: age.Milliseconds()})
		lacking -= asked
	}
	if lacking <= 0 {
		return
	}
	peers := stp.livePeers()
	if len(peers) == 0 {
		return
	}
	peer := peers[stp.random(len(peers))]
	stp.send(peer, message.PermitAsk{Team: team, Permits: lacking, AgeMillis: age.Milliseconds()})
}

// livePeers returns the voting members other than this entry that are heard.
func (stp *step) livePeers() []string {
	var peers []string
	for _, per := range stp.st.view.Peers() {
		_, votes := stp.st.config.Voter(per.ID)
		if votes && stp.now.Sub(per.HeardAt) <= member.SilentAfter && !stp.st.ledger.IsFrozen(per.ID) {
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

// spareOf returns how many permits of a team the entry can give away.
func (stp *step) spareOf(team string) int {
	waiting, _ := stp.waitingOf(team)
	return max(0, stp.st.Rights(team)-stp.st.Running(team)-waiting)
}

// permitsAsked gives what can be spared. When the asker's work has waited
// longer than the entry's own, permits that are free at this moment go to it,
// so that no entry keeps a team's permits to itself.
func (stp *step) permitsAsked(from string, ask message.PermitAsk) {
	if _, votes := stp.st.config.Voter(from); !votes {
		return
	}
	given := min(ask.Permits, stp.spareOf(ask.Team))
	_, oldest := stp.waitingOf(ask.Team)
	askerSince := stp.now.Add(-time.Duration(ask.AgeMillis) * time.Millisecond)
	if given == 0 && !oldest.IsZero() && askerSince.Before(oldest) {
		given = min(1, max(0, stp.st.Rights(ask.Team)-stp.st.Running(ask.Team)))
	}
	if given > 0 {
		stp.st.ledger, _ = stp.st.ledger.WithSent(ask.Team, from, given)
		stp.markAllDirty()
	}
	stp.send(from, message.PermitTransfer{
		Totals: stp.st.ledger.SentTo(from),
		Spare:  []message.Spare{{Team: ask.Team, Permits: stp.spareOf(ask.Team)}},
	})
}

func (stp *step) permitsHeard(from string, msg message.PermitTransfer) {
	if _, votes := stp.st.config.Voter(from); votes {
		for _, ttl := range msg.Totals {
			stp.st.ledger = stp.st.ledger.WithReceived(ttl.Team, from, ttl.Count)
		}
		stp.markAllDirty()
	}
	stp.hearSpares(from, msg.Spare)
}

func (stp *step) hearSpares(from string, spares []message.Spare) {
	for _, spa := range spares {
		stp.setSpare(spa.Team, from, spa.Permits)
	}
}
