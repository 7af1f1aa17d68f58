package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

// operateFrom sends a change that is based on a revision.
func (drv *driver) operateFrom(nod *node, name string, chg table.Change, base int64) {
	nod.lastRequest++
	nod.requests[nod.lastRequest] = name
	drv.feed(nod, event.ChangeRequested{Request: nod.lastRequest, Change: chg, Base: base})
}

// TestConcurrentEditsConflict sends two changes based on the same revision.
// Exactly one must be refused, so that neither undoes the other.
func TestConcurrentEditsConflict(t *testing.T) {
	drv := deploy(t, 1, small)
	base := drv.nodes[0].state.config.Revision
	tbs := small.tables()
	tbs.Teams = append([]table.Team(nil), tbs.Teams...)
	tbs.Teams[0].Limit = 13
	drv.operateFrom(drv.nodes[0], "first", table.TablesReplaced{Tables: tbs}, base)
	drv.operateFrom(drv.nodes[1], "second", table.TablesReplaced{Tables: small.tables()}, base)
	drv.run(time.Second)
	codes := []outcome.Code{drv.reply["first"].code, drv.reply["second"].code}
	assert.Assert(t, codes[0] == outcome.CodeConflict != (codes[1] == outcome.CodeConflict), "%v", codes)
}

// TestEditIsAppliedOnceDespiteLostReplies withdraws a key while half of the
// store's replies are lost after the write took effect.
func TestEditIsAppliedOnceDespiteLostReplies(t *testing.T) {
	for seed := range uint64(20) {
		drv := deploy(t, seed, small)
		before := drv.nodes[0].state.config.Revision
		drv.flt.storeLose = 0.5
		drv.operate(drv.nodes[0], "withdraw", table.KeyWithdrawn{Name: "big"})
		drv.run(10 * time.Second)
		drv.flt.storeLose = 0
		drv.run(3 * time.Second)
		after := drv.nodes[0].state.config
		if drv.reply["withdraw"].outcome == outcome.Accepted {
			assert.Equal(t, after.Revision, before+1, "seed %d", seed)
		}
		for _, nod := range drv.nodes {
			assert.Equal(t, nod.state.config.Revision, after.Revision)
		}
	}
}

// TestEditDuringStoreOutage checks that an edit refused during a store outage
// never takes effect and that requests are served meanwhile.
func TestEditDuringStoreOutage(t *testing.T) {
	drv := deploy(t, 1, small)
	before := drv.nodes[0].state.config.Revision
	drv.flt.storeDown = true
	drv.operate(drv.nodes[0], "withdraw", table.KeyWithdrawn{Name: "big"})
	for i := range 100 {
		drv.after(time.Duration(i)*100*time.Millisecond, func() {
			drv.request(drv.nodes[i%3], fmt.Sprint(i), arrival("tiny", 0, table.UrgencyNormal))
		})
	}
	drv.run(12 * time.Second)
	assert.Equal(t, drv.reply["withdraw"].code, outcome.CodeStoreUnavailable)
	for i := range 100 {
		assert.Equal(t, drv.reply[fmt.Sprint(i)].outcome, outcome.Answered, "request %d while the store is down", i)
	}
	drv.flt.storeDown = false
	drv.run(10 * time.Second)
	assert.Equal(t, drv.nodes[0].state.config.Revision, before, "a refused edit must not take effect")
}

// TestIsolatedEntryStopsStartingWork cuts an entry off from its peers and the
// store.
func TestIsolatedEntryStopsStartingWork(t *testing.T) {
	drv := deploy(t, 1, small)
	isolated := drv.nodes[0]
	drv.setCut(isolated, drv.nodes[1], true)
	drv.setCut(isolated, drv.nodes[2], true)
	drv.flt.storeDown = true
	drv.run(3 * time.Second)
	drv.request(isolated, "late", arrival("big", 0, table.UrgencyNormal))
	drv.request(drv.nodes[1], "fine", arrival("big", 0, table.UrgencyNormal))
	drv.run(3 * time.Second)
	assert.Equal(t, drv.runs["late"], 0)
	assert.Equal(t, drv.reply["late"].outcome, outcome.NotRun)
	assert.Equal(t, drv.reply["fine"].outcome, outcome.Answered, "the majority continues to serve")
}

// TestVMGoneFromPlatformDoesNotCountForMajority loses two of three entries
// whose VMs the platform first lists and later no longer lists.
func TestVMGoneFromPlatformDoesNotCountForMajority(t *testing.T) {
	drv := newDriver(1)
	own := []vm.VM{{ID: "own1"}, {ID: "own2"}, {ID: "own3"}}
	drv.fleet = own
	for i := range own {
		drv.addNodeOn(azName(i), own[i].ID)
	}
	drv.run(5 * time.Second)
	left := drv.nodes[0]
	assert.Equal(t, len(left.state.config.Voters), 3)
	drv.nodes[1].alive, drv.nodes[2].alive = false, false
	drv.run(3 * time.Second)
	drv.operate(left, "before", table.TablesReplaced{Tables: small.tables()})
	drv.run(5 * time.Second)
	assert.Equal(t, drv.reply["before"].code, outcome.CodeNoFreshConfig)
	drv.feed(left, event.VMsListed{VMs: own[:1]})
	drv.operate(left, "after", table.TablesReplaced{Tables: small.tables()})
	drv.run(30 * time.Second)
	assert.Equal(t, drv.reply["after"].outcome, outcome.Accepted)
	assert.Equal(t, len(left.state.config.Voters), 1)
	for _, tea := range small.teams {
		assert.Equal(t, left.state.HeldPermits(tea.Name), tea.Limit)
	}
}

// TestReachableEntryIsNotRemoved cuts an entry off from the store and from the
// member that removes voters. It still reaches the other entries and goes on
// working, so it must keep its permits.
func TestReachableEntryIsNotRemoved(t *testing.T) {
	drv := deploy(t, 1, small)
	remover := drv.node(member.Leader(drv.nodes[0].state.live, "adoption"))
	var reachable *node
	for _, nod := range drv.nodes {
		if nod != remover {
			reachable = nod
		}
	}
	reachable.storeCut = true
	drv.setCut(remover, reachable, true)
	drv.runDuration = func(string) time.Duration { return time.Second }
	for i := range 600 {
		drv.after(time.Duration(i)*100*time.Millisecond, func() {
			for _, nod := range drv.nodes {
				drv.request(nod, fmt.Sprint(i, nod.id), arrival("tiny", 0, table.UrgencyNormal))
				drv.request(nod, fmt.Sprint(i, nod.id, "more"), arrival("tiny", 0, table.UrgencyNormal))
			}
		})
	}
	drv.run(60 * time.Second)
	assert.Assert(t, drv.peak["tiny"] <= 4, "%d ran concurrently", drv.peak["tiny"])
	assert.Assert(t, reachable.alive, "the entry was removed")
	assert.Equal(t, len(remover.state.config.Voters), 3)
}
