package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// newTakeoverFixture returns a restartFixture in which the registrations of VMs that are cut
// off expire.
func newTakeoverFixture(t *testing.T) *restartFixture {
	fix := newRestartFixture(t)
	fix.emu.storeRegistrations()
	return fix
}

// runUnderLateLease has a long task run on the first VM, which restarts before and which a late
// call for its former incarnation grants the longest lease, at a time after the call was held
// up. The call is a start or a poll.
func (fix *restartFixture) runUnderLateLease(delay time.Duration, byStart bool) (name job.Task) {
	if byStart {
		// The task runs until the lease ends.
		fix.emu.duration = func(job.Task, job.Step) time.Duration { return 30 * time.Second }
		name = fix.holdStart(delay)
	} else {
		name = job.Task{Job: jobName(2)}
		fix.delay = delay
		fix.holds = func(eff Effect) bool {
			pol, ok := eff.(Poll)
			return ok && pol.VM.Address == fix.first.vm.Address && len(fix.first.runs) > 0
		}
		fix.emu.submit(fanOut(1, "large", 1, 500, 200*time.Millisecond))
		fix.pass(100 * time.Millisecond)
		assert.Assert(fix.t, !fix.heldAt.IsZero())
		fix.at(delay-time.Second, func() { fix.emu.submit(fanOut(2, "large", 1, 500, 20*time.Second)) })
	}
	fix.at(300*time.Millisecond, func() { fix.emu.crash(fix.first, 300*time.Millisecond) })
	return name
}

// cutFirst cuts the first VM off while it runs a task that it has reported.
func (fix *restartFixture) cutFirst(name job.Task) {
	fix.t.Helper()
	assert.Assert(fix.t, fix.first.runs[name] != nil, "the task doesn't run")
	if hos := fix.emu.sched.hosts[fix.first.vm.ID]; !fix.emu.dispatcherDown {
		assert.Equal(fix.t, hos.runs[name].percent, 100, "the run isn't listed")
	}
	fix.emu.cut(fix.first)
	fix.emu.heal(fix.oth)
}

// replaceDispatcher ends the dispatcher by a shutdown. The next one takes over at once.
func (fix *restartFixture) replaceDispatcher() {
	fix.emu.dispatcherDown = true
	opt := fix.emu.opt
	fix.emu.after(50*time.Millisecond, func() { fix.emu.takeOver(opt) })
}

// TestRunAfterRestartOutlivesKilledDispatcher guards against two runs of one task: a late call
// for the former incarnation of a VM extends the lease of the next one to the longest, a task
// runs there, the VM is cut off and the dispatcher killed. The next dispatcher starts the
// task elsewhere once usual leases have ended.
func TestRunAfterRestartOutlivesKilledDispatcher(t *testing.T) {
	for _, tst := range []struct {
		name string
		// killAfter is the time from the cut to the end of the dispatcher.
		killAfter time.Duration
		byStart   bool
	}{
		{"late poll, killed before the cut", -600 * time.Millisecond, false},
		{"late poll, registered", 10 * time.Millisecond, false},
		{"late poll, registration expired", emulatedRegistrationExpiry - 1300*time.Millisecond, false},
		{"late start, registered", 10 * time.Millisecond, true},
		{"late start, registration expired", emulatedRegistrationExpiry - 1300*time.Millisecond, true},
	} {
		for _, delay := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
			t.Run(tst.name+" "+delay.String(), func(t *testing.T) {
				fix := newTakeoverFixture(t)
				name := fix.runUnderLateLease(delay, tst.byStart)
				cutAt := delay + 50*time.Millisecond
				fix.at(cutAt, func() { fix.cutFirst(name) })
				fix.at(cutAt+tst.killAfter, fix.emu.killDispatcher)
				fix.at(cutAt+40*time.Second, func() { fix.emu.heal(fix.first) })
				fix.pass(150 * time.Second)
				fix.check(len(fix.emu.specs))
			})
		}
	}
}

// TestUnansweredStartOutlivesDispatcher guards against two runs of one task: a start is on its
// way without an answer when its VM is cut off and its dispatcher ends. The VM restarts
// behind the cut and carries the start out, while the next dispatcher starts the task elsewhere.
func TestUnansweredStartOutlivesDispatcher(t *testing.T) {
	for _, tst := range []struct {
		name string
		end  func(*restartFixture)
		at   time.Duration
	}{
		{"killed", func(fix *restartFixture) { fix.emu.killDispatcher() }, 100 * time.Millisecond},
		{"shut down", (*restartFixture).replaceDispatcher, 100 * time.Millisecond},
		{"killed, registration expired", func(fix *restartFixture) { fix.emu.killDispatcher() }, 3500 * time.Millisecond},
	} {
		for _, delay := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
			t.Run(tst.name+" "+delay.String(), func(t *testing.T) {
				fix := newTakeoverFixture(t)
				fix.holdStart(delay)
				fix.emu.cut(fix.first)
				fix.emu.heal(fix.oth)
				fix.at(tst.at, func() { tst.end(fix) })
				fix.at(time.Second, func() { fix.emu.crash(fix.first, 5*time.Millisecond) })
				fix.at(30*time.Second, func() { fix.emu.heal(fix.first) })
				fix.pass(150 * time.Second)
				fix.check(1)
			})
		}
	}
}

// TestStartOnUnseenIncarnationOutlivesKilledDispatcher guards against two runs of one task: a
// VM restarts and carries a start out before the dispatcher hears of the restart. The VM is cut
// off and the dispatcher killed, and the next one counts the lease of the former incarnation.
func TestStartOnUnseenIncarnationOutlivesKilledDispatcher(t *testing.T) {
	for _, tst := range []struct {
		name string
		// cutAfter and killAfter are the times from the start's arrival.
		cutAfter, killAfter time.Duration
	}{
		{"killed before the answer", time.Millisecond / 2, time.Millisecond / 2},
		{"killed after the answer", time.Millisecond / 2, 10 * time.Millisecond},
		{"killed before the registration", 5 * time.Millisecond, time.Millisecond / 2},
		{"cut off during the takeover", 700 * time.Millisecond, time.Millisecond / 2},
	} {
		t.Run(tst.name, func(t *testing.T) {
			fix := newTakeoverFixture(t)
			restarted := false
			fix.holds = func(eff Effect) bool {
				if _, ok := eff.(Start); ok && !restarted {
					restarted = true
					fix.emu.after(time.Millisecond, func() { fix.emu.crash(fix.first, 0) })
					fix.emu.after(emulatedLatency+tst.killAfter, fix.emu.killDispatcher)
					fix.emu.after(emulatedLatency+tst.cutAfter, func() {
						assert.Assert(t, len(fix.first.runs) > 0, "the next incarnation doesn't run the task")
						fix.emu.cut(fix.first)
						fix.emu.heal(fix.oth)
					})
				}
				return false
			}
			fix.emu.submit(fanOut(1, "large", 1, 500, 20*time.Second))
			fix.pass(time.Second)
			assert.Assert(t, fix.first.partitioned)
			fix.emu.after(40*time.Second, func() { fix.emu.heal(fix.first) })
			fix.pass(150 * time.Second)
			fix.check(1)
		})
	}
}
