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
