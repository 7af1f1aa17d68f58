package recent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMap checks that entries are kept for the minimum retention and
// that the map stays bounded.
func TestMap(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	rec := NewMap[int, bool]()
	for i := range 1000 {
		rec.Put(now.Add(time.Duration(i)*time.Second), i, true)
	}
	_, old := rec.Get(100)
	_, young := rec.Get(999 - 55)
	assert.Assert(t, !old && young)
	assert.Assert(t, len(rec.current)+len(rec.previous) <= 125)
	rec.Remove(999)
	_, gone := rec.Get(999)
	assert.Assert(t, !gone)
}
