package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"gotest.tools/v3/assert"
)

// TestTaskOfLostMachineStartsElsewhere guards against a task that waits for the lease of a VM
// whose machine is gone for good, which the list of machines shows before.
func TestTaskOfLostMachineStartsElsewhere(t *testing.T) {
	fix := newTakeoverFixture(t)
	name := job.Task{Job: jobName(1)}
	fix.emu.submit(fanOut(1, "large", 1, 500, 20*time.Second))
	fix.pass(time.Second)
	assert.Assert(t, fix.first.runs[name] != nil)
	fix.emu.lose(fix.first)
	fix.emu.heal(fix.oth)
	assert.Equal(t, len(fix.emu.machines()), 1)
	fix.pass(testOptions().Lease)
	assert.Assert(t, fix.oth.runs[name] != nil, "the task doesn't run elsewhere")
	assert.Equal(t, fix.emu.decisions["leases_ended"], 0)
	fix.pass(60 * time.Second)
	fix.check(1)
}

const (
	// returnedID is the ID of the first VM.
	returnedID = "lots-0.1"
	// returnDowntime is how long the first VM is down.
	returnDowntime = 600 * time.Millisecond
	// returnRegisterDelay is the time from its start to its registration.
	returnRegisterDelay = 300 * time.Millisecond
	// returnLead is the time from the start of the fixture to the crash.
	returnLead = 15 * time.Second
	// returnRepeatTime is how long a start without an answer is sent again. With its record and the
	// longest delay it is less than latestart.MaxDelay.
	returnRepeatTime = 1400 * time.Millisecond
	// returnLongestDelay is the longest delay of an order.
	returnLongestDelay = 12 * time.Second
)

// returnFixture is a dispatcher with three VMs. A start is sent to the first one, of which a try
// is held up. The VM crashes and is back under its ID. The second one is down until the start has
// been sent, and the third one is cut off, so that machines are listed.
type returnFixture struct {
	t                  *testing.T
	emu                *emulator
	name               job.Task
	first, oth, silent *emulatedVM
	// sentAt is when the start is sent, crashAt when the VM crashes.
	sentAt, crashAt time.Time
	// arrival is the time from the crash to the arrival of the try that is held up; zero if
	// none is.
	arrival time.Duration
	held    bool
}

func newReturnFixture(t *testing.T, sent, arrival time.Duration) *returnFixture {
	fix := &returnFixture{t: t, emu: newEmulator(1, testCatalog()), name: job.Task{Job: jobName(1)}, arrival: arrival}
	fix.emu.late, fix.emu.registerDelay = fix.hold, returnRegisterDelay
	fix.emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
	fix.first, fix.oth, fix.silent = fix.emu.vms["lots-0"], fix.emu.vms["lots-1"], fix.emu.vms["lots-2"]
	fix.first.keepsID, fix.oth.keepsID, fix.silent.keepsID = true, true, true
	fix.emu.run(time.Second)
	fix.emu.storeRegistrations()
	fix.silent.partitioned = true
	fix.emu.takeOver(testOptions())
	// The clocks of the VMs are far from their start.
	fix.emu.run(30 * time.Second)
	fix.crashAt = fix.emu.now.Add(returnLead)
	fix.sentAt = fix.crashAt.Add(sent)
	fix.at(sent, func() { fix.emu.submit(fanOut(1, "large", 1, 500, 20*time.Second)) })
	registered := sent + 60*time.Millisecond
	fix.emu.crash(fix.oth, returnLead+registered-returnRegisterDelay)
	return fix
}

// hold implements emulator.late.
func (fix *returnFixture) hold(eff Effect) time.Duration {
	ord, ok := eff.(Start)
	if !ok || fix.held || fix.arrival == 0 || ord.VM.Address != fix.first.vm.Address || ord.Task != fix.name {
		return 0
	}
	fix.held = true
	return fix.crashAt.Add(fix.arrival).Sub(fix.emu.now)
}

// at calls a function at a time after the crash.
func (fix *returnFixture) at(span time.Duration, fire func()) {
	fix.emu.after(fix.crashAt.Add(span).Sub(fix.emu.now), fire)
}

// leave has the VM at the address of the first one get no more tasks until the crash.
func (fix *returnFixture) leave() {
	fix.first.vm.Leaving = true
	fix.emu.register(fix.first)
}

// play runs the fixture. With cut, the VM that is back is cut off before it registers.
func (fix *returnFixture) play(cut bool) {
	fix.t.Helper()
	fix.at(0, func() {
		fix.emu.crash(fix.first, returnDowntime)
		// Its ID, which another VM at its address may have replaced.
		fix.first.vm.ID, fix.first.vm.Leaving, fix.first.keepsID = returnedID, false, true
		if !cut {
			fix.first.partitioned = false
		}
	})
	if cut {
		fix.at(returnDowntime+20*time.Millisecond, func() { fix.emu.cut(fix.first) })
	}
	if fix.arrival > 0 {
		fix.at(fix.arrival-time.Microsecond, func() {
			assert.Assert(fix.t, fix.held, "no start is held up")
			assert.Assert(fix.t, fix.first.up && fix.first.vm.ID == returnedID, "the VM isn't back")
			assert.Assert(fix.t, fix.emu.now.Sub(fix.sentAt) <= returnLongestDelay)
		})
	}
	fix.at(40*time.Second, func() {
		fix.emu.heal(fix.first)
		fix.emu.heal(fix.silent)
	})
	fix.emu.run(fix.crashAt.Add(120 * time.Second).Sub(fix.emu.start))
	assert.Check(fix.t, len(fix.emu.violations) == 0, "%s", strings.Join(fix.emu.violations, "\n"))
	assert.Check(fix.t, len(fix.emu.finished) == len(fix.emu.specs), "%d of %d jobs have ended", len(fix.emu.finished), len(fix.emu.specs))
}

// endFirstRun has the first run of the task end soon after it has begun.
func (fix *returnFixture) endFirstRun(failed bool) {
	fix.emu.repeats = 1
	begun := false
	fix.emu.duration = func(tas job.Task, ste job.Step) time.Duration {
		if tas == fix.name && !begun {
			begun = true
			fix.emu.after(100*time.Millisecond, fix.leave)
			fix.emu.failing = func(tas job.Task) bool { return failed && tas == fix.name }
			fix.emu.after(time.Second, func() { fix.emu.failing = func(job.Task) bool { return false } })
			return 300 * time.Millisecond
		}
		return ste.Estimate
	}
}

// returnWay is a way by which a run leaves its VM while a start of it may still arrive.
type returnWay struct {
	name string
	// sent is when the start is sent, counted from the crash of the VM.
	sent time.Duration
	// prepare arranges what makes the run leave the VM.
	prepare func(*returnFixture)
	// kills are the times of the end of the dispatcher, counted from the crash; one subtest
	// each, and one without.
	kills []time.Duration
}

// killBefore is a time at which the dispatcher is killed so that the next one takes over before
// the crash, killDuring one so that it does while the VM is down.
const (
	killBefore = -4500 * time.Millisecond
	killDuring = -1300 * time.Millisecond
)

// returnWays are those after which the task waits for the VM.
var returnWays = []returnWay{
	{
		"listed as down", -750 * time.Millisecond, nil,
		[]time.Duration{870 * time.Millisecond},
	},
	{
		"listed as down at takeover", -1500 * time.Millisecond,
		func(fix *returnFixture) {
			fix.at(-1400*time.Millisecond, func() { fix.emu.heal(fix.silent) })
		},
		[]time.Duration{killDuring, killDuring + 300*time.Millisecond},
	},
	{
		"registration expired, then listed as down", -8500 * time.Millisecond,
		func(fix *returnFixture) {
			fix.at(-8400*time.Millisecond, func() { fix.emu.cut(fix.first) })
		},
		[]time.Duration{killBefore},
	},
	{
		// The order reaches the machine while it is down, and its answer is lost.
		"upkeep without effect", -2 * time.Second,
		func(fix *returnFixture) {
			fix.emu.loseMachineAnswer, fix.emu.slowMachineOrder = 1, 100*time.Millisecond
			fix.at(-50*time.Millisecond, func() {
				fix.emu.requestWave(upkeep.Wave{Number: 1, Machines: []string{"lots-0"}, Duration: 2 * time.Second, Cap: 1})
			})
			fix.at(-time.Millisecond, func() { assert.Equal(fix.t, fix.emu.decisions["upkeep_ordered"], 1) })
			fix.at(returnDowntime, fix.emu.withdrawWave)
		},
		[]time.Duration{500 * time.Millisecond},
	},
	{
		"lease expired on a registered VM", -9500 * time.Millisecond,
		func(fix *returnFixture) {
			fix.at(-9400*time.Millisecond, func() { fix.first.partitioned = true })
		},
		nil,
	},
	{
		"lease expired on a registered VM, takeover", -11 * time.Second,
		func(fix *returnFixture) {
			fix.at(-10900*time.Millisecond, func() { fix.first.partitioned = true })
		},
		[]time.Duration{-10800 * time.Millisecond},
	},
	{
		"rejected after a restart", -8 * time.Second,
		func(fix *returnFixture) {
			fix.at(-7*time.Second, func() {
				fix.first.vm.Leaving = true
				fix.emu.crash(fix.first, 100*time.Millisecond)
			})
		},
		[]time.Duration{killBefore},
	},
}

// returnWayOfOtherVM has a VM with another ID at the address before the ID is back.
var returnWayOfOtherVM = returnWay{
	"another VM at its address", -8 * time.Second,
	func(fix *returnFixture) {
		fix.at(-7*time.Second, func() {
			fix.first.keepsID = false
			fix.emu.crash(fix.first, 10*time.Millisecond)
			fix.first.vm.Leaving = true
		})
	},
	[]time.Duration{killBefore},
}

// returnWaysAfterRefusal are those after which the VM has refused the start, by a stop or by an end.
// The next incarnation doesn't.
var returnWaysAfterRefusal = []returnWay{
	{
		"stop accepted", -8 * time.Second,
		func(fix *returnFixture) { fix.at(-7900*time.Millisecond, fix.leave) },
		[]time.Duration{killBefore},
	},
	{
		"end reported as failed", -8 * time.Second,
		func(fix *returnFixture) { fix.endFirstRun(true) },
		[]time.Duration{killBefore},
	},
	{
		"end reported as done", -8 * time.Second,
		func(fix *returnFixture) { fix.endFirstRun(false) },
		[]time.Duration{killBefore},
	},
}

// TestLateStartOnReturnedVMRunsNoTaskTwice guards against two runs of one task: a start without an
// answer reaches a VM that is back under its ID, after its task has started elsewhere.
func TestLateStartOnReturnedVMRunsNoTaskTwice(t *testing.T) {
	checkReturns(t, returnWays)
}

// TestLateStartRefusedBeforeReturnRunsNoTaskTwice guards against the same after the VM has refused
// the start before its restart.
func TestLateStartRefusedBeforeReturnRunsNoTaskTwice(t *testing.T) {
	checkReturns(t, returnWaysAfterRefusal)
}

// TestLateStartAfterOtherVMRunsNoTaskTwice guards against the same after a VM with another ID was at
// the address.
func TestLateStartAfterOtherVMRunsNoTaskTwice(t *testing.T) {
	checkReturns(t, []returnWay{returnWayOfOtherVM})
}

func checkReturns(t *testing.T, ways []returnWay) {
	for _, way := range ways {
		for _, kill := range append([]time.Duration{0}, way.kills...) {
			for _, tst := range []struct {
				arrival time.Duration
				cut     bool
			}{
				{returnDowntime + 5*time.Millisecond, false},
				{returnDowntime + returnRegisterDelay/2, false},
				{returnDowntime + returnRegisterDelay - 5*time.Millisecond, false},
				{returnDowntime + returnRegisterDelay + 3*time.Millisecond, false},
				{returnDowntime + 2*returnRegisterDelay, false},
				{returnDowntime + returnRegisterDelay, true},
				{2 * time.Second, true},
				{6 * time.Second, true},
				{10 * time.Second, true},
			} {
				if tst.arrival-way.sent > returnLongestDelay {
					continue
				}
				name := way.name
				if kill != 0 {
					name += ", dispatcher killed at " + kill.String()
				}
				name += ", arrives after " + tst.arrival.String()
				if tst.cut {
					name += " behind a cut"
				}
				t.Run(name, func(t *testing.T) {
					fix := newReturnFixture(t, way.sent, tst.arrival)
					if way.prepare != nil {
						way.prepare(fix)
					}
					if kill != 0 {
						fix.at(kill, fix.emu.killDispatcher)
					}
					fix.play(tst.cut)
				})
			}
		}
	}
}

// TestStartAnsweredByReturnedVMRunsNoTaskTwice guards against two runs of one task: a start is sent
// to a VM that is down, and again until the VM is back under its ID and answers. Then a poll of
// the former incarnation fails, and the VM that was listed as down is removed.
func TestStartAnsweredByReturnedVMRunsNoTaskTwice(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("answered %v", answered), func(t *testing.T) {
			fix := newReturnFixture(t, 5*time.Millisecond, 0)
			fix.emu.repeats = int(returnRepeatTime / emulatedRepeatDelay)
			// The poll that waits for the end of this job fails after the VM is back.
			fix.at(-750*time.Millisecond, func() { fix.emu.submit(fanOut(2, "large", 1, 500, 20*time.Second)) })
			fix.at(returnDowntime, func() {
				if !answered {
					fix.emu.loseAnswer = 1
				}
			})
			fix.at(returnDowntime+returnRegisterDelay, func() { fix.emu.loseAnswer = 0 })
			fix.play(false)
			assert.Check(t, fix.emu.truthOf(fix.name).starts[0].Before(fix.crashAt.Add(returnDowntime+returnRegisterDelay)), "no start reaches the VM before its registration")
		})
	}
}

// TestLatePollExtendsLateStart guards against two runs of one task: a late start begins a run on a
// VM that is back behind a cut, and a late poll for its former incarnation extends the lease
// beyond the one that the start gave it.
func TestLatePollExtendsLateStart(t *testing.T) {
	fix := newTakeoverFixture(t)
	fix.emu.submit(fanOut(2, "large", 1, 500, 60*time.Second))
	fix.pass(time.Second)
	polledAt := time.Time{}
	fix.emu.late = func(eff Effect) time.Duration {
		switch eff := eff.(type) {
		case Start:
			if eff.VM.Address != fix.first.vm.Address {
				return 0
			}
			if fix.heldAt.IsZero() {
				fix.heldAt = fix.emu.now
				return returnLongestDelay - 100*time.Millisecond
			}
			// Its repeats are lost, and so are its stops.
			return time.Hour
		case Stop:
			return time.Hour
		case Poll:
			late := !fix.heldAt.IsZero() && fix.emu.now.Sub(fix.heldAt) > 10*time.Second
			if late && polledAt.IsZero() && eff.VM.Address == fix.first.vm.Address && eff.Deadline > 0 {
				polledAt = fix.emu.now
				return returnLongestDelay - time.Second
			}
		}
		return 0
	}
	fix.emu.submit(fanOut(1, "large", 1, 500, 60*time.Second))
	fix.pass(50 * time.Millisecond)
	for polledAt.IsZero() && fix.emu.now.Sub(fix.heldAt) < 11*time.Second {
		fix.pass(5 * time.Millisecond)
	}
	assert.Assert(t, !polledAt.IsZero())
	fix.emu.cut(fix.first)
	fix.emu.crash(fix.first, 5*time.Millisecond)
	fix.emu.heal(fix.oth)
	fix.at(60*time.Second, func() { fix.emu.heal(fix.first) })
	fix.pass(200 * time.Second)
	fix.check(2)
}
