package timeline_test

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"gotest.tools/v3/assert"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// TestOrderAcrossSkewedClocks checks that an event of a process whose clock is
// 30 s behind is ordered after the event of another process that caused it.
func TestOrderAcrossSkewedClocks(t *testing.T) {
	var ahead, behind timeline.Clock
	cause := timeline.Event{Stamp: ahead.Now(noon), Entry: "z", Name: "sent"}
	early := timeline.Event{Stamp: behind.Now(noon.Add(-30 * time.Second)), Entry: "a", Name: "before"}
	behind.Observe(noon.Add(-30*time.Second), cause.Stamp)
	effect := timeline.Event{Stamp: behind.Now(noon.Add(-29 * time.Second)), Entry: "a", Name: "received"}
	merged := timeline.Merge([]timeline.Event{cause}, []timeline.Event{early, effect})
	assert.DeepEqual(t, merged, []timeline.Event{early, cause, effect})
}

// TestFarAheadStampIsIgnored checks that a stamp far ahead of the wall clock does
// not advance the clock.
func TestFarAheadStampIsIgnored(t *testing.T) {
	var clk timeline.Clock
	clk.Observe(noon, timeline.Stamp(noon.Add(time.Hour).UnixMilli())<<16)
	assert.Assert(t, clk.Now(noon).Time().Before(noon.Add(time.Second)))
}

func TestStampsIncrease(t *testing.T) {
	var clk timeline.Clock
	last := clk.Now(noon)
	for range 1000 {
		next := clk.Now(noon.Add(-time.Second))
		assert.Assert(t, next > last)
		last = next
	}
}

func TestRingKeepsTheLatest(t *testing.T) {
	rng := timeline.NewRing(3)
	for i := range 10 {
		rng.Add(timeline.Event{Stamp: timeline.Stamp(i), Entry: "e"})
	}
	evts := rng.Events()
	assert.Equal(t, len(evts), 3)
	assert.Equal(t, evts[0].Stamp, timeline.Stamp(7))
	assert.Equal(t, evts[2].Stamp, timeline.Stamp(9))
}
