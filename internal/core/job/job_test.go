package job

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCheck checks that Check rejects inconsistent jobs and jobs that exceed the
// limits on the size of a job in the store and in the dispatcher's memory.
func TestCheck(t *testing.T) {
	one := Step{Count: 1, Size: Size{CPU: 500}}
	for _, tst := range []struct {
		name string
		spec Spec
		want string
	}{
		{"valid", Spec{Steps: []Step{one, {Count: 2, After: []int{0}}}, Occurrences: 3, Interval: time.Second}, ""},
		{"no steps", Spec{}, "has 0 steps"},
		{"too many steps", Spec{Steps: make([]Step, MaxSteps+1)}, "has 1001 steps"},
		{"no tasks", Spec{Steps: []Step{{}}}, "step 0 has 0 tasks"},
		{"too many tasks", Spec{Steps: []Step{{Count: MaxTasks + 1}}}, "step 0 has 10001 tasks"},
		{"too many occurrences", Spec{Steps: []Step{one}, Occurrences: MaxOccurrences + 1}, "10001 occurrences"},
		{"too many tasks in all occurrences", Spec{Steps: []Step{{Count: 100}}, Occurrences: 1000}, "100 tasks in 1000 occurrences"},
		{"negative interval", Spec{Steps: []Step{one}, Occurrences: 2, Interval: -time.Second}, "every -1s"},
		{"negative size", Spec{Steps: []Step{{Count: 1, Size: Size{Memory: -1}}}}, "negative size"},
		{"negative estimate", Spec{Steps: []Step{{Count: 1, Estimate: -time.Second}}}, "estimate of -1s"},
		{"after itself", Spec{Steps: []Step{{Count: 1, After: []int{0}}}}, "comes after step 0"},
	} {
		t.Run(tst.name, func(t *testing.T) {
			err := tst.spec.Check()
			if tst.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tst.want)
		})
	}
}
