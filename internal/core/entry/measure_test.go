package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

// keepBacklog sends a team's requests to random entries so that, at any time,
// a number of them waits or runs. Each answer brings the next request.
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
			if _, ok := drv.told[run]; ok {
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

// meanRunning returns how much work of each team ran on average over a span.
func meanRunning(drv *driver, span time.Duration) map[string]float64 {
	const every = time.Millisecond
	sums := map[string]int{}
	samples := int(span / every)
	for range samples {
		drv.run(every)
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

// TestLimitIsUsable measures how much of a team's limit nine entries can use
// between them. One central counter would use all of it.
func TestLimitIsUsable(t *testing.T) {
	drv := deploy(t, 1, deployed)
	drv.span = func(string) time.Duration { return 50 * time.Millisecond }
	stop := false
	keepBacklog(drv, "t3", 0, 120, &stop)
	drv.run(2 * time.Second)
	means := meanRunning(drv, 5*time.Second)
	usable := means["t3"] / 60
	t.Logf("usable part of the limit: %.4f", usable)
	assert.Assert(t, usable >= 0.95, "%.4f", usable)
	assert.Assert(t, drv.peak["t3"] <= 60)
}
