package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestBurstOfStartsKeepsPollsTimely guards against starts that fill the queue of a
// dispatcher that is slower than it knows, until polls time out behind them and
// VMs that run are taken for silent.
func TestBurstOfStartsKeepsPollsTimely(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 60, 10, job.Size{CPU: 64_000, Memory: 131_072})
	// The queue stands for the processor, which does 250 orders a second.
	emu.link = &emulatedLink{bytesPerSecond: 225_000}
	emu.takeOver(testOptions())
	emu.run(time.Second)
	for i := range 60 {
		emu.submit(fanOut(i+1, "large", 40, 500, 1500*time.Millisecond))
	}
	emu.run(60 * time.Second)
	assert.Equal(t, emu.decisions["leases_ended"], 0, "VMs that run lost their leases")
	assert.Equal(t, emu.decisions["vm_silent"], 0, "VMs that run were taken for silent")
	assert.Equal(t, len(emu.finished), len(emu.specs))
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// onSlowDispatcher submits jobs for 15 s that need most of what a processor can
// send that does a number of orders a second, and returns how many of them are in
// time and how many are accepted.
func onSlowDispatcher(ordersPerSecond float64) (emu *emulator, inTime, accepted int) {
	emu = newEmulator(1, testCatalog())
	emu.addVMs("lots", 60, 10, job.Size{CPU: 64_000, Memory: 131_072})
	emu.link = &emulatedLink{bytesPerSecond: ordersPerSecond * emulatedOrderBytes}
	emu.takeOver(testOptions())
	var published Load
	var publish func()
	publish = func() {
		if loa, ok := emu.sched.Load(); ok {
			published = loa
		}
		emu.after(loadPublication, publish)
	}
	publish()
	for i := range 750 {
		spe := fanOut(i+1, "large", 8, 1500, 500*time.Millisecond)
		emu.after(time.Second+time.Duration(i)*20*time.Millisecond, func() {
			if _, reason := published.Admit(emu.catalog.Queue(spe.Queue), spe); reason == "" {
				emu.submit(spe)
			}
		})
	}
	emu.run(60 * time.Second)
	for id, spe := range emu.specs {
		if took := emu.finished[id].Sub(spe.Accepted); !emu.finished[id].IsZero() && took <= 2200*time.Millisecond {
			inTime++
		}
	}
	return emu, inTime, len(emu.specs)
}

// TestSlowDispatcherDegrades guards against a dispatcher that serves next to
// nothing in time once its processor does not suffice for all: it must refuse what
// it cannot start in time.
func TestSlowDispatcherDegrades(t *testing.T) {
	_, fast, acceptedFast := onSlowDispatcher(1600)
	emu, slow, acceptedSlow := onSlowDispatcher(600)
	t.Logf("fast: %d of %d accepted jobs in time; slow: %d of %d", fast, acceptedFast, slow, acceptedSlow)
	assert.Equal(t, acceptedFast, 750, "a dispatcher that keeps up refuses nothing")
	assert.Check(t, slow >= fast/4, "jobs in time")
	assert.Check(t, slow >= acceptedSlow*2/3, "accepted jobs in time")
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestBurstAfterCalmIsAccepted guards against refusals by a dispatcher that has
// sent few starts lately because there were few tasks.
func TestBurstAfterCalmIsAccepted(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 60, 10, job.Size{CPU: 64_000, Memory: 131_072})
	emu.takeOver(testOptions())
	for i := range 20 {
		emu.after(time.Second+time.Duration(i)*250*time.Millisecond, func() { emu.submit(fanOut(i+1, "large", 1, 500, 100*time.Millisecond)) })
	}
	for i := range 40 {
		emu.after(6*time.Second, func() { emu.submit(fanOut(100+i, "large", 20, 500, 500*time.Millisecond)) })
	}
	for at := 6 * time.Second; at < 8*time.Second; at += 2 * time.Millisecond {
		emu.run(at)
		loa, ok := emu.sched.Load()
		assert.Assert(t, ok)
		after, reason := loa.Admit(emu.catalog.Queue("gate"), fanOut(999, "large", 4, 500, 500*time.Millisecond))
		assert.Equal(t, reason, "", "%v after the start: retry after %v", at, after)
	}
}
