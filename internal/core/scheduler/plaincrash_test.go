package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// crashUnder crashes the VM of a job's first task some seconds after the task has
// started there, several times, and returns the job.
func crashUnder(t *testing.T, spe job.Spec, times int, after time.Duration) *liveJob {
	fix := newOutageFixture(8)
	spe.Accepted = fix.now
	fix.reduce(JobAccepted{Spec: spe, Revision: 11})
	liv := fix.sta.jobs[spe.ID]
	first := &liv.occs[0].stages[0].tasks[0]
	for crash := range times {
		for range 200 {
			if first.host != nil {
				break
			}
			fix.reduce(Tick{})
		}
		assert.Assert(t, first.host != nil, "crash %d: no run starts, the job is shown as %q", crash, liv.final)
		fix.run(after)
		lost := first.host
		fix.down[lost.vm.ID] = true
		for first.host == lost {
			fix.reduce(Tick{})
		}
		fix.reboot()
	}
	return liv
}

// TestCrashesOfOtherCauseGiveUpNoJob guards against giving up a job because VMs crash
// seconds after its task has started on them, though no run of it has failed.
func TestCrashesOfOtherCauseGiveUpNoJob(t *testing.T) {
	for _, after := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		liv := crashUnder(t, job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Steps: []job.Step{
			{Count: 1, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: 6 * time.Second},
		}}, 6, after)
		assert.Equal(t, liv.final, job.State(""), "crashes %s after the start", after)
	}
}

// TestCrashesOfOtherCauseGiveUpNoServingJob guards against giving up a job whose tasks
// last in the same way: stops end its other tasks, more than may be away.
func TestCrashesOfOtherCauseGiveUpNoServingJob(t *testing.T) {
	for _, after := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		liv := crashUnder(t, job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{
			{Count: 5, Size: job.Size{CPU: 4000, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
		}}, 6, after)
		assert.Equal(t, liv.final, job.State(""), "crashes %s after the start", after)
	}
}

// TestPlainCrashesGiveUpNoJob guards against giving up jobs on a day on which VMs crash
// all the time and no task is the cause.
func TestPlainCrashesGiveUpNoJob(t *testing.T) {
	var violations []string
	unfinished := 0
	for seed := range uint64(10) {
		emu := newEmulator(seed, testCatalog())
		emu.addVMs("lots", 10, 5, job.Size{CPU: 16_000, Memory: 32_768})
		emu.takeOver(testOptions())
		serving := job.Spec{ID: jobName(999), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{
			{Count: 12, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
		}}
		emu.after(0, func() { emu.submit(serving) })
		var jobs []job.Spec
		for i := range 60 {
			spe := fanOut(i+1, "large", 4, 1000, time.Duration(500+emu.rng.IntN(5500))*time.Millisecond)
			jobs = append(jobs, spe)
			emu.after(time.Duration(emu.rng.IntN(20_000))*time.Millisecond, func() { emu.submit(spe) })
		}
		for at := time.Second; at < 30*time.Second; at += 700 * time.Millisecond {
			name := emu.names[emu.rng.IntN(len(emu.names))]
			emu.after(at, func() { emu.crash(emu.vms[name], time.Second) })
		}
		emu.run(90 * time.Second)
		for _, spe := range jobs {
			if emu.finished[spe.ID].IsZero() {
				unfinished++
			}
		}
		// The emulator checks the state in which each job ends.
		violations = append(violations, emu.violations...)
	}
	assert.Equal(t, len(violations), 0, "of 610 jobs, the first: %s", slices.Concat(violations, []string{""})[0])
	assert.Equal(t, unfinished, 0)
}
