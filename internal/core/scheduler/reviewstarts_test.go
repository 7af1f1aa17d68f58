package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// checkViolations checks that no invariant was violated.
func (fix *restartFixture) checkViolations() {
	fix.t.Helper()
	assert.Equal(fix.t, len(fix.emu.violations), 0, "%s", strings.Join(fix.emu.violations, "\n"))
}

// servingPair returns a job of two serving tasks of which one may be away.
func servingPair(maxPerVM int) job.Spec {
	return job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{{
		Count: 2, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true, MaxUnavailable: 1, MaxPerVM: maxPerVM,
	}}}
}

// TestRepeatedStartOutlivesKilledDispatcher guards against two runs of one task: the last of
// many repeats of a start is on its way when the dispatcher is killed. The record names when
// the first one was sent.
func TestRepeatedStartOutlivesKilledDispatcher(t *testing.T) {
	const delay = 11900 * time.Millisecond
	for _, repeatedFor := range []time.Duration{0, 5 * time.Second, 8 * time.Second, 11 * time.Second, 18 * time.Second} {
		t.Run(repeatedFor.String(), func(t *testing.T) {
			fix := newTakeoverFixture(t)
			var firstSent time.Time
			fix.emu.late = func(eff Effect) time.Duration {
				sta, ok := eff.(Start)
				if !ok || sta.VM.Address != fix.first.vm.Address || !fix.heldAt.IsZero() {
					return 0
				}
				if sta.Task.Index != 0 {
					// It never arrives.
					return time.Hour
				}
				if firstSent.IsZero() {
					firstSent = fix.emu.now
				}
				if fix.emu.now.Sub(firstSent) < repeatedFor {
					return time.Hour
				}
				fix.heldAt = fix.emu.now
				return delay
			}
			fix.emu.submit(servingPair(0))
			fix.pass(repeatedFor + 2*time.Second)
			assert.Assert(t, !fix.heldAt.IsZero(), "no repeat is held up")
			fix.emu.cut(fix.first)
			fix.emu.heal(fix.oth)
			fix.emu.killDispatcher()
			fix.emu.after(300*time.Millisecond, func() { fix.emu.crash(fix.first, 5*time.Millisecond) })
			fix.emu.after(60*time.Second, func() { fix.emu.heal(fix.first) })
			fix.pass(90 * time.Second)
			fix.checkViolations()
		})
	}
}

// TestLatePollExtendsRecordedStart guards against two runs of one task: a VM restarts behind a
// cut and carries a start out late, and a poll that was sent long after it extends the lease.
// The record names when the start was sent.
func TestLatePollExtendsRecordedStart(t *testing.T) {
	const delay = 11900 * time.Millisecond
	for _, polledAfter := range []time.Duration{2 * time.Second, 6 * time.Second, 10 * time.Second} {
		t.Run(polledAfter.String(), func(t *testing.T) {
			fix := newTakeoverFixture(t)
			var polledAt time.Time
			fix.emu.late = func(eff Effect) time.Duration {
				switch eff := eff.(type) {
				case Start:
					switch {
					case eff.VM.Address != fix.first.vm.Address:
						return 0
					case eff.Task.Index != 0 || !fix.heldAt.IsZero():
						// It never arrives.
						return time.Hour
					}
					fix.heldAt = fix.emu.now
					return delay
				case Poll:
					if eff.VM.Address == fix.first.vm.Address && eff.Deadline > 0 && polledAt.IsZero() && !fix.heldAt.IsZero() && fix.emu.now.Sub(fix.heldAt) >= polledAfter {
						polledAt = fix.emu.now
						return delay
					}
				}
				return 0
			}
			fix.emu.submit(servingPair(0))
			for polledAt.IsZero() && fix.emu.now.Sub(fix.emu.start) < time.Minute {
				fix.pass(10 * time.Millisecond)
			}
			assert.Assert(t, !polledAt.IsZero())
			fix.emu.cut(fix.first)
			fix.emu.heal(fix.oth)
			fix.emu.killDispatcher()
			fix.emu.after(100*time.Millisecond, func() { fix.emu.crash(fix.first, 5*time.Millisecond) })
			fix.emu.after(60*time.Second, func() { fix.emu.heal(fix.first) })
			fix.pass(90 * time.Second)
			fix.checkViolations()
		})
	}
}

// TestLateStartOnVMListedDownRunsNoTaskTwice guards against two runs of one task: a list of
// machines shows a VM as down while it restarts under its ID. The VM is back behind a
// partition when a late start of its former incarnation arrives.
func TestLateStartOnVMListedDownRunsNoTaskTwice(t *testing.T) {
	for _, tst := range []struct {
		name     string
		takeover bool
		crashAt  time.Duration
		downtime time.Duration
	}{
		{"same dispatcher", false, time.Second, 4 * time.Second},
		{"next dispatcher", true, time.Second, 1200 * time.Millisecond},
	} {
		for _, delay := range []time.Duration{6 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
			t.Run(tst.name+" "+delay.String(), func(t *testing.T) {
				fix := newTakeoverFixture(t)
				fix.holdStart(delay)
				fix.emu.cut(fix.first)
				fix.emu.heal(fix.oth)
				if tst.takeover {
					fix.at(100*time.Millisecond, fix.emu.killDispatcher)
				}
				fix.at(tst.crashAt, func() { fix.emu.crash(fix.first, tst.downtime) })
				fix.at(30*time.Second, func() { fix.emu.heal(fix.first) })
				fix.pass(120 * time.Second)
				fix.check(1)
			})
		}
	}
}

// TestStartOnUnseenIncarnationStaysWithinBudget guards against an outage beyond a step's
// budget: a VM restarts and carries a start out before the dispatcher hears of the restart,
// which then stops the run, as it takes the start for one that may still arrive.
func TestStartOnUnseenIncarnationStaysWithinBudget(t *testing.T) {
	fix := newRestartFixture(t)
	fix.first.partitioned = true
	fix.emu.submit(servingPair(1))
	fix.pass(7 * time.Second)
	restarted := false
	fix.holds = func(eff Effect) bool {
		if _, ok := eff.(Start); ok && !restarted {
			restarted = true
			fix.emu.after(time.Millisecond, func() { fix.emu.crash(fix.first, 0) })
		}
		return false
	}
	fix.emu.heal(fix.first)
	fix.pass(20 * time.Second)
	assert.Assert(t, restarted)
	fix.checkViolations()
}

// TestPollOfUnseenIncarnationLosesNoEnd guards against a task that starts again after its
// end was acknowledged: an idle VM restarts unseen, gets a short task, and the next poll still
// acknowledges the ends of the former incarnation.
func TestPollOfUnseenIncarnationLosesNoEnd(t *testing.T) {
	for _, span := range []time.Duration{10 * time.Millisecond, 25 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(span.String(), func(t *testing.T) {
			fix := newRestartFixture(t)
			fix.emu.submit(fanOut(1, "large", 4, 500, 200*time.Millisecond))
			fix.pass(4 * time.Second)
			assert.Equal(t, len(fix.emu.finished), 1)
			fix.emu.registrationsSilent = true
			fix.emu.crash(fix.first, 0)
			fix.pass(10 * time.Millisecond)
			fix.emu.submit(fanOut(2, "large", 1, 500, span))
			fix.pass(time.Second)
			fix.emu.registrationsSilent = false
			for _, evt := range fix.emu.heldRegistrations {
				fix.emu.deliver(evt)
			}
			fix.pass(20 * time.Second)
			fix.check(2)
		})
	}
}

// TestRecordOfStartsFitsStore checks that starts are recorded in values that a store with a
// small limit accepts.
func TestRecordOfStartsFitsStore(t *testing.T) {
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term, opt.MaxValueBytes = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC), 10, 1, 4096
	sta := New(opt)
	vm := testVM("vm-1")
	for i := range 256 {
		pla := &placement{task: job.Task{Job: jobName(i)}, run: 1}
		sta.lateStarts.Add(vm.ID, latestart.Run{Task: pla.task, Number: 1}, opt.Since)
		sta.recordStart(&host{vm: vm}, pla)
	}
	sta.now = opt.Since
	sta.writeStarts()
	var puts []kv.Put
	for _, eff := range sta.effects {
		if rec, ok := eff.(RecordStarts); ok {
			puts = append(puts, rec.Txn.Puts...)
		}
	}
	for _, put := range puts {
		assert.Assert(t, len(put.Value) <= opt.MaxValueBytes, "%d bytes in %d puts", len(put.Value), len(puts))
	}
}
