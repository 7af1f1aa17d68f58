package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
)

// Timing of a graceful shutdown.
const (
	// readinessGracePeriod is the time for the load balancer to see that the
	// entry is not ready. Requests that arrive until then are served.
	readinessGracePeriod = 500 * time.Millisecond
	// handOverTimeout bounds the handover of permits and of the vote.
	handOverTimeout = 5 * time.Second
	// leaveRetryDelay is the wait before the entry tries again to leave the
	// voters.
	leaveRetryDelay = time.Second
)

// drainState is the progress of a graceful shutdown.
type drainState struct {
	startedAt time.Time
	// stopping is set once effect.StopAccepting was emitted, and stopped once no
	// callers are left.
	stopping     bool
	stopped      bool
	leaseRevoked bool
	handedOverAt time.Time
	// leaveTriedAt is when the entry last tried to leave the voters.
	leaveTriedAt time.Time
	exited       bool
}

// beginShutdown marks the entry as leaving and announces it to the peers.
func (stp *step) beginShutdown() {
	if stp.st.view.Leaving() {
		return
	}
	stp.st.view = stp.st.view.WithLeaving()
	stp.st.draining.startedAt = stp.now
	stp.record("entry", "shutdown_began", stp.st.settings.ID, "")
	stp.updateReady()
	stp.sendHeartbeats()
	stp.updateLeaders()
}

// tickShutdown waits until every request has ended and every record is in the
// store, then hands over permits, tasks and the vote, and exits.
func (stp *step) tickShutdown() {
	drn := &stp.st.draining
	if !stp.st.view.Leaving() || drn.exited || stp.now.Sub(drn.startedAt) < readinessGracePeriod {
		return
	}
	if !drn.stopping {
		drn.stopping = true
		stp.emit(effect.StopAccepting{})
	}
	if drn.handedOverAt.IsZero() {
		if drn.stopped && stp.isDrained() {
			stp.handOver()
		}
		return
	}
	if stp.now.Sub(drn.leaveTriedAt) > leaveRetryDelay {
		stp.leaveVoters()
	}
	_, votes := stp.st.config.Voter(stp.st.settings.ID)
	if !votes || stp.now.Sub(drn.handedOverAt) > handOverTimeout {
		drn.exited = true
		stp.record("entry", "shutdown_done", stp.st.settings.ID, "")
		stp.emit(effect.Exit{})
	}
}

// isDrained reports whether no caller waits for the entry and no record waits
// for the store.
func (stp *step) isDrained() bool {
	return stp.st.requests.Len() == 0 && stp.st.logProgress.submitters.Len() == 0 &&
		stp.st.log.PendingCount() == 0 && len(stp.st.log.InFlight()) == 0
}

// handOver transfers the free permits to the peer that is elected to adopt task
// logs, and revokes the lease, so that the entry's tasks are adopted. Without
// running tasks the entry also leaves the voters; otherwise a peer removes it
// when the permits in use are free.
func (stp *step) handOver() {
	drn := &stp.st.draining
	drn.handedOverAt = stp.now
	successor := member.Leader(stp.transferPeers(), "adoption")
	if successor != "" {
		stp.sendAllPermits(successor)
	}
	if stp.st.store.lease != 0 {
		drn.leaseRevoked = true
		// The result is handled like that of a refresh of an expired lease.
		stp.callStore(leaseRefreshed{}, store.LeaseRevoke{Lease: stp.st.store.lease})
	}
	stp.leaveVoters()
}

// leaveVoters begins the removal of the entry from the voters unless running
// tasks still use its permits or an edit is pending.
func (stp *step) leaveVoters() {
	stp.st.draining.leaveTriedAt = stp.now
	if len(stp.runningTasks()) == 0 && len(stp.st.edits.pending) == 0 {
		stp.beginRemoval([]string{stp.st.settings.ID})
	}
}

func (stp *step) sendAllPermits(successor string) {
	for _, tea := range stp.st.config.Tables.Teams {
		free := stp.st.HeldPermits(tea.Name) - stp.st.Running(tea.Name)
		if free > 0 {
			stp.st.ledger, _ = stp.st.ledger.WithSent(tea.Name, successor, free)
		}
	}
	stp.sendTotals(successor)
}
