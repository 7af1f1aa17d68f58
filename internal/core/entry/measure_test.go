package entry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/share"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

// keepBacklog sends a team's requests to random entries so that a constant
// number of them waits or runs. Each answer triggers the next request.
func keepBacklog(drv *driver, team string, svc, outstanding int, stop *bool) {
	serial := 0
	var next func()
	next = func() {
		if *stop {
			return
		}
		serial++
		nod := drv.nodes[drv.rnd.IntN(len(drv.nodes))]
		run := fmt.Sprintf("%s/%d/%d", team, svc, serial)
		drv.request(nod, run, arrival(team, svc, table.UrgencyNormal))
		var poll func()
		poll = func() {
			if _, ok := drv.reply[run]; ok {
				next()
				return
			}
			drv.after(2*time.Millisecond, poll)
		}
		drv.after(2*time.Millisecond, poll)
	}
	for range outstanding {
		drv.after(time.Duration(drv.rnd.Int64N(int64(20*time.Millisecond))), next)
	}
}

// meanRunning returns the average number of running requests of each team over
// a duration.
func meanRunning(drv *driver, duration time.Duration) map[string]float64 {
	const interval = time.Millisecond
	sums := map[string]int{}
	samples := int(duration / interval)
	for range samples {
		drv.run(interval)
		for team, running := range drv.running {
			sums[team] += running
		}
	}
	means := map[string]float64{}
	for team, sum := range sums {
		means[team] = float64(sum) / float64(samples)
	}
	return means
}

// TestLimitIsUsable measures the part of a team's limit that nine entries can
// use together. A single central counter would use all of it.
func TestLimitIsUsable(t *testing.T) {
	t.Parallel()
	drv := deploy(t, 1, deployed)
	drv.runDuration = func(string) time.Duration { return 50 * time.Millisecond }
	stop := false
	keepBacklog(drv, "t3", 0, 120, &stop)
	drv.run(2 * time.Second)
	means := meanRunning(drv, 5*time.Second)
	usable := means["t3"] / 60
	t.Logf("usable part of the limit: %.4f", usable)
	assert.Assert(t, usable >= 0.95, "%.4f", usable)
	assert.Assert(t, drv.peak["t3"] <= 60)
}

// sharesOf returns each team's part of the slots of one service when the
// backlogged teams want more than there is, by plain water filling.
func sharesOf(shp shape, backlogged map[string]bool) map[string]float64 {
	var demands []share.Demand
	for _, tea := range shp.teams {
		wanted := 0
		if backlogged[tea.Name] {
			wanted = tea.Limit
		}
		demands = append(demands, share.Demand{Name: tea.Name, Weight: tea.Share, Wanted: wanted})
	}
	shares := map[string]float64{}
	for i, got := range share.WaterFill(shp.executors*8, demands) {
		shares[demands[i].Name] = got
	}
	return shares
}

// worstDeviation returns the largest deviation of a team from its share, as a
// fraction of the share.
func worstDeviation(t *testing.T, means, shares map[string]float64) float64 {
	t.Helper()
	worst := 0.0
	for team, want := range shares {
		if want == 0 {
			continue
		}
		deviation := math.Abs(means[team]-want) / want
		t.Logf("%s: share %.1f, had %.2f, deviation %.4f", team, want, means[team], deviation)
		worst = max(worst, deviation)
	}
	return worst
}

func backlogAll(drv *driver, shp shape, stop *bool) map[string]bool {
	backlogged := map[string]bool{}
	for _, tea := range shp.teams {
		backlogged[tea.Name] = true
		keepBacklog(drv, tea.Name, 0, 90, stop)
	}
	return backlogged
}

func TestSharesUnderFullBacklog(t *testing.T) {
	t.Parallel()
	drv := deploy(t, 2, deployed)
	drv.runDuration = func(string) time.Duration { return 50 * time.Millisecond }
	stop := false
	backlogged := backlogAll(drv, deployed, &stop)
	drv.run(2 * time.Second)
	worst := worstDeviation(t, meanRunning(drv, 10*time.Second), sharesOf(deployed, backlogged))
	assert.Assert(t, worst <= 0.02, "worst deviation %.4f", worst)
}

// TestSharesAfterSpikeMoves measures the shares in the first second after
// another team gets a backlog.
func TestSharesAfterSpikeMoves(t *testing.T) {
	t.Parallel()
	drv := deploy(t, 3, deployed)
	drv.runDuration = func(string) time.Duration { return 50 * time.Millisecond }
	stop := false
	backlogged := map[string]bool{}
	for _, tea := range deployed.teams {
		if tea.Name != "t2" {
			backlogged[tea.Name] = true
			keepBacklog(drv, tea.Name, 0, 90, &stop)
		}
	}
	drv.run(3 * time.Second)
	backlogged["t2"] = true
	keepBacklog(drv, "t2", 0, 90, &stop)
	worst := worstDeviation(t, meanRunning(drv, time.Second), sharesOf(deployed, backlogged))
	assert.Assert(t, worst <= 0.05, "worst deviation %.4f", worst)
}
