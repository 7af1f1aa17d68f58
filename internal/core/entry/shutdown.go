package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
)

// Timing of a graceful shutdown.
const (
	// leaveAfter is how long the balancer has to see that the entry is not
	// ready. Requests that arrive until then are served.
	leaveAfter = 500 * time.Millisecond
	// handOverTimeout bounds the hand-over of permits and of the vote.
	handOverTimeout = 5 * time.Second
	// leaveRetryEvery is the wait before the entry tries again to take itself
	// off the voters.
	leaveRetryEvery = time.Second
)

// drainState is how far a graceful shutdown has come.
type drainState struct {
	began time.Time
	// stopping says that the driver was told to take no more callers, and
	// stopped that none are left.
	stopping     bool
	stopped      bool
	leaseRevoked bool
	handedOverAt time.Time
	// triedAt is when the entry last tried to take itself off the voters.
	triedAt time.Time
	exited  bool
}

func (stp *step) beginShutdown() {
	if stp.st.view.Leaving() {
		return
	}
	stp.st.view = stp.st.view.WithLeaving()
	stp.st.draining.began = stp.now
	stp.record("entry", "shutdown_began", stp.st.set.ID, "")
	stp.updateReady()
	stp.sendHeartbeats()
	stp.redirectReports()
}

// tickShutdown lets every request end and every record reach the store, then
// hands over permits, tasks and the vote, and exits.
func (stp *step) tickShutdown() {
	drn := &stp.st.draining
	if !stp.st.view.Leaving() || drn.exited || stp.now.Sub(drn.began) < leaveAfter {
		return
	}
	if !drn.stopping {
		drn.stopping = true
		stp.emit(effect.StopAccepting{})
	}
	if drn.handedOverAt.IsZero() {
		if drn.stopped && stp.isQuiet() {
			stp.handOver()
		}
		return
	}
	if stp.now.Sub(drn.triedAt) > leaveRetryEvery {
		stp.leaveVoters()
	}
	_, votes := stp.st.config.Voter(stp.st.set.ID)
	if !votes || stp.now.Sub(drn.handedOverAt) > handOverTimeout {
		drn.exited = true
		stp.record("entry", "shutdown_done", stp.st.set.ID, "")
		stp.emit(effect.Exit{})
	}
}

// isQuiet reports whether no caller waits for the entry and no record waits for
// the store.
func (stp *step) isQuiet() bool {
	return stp.st.requests.Len() == 0 && stp.st.logs.submitters.Len() == 0 &&
		stp.st.log.PendingCount() == 0 && len(stp.st.log.InFlight()) == 0
}

// handOver gives the spare permits to a peer and lets the lease go, so that a
// peer adopts the tasks. Without running tasks the entry also takes itself off
// the voters; otherwise a peer does so when the permits in use are free.
func (stp *step) handOver() {
	drn := &stp.st.draining
	drn.handedOverAt = stp.now
	heir := member.Leader(stp.livePeers(), "adoption")
	if heir != "" {
		stp.giveAll(heir)
	}
	if stp.st.store.lease != 0 {
		drn.leaseRevoked = true
		stp.callStore(leaseRefreshed{}, store.LeaseRevoke{Lease: stp.st.store.lease})
	}
	stp.leaveVoters()
}

// leaveVoters takes the entry off the voters, unless running tasks still use
// its permits.
func (stp *step) leaveVoters() {
	stp.st.draining.triedAt = stp.now
	if len(stp.runningTasks()) == 0 && len(stp.st.edits.pending) == 0 {
		stp.beginRemoval([]string{stp.st.set.ID})
	}
}

func (stp *step) giveAll(heir string) {
	for _, tea := range stp.st.config.Tables.Teams {
		free := stp.st.HeldPermits(tea.Name) - stp.st.Running(tea.Name)
		if free > 0 {
			stp.st.ledger, _ = stp.st.ledger.WithSent(tea.Name, heir, free)
		}
	}
	stp.sendTotals(heir)
}
