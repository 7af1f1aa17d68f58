package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

// maxAmplification bounds the attempts per request in a total outage.
const maxAmplification = 1.1

// measureAmplification sends repeatable requests to upstreams that fail a
// fraction of the attempts. It returns the attempts per request and the
// fraction of requests that were answered.
func measureAmplification(t *testing.T, failing float64, result event.AttemptResult) (attempts, answered float64) {
	t.Helper()
	drv := deploy(t, 7, deployed)
	tried := map[string][]string{}
	count := 0
	drv.failAttempt = func(sta start) event.AttemptResult {
		count++
		for _, vmID := range tried[sta.run] {
			assert.Assert(t, vmID != sta.vm, "%s was attempted twice on %s", sta.run, sta.vm)
		}
		tried[sta.run] = append(tried[sta.run], sta.vm)
		if drv.rnd.Float64() < failing {
			return result
		}
		return 0
	}
	const requests = 8000
	for i := range requests {
		drv.after(time.Duration(i)*time.Millisecond, func() {
			evt := arrival(deployed.teams[i%6].Name, 0, table.UrgencyNormal)
			evt.Idempotent = true
			drv.request(drv.nodes[i%9], fmt.Sprint(i), evt)
		})
	}
	drv.run(requests*time.Millisecond + 3*time.Second)
	done := 0
	for i := range requests {
		if drv.reply[fmt.Sprint(i)].outcome == "answered" {
			done++
		}
	}
	return float64(count) / requests, float64(done) / requests
}

// TestRetriesDoNotAmplifyAnOutage compares the attempts per request with those
// of three tries without a budget, which make 1 + p + p*p if a fraction p of
// the attempts fails.
func TestRetriesDoNotAmplifyAnOutage(t *testing.T) {
	t.Parallel()
	kinds := map[string]event.AttemptResult{"unknown": event.AttemptUnknown, "no connection": event.AttemptNotRun}
	for name, result := range kinds {
		for _, failing := range []float64{0.1, 0.5, 1} {
			attempts, answered := measureAmplification(t, failing, result)
			naive := 1 + failing + failing*failing
			t.Logf("%s, %3.0f%% fail: %.3f attempts a request, %.3f answered; three tries %.3f and %.3f",
				name, 100*failing, attempts, answered, naive, 1-failing*failing*failing)
			if failing == 1 {
				assert.Assert(t, attempts <= maxAmplification, "%s: %.3f", name, attempts)
			}
		}
	}
}
