package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// loadPublication is the time between two publications of the load.
const loadPublication = 250 * time.Millisecond

// overloadedJobs is the number of jobs that overload submits.
const overloadedJobs = 600

// overload submits jobs that ask for a multiple of the pool's capacity. Refused
// callers retry once, after the delay that they are given.
func overload(multiple int, admit bool) (emu *emulator, inTime, worthless, refused int) {
	emu = newEmulator(1, testCatalog())
	emu.addVMs("lots", 6, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	first := map[job.ID]time.Time{}
	// Entries see the load with the delay of its publication.
	var published Load
	var publish func()
	publish = func() {
		if loa, ok := emu.sched.Load(); ok {
			published = loa
		}
		emu.after(loadPublication, publish)
	}
	publish()
	var submit func(spe job.Spec, tries int)
	submit = func(spe job.Spec, tries int) {
		if _, ok := first[spe.ID]; !ok {
			first[spe.ID] = emu.now
		}
		if admit {
			if after, reason := published.Admit(emu.catalog.Queue(spe.Queue), spe); reason != "" {
				refused++
				if tries > 0 {
					emu.after(after, func() { submit(spe, tries-1) })
				}
				return
			}
		}
		emu.submit(spe)
	}
	// The pool does the work of one job in 75 ms.
	interval := 75 * time.Millisecond / time.Duration(multiple)
	for i := range overloadedJobs {
		spe := fanOut(i+1, "large", 4, 1500, 500*time.Millisecond)
		emu.after(time.Second+time.Duration(i)*interval, func() { submit(spe, 1) })
	}
	emu.run(120 * time.Second)
	objective := 2200 * time.Millisecond
	for id, spe := range emu.specs {
		took := emu.finished[id].Sub(first[spe.ID])
		switch {
		case took <= objective:
			inTime++
		case took > 3*objective:
			worthless++
		}
	}
	return emu, inTime, worthless, refused
}

// TestSustainedOverload checks that jobs that would end too late to have any
// value are refused on arrival, with a retry delay: fewer accepted jobs end
// worthless, and no fewer end in time.
func TestSustainedOverload(t *testing.T) {
	_, inTimeAll, worthlessAll, _ := overload(3, false)
	emu, inTime, worthless, refused := overload(3, true)
	t.Logf("all accepted: %d in time, %d worthless; with refusals: %d in time, %d worthless, %d refused", inTimeAll, worthlessAll, inTime, worthless, refused)
	assert.Assert(t, refused > 0)
	assert.Assert(t, worthless < worthlessAll)
	assert.Assert(t, inTime >= inTimeAll)
	assert.Equal(t, len(emu.finished), len(emu.specs), "accepted jobs are lost")
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestOverloadLeavesHalf checks that under sustained overload at least half of
// what the pool can do is done in time, and that few accepted jobs are
// worthless.
func TestOverloadLeavesHalf(t *testing.T) {
	for _, multiple := range []int{2, 3} {
		_, inTime, worthless, _ := overload(multiple, true)
		t.Logf("%d times the capacity: %d in time, %d worthless", multiple, inTime, worthless)
		assert.Check(t, worthless < overloadedJobs/10, "%d times the capacity", multiple)
		assert.Check(t, inTime >= overloadedJobs/multiple/2, "%d times the capacity", multiple)
	}
}

// TestAdmit checks that Admit accepts jobs that can be served, and refuses
// those that no machine can hold or that would have no value.
func TestAdmit(t *testing.T) {
	cat := testCatalog()
	que := cat.Queue("gate")
	loa := Load{Backlog: map[string][]time.Duration{"lots": {0, 0, 0, 7 * time.Second, 7 * time.Second, 9 * time.Second}}, Sizes: []job.Size{{CPU: 16_000, Memory: 1000}, {CPU: 8000, Memory: 64_000}}}
	step := func(cpu, memory int64, span time.Duration) job.Spec {
		return job.Spec{Steps: []job.Step{{Count: 1, Size: job.Size{CPU: cpu, Memory: memory}, Estimate: span}}}
	}
	longRunning := step(1, 1, 0)
	longRunning.Steps[0].LongRunning = true
	for _, tst := range []struct {
		name  string
		spec  job.Spec
		after time.Duration
	}{
		{"long enough to wait", step(1000, 900, 2*time.Second), 0},
		{"worthless", step(1000, 900, time.Second), 7*time.Second - 2200*time.Millisecond},
		{"fits the smaller", step(1000, 50_000, 2*time.Second), 0},
		{"fits neither", step(9000, 50_000, 2*time.Second), oversizedRetry},
		{"long-running", longRunning, 0},
	} {
		after, reason := loa.Admit(que, tst.spec)
		assert.Equal(t, after, tst.after, tst.name)
		assert.Equal(t, reason == "", tst.after == 0, tst.name)
	}
}

// TestNoRefusalAfterTakeover checks that no job is refused after a takeover
// while others wait: VMs that have not reported yet must count as capacity.
func TestNoRefusalAfterTakeover(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 6, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.run(time.Second)
	for i := range 24 {
		emu.submit(fanOut(i+1, "large", 4, 1500, 500*time.Millisecond))
	}
	emu.run(1500 * time.Millisecond)
	emu.takeOver(testOptions())
	known := 0
	for at := 1500 * time.Millisecond; at < 3*time.Second; at += 2 * time.Millisecond {
		emu.run(at)
		loa, ok := emu.sched.Load()
		if !ok {
			continue
		}
		known++
		after, reason := loa.Admit(emu.catalog.Queue("gate"), fanOut(99, "large", 4, 1500, 500*time.Millisecond))
		assert.Equal(t, reason, "", "%v after the start: retry after %v", at, after)
	}
	assert.Assert(t, known > 0)
}
