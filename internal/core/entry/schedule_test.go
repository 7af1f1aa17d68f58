package entry

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

var (
	scheduleCount = flag.Int("schedules", 160, "number of seeded schedules of faults")
	scheduleSeed  = flag.Uint64("schedule-seed", 1, "seed of the first schedule")
	scheduleTrace = flag.Bool("schedule-trace", false, "print the timeline of each schedule")
)

// scheduleDuration is the virtual time of a schedule under faults.
const scheduleDuration = 6 * time.Second

// schedule is one seeded run under faults, with the violations found.
type schedule struct {
	*driver
	seed uint64
	// bound is the largest permitted number of running requests of a team: the
	// limit in force, or the higher of two while it is being changed.
	bound  map[string]int
	wanted map[string]int
	serial int
	faults []string
	quiet  bool
}

func (sch *schedule) fail(format string, args ...any) {
	if len(sch.faults) < 5 {
		sch.faults = append(sch.faults, fmt.Sprintf("seed %d at %s: ", sch.seed, sch.now.Format("05.000"))+fmt.Sprintf(format, args...))
	}
}

// TestPermitsUnderFaults looks for a team that exceeds its limit, and for
// permits that are lost permanently.
func TestPermitsUnderFaults(t *testing.T) {
	runSchedules(t, runSchedule)
}

// runSchedules runs the schedules in parallel and reports the violations.
func runSchedules(t *testing.T, run func(t *testing.T, seed uint64) []string) {
	if testing.Short() {
		t.Skip("seeded schedules take too long for short mode")
	}
	seeds := make(chan uint64)
	var mu sync.Mutex
	var faults []string
	var grp sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		grp.Add(1)
		go func() {
			defer grp.Done()
			for seed := range seeds {
				found := run(t, seed)
				mu.Lock()
				faults = append(faults, found...)
				mu.Unlock()
			}
		}()
	}
	for i := range *scheduleCount {
		seeds <- *scheduleSeed + uint64(i)
	}
	close(seeds)
	grp.Wait()
	for _, fault := range faults[:min(len(faults), 10)] {
		t.Error(fault)
	}
	assert.Equal(t, len(faults), 0)
}

func runSchedule(t *testing.T, seed uint64) []string {
	shp := small
	shp.deadline = 500 * time.Millisecond
	sch := &schedule{driver: deploy(t, seed, shp), seed: seed, bound: map[string]int{}, wanted: map[string]int{}}
	for _, tea := range shp.teams {
		sch.bound[tea.Name], sch.wanted[tea.Name] = tea.Limit, tea.Limit
	}
	sch.tick = 20 * time.Millisecond
	if *scheduleTrace {
		sch.trace = os.Stdout
	}
	sch.onStart = sch.checkStart
	sch.runDuration = func(string) time.Duration { return time.Duration(sch.rnd.Int64N(int64(200 * time.Millisecond))) }
	sch.flt = faults{lose: 0.05, duplicate: 0.05, late: 0.05}
	sch.load()
	sch.planFaults(shp)
	sch.run(sch.faultDuration())
	sch.healFaults()
	sch.run(30 * time.Second)
	sch.checkUsable()
	return sch.faults
}

func (sch *schedule) checkStart(sta start) {
	if sch.running[sta.team] > sch.bound[sta.team] {
		sch.fail("team %s has %d running with a limit of %d", sta.team, sch.running[sta.team], sch.bound[sta.team])
	}
}

// load sends requests to random entries, more than the limits allow.
func (sch *schedule) load() {
	if sch.quiet {
		return
	}
	live := sch.live()
	if len(live) > 0 {
		sch.serial++
		team := "big"
		if sch.rnd.IntN(3) == 0 {
			team = "tiny"
		}
		sch.request(live[sch.rnd.IntN(len(live))], fmt.Sprint(sch.serial), arrival(team, 0, table.UrgencyNormal))
	}
	sch.after(time.Duration(sch.rnd.Int64N(int64(8*time.Millisecond))), sch.load)
}

func (sch *schedule) live() []*node {
	var live []*node
	for _, nod := range sch.nodes {
		if nod.alive {
			live = append(live, nod)
		}
	}
	return live
}

// faultDuration returns the time under faults. One schedule in eight is long
// enough for unreachable members to be removed.
func (sch *schedule) faultDuration() time.Duration {
	if sch.seed%8 == 0 {
		return 5 * scheduleDuration
	}
	return scheduleDuration
}

// planFaults draws the faults of the schedule.
func (sch *schedule) planFaults(shp shape) {
	if sch.seed%8 == 0 {
		sch.after(time.Second, sch.cutOff)
	}
	for range 1 + sch.rnd.IntN(4) {
		at := time.Duration(sch.rnd.Int64N(int64(scheduleDuration)))
		duration := time.Duration(sch.rnd.Int64N(int64(4 * time.Second)))
		switch sch.rnd.IntN(7) {
		case 0:
			sch.after(at, func() { sch.pauseOne(duration) })
		case 1:
			sch.after(at, sch.killOne)
		case 2:
			sch.after(at, func() { sch.flt.storeDown = true })
			sch.after(at+duration, func() { sch.flt.storeDown = false })
		case 3:
			sch.after(at, func() { sch.flt.storeLose, sch.flt.storeSlow = 0.3, 2*time.Second })
			sch.after(at+duration, func() { sch.flt.storeLose, sch.flt.storeSlow = 0, 0 })
		case 4:
			sch.after(at, func() { sch.cutOne(duration) })
		case 5:
			sch.after(at, func() { sch.changeLimits(shp) })
		case 6:
			sch.after(at, func() { sch.shutDownOne() })
		}
	}
	sch.after(0, sch.lowerBounds)
}

// cutOff cuts an entry off from the store and from one other entry for a long
// time. The third entry reaches both.
func (sch *schedule) cutOff() {
	live := sch.live()
	if len(live) < 3 {
		return
	}
	at := sch.rnd.IntN(3)
	a, b := live[at], live[(at+1)%3]
	a.storeCut = true
	sch.setCut(a, b, true)
	sch.after(4*scheduleDuration, func() {
		a.storeCut = false
		sch.setCut(a, b, false)
	})
}

func (sch *schedule) pickNode() *node {
	live := sch.live()
	if len(live) == 0 {
		return nil
	}
	return live[sch.rnd.IntN(len(live))]
}

func (sch *schedule) pauseOne(duration time.Duration) {
	if nod := sch.pickNode(); nod != nil {
		nod.paused = true
		sch.after(duration, func() { sch.resume(nod) })
	}
}

// killOne kills an entry and starts another in its place.
func (sch *schedule) killOne() {
	if nod := sch.pickNode(); nod != nil && len(sch.live()) == 3 {
		sch.kill(nod)
		sch.after(time.Second, func() { sch.addNode(nod.az) })
	}
}

func (sch *schedule) shutDownOne() {
	if nod := sch.pickNode(); nod != nil && len(sch.live()) == 3 {
		sch.feed(nod, event.ShutdownRequested{})
		sch.after(time.Second, func() { sch.addNode(nod.az) })
	}
}

func (sch *schedule) cutOne(duration time.Duration) {
	a, b := sch.pickNode(), sch.pickNode()
	if a != nil && a != b {
		sch.setCut(a, b, true)
		sch.after(duration, func() { sch.setCut(a, b, false) })
	}
}

// changeLimits edits the tables. While the edit is in progress, either limit
// may be in force.
func (sch *schedule) changeLimits(shp shape) {
	nod := sch.pickNode()
	if nod == nil {
		return
	}
	tbs := shp.tables()
	tbs.Teams = append([]table.Team(nil), tbs.Teams...)
	for i := range tbs.Teams {
		tea := &tbs.Teams[i]
		tea.Limit = 1 + sch.rnd.IntN(15)
		sch.bound[tea.Name] = max(sch.bound[tea.Name], tea.Limit)
	}
	sch.serial++
	sch.operate(nod, fmt.Sprint("limits ", sch.serial), table.TablesReplaced{Tables: tbs})
}

// lowerBounds treats a lowered limit as in force once every entry has the
// configuration in the store, and the permits held by entries or in transit no
// longer exceed it. An edit of a lost entry, or one whose write is still in
// flight, may raise a limit before any other entry knows: seed 6482 of the
// first 10,000 failed that way.
func (sch *schedule) lowerBounds() {
	sch.after(50*time.Millisecond, sch.lowerBounds)
	newest, err := table.Decode(sch.kv.items[store.KeyConfig].Value)
	if err != nil || sch.kv.inFlight > 0 {
		return
	}
	for _, nod := range sch.live() {
		if nod.state.config.Revision != newest.Revision {
			return
		}
	}
	for _, tea := range newest.Tables.Teams {
		if sch.claims(tea.Name) <= tea.Limit && sch.running[tea.Name] <= tea.Limit && !sch.hasPendingEdits() {
			sch.bound[tea.Name] = tea.Limit
		}
	}
}

func (sch *schedule) hasPendingEdits() bool {
	for _, nod := range sch.live() {
		if len(nod.state.edits.pending) > 0 || len(nod.backlog) > 0 {
			return true
		}
	}
	return false
}

func (sch *schedule) newest() *table.Config {
	newest := table.Empty()
	for _, nod := range sch.live() {
		if nod.state.config.Revision > newest.Revision {
			newest = nod.state.config
		}
	}
	return newest
}

// claims returns the number of requests that the live entries could run: the
// permits that they hold or use, and those in transit to them.
func (sch *schedule) claims(team string) int {
	sum := 0
	for _, nod := range sch.live() {
		sum += max(nod.state.HeldPermits(team), nod.state.Running(team), 0)
		for _, other := range sch.nodes {
			if other != nod {
				sum += int(max(0, other.state.ledger.Sent(team, nod.id)-nod.state.ledger.Received(team, other.id)))
			}
		}
	}
	return sum
}

// healFaults ends all faults and the load.
func (sch *schedule) healFaults() {
	sch.quiet = true
	sch.flt = faults{}
	for _, nod := range sch.live() {
		nod.storeCut = false
		sch.resume(nod)
	}
	for _, a := range sch.live() {
		for _, b := range sch.live() {
			if a != b {
				sch.setCut(a, b, false)
			}
		}
	}
}

// checkUsable checks, after the load has ended, that no permit is stranded: the
// entries hold the whole limit together, and one entry can use all of it.
func (sch *schedule) checkUsable() {
	newest := sch.newest()
	for _, nod := range sch.live() {
		if nod.state.config.Revision != newest.Revision {
			sch.fail("%s has revision %d instead of %d", nod.id, nod.state.config.Revision, newest.Revision)
			return
		}
	}
	if len(newest.Voters) != len(sch.live()) {
		sch.fail("%d live entries but %d voters", len(sch.live()), len(newest.Voters))
		return
	}
	for _, tea := range newest.Tables.Teams {
		sum := 0
		for _, nod := range sch.live() {
			sum += nod.state.HeldPermits(tea.Name)
		}
		if sum != tea.Limit {
			sch.fail("team %s has %d permits of %d", tea.Name, sum, tea.Limit)
		}
	}
	sch.checkOneEntryUsesAll(newest)
}

func (sch *schedule) checkOneEntryUsesAll(cfg *table.Config) {
	sch.runDuration = func(string) time.Duration { return 400 * time.Millisecond }
	nod := sch.live()[0]
	for _, tea := range cfg.Tables.Teams {
		for i := range tea.Limit {
			sch.request(nod, fmt.Sprint(tea.Name, " last ", i), arrival(tea.Name, 0, table.UrgencyNormal))
		}
	}
	sch.run(2 * time.Second)
	for _, tea := range cfg.Tables.Teams {
		for i := range tea.Limit {
			if rpl := sch.reply[fmt.Sprint(tea.Name, " last ", i)]; rpl.outcome != outcome.Answered {
				sch.fail("request %d of team %s with a limit of %d got the reply %v", i, tea.Name, tea.Limit, rpl)
				return
			}
		}
	}
}
