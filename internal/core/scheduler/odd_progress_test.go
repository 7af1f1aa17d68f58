package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestOddProgress guards against a dispatcher that ends by a task record whose
// numbers are negative.
func TestOddProgress(t *testing.T) {
	for _, rec := range []job.TaskRecord{{Occurrence: -1}, {Step: -1}, {Index: -1}, {Step: 99}, {Index: 99}, {Occurrence: 99}} {
		now := time.Unix(1_800_000_000, 0)
		sta := New(testOptions())
		spe := fanOut(1, "large", 2, 1000, time.Second)
		spe.Accepted = now
		sta.Reduce(now, []Event{CatalogChanged{Catalog: testCatalog()}, JobAccepted{Spec: spe, Revision: 5, Progress: job.Progress{Tasks: []job.TaskRecord{rec}}}, JobsLoaded{}})
		assert.Assert(t, sta.jobs[spe.ID] != nil)
		assert.Equal(t, sta.jobs[spe.ID].begun, false)
	}
}
