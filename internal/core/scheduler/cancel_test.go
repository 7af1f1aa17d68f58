package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestCancelledJobStaysCancelled guards against a job whose cancellation was
// acknowledged and that is stored as completed after it: its last task had ended,
// but the outcome was not stored yet.
func TestCancelledJobStaysCancelled(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	spe := fanOut(1, "large", 2, 500, 200*time.Millisecond)
	emu.after(time.Second, func() { emu.submit(spe) })
	var at time.Duration
	for at = time.Second; at < 20*time.Second; at += time.Millisecond {
		emu.run(at)
		if liv := emu.sched.jobs[spe.ID]; liv != nil && liv.final != "" {
			break
		}
	}
	assert.Equal(t, emu.stateOf(t, spe.ID), job.State(""), "the outcome is not stored yet")
	emu.cancel(spe.ID)
	emu.run(at + 10*time.Second)
	assert.Equal(t, emu.stateOf(t, spe.ID), job.StateCancelled)
}

// TestCancellationThatOnlyAConflictShows guards against a cancelled job that is
// stored as completed while the watch of jobs is silent, and against the loss of
// the outcomes that the same transaction stores, also if answers are lost.
func TestCancellationThatOnlyAConflictShows(t *testing.T) {
	for seed := range uint64(8) {
		emu := newEmulator(seed, testCatalog())
		emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
		emu.takeOver(testOptions())
		const count = 6
		emu.after(time.Second, func() {
			for i := range count {
				emu.submit(fanOut(i+1, "large", 2, 500, 200*time.Millisecond))
			}
		})
		// The last starts are recorded by then. The outcomes wait until a write has succeeded.
		emu.after(1450*time.Millisecond, func() { emu.storeDown = true })
		emu.after(2500*time.Millisecond, func() {
			for i := range count {
				assert.Assert(t, emu.sched.jobs[jobName(i+1)].final == job.StateCompleted)
			}
			emu.watchSilent = true
			emu.cancel(jobName(2))
			emu.cancel(jobName(3))
			emu.storeDown, emu.loseCommit = false, 0.3
		})
		emu.run(12 * time.Second)
		for i := range count {
			want := job.StateCompleted
			if i == 1 || i == 2 {
				want = job.StateCancelled
			}
			assert.Equal(t, emu.stateOf(t, jobName(i+1)), want, "seed %d, job %d", seed, i+1)
		}
		assert.Equal(t, len(emu.store.sorted(job.LivePrefix)), 0, "live keys and cancellation keys are removed")
		assert.DeepEqual(t, emu.violations, []string(nil))
	}
}
