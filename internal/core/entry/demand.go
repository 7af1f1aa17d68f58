package entry

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/dispatch"
	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/benbjohnson/immutable"
)

// Timing of the reports to dispatchers.
const (
	// minReportInterval is the shortest time between two reports on a pool.
	// Changes in between are sent in one message.
	minReportInterval = 2 * time.Millisecond
	// reportRefreshInterval is the time after which a pool with work is
	// reported on again without a change.
	reportRefreshInterval = time.Second
	// refreshCheckInterval is the time between two searches for reports that
	// need a refresh.
	refreshCheckInterval = 250 * time.Millisecond
	// reportTTL is the time for which a dispatcher keeps a report that is not
	// refreshed.
	reportTTL = 2500 * time.Millisecond
)

type timerMap = *immutable.SortedMap[timer, struct{}]

// poolElectionKey returns the key by which the leader of a pool is elected.
func poolElectionKey(pool string) string { return "pool/" + pool }

// reportDemands sends the dispatchers a report on each pool that changed.
func (stp *step) reportDemands() {
	itr := stp.st.dirty.Iterator()
	for !itr.Done() {
		name, _, _ := itr.Next()
		own := stp.pool(name)
		if stp.now.Sub(own.reportedAt) >= minReportInterval {
			stp.reportDemand(name, own)
		}
	}
	if stp.now.Sub(stp.st.refreshCheckedAt) >= refreshCheckInterval {
		stp.st.refreshCheckedAt = stp.now
		stp.refreshReports()
	}
}

// refreshReports marks the pools with work whose last report needs a refresh.
func (stp *step) refreshReports() {
	itr := stp.st.pools.Iterator()
	for !itr.Done() {
		name, own, _ := itr.Next()
		if stp.now.Sub(own.reportedAt) >= reportRefreshInterval && stp.hasWork(name, own) {
			stp.markDirty(name)
		}
	}
}

// hasWork reports whether the entry has work waiting or running in a pool.
func (stp *step) hasWork(name string, own poolState) bool {
	return own.queue.Len() > 0 || len(stp.runningInPool(name)) > 0
}

func (stp *step) reportDemand(name string, own poolState) {
	leader := own.leader
	if leader == "" {
		return
	}
	if own.dispatcher != leader {
		own.dispatcher = leader
		own.acknowledged = 0
	}
	stp.st.dirty = stp.st.dirty.Delete(name)
	own.reportedAt = stp.now
	stp.putPool(name, own)
	stp.send(leader, message.Demand{
		Pool:         name,
		Acknowledged: own.acknowledged,
		Lanes:        stp.laneDemands(own),
		Running:      stp.runningInPool(name),
		Suspects:     stp.suspectsInPool(name),
	})
}

// laneDemands returns the waiting work that could start if slots were granted.
// It counts no more work of a team than the entry has free permits for.
func (stp *step) laneDemands(own poolState) []message.LaneDemand {
	if stp.st.view.Leaving() && own.queue.Len() == 0 {
		return nil
	}
	left := map[string]int{}
	var lanes []message.LaneDemand
	for _, cnt := range own.queue.Backlog() {
		team := cnt.Lane.Team
		if _, seen := left[team]; !seen {
			left[team] = stp.st.HeldPermits(team) - stp.st.Running(team)
		}
		startable := min(cnt.Waiting, left[team])
		if startable <= 0 {
			continue
		}
		left[team] -= startable
		if cnt.Lane.Retry {
			lanes = append(lanes, stp.retryDemands(own, cnt.Lane, startable)...)
			continue
		}
		lanes = append(lanes, message.LaneDemand{
			Team: team, Urgency: cnt.Lane.Urgency, Waiting: startable,
			AgeMillis: stp.now.Sub(cnt.Oldest).Milliseconds(),
		})
	}
	return lanes
}

// maxRetryDemands bounds the retries of one lane in a report.
const maxRetryDemands = 16

// retryDemands returns one demand for each retry of a lane, with the VMs that
// have already been tried.
func (stp *step) retryDemands(own poolState, lan work.Lane, limit int) []message.LaneDemand {
	var demands []message.LaneDemand
	for _, id := range own.queue.Oldest(lan, min(limit, maxRetryDemands)) {
		wrk, _ := stp.st.works.Get(id)
		demands = append(demands, message.LaneDemand{
			Team: lan.Team, Urgency: lan.Urgency, Waiting: 1, Retry: true, Avoid: wrk.Tried,
			AgeMillis: stp.now.Sub(wrk.Arrived).Milliseconds(),
		})
	}
	return demands
}

// runningInPool returns the slots that the entry uses in a pool.
func (stp *step) runningInPool(pool string) []message.Running {
	var running []message.Running
	itr := stp.st.held.Iterator()
	// This is the smallest key of the pool.
	itr.Seek(slotKey{pool: pool, reserve: true})
	for !itr.Done() {
		slk, count, _ := itr.Next()
		if slk.pool != pool {
			break
		}
		running = append(running, message.Running{VM: slk.vm, Team: slk.team, Reserve: slk.reserve, Count: count})
	}
	return running
}

// suspectsInPool returns the VMs of a pool that are under suspicion.
func (stp *step) suspectsInPool(pool string) []string {
	var suspects []string
	itr := stp.st.suspects.Iterator()
	for !itr.Done() {
		vmID, sus, _ := itr.Next()
		if stp.now.Before(sus.until) && stp.st.config.PoolOf(vmID) == pool {
			suspects = append(suspects, vmID)
		}
	}
	return suspects
}

// handleDemand stores a report and grants slots, even if this entry's view has
// another entry as the pool's leader: the reporter may be unable to reach that
// one. The reporter accepts grants from one dispatcher at a time.
func (stp *step) handleDemand(from string, dem message.Demand) {
	dsp := stp.ensureDispatcher(dem.Pool)
	dsp = dsp.WithDemand(stp.now, from, dem)
	stp.st.dispatchers = stp.st.dispatchers.Set(dem.Pool, dsp)
	stp.grant(dem.Pool)
}

// ensureDispatcher returns the dispatcher of a pool, creating it if necessary.
func (stp *step) ensureDispatcher(pool string) dispatch.Dispatcher {
	dsp, ok := stp.st.dispatchers.Get(pool)
	if !ok {
		dsp = dispatch.New(stp.now)
		stp.st.dispatchers = stp.st.dispatchers.Set(pool, dsp)
		stp.record("dispatch", "dispatcher_began", pool, "")
	}
	return dsp
}

// grant runs the pool's dispatcher and sends its grants and recalls. A new
// dispatcher grants nothing while it gathers the reports of the live members.
func (stp *step) grant(pool string) {
	dsp, ok := stp.st.dispatchers.Get(pool)
	inp, known := stp.dispatcherInput(pool)
	if !ok || !known {
		return
	}
	live := stp.st.view.Live(stp.now)
	if dsp.IsGathering(stp.now, live) {
		return
	}
	dsp, dcs, rcs := dsp.Decide(stp.now, inp)
	if len(dcs) == 0 && len(rcs) == 0 {
		return
	}
	stp.st.dispatchers = stp.st.dispatchers.Set(pool, dsp)
	for _, rcl := range rcs {
		stp.send(rcl.Member, message.Recall{Pool: pool, Slots: rcl.Slots})
	}
	for _, id := range dsp.Members() {
		var grants []message.Grant
		for _, dec := range dcs {
			if dec.Member == id {
				grants = append(grants, dec.Grant)
			}
		}
		if len(grants) > 0 {
			stp.send(id, message.Grants{Pool: pool, Grants: grants})
		}
	}
}

// dispatcherInput returns what the dispatcher of a pool decides on.
func (stp *step) dispatcherInput(pool string) (inp dispatch.Input, ok bool) {
	poo, ok := stp.st.config.Pool(pool)
	if !ok {
		return dispatch.Input{}, false
	}
	return dispatch.Input{
		Pool:   poo,
		Usable: stp.st.fleet.Usable(stp.st.config, pool),
		Config: stp.st.config,
	}, true
}

// dropStaleReports drops the reports that were not refreshed, as when the member
// reports to another dispatcher, and those of silent members, and grants the
// slots that this frees. It also drops the dispatchers without reports of pools
// that this entry does not lead.
func (stp *step) dropStaleReports() {
	itr := stp.st.dispatchers.Iterator()
	for !itr.Done() {
		pool, dsp, _ := itr.Next()
		if dsp.IsIdle() {
			if stp.pool(pool).leader != stp.st.settings.ID {
				stp.st.dispatchers = stp.st.dispatchers.Delete(pool)
			}
			continue
		}
		dsp = dsp.WithoutReportsBefore(stp.now.Add(-reportTTL))
		for _, id := range dsp.Members() {
			if id != stp.st.settings.ID && !stp.seenRecently(id) {
				dsp = dsp.WithoutMember(id)
			}
		}
		stp.st.dispatchers = stp.st.dispatchers.Set(pool, dsp)
		stp.grant(pool)
	}
}

// seenRecently reports whether a message of another member has arrived within
// member.LivenessTimeout. Unlike the live members, it includes leaving ones,
// which still report the work that they have to finish, and those whose link
// has just ended.
func (stp *step) seenRecently(id string) bool {
	per, ok := stp.st.view.Peer(id)
	return ok && stp.now.Sub(per.LastSeenAt) <= member.LivenessTimeout
}

// updateLeaders elects the leader of each pool again if the set of live members
// has changed, and marks the pools whose leader changed. An entry creates the
// dispatcher when it becomes the leader of a pool, not at the first report, so
// that the time for gathering reports has passed when work arrives after an
// idle period.
func (stp *step) updateLeaders() {
	live := stp.st.view.Live(stp.now)
	if slices.Equal(live, stp.st.live) {
		return
	}
	stp.st.live = live
	itr := stp.st.pools.Iterator()
	for !itr.Done() {
		name, own, _ := itr.Next()
		leader := member.Leader(live, poolElectionKey(name))
		if leader == own.leader {
			continue
		}
		own.leader = leader
		stp.putPool(name, own)
		stp.markDirty(name)
		if leader == stp.st.settings.ID {
			stp.ensureDispatcher(name)
		}
	}
}

// markBacklogDirty marks the pools with waiting work for a report.
func (stp *step) markBacklogDirty() {
	itr := stp.st.backlogged.Iterator()
	for !itr.Done() {
		name, _, _ := itr.Next()
		stp.markDirty(name)
	}
}

// markAllDirty marks every pool for a report.
func (stp *step) markAllDirty() {
	itr := stp.st.pools.Iterator()
	for !itr.Done() {
		name, _, _ := itr.Next()
		stp.markDirty(name)
	}
}

func laneOf(grt message.Grant) work.Lane {
	return work.Lane{Team: grt.Team, Urgency: grt.Urgency, Retry: grt.Retry}
}
