package scheduler

import (
	"testing"
	"time"
)

// TestRunAfterRestartOutlivesTwoDispatchers guards against two runs of one task: the
// dispatcher that has started it on a VM with the longest lease is killed, and the next one as
// well, before it has reached the VM. The third one starts the task elsewhere.
func TestRunAfterRestartOutlivesTwoDispatchers(t *testing.T) {
	for _, killAfter := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, delay := range []time.Duration{3 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
			t.Run(killAfter.String()+" "+delay.String(), func(t *testing.T) {
				fix := newTakeoverFixture(t)
				name := fix.runUnderLateLease(delay, false)
				cutAt := delay + 50*time.Millisecond
				fix.at(cutAt, func() {
					fix.cutFirst(name)
					fix.emu.killDispatcher()
				})
				fix.at(cutAt+emulatedTTL+killAfter, fix.emu.killDispatcher)
				fix.at(cutAt+40*time.Second, func() { fix.emu.heal(fix.first) })
				fix.pass(150 * time.Second)
				fix.check(2)
			})
		}
	}
}

// TestUnansweredStartOutlivesTwoDispatchers guards against two runs of one task: a start
// without an answer is carried out behind a cut, by the next incarnation of its VM, after two
// dispatchers have ended, the second of which hasn't reached the VM.
func TestUnansweredStartOutlivesTwoDispatchers(t *testing.T) {
	for _, killAfter := range []time.Duration{10 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, delay := range []time.Duration{5 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
			t.Run(killAfter.String()+" "+delay.String(), func(t *testing.T) {
				fix := newTakeoverFixture(t)
				fix.holdStart(delay)
				fix.emu.cut(fix.first)
				fix.emu.heal(fix.oth)
				fix.at(100*time.Millisecond, fix.emu.killDispatcher)
				fix.at(100*time.Millisecond+emulatedTTL+killAfter, fix.emu.killDispatcher)
				fix.at(time.Second, func() { fix.emu.crash(fix.first, 5*time.Millisecond) })
				fix.at(30*time.Second, func() { fix.emu.heal(fix.first) })
				fix.pass(150 * time.Second)
				fix.check(1)
			})
		}
	}
}

// TestAdoptedRunAfterRestartOutlivesKilledDispatcher guards against two runs of one task: the
// next dispatcher has adopted the run on a VM with the longest lease when the VM is cut off and
// it is killed as well. The third one starts the task elsewhere.
func TestAdoptedRunAfterRestartOutlivesKilledDispatcher(t *testing.T) {
	for _, killAfter := range []time.Duration{-time.Millisecond, 10 * time.Millisecond, time.Second} {
		for _, delay := range []time.Duration{3 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
			t.Run(killAfter.String()+" "+delay.String(), func(t *testing.T) {
				fix := newTakeoverFixture(t)
				name := fix.runUnderLateLease(delay, false)
				killAt := delay + 50*time.Millisecond
				cutAt := killAt + emulatedTTL + 200*time.Millisecond
				fix.at(killAt, fix.emu.killDispatcher)
				fix.at(cutAt, func() { fix.cutFirst(name) })
				fix.at(cutAt+killAfter, fix.emu.killDispatcher)
				fix.at(cutAt+40*time.Second, func() { fix.emu.heal(fix.first) })
				fix.pass(150 * time.Second)
				fix.check(2)
			})
		}
	}
}
