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
	nod.next++
	nod.requests[nod.next] = name
	drv.feed(nod, event.ChangeRequested{Request: nod.next, Change: chg, Base: base})
}

func TestRacingOperatorsDoNotUndoEachOther(t *testing.T) {
	drv := deploy(t, 1, small)
	base := drv.nodes[0].state.config.Revision
	tbs := small.tables()
	tbs.Teams = append([]table.Team(nil), tbs.Teams...)
	tbs.Teams[0].Limit = 13
	drv.operateFrom(drv.nodes[0], "first", table.TablesReplaced{Tables: tbs}, base)
	drv.operateFrom(drv.nodes[1], "second", table.TablesReplaced{Tables: small.tables()}, base)
	drv.run(time.Second)
	codes := []outcome.Code{drv.told["first"].code, drv.told["second"].code}
	assert.Assert(t, codes[0] == outcome.CodeConflict != (codes[1] == outcome.CodeConflict), "%v", codes)
}

// TestEditIsAppliedOnceThroughLostAnswers withdraws keys while half of the
// store's answers are lost after taking effect.
func TestEditIsAppliedOnceThroughLostAnswers(t *testing.T) {
	for seed := range uint64(20) {
		drv := deploy(t, seed, small)
		before := drv.nodes[0].state.config.Revision
		drv.flt.storeLose = 0.5
		drv.operate(drv.nodes[0], "withdraw", table.KeyWithdrawn{Name: "big"})
		drv.run(10 * time.Second)
		drv.flt.storeLose = 0
		drv.run(3 * time.Second)
		after := drv.nodes[0].state.config
		if drv.told["withdraw"].outcome == outcome.Accepted {
			assert.Equal(t, after.Revision, before+1, "seed %d", seed)
		}
		for _, nod := range drv.nodes {
			assert.Equal(t, nod.state.config.Revision, after.Revision)
		}
	}
}

func TestEditsWaitOutAStoreOutageTruthfully(t *testing.T) {
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
	assert.Equal(t, drv.told["withdraw"].code, outcome.CodeStoreUnavailable)
	for i := range 100 {
		assert.Equal(t, drv.told[fmt.Sprint(i)].outcome, outcome.Answered, "request %d while the store is down", i)
	}
	drv.flt.storeDown = false
	drv.run(10 * time.Second)
	assert.Equal(t, drv.nodes[0].state.config.Revision, before, "what was refused never takes effect")
}

// TestCutOffEntryStopsStarting cuts an entry off from its peers and the store.
func TestCutOffEntryStopsStarting(t *testing.T) {
	drv := deploy(t, 1, small)
	alone := drv.nodes[0]
	drv.setCut(alone, drv.nodes[1], true)
	drv.setCut(alone, drv.nodes[2], true)
	drv.flt.storeDown = true
	drv.run(3 * time.Second)
	drv.request(alone, "late", arrival("big", 0, table.UrgencyNormal))
	drv.request(drv.nodes[1], "fine", arrival("big", 0, table.UrgencyNormal))
	drv.run(3 * time.Second)
	assert.Equal(t, drv.runs["late"], 0)
	assert.Equal(t, drv.told["late"].outcome, outcome.NotRun)
	assert.Equal(t, drv.told["fine"].outcome, outcome.Answered, "the majority works on")
}

// TestVMThatThePlatformTookAwayCountsForNoMajority loses two of three entries,
// whose VMs the platform lists and then lists no more.
func TestVMThatThePlatformTookAwayCountsForNoMajority(t *testing.T) {
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
	assert.Equal(t, drv.told["before"].code, outcome.CodeNoFreshConfig)
	drv.feed(left, event.VMsListed{VMs: own[:1]})
	drv.operate(left, "after", table.TablesReplaced{Tables: small.tables()})
	drv.run(30 * time.Second)
	assert.Equal(t, drv.told["after"].outcome, outcome.Accepted)
	assert.Equal(t, len(left.state.config.Voters), 1)
	for _, tea := range small.teams {
		assert.Equal(t, left.state.Rights(tea.Name), tea.Limit)
	}
}

// TestEntryThatOthersHearIsNotRemoved cuts an entry off from the store and from
// the member that removes departed ones. The others hear it, so it works on, and
// its permits must stay its own.
func TestEntryThatOthersHearIsNotRemoved(t *testing.T) {
	drv := deploy(t, 1, small)
	remover := drv.node(member.Leader(drv.nodes[0].state.live, "adoption"))
	var heard *node
	for _, nod := range drv.nodes {
		if nod != remover {
			heard = nod
		}
	}
	heard.storeCut = true
	drv.setCut(remover, heard, true)
	drv.span = func(string) time.Duration { return time.Second }
	for i := range 600 {
		drv.after(time.Duration(i)*100*time.Millisecond, func() {
			for _, nod := range drv.nodes {
				drv.request(nod, fmt.Sprint(i, nod.id), arrival("tiny", 0, table.UrgencyNormal))
				drv.request(nod, fmt.Sprint(i, nod.id, "more"), arrival("tiny", 0, table.UrgencyNormal))
			}
		})
	}
	drv.run(60 * time.Second)
	assert.Assert(t, drv.peak["tiny"] <= 4, "%d ran at once", drv.peak["tiny"])
	assert.Assert(t, heard.alive, "the entry was removed")
	assert.Equal(t, len(remover.state.config.Voters), 3)
}
