package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observe records a number of answers.
func observe(t *testing.T, lat *Latencies, callee string, count int, took time.Duration) {
	t.Helper()
	for range count {
		assert.NilError(t, lat.Observe("start", callee, took))
	}
}

// TestTryDeadline checks the bounds of the deadline, and that it follows the kind of call
// and the callee.
func TestTryDeadline(t *testing.T) {
	lat := NewLatencies()
	assert.Equal(t, lat.TryDeadline("start", "a"), MaxTryDeadline, "without answers")
	observe(t, lat, "a", 10*minAnswers, 3*time.Millisecond)
	assert.Equal(t, lat.TryDeadline("start", "a"), MinTryDeadline, "answers within milliseconds")
	assert.Equal(t, lat.TryDeadline("stop", "a"), MaxTryDeadline, "another kind of call")
	observe(t, lat, "slow", 3, 20*time.Millisecond)
	assert.Equal(t, lat.TryDeadline("start", "slow"), 4*20*time.Millisecond, "a slow callee")
	assert.Equal(t, lat.TryDeadline("start", "a"), MinTryDeadline, "another callee than the slow one")
	lat.Forget("slow")
	assert.Equal(t, lat.TryDeadline("start", "slow"), MinTryDeadline, "a callee that was forgotten")
}

// TestTryDeadlineOfSlowFleet checks that the deadline rises with the latency of all
// callees, and falls again.
func TestTryDeadlineOfSlowFleet(t *testing.T) {
	lat := NewLatencies()
	observe(t, lat, "a", answersPerWindow, 3*time.Millisecond)
	observe(t, lat, "b", answersPerWindow, 150*time.Millisecond)
	assert.Assert(t, lat.TryDeadline("start", "c") >= 3*149*time.Millisecond)
	observe(t, lat, "b", (histogramWindows+1)*answersPerWindow, 3*time.Millisecond)
	assert.Equal(t, lat.TryDeadline("start", "c"), MinTryDeadline)
}

// TestOddLatencies checks that latencies that no call can have count as the bounds of the
// histogram.
func TestOddLatencies(t *testing.T) {
	lat := NewLatencies()
	observe(t, lat, "a", minAnswers, -time.Second)
	assert.Equal(t, lat.TryDeadline("start", "a"), MinTryDeadline)
	observe(t, lat, "a", 10*minAnswers, time.Hour)
	assert.Equal(t, lat.TryDeadline("start", "a"), MaxTryDeadline)
}

// TestLossRefillsBudget checks that requests whose answers are lost keep a budget, and that
// it stays within its limit.
func TestLossRefillsBudget(t *testing.T) {
	bud := NewBudget()
	for range 100 {
		next, ok := bud.WithRetry()
		assert.Assert(t, ok)
		bud = next.WithLoss(1)
	}
	retries := 0
	for ok := true; ok; retries++ {
		bud, ok = bud.WithRetry()
	}
	assert.Equal(t, retries-1, maxMilliTokens/retryMilliTokens)
}
