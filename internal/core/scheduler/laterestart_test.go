package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"gotest.tools/v3/assert"
)

// restartFixture is a dispatcher with two VMs that restart under their IDs. One poll
// or start is held up and carried out late. All tasks start on the first VM, as the second
// one is cut off at first.
type restartFixture struct {
	t   *testing.T
	emu *emulator
	// holds reports whether a poll or a start is the one that is held up.
	holds func(Effect) bool
	// delay is how late it is carried out, and heldAt when it was sent.
	delay      time.Duration
	heldAt     time.Time
	first, oth *emulatedVM
}

func newRestartFixture(t *testing.T) *restartFixture {
	fix := &restartFixture{t: t, emu: newEmulator(1, testCatalog()), holds: func(Effect) bool { return false }}
	fix.emu.late = fix.late
	fix.emu.addVMs("lots", 2, 3, job.Size{CPU: 16_000, Memory: 32_768})
	fix.first, fix.oth = fix.emu.vms["lots-0"], fix.emu.vms["lots-1"]
	fix.first.keepsID, fix.oth.keepsID = true, true
	fix.oth.partitioned = true
	fix.emu.takeOver(testOptions())
	// The clocks of the VMs are far from their start.
	fix.emu.run(30 * time.Second)
	return fix
}

// late implements emulator.late.
func (fix *restartFixture) late(eff Effect) time.Duration {
	if !fix.heldAt.IsZero() || !fix.holds(eff) {
		return 0
	}
	fix.heldAt = fix.emu.now
	return fix.delay
}

// at calls a function at a time after the call was held up.
func (fix *restartFixture) at(span time.Duration, fire func()) {
	fix.emu.after(fix.heldAt.Add(span).Sub(fix.emu.now), fire)
}

// pass advances the clock.
func (fix *restartFixture) pass(span time.Duration) {
	fix.emu.run(fix.emu.now.Add(span).Sub(fix.emu.start))
}

// check checks that no invariant was violated and that all jobs have ended.
func (fix *restartFixture) check(jobs int) {
	fix.t.Helper()
	assert.Equal(fix.t, len(fix.emu.violations), 0, "%s", strings.Join(fix.emu.violations, "\n"))
	assert.Equal(fix.t, len(fix.emu.finished), jobs)
}

// TestLatePollForFormerIncarnationRunsNoTaskTwice guards against a task that runs twice: a
// late poll for the former incarnation of a VM names a time that is far ahead on the
// clock of the next one, which grants its longest lease. A task that starts there and is
// then cut off keeps running after it has started elsewhere.
func TestLatePollForFormerIncarnationRunsNoTaskTwice(t *testing.T) {
	for _, delay := range []time.Duration{2 * time.Second, 5 * time.Second, 11900 * time.Millisecond} {
		fix := newRestartFixture(t)
		fix.emu.submit(fanOut(1, "large", 1, 500, 2*time.Second))
		fix.delay = delay
		fix.holds = func(eff Effect) bool {
			pol, ok := eff.(Poll)
			return ok && pol.VM.Address == fix.first.vm.Address && len(fix.first.runs) > 0
		}
		fix.pass(time.Second)
		assert.Assert(t, !fix.heldAt.IsZero())
		fix.at(1100*time.Millisecond, func() { fix.emu.crash(fix.first, 300*time.Millisecond) })
		fix.at(delay-300*time.Millisecond, func() { fix.emu.submit(fanOut(2, "large", 1, 500, 20*time.Second)) })
		fix.at(delay+100*time.Millisecond, func() {
			assert.Assert(t, fix.first.runs[job.Task{Job: jobName(2)}] != nil, "delay %v: the task doesn't run", delay)
			fix.first.partitioned = true
			fix.emu.heal(fix.oth)
		})
		fix.at(delay+20*time.Second, func() { fix.emu.heal(fix.first) })
		fix.pass(120 * time.Second)
		fix.check(2)
	}
}

// TestLatePollOfFormerDispatcherRunsNoTaskTwice guards against a task that runs twice: a
// late poll of a former dispatcher reaches a VM that has just restarted under its ID, before
// the first one of the next dispatcher, and extends the lease beyond that one's.
func TestLatePollOfFormerDispatcherRunsNoTaskTwice(t *testing.T) {
	for _, delay := range []time.Duration{3 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
		fix := newRestartFixture(t)
		fix.emu.submit(fanOut(1, "large", 1, 500, 200*time.Millisecond))
		fix.delay = delay
		fix.holds = func(eff Effect) bool {
			pol, ok := eff.(Poll)
			return ok && pol.VM.Address == fix.first.vm.Address && len(fix.first.runs) > 0
		}
		fix.pass(100 * time.Millisecond)
		assert.Assert(t, !fix.heldAt.IsZero())
		fix.at(120*time.Millisecond, fix.emu.killDispatcher)
		const crashAt = 150 * time.Millisecond
		fix.at(crashAt, func() { fix.emu.crash(fix.first, delay-crashAt-time.Millisecond) })
		fix.at(delay, func() {
			// The late poll has arrived, and none of the next dispatcher.
			assert.Equal(t, duty.TokenTerm(fix.first.fence), int64(1), "delay %v", delay)
			fix.emu.submit(fanOut(2, "large", 1, 500, 20*time.Second))
		})
		fix.at(delay+300*time.Millisecond, func() {
			assert.Assert(t, fix.first.runs[job.Task{Job: jobName(2)}] != nil, "delay %v: the task doesn't run", delay)
			fix.first.partitioned = true
			fix.emu.heal(fix.oth)
		})
		fix.at(delay+20*time.Second, func() { fix.emu.heal(fix.first) })
		fix.pass(120 * time.Second)
		fix.check(2)
	}
}

// holdStart submits a job of long tasks and holds up the start of its first task, which is
// sent to the first VM.
func (fix *restartFixture) holdStart(delay time.Duration) (name job.Task) {
	fix.delay = delay
	fix.holds = func(eff Effect) bool {
		sta, ok := eff.(Start)
		return ok && sta.VM.Address == fix.first.vm.Address
	}
	fix.emu.submit(fanOut(1, "large", 1, 500, 20*time.Second))
	fix.pass(50 * time.Millisecond)
	assert.Assert(fix.t, !fix.heldAt.IsZero())
	return job.Task{Job: jobName(1)}
}

// TestLateStartBehindPartitionRunsNoTaskTwice guards against a task that runs twice: its VM
// restarts under its ID while it is cut off, and a late start reaches the next incarnation after
// the task has started elsewhere. The lease by which the dispatcher had judged that
// nothing runs there was that of the former incarnation.
func TestLateStartBehindPartitionRunsNoTaskTwice(t *testing.T) {
	for _, delay := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
		for _, cut := range []time.Duration{4 * time.Second, 13 * time.Second, 30 * time.Second} {
			fix := newRestartFixture(t)
			fix.holdStart(delay)
			fix.first.partitioned = true
			fix.emu.heal(fix.oth)
			fix.at(time.Second, func() { fix.emu.crash(fix.first, 5*time.Millisecond) })
			fix.at(cut, func() { fix.emu.heal(fix.first) })
			fix.pass(120 * time.Second)
			fix.check(1)
		}
	}
}

// maxBoundTime is the longest time for which a task is bound to a VM that is heard of, after the
// last start without an answer: until the start can't arrive any more, and the next report.
const maxBoundTime = latestart.MaxDelay + time.Second

// TestLateStartOfFormerDispatcherIsFenced checks that a late start of a former dispatcher
// starts nothing on a VM that has answered the next one, and that its task doesn't run elsewhere
// before: the VM might restart.
func TestLateStartOfFormerDispatcherIsFenced(t *testing.T) {
	for _, delay := range []time.Duration{2 * time.Second, 5 * time.Second, 11900 * time.Millisecond} {
		fix := newRestartFixture(t)
		name := fix.holdStart(delay)
		fix.leaveFirst()
		fix.at(100*time.Millisecond, fix.emu.killDispatcher)
		fix.at(delay-time.Millisecond, func() {
			assert.Assert(t, fix.oth.runs[name] == nil, "delay %v: the task runs elsewhere", delay)
		})
		fix.at(100*time.Millisecond+emulatedTTL+maxBoundTime, func() {
			assert.Assert(t, fix.oth.runs[name] != nil, "delay %v: the task doesn't run elsewhere", delay)
		})
		fix.pass(delay + time.Second)
		assert.Assert(t, fix.first.runs[name] == nil, "delay %v", delay)
		fix.pass(60 * time.Second)
		fix.check(1)
	}
}

// leaveFirst makes the first VM leave, so that tasks start on the second one.
func (fix *restartFixture) leaveFirst() {
	fix.first.vm.Leaving = true
	fix.emu.register(fix.first)
	fix.emu.heal(fix.oth)
}

// TestLateStartAfterRestartWindow guards against two runs of one task: a VM carries a late
// start of its former incarnation out before its first order. Its task waits for it, whether the VM
// was lost meanwhile or has answered the next dispatcher.
func TestLateStartAfterRestartWindow(t *testing.T) {
	for _, tst := range []struct {
		name     string
		takeover bool
	}{{"lost VM", false}, {"former dispatcher", true}} {
		for _, since := range []time.Duration{0, 1, 10, 25, 43, 45, 55, 65, 75, 85, 1000} {
			since *= time.Millisecond
			t.Run(tst.name+" "+since.String(), func(t *testing.T) {
				const delay = 11900 * time.Millisecond
				fix := newRestartFixture(t)
				name := fix.holdStart(delay)
				fix.leaveFirst()
				if tst.takeover {
					fix.at(100*time.Millisecond, fix.emu.killDispatcher)
				}
				const crashAt = 4 * time.Second
				down := delay - since - crashAt
				if !tst.takeover {
					down += crashAt - 100*time.Millisecond
					fix.at(100*time.Millisecond, func() { fix.emu.crash(fix.first, down) })
				} else {
					fix.at(crashAt, func() { fix.emu.crash(fix.first, down) })
				}
				fix.at(delay-since-10*time.Millisecond, func() {
					assert.Assert(t, fix.oth.runs[name] == nil, "the task runs elsewhere")
				})
				bound := maxBoundTime
				if tst.takeover {
					bound += 100*time.Millisecond + emulatedTTL
				}
				fix.at(bound, func() {
					assert.Equal(t, fix.emu.truthOf(name).running, 1, "the task doesn't run")
				})
				fix.pass(90 * time.Second)
				fix.check(1)
			})
		}
	}
}

// TestSilentRegisteredVMKeepsNoTask guards against a task that waits for the longest time in
// which a late start could run, although its VM, which answers nothing, is registered: once the
// start can't arrive any more, a registration that was renewed since shows that the VM
// has not restarted.
func TestSilentRegisteredVMKeepsNoTask(t *testing.T) {
	fix := newRestartFixture(t)
	name := fix.holdStart(time.Minute)
	fix.first.partitioned = true
	fix.emu.heal(fix.oth)
	const renewed = emulatedRegistrationExpiry
	fix.at(maxBoundTime+renewed, func() {
		assert.Assert(t, fix.oth.runs[name] != nil, "the task doesn't run")
	})
	fix.pass(80 * time.Second)
	fix.check(1)
}

// TestRestartOfSilentRegisteredVMRunsNoTaskTwice guards against two runs of one task: a VM that
// was cut off and still registered when its leases ended restarts under its ID, and carries a start
// out whose task has started elsewhere.
func TestRestartOfSilentRegisteredVMRunsNoTaskTwice(t *testing.T) {
	for _, delay := range []time.Duration{6 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
		fix := newRestartFixture(t)
		fix.holdStart(delay)
		fix.first.partitioned = true
		fix.emu.heal(fix.oth)
		fix.at(delay-time.Second, func() { fix.emu.crash(fix.first, 600*time.Millisecond) })
		fix.at(30*time.Second, func() { fix.emu.heal(fix.first) })
		fix.pass(120 * time.Second)
		fix.check(1)
	}
}

// TestStartHeldUpOnItsWayRunsNoTaskTwice guards against two runs of one task: the last try of a
// start is on its way for as long as its connection may last, and the VM then carries it out with
// the longest delay, under the ID that it had.
func TestStartHeldUpOnItsWayRunsNoTaskTwice(t *testing.T) {
	const record, sending, draining = 600 * time.Millisecond, 900 * time.Millisecond, 450 * time.Millisecond
	const connection, longest = 1500 * time.Millisecond, 12 * time.Second
	const delay = record + sending + draining + connection + longest
	fix := newRestartFixture(t)
	fix.holdStart(delay)
	fix.emu.heal(fix.oth)
	fix.at(100*time.Millisecond, func() { fix.emu.crash(fix.first, delay-105*time.Millisecond) })
	fix.pass(60 * time.Second)
	fix.check(1)
}
