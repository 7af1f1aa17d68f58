package catalog

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestRecordedQueue checks that a job's record keeps what its later steps need of the
// queue, through the store.
func TestRecordedQueue(t *testing.T) {
	que := Queue{
		Name: "gate", Host: "h", Prefix: "/g/", Pool: "lots", Priority: 3, MaxAttempts: 4, SlackFactor: 1.6, Target: 600 * time.Millisecond,
		Timeout: time.Second, Public: true, Advice: &job.Advice{BaseLatency: 1, LatencyPerVM: 2, Valid: 3},
	}
	raw, err := job.Marshal(que.Record(job.Spec{ID: "0000000000000001", Steps: []job.Step{{Count: 1}}}))
	assert.NilError(t, err)
	spe, err := job.Unmarshal[job.Spec](raw)
	assert.NilError(t, err)
	want := que
	want.Timeout, want.Public = 0, false
	assert.DeepEqual(t, *RecordedQueue(spe), want)
	// Records of earlier versions have none of this.
	assert.Equal(t, RecordedQueue(job.Spec{Queue: "gate"}).Objective(time.Second), time.Second)
}
