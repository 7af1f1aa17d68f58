package manager

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"gotest.tools/v3/assert"
)

// TestLoadWriter checks that an unchanged backlog is written again before the
// entries consider it too old, that a failed write is repeated, and that two
// writes never overlap.
func TestLoadWriter(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	busy := scheduler.Load{Backlog: map[string][]time.Duration{"gate": {3 * time.Second}}}
	busier := scheduler.Load{Backlog: map[string][]time.Duration{"gate": {4 * time.Second}}}
	idle := scheduler.Load{Pending: map[string]int{"gate": 1}}
	var wri loadWriter
	for _, tst := range []struct {
		name   string
		ms     int
		load   scheduler.Load
		write  bool
		stored bool
	}{
		{"first", 0, busy, true, true},
		{"too soon", 100, busier, false, false},
		{"changed backlog", 250, busier, true, true},
		{"unchanged backlog", 700, busier, false, false},
		{"unchanged backlog, older", 1250, busier, true, true},
		{"backlog gone, write fails", 1600, idle, true, false},
		{"failed, but too soon", 2000, idle, false, false},
		{"failed", 2600, idle, true, true},
		{"unchanged without backlog", 9000, idle, false, false},
	} {
		got := wri.due(at(tst.ms)) && wri.begin(at(tst.ms), tst.load)
		assert.Equal(t, got, tst.write, tst.name)
		if got {
			assert.Assert(t, !wri.due(at(tst.ms+5000)), "a write is in flight")
			assert.Assert(t, !wri.begin(at(tst.ms+5000), busier), "a write is in flight")
			wri.end(tst.stored)
		}
	}
	assert.Assert(t, loadInterval < maxLoadAge)

	computed := 0
	for ms := range 1000 {
		if wri.due(at(20_000 + ms)) {
			computed++
		}
	}
	assert.Equal(t, computed, 4, "the load is computed more often than it may be written")
}
