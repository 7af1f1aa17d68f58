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
	scheduleTrace = flag.Bool("schedule-trace", false, "print the time line of each schedule")
)

// scheduleSpan is the virtual time of a schedule under faults.
const scheduleSpan = 6 * time.Second

// schedule is one seeded run under faults, with what is found wrong.
type schedule struct {
	*driver
	seed uint64
	// bound is the most that a team may have running: the limit in force, or
	// the higher of two while a change of it is on its way.
	bound  map[string]int
	wanted map[string]int
	next   int
	faults []string
	quiet  bool
}

func (sch *schedule) fail(format string, args ...any) {
	if len(sch.faults) < 5 {
		sch.faults = append(sch.faults, fmt.Sprintf("seed %d at %s: ", sch.seed, sch.now.Format("05.000"))+fmt.Sprintf(format, args...))
	}
}

// TestPermitsThroughSchedulesOfFaults looks for a team with more running than
// its limit, and for permits that are lost for good.
func TestPermitsThroughSchedulesOfFaults(t *testing.T) {
	runSchedules(t, runSchedule)
}

// runSchedules runs the schedules side by side and reports what they find.
func runSchedules(t *testing.T, run func(t *testing.T, seed uint64) []string) {
	if testing.Short() {
		t.Skip("long")
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
	sch.span = func(string) time.Duration { return time.Duration(sch.rnd.Int64N(int64(200 * time.Millisecond))) }
	sch.flt = faults{lose: 0.05, double: 0.05, late: 0.05}
	sch.load()
	sch.plan(shp)
	sch.run(sch.lasts())
	sch.heal()
	sch.run(30 * time.Second)
	sch.checkUsable()
	return sch.faults
}

func (sch *schedule) checkStart(sta start) {
	if sch.running[sta.team] > sch.bound[sta.team] {
		sch.fail("team %s has %d running with a limit of %d", sta.team, sch.running[sta.team], sch.bound[sta.team])
	}
}

// load lets requests arrive at random entries, more than the limits allow.
func (sch *schedule) load() {
	if sch.quiet {
		return
	}
	live := sch.live()
	if len(live) > 0 {
		sch.next++
		team := "big"
		if sch.rnd.IntN(3) == 0 {
			team = "tiny"
		}
		sch.request(live[sch.rnd.IntN(len(live))], fmt.Sprint(sch.next), arrival(team, 0, table.UrgencyNormal))
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

// lasts returns the time under faults. One schedule in eight is so long that
// members which are out of reach are removed.
func (sch *schedule) lasts() time.Duration {
	if sch.seed%8 == 0 {
		return 5 * scheduleSpan
	}
	return scheduleSpan
}

// plan draws the faults of the schedule.
func (sch *schedule) plan(shp shape) {
	if sch.seed%8 == 0 {
		sch.after(time.Second, sch.cutOff)
	}
	for range 1 + sch.rnd.IntN(4) {
		at := time.Duration(sch.rnd.Int64N(int64(scheduleSpan)))
		span := time.Duration(sch.rnd.Int64N(int64(4 * time.Second)))
		switch sch.rnd.IntN(7) {
		case 0:
			sch.after(at, func() { sch.pauseOne(span) })
		case 1:
			sch.after(at, sch.killOne)
		case 2:
			sch.after(at, func() { sch.flt.storeDown = true })
			sch.after(at+span, func() { sch.flt.storeDown = false })
		case 3:
			sch.after(at, func() { sch.flt.storeLose, sch.flt.storeSlow = 0.3, 2*time.Second })
			sch.after(at+span, func() { sch.flt.storeLose, sch.flt.storeSlow = 0, 0 })
		case 4:
			sch.after(at, func() { sch.cutOne(span) })
		case 5:
			sch.after(at, func() { sch.changeLimits(shp) })
		case 6:
			sch.after(at, func() { sch.shutDownOne() })
		}
	}
	sch.after(0, sch.lowerBounds)
}

// cutOff cuts an entry off from the store and from one other, for long. The
// third hears both.
func (sch *schedule) cutOff() {
	live := sch.live()
	if len(live) < 3 {
		return
	}
	at := sch.rnd.IntN(3)
	a, b := live[at], live[(at+1)%3]
	a.storeCut = true
	sch.setCut(a, b, true)
	sch.after(4*scheduleSpan, func() {
		a.storeCut = false
		sch.setCut(a, b, false)
	})
}

func (sch *schedule) pick() *node {
	live := sch.live()
	if len(live) == 0 {
		return nil
	}
	return live[sch.rnd.IntN(len(live))]
}

func (sch *schedule) pauseOne(span time.Duration) {
	if nod := sch.pick(); nod != nil {
		nod.paused = true
		sch.after(span, func() { sch.resume(nod) })
	}
}

// killOne loses an entry and starts another in its place.
func (sch *schedule) killOne() {
	if nod := sch.pick(); nod != nil && len(sch.live()) == 3 {
		sch.kill(nod)
		sch.after(time.Second, func() { sch.addNode(nod.az) })
	}
}

func (sch *schedule) shutDownOne() {
	if nod := sch.pick(); nod != nil && len(sch.live()) == 3 {
		sch.feed(nod, event.ShutdownAsked{})
		sch.after(time.Second, func() { sch.addNode(nod.az) })
	}
}

func (sch *schedule) cutOne(span time.Duration) {
	a, b := sch.pick(), sch.pick()
	if a != nil && a != b {
		sch.setCut(a, b, true)
		sch.after(span, func() { sch.setCut(a, b, false) })
	}
}

// changeLimits edits the tables. While the edit is on its way, either limit may
// be the one in force.
func (sch *schedule) changeLimits(shp shape) {
	nod := sch.pick()
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
	sch.next++
	sch.operate(nod, fmt.Sprint("limits ", sch.next), table.TablesReplaced{Tables: tbs})
}

// lowerBounds takes a lowered limit for in force once every entry runs by what
// the store holds, and the permits that entries hold or that are on their way no
// longer exceed it. An edit that an entry wrote before it was lost, or whose
// write is still on its way, may raise a limit before any other entry knows:
// seed 6482 of the first 10,000.
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

// claims is what the live entries could run: the permits that they hold, those
// in use, and those on the way to them.
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

// heal ends all faults and the load.
func (sch *schedule) heal() {
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

// checkUsable sees, after quiet, that no permit is stranded: the entries hold
// the whole limit between them, and one entry can use all of it.
func (sch *schedule) checkUsable() {
	newest := sch.newest()
	for _, nod := range sch.live() {
		if nod.state.config.Revision != newest.Revision {
			sch.fail("%s runs by revision %d, not %d", nod.id, nod.state.config.Revision, newest.Revision)
			return
		}
	}
	if len(newest.Voters) != len(sch.live()) {
		sch.fail("%d entries live and %d vote", len(sch.live()), len(newest.Voters))
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
	sch.span = func(string) time.Duration { return 400 * time.Millisecond }
	nod := sch.live()[0]
	for _, tea := range cfg.Tables.Teams {
		for i := range tea.Limit {
			sch.request(nod, fmt.Sprint(tea.Name, " last ", i), arrival(tea.Name, 0, table.UrgencyNormal))
		}
	}
	sch.run(2 * time.Second)
	for _, tea := range cfg.Tables.Teams {
		for i := range tea.Limit {
			if tld := sch.told[fmt.Sprint(tea.Name, " last ", i)]; tld.outcome != outcome.Answered {
				sch.fail("request %d of team %s with a limit of %d was told %v", i, tea.Name, tea.Limit, tld)
				return
			}
		}
	}
}
