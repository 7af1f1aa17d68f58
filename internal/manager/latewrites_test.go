package manager

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/intake"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// TestReportOfLateWritesCountsOnce guards against an old report that makes writes count as late
// again whenever the keys of the duty are listed.
func TestReportOfLateWritesCountsOnce(t *testing.T) {
	out := &lockedBuffer{}
	now := func() time.Time { return time.Unix(1_800_000_000, 0) }
	nod := &Node{log: decisionlog.New(out, "test", now), now: now, jobs: &intake.JobService{}}
	for _, rev := range []kv.Revision{7, 7, 9, 7, 9} {
		nod.dutyChanged(kv.Change{Item: kv.Item{Key: lateWritesKey, Value: []byte("entry-3"), Revision: rev}})
	}
	nod.dutyChanged(kv.Change{Item: kv.Item{Key: lateWritesKey, Revision: 11}, Deleted: true})
	nod.log.Event("last", nil)
	for end := time.Now().Add(awaitTimeout); len(out.lines(`"last"`)) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(out.lines("late_writes_reported")), 2)
}

// TestReportsOfLateWritesAreLimited checks the time between two reports of a process.
func TestReportsOfLateWritesAreLimited(t *testing.T) {
	var lat lateWrites
	start, reports := time.Unix(1_800_000_000, 0), 0
	for after := time.Duration(0); after < 10*lateWritesInterval; after += 100 * time.Millisecond {
		if lat.due(start.Add(after)) {
			reports++
		}
	}
	assert.Equal(t, reports, 10)
}
