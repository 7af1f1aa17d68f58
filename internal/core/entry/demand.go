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
	// reportEvery bounds how often one pool is reported on, so that what
	// changes in between travels in one message.
	reportEvery = 2 * time.Millisecond
	// refreshEvery is how often a pool with work is reported on without a
	// change.
	refreshEvery = time.Second
	// refreshCheckEvery is the time between two looks for old reports.
	refreshCheckEvery = 250 * time.Millisecond
	// dropReportAfter is how long a dispatcher keeps a report that is not
	// refreshed.
	dropReportAfter = 2500 * time.Millisecond
)

type timerMap = *immutable.SortedMap[timer, struct{}]

// poolSubject is what the leader of a pool is chosen by.
func poolSubject(pool string) string { return "pool/" + pool }

// reportDemands tells the dispatchers what changed.
func (stp *step) reportDemands() {
	itr := stp.st.dirty.Iterator()
	for !itr.Done() {
		name, _, _ := itr.Next()
		own := stp.pool(name)
		if stp.now.Sub(own.reportedAt) >= reportEvery {
			stp.reportDemand(name, own)
		}
	}
	if stp.now.Sub(stp.st.refreshedAt) >= refreshCheckEvery {
		stp.st.refreshedAt = stp.now
		stp.refreshReports()
	}
}

// refreshReports repeats the old reports of pools with work.
func (stp *step) refreshReports() {
	itr := stp.st.pools.Iterator()
	for !itr.Done() {
		name, own, _ := itr.Next()
		if stp.now.Sub(own.reportedAt) >= refreshEvery && stp.isBusy(name, own) {
			stp.markDirty(name)
		}
	}
}

// isBusy reports whether the entry has work waiting or running in a pool.
func (stp *step) isBusy(name string, own poolState) bool {
	return own.queue.Len() > 0 || len(stp.runningOn(name)) > 0
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
		Running:      stp.runningOn(name),
		Suspects:     stp.suspectsOf(name),
	})
}

// laneDemands lists the work that a grant could start: no more of a team's
// than the entry has permits for.
func (stp *step) laneDemands(own poolState) []message.LaneDemand {
	if stp.st.view.Leaving() && own.queue.Len() == 0 {
		return nil
	}
	left := map[string]int{}
	var lanes []message.LaneDemand
	for _, cnt := range own.queue.Counts() {
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

// maxRetryDemands bounds the retries that are reported of one lane at a time.
const maxRetryDemands = 16

// retryDemands lists the retries of a lane one by one, each with the VMs that
// it must not be given again.
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

func (stp *step) runningOn(pool string) []message.Running {
	var running []message.Running
	itr := stp.st.held.Iterator()
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

func (stp *step) suspectsOf(pool string) []string {
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

// demandHeard takes a report and grants what it can, even when another entry
// leads the pool in this entry's view: the reporter may be cut off from that
// one. It obeys one dispatcher at a time.
func (stp *step) demandHeard(from string, dem message.Demand) {
	dsp := stp.lead(dem.Pool)
	dsp = dsp.WithDemand(stp.now, from, dem)
	stp.st.leads = stp.st.leads.Set(dem.Pool, dsp)
	stp.grant(dem.Pool)
}

// lead returns the dispatcher of a pool, and begins it if need be.
func (stp *step) lead(pool string) dispatch.Dispatcher {
	dsp, ok := stp.st.leads.Get(pool)
	if !ok {
		dsp = dispatch.New(stp.now)
		stp.st.leads = stp.st.leads.Set(pool, dsp)
		stp.record("dispatch", "dispatcher_began", pool, "")
	}
	return dsp
}

// grant lets the pool's dispatcher decide and sends what it grants.
func (stp *step) grant(pool string) {
	dsp, ok := stp.st.leads.Get(pool)
	rul, known := stp.ruleOf(pool)
	if !ok || !known {
		return
	}
	live := stp.st.view.Live(stp.now)
	if dsp.IsGathering(stp.now, live) {
		return
	}
	dsp, dcs, rcs := dsp.Decide(stp.now, rul)
	if len(dcs) == 0 && len(rcs) == 0 {
		return
	}
	stp.st.leads = stp.st.leads.Set(pool, dsp)
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

func (stp *step) ruleOf(pool string) (rul dispatch.Rule, ok bool) {
	poo, ok := stp.st.config.Pool(pool)
	if !ok {
		return dispatch.Rule{}, false
	}
	return dispatch.Rule{
		Pool:   poo,
		Usable: stp.st.fleet.Usable(stp.st.config, pool),
		Config: stp.st.config,
	}, true
}

// dropReports forgets the reports of members that are silent or report to
// another dispatcher, and lets what is left be granted anew.
func (stp *step) dropReports() {
	itr := stp.st.leads.Iterator()
	for !itr.Done() {
		pool, dsp, _ := itr.Next()
		if dsp.IsIdle() {
			if stp.pool(pool).leader != stp.st.set.ID {
				stp.st.leads = stp.st.leads.Delete(pool)
			}
			continue
		}
		dsp = dsp.WithoutReportsBefore(stp.now.Add(-dropReportAfter))
		for _, id := range dsp.Members() {
			if id != stp.st.set.ID && !stp.isReporting(id) {
				dsp = dsp.WithoutMember(id)
			}
		}
		stp.st.leads = stp.st.leads.Set(pool, dsp)
		stp.grant(pool)
	}
}

// isReporting reports whether a member is heard. One that is leaving still
// reports the work that it has yet to finish.
func (stp *step) isReporting(id string) bool {
	per, ok := stp.st.view.Peer(id)
	return ok && stp.now.Sub(per.HeardAt) <= member.SilentAfter
}

// redirectReports looks at who is live. When that changed, it finds the leader
// of each pool anew and marks those whose leader changed. A dispatcher begins
// when its entry comes to lead the pool, not with the first report, so that its
// time of gathering reports is over when work comes after a quiet while.
func (stp *step) redirectReports() {
	live := stp.st.view.Live(stp.now)
	if slices.Equal(live, stp.st.live) {
		return
	}
	stp.st.live = live
	itr := stp.st.pools.Iterator()
	for !itr.Done() {
		name, own, _ := itr.Next()
		leader := member.Leader(live, poolSubject(name))
		if leader == own.leader {
			continue
		}
		own.leader = leader
		stp.putPool(name, own)
		stp.markDirty(name)
		if leader == stp.st.set.ID {
			stp.lead(name)
		}
	}
}

// markBusyDirty marks the pools with work waiting.
func (stp *step) markBusyDirty() {
	itr := stp.st.busy.Iterator()
	for !itr.Done() {
		name, _, _ := itr.Next()
		stp.markDirty(name)
	}
}

// markAllDirty marks every pool.
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
