package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLatePollForFormerIncarnationLosesNoEnd guards against a task that starts again after its
// end was acknowledged: a late poll for the former incarnation of a VM acknowledges the ends of
// the next one, whose numbers start anew, before the dispatcher has received them.
func TestLatePollForFormerIncarnationLosesNoEnd(t *testing.T) {
	const delay = 6 * time.Second
	for _, tst := range []struct {
		name    string
		disrupt func(*restartFixture)
	}{
		{"cut off", func(fix *restartFixture) {
			fix.at(delay-time.Second, func() { fix.emu.cut(fix.first) })
			fix.at(delay+time.Second, func() { fix.emu.heal(fix.first) })
		}},
		{"dispatcher killed", func(fix *restartFixture) { fix.at(delay-time.Second, fix.emu.killDispatcher) }},
	} {
		t.Run(tst.name, func(t *testing.T) {
			fix := newTakeoverFixture(t)
			fix.delay = delay
			fix.holds = func(eff Effect) bool {
				pol, ok := eff.(Poll)
				return ok && pol.VM.Address == fix.first.vm.Address && pol.Acked == 8
			}
			fix.emu.submit(fanOut(1, "large", 4, 500, 200*time.Millisecond))
			fix.pass(3 * time.Second)
			assert.Assert(t, !fix.heldAt.IsZero())
			assert.Equal(t, len(fix.emu.finished), 1)
			fix.at(2500*time.Millisecond, func() { fix.emu.crash(fix.first, 300*time.Millisecond) })
			// The first task ends 200 ms before the late poll arrives.
			fix.at(delay-2200*time.Millisecond, func() { fix.emu.submit(fanOut(2, "large", 1, 500, 2*time.Second)) })
			tst.disrupt(fix)
			fix.pass(60 * time.Second)
			fix.check(2)
		})
	}
}
