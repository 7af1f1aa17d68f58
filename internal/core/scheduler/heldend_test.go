package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestEndIsHeldWhileStartMayArrive guards against a second run of a task that is done: its VM
// restarts under its ID after the end was acknowledged, and carries out another try of the start. It
// checks that the end is acknowledged once no try can arrive, that the job doesn't wait for that, and
// that the next dispatcher knows of the try.
func TestEndIsHeldWhileStartMayArrive(t *testing.T) {
	for _, tst := range []struct {
		name     string
		takeover bool
	}{{"one dispatcher", false}, {"takeover", true}} {
		t.Run(tst.name, func(t *testing.T) {
			fix := newRestartFixture(t)
			fix.emu.repeats = 1
			fix.emu.duration = func(job.Task, job.Step) time.Duration { return 300 * time.Millisecond }
			const delay = 11900 * time.Millisecond
			name := fix.holdStart(delay)
			held := latestart.MaxDelay
			if tst.takeover {
				const kill = 950 * time.Millisecond
				fix.at(kill, fix.emu.killDispatcher)
				held += kill + emulatedTTL
			}
			fix.at(time.Second, func() {
				tru := fix.emu.truthOf(name)
				assert.Assert(t, tru.done && !tru.acked, "done %v, acknowledged %v", tru.done, tru.acked)
				assert.Equal(t, len(fix.emu.finished), 1, "the job waits for the acknowledgement")
			})
			fix.at(delay, func() { assert.Assert(t, !fix.emu.truthOf(name).acked, "acknowledged while the start may arrive") })
			fix.at(held+time.Second, func() { assert.Assert(t, fix.emu.truthOf(name).acked, "not acknowledged") })
			fix.pass(held + 10*time.Second)
			fix.check(1)
		})
	}
}

// TestTaskOnVMThatLosesStartsRunsElsewhere guards against a task that waits for ever: its VM answers
// polls and stops, and gets no start, so that each further start binds the task anew.
func TestTaskOnVMThatLosesStartsRunsElsewhere(t *testing.T) {
	fix := newRestartFixture(t)
	name := job.Task{Job: jobName(1)}
	fix.heldAt = fix.emu.now
	fix.emu.late = func(eff Effect) time.Duration {
		if sta, ok := eff.(Start); ok && sta.VM.Address == fix.first.vm.Address {
			return time.Hour
		}
		return 0
	}
	fix.emu.submit(fanOut(1, "large", 1, 500, 20*time.Second))
	fix.pass(50 * time.Millisecond)
	fix.emu.heal(fix.oth)
	const rounds = maxLostStarts * 6 * time.Second
	fix.at(rounds+maxBoundTime, func() { assert.Assert(t, fix.oth.runs[name] != nil, "the task doesn't run") })
	fix.pass(90 * time.Second)
	fix.check(1)
}

// TestHeldEndsLeaveReportsComplete guards against ends that a VM doesn't report, as a report has no
// place for them while those before are held: a job would wait for its tasks.
func TestHeldEndsLeaveReportsComplete(t *testing.T) {
	fix := newRestartFixture(t)
	fix.emu.repeats = 1
	fix.emu.duration = func(job.Task, job.Step) time.Duration { return 100 * time.Millisecond }
	fix.holdStart(11900 * time.Millisecond)
	for i := range 60 {
		fix.emu.submit(fanOut(i+2, "large", 16, 500, 100*time.Millisecond))
	}
	most := 0
	for range 1000 {
		fix.pass(20 * time.Millisecond)
		most = max(most, len(fix.first.ends))
	}
	assert.Assert(t, most > worker.MaxEnds*9/10 && most <= worker.MaxEnds, "%d ends", most)
	fix.pass(30 * time.Second)
	fix.check(61)
}
