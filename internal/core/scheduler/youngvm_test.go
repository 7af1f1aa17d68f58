package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/vmclock"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestClockOfRestartedVMIsNotItsAge guards against a task that runs twice: a VM that restarted
// shortly before a takeover holds its longest lease, by a call for its former incarnation, and
// the next dispatcher takes its clock, which doesn't start at zero, for its age.
func TestClockOfRestartedVMIsNotItsAge(t *testing.T) {
	for _, age := range []time.Duration{0, 2 * time.Second, 23 * time.Second} {
		sta, reduce := newTenure()
		one := testVM("vm-1")
		one.StartedAtMS = sta.now.Add(-age).UnixMilli()
		reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobsLoaded{})
		reduce(PollAnswered{VM: one, Sent: sta.now, Report: worker.Report{StartedAtMS: one.StartedAtMS, Clock: time.Hour}})
		lasts := sta.hosts[one.ID].leaseExpiry.Sub(sta.now)
		assert.Assert(t, lasts >= vmclock.LongestLease(emulatedMaxLease), "started %v before the takeover: the lease counts as ended after %v", age, lasts)
	}
}
