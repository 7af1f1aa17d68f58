package priority

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCompareUnderOverload checks that, once not all jobs can be in time, work
// that can still earn something comes before work that can't.
func TestCompareUnderOverload(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	key := func(job string, deadline, worthless time.Duration, work float64) Key {
		return Key{Job: job, Deadline: now.Add(deadline), Worthless: now.Add(worthless), Remaining: time.Second, Work: work}
	}
	excess := key("late, beyond the allowance", 0, 3*time.Second, 1)
	excess.Excess = true
	worthlessExcess := key("worthless, beyond the allowance", -time.Minute, 0, 1)
	worthlessExcess.Excess = true
	keys := []Key{
		worthlessExcess,
		key("worthless, little work", -20*time.Second, -time.Second, 1),
		excess,
		key("late, much work", 0, 3*time.Second, 9),
		key("in time", 2*time.Second, 9*time.Second, 9),
		key("late, little work", 0, 3*time.Second, 2),
		key("in time, earlier", time.Second, 6*time.Second, 9),
	}
	slices.SortFunc(keys, func(one, oth Key) int { return Compare(now, one, oth) })
	var names []string
	for _, key := range keys {
		names = append(names, key.Job)
	}
	assert.DeepEqual(t, names, []string{
		"in time, earlier", "in time", "late, little work", "late, much work", "late, beyond the allowance",
		"worthless, beyond the allowance", "worthless, little work",
	})
}
