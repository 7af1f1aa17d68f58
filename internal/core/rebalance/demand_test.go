package rebalance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDemand checks that the rate follows the work that arrives, and that a peak of wanted
// machines is kept for the given time.
func TestDemand(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	var dem Demand
	dem.Average(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		dem.Add(0.4)
		dem.Average(now)
	}
	assert.Assert(t, dem.Rate() > 3.99 && dem.Rate() < 4.01, "%v cores", dem.Rate())
	assert.Equal(t, dem.RecordWant(now, 5, time.Second), 5)
	assert.Equal(t, dem.RecordWant(now.Add(time.Second), 2, time.Second), 5)
	assert.Equal(t, dem.RecordWant(now.Add(1100*time.Millisecond), 2, time.Second), 2)
}
