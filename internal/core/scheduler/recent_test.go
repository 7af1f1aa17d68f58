package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRecentMap checks that entries are kept for the minimum retention and
// that the map stays bounded.
func TestRecentMap(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	rec := newRecentMap[int, bool]()
	for i := range 1000 {
		rec.put(now.Add(time.Duration(i)*time.Second), i, true)
	}
	_, old := rec.get(100)
	_, young := rec.get(999 - 55)
	assert.Assert(t, !old && young)
	assert.Assert(t, len(rec.current)+len(rec.previous) <= 125)
	rec.remove(999)
	_, gone := rec.get(999)
	assert.Assert(t, !gone)
}
