package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestFirstPaceOfAdoptedTask checks what a successor orders first for a best-effort task that it
// adopts, by the CPU that the task uses, of 500, and the tail latency of the serving task beside
// it, whose target is 100 ms.
func TestFirstPaceOfAdoptedTask(t *testing.T) {
	for _, tst := range []struct {
		name          string
		used, latency int64
		first         []int
	}{
		{"at full pace, with headroom", 500, 10, []int{100}},
		{"throttled, with headroom", 100, 10, []int{30}},
		{"throttled, no headroom", 100, 70, nil},
		{"throttled, near the target", 300, 85, []int{30}},
		{"beyond the target", 500, 110, []int{0}},
		{"odd use", 1 << 62, 10, []int{100}},
		{"negative use", -5, 10, []int{10}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
			sta, vm, serving, filling := servingBesideFilling(now)
			var ordered []int
			reduce := func(events ...Event) {
				now = reduceAnswered(sta, now, events, func(eff Effect) []Event {
					switch eff := eff.(type) {
					case Pace:
						ordered = append(ordered, eff.Percent)
						return []Event{PaceAnswered{VM: eff.VM, Task: eff.Task, Percent: eff.Percent}}
					case Poll:
						return []Event{PollAnswered{VM: vm, Sent: now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: now.Sub(sta.opt.Since) + time.Minute, Running: []worker.Running{
							{Task: job.Task{Job: filling.ID}, Run: 1, Percent: 10, Load: tst.used},
							{Task: job.Task{Job: serving.ID}, Run: 1, Percent: 100, Load: tst.latency},
						}}}}
					}
					return nil
				})
			}
			reduce(CatalogChanged{testCatalog()}, VMRegistered{vm}, JobAccepted{Spec: serving, Revision: 5}, JobAccepted{Spec: filling, Revision: 6}, JobsLoaded{})
			for end := now.Add(5 * time.Second); now.Before(end); {
				reduce(Tick{})
			}
			assert.DeepEqual(t, slices.Clone(ordered[:min(1, len(ordered))]), tst.first)
		})
	}
}

// servingBesideFilling returns the state of a second dispatcher whose tenure begins now, a VM, and two
// jobs of one task each, a serving one and a best-effort one.
func servingBesideFilling(now time.Time) (sta *State, one worker.VM, serving, filling job.Spec) {
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 2
	serving = job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Accepted: now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true, TailTarget: 100 * time.Millisecond},
	}}
	filling = job.Spec{ID: jobName(2), Queue: "gate", Account: "large", Payload: "x", Accepted: now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, BestEffort: true, Estimate: 10 * time.Second},
	}}
	return New(opt), testVM("vm-1"), serving, filling
}
