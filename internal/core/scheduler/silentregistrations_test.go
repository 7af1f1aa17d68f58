package scheduler

import (
	"testing"
	"time"
)

// TestLateStartWhileRegistrationsAreSilent guards against a task that runs twice: its VM
// restarts under its ID while it is cut off, and the dispatcher takes it for registered, as it
// has no news of registrations since. The late start arrives after the task has started
// elsewhere.
func TestLateStartWhileRegistrationsAreSilent(t *testing.T) {
	for _, tst := range []struct {
		name string
		// jobsToo reports whether there is no news of jobs either.
		jobsToo bool
	}{{"registrations", false}, {"store", true}} {
		t.Run(tst.name, func(t *testing.T) {
			fix := newRestartFixture(t)
			fix.holdStart(11900 * time.Millisecond)
			fix.first.partitioned = true
			fix.emu.heal(fix.oth)
			fix.at(time.Second, func() { fix.emu.crash(fix.first, 5*time.Millisecond) })
			fix.at(2*time.Second, func() { fix.emu.registrationsSilent, fix.emu.watchSilent = true, tst.jobsToo })
			fix.at(9500*time.Millisecond, func() { fix.emu.watchSilent = false })
			fix.at(9900*time.Millisecond, func() {
				fix.emu.registrationsSilent = false
				for _, evt := range fix.emu.heldRegistrations {
					fix.emu.deliver(evt)
				}
			})
			fix.at(30*time.Second, func() { fix.emu.heal(fix.first) })
			fix.pass(120 * time.Second)
			fix.check(1)
		})
	}
}

// TestLateStartWhileRegistrationOutlastsStore guards against the same if the store is back,
// but has kept the registration while it was down, so that it expires later.
func TestLateStartWhileRegistrationOutlastsStore(t *testing.T) {
	fix := newRestartFixture(t)
	fix.holdStart(11900 * time.Millisecond)
	fix.first.partitioned = true
	fix.emu.heal(fix.oth)
	fix.at(time.Second, func() { fix.emu.crash(fix.first, 5*time.Millisecond) })
	silent := func(is bool) func() {
		return func() { fix.emu.registrationsSilent, fix.emu.watchSilent = is, is }
	}
	fix.at(2*time.Second, silent(true))
	fix.at(8*time.Second, silent(false))
	fix.at(8*time.Second+emulatedRegistrationExpiry, func() {
		for _, evt := range fix.emu.heldRegistrations {
			fix.emu.deliver(evt)
		}
	})
	fix.at(30*time.Second, func() { fix.emu.heal(fix.first) })
	fix.pass(120 * time.Second)
	fix.check(1)
}
