package allowance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const window = 5 * time.Second

// TestWithinRate checks that no job is counted as beyond the allowance while the
// account keeps to its rate.
func TestWithinRate(t *testing.T) {
	now := time.Unix(1000, 0)
	var buc Bucket
	for range 200 {
		var within bool
		buc, within = buc.WithJob(now, 4, window)
		assert.Assert(t, within)
		now = now.Add(250 * time.Millisecond)
	}
	_, within := buc.WithJob(now, 0, window)
	assert.Assert(t, within, "an account without a rate has no limit")
}

// TestBeyondRate checks that, for any arrival times, no more jobs are within the
// allowance than the rate permits over the time span plus one window.
func TestBeyondRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := float64(rapid.IntRange(1, 20).Draw(rt, "rate"))
		now := time.Unix(1000, 0)
		var buc Bucket
		count, span := 0, time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(rt, "jobs") {
			pause := time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond
			now, span = now.Add(pause), span+pause
			var within bool
			if buc, within = buc.WithJob(now, rate, window); within {
				count++
			}
		}
		if most := rate*(span+window).Seconds() + 1; float64(count) > most {
			rt.Fatalf("%d jobs are within the allowance, want at most %v", count, most)
		}
	})
}
