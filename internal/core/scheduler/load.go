package scheduler

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// Load is what the dispatcher tells the entries. It is immutable.
type Load struct {
	// Pending counts, by queue, the jobs of which no task has started. Jobs with
	// times to come are not counted.
	Pending map[string]int `msgpack:"p"`
}

// Load returns the present load.
func (sta *State) Load() Load {
	loa := Load{Pending: map[string]int{}}
	for _, liv := range sta.jobList {
		if liv.final == "" && !liv.begun && liv.spec.Occurrences == 0 {
			loa.Pending[liv.spec.Queue]++
		}
	}
	return loa
}

// Admit decides whether a queue takes another job. The reason is empty if it
// does.
func (loa Load) Admit(_ *catalog.Queue, _ job.Spec) (after time.Duration, reason string) {
	return 0, ""
}
