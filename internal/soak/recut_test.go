package soak

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"github.com/balsamgauge/balsamgauge/platform"
	"gotest.tools/v3/assert"
)

// TestScheduleRecut checks that schedules of VMRecut are determined by their seed, and that
// they have each variant, faults that overlap among them.
func TestScheduleRecut(t *testing.T) {
	const span = 20 * time.Second
	killed, shutDown, dark, late, overlapping := 0, 0, 0, 0, 0
	for seed := range uint64(50) {
		faults := ScheduleRecut(seed, span, 14)
		assert.DeepEqual(t, faults, ScheduleRecut(seed, span, 14))
		assert.Assert(t, len(faults) >= 2 && slices.IsSortedFunc(faults, func(one, oth Fault) int { return int(one.At - oth.At) }))
		for i, fau := range faults {
			rec := fau.Recut
			assert.Assert(t, rec.VMs >= 1 && rec.VMs <= 2 && rec.CutAfter >= minRecutAfter && rec.CutAfter < maxRecutAfter, "%v", fau)
			assert.Assert(t, rec.EndAfter >= 0 && rec.EndAfter >= rec.CutAfter-recutEndBefore && rec.EndAfter < rec.CutAfter+recutEndAfter, "%v", fau)
			if rec.Term {
				shutDown++
			} else {
				killed++
			}
			if rec.Dark {
				dark++
			}
			if rec.Late > 0 {
				late++
			}
			if i > 0 && fau.At < faults[i-1].At+recutLead+faults[i-1].Recut.Down+faults[i-1].Recut.CutAfter+faults[i-1].For {
				overlapping++
			}
		}
	}
	assert.Assert(t, killed > 0 && shutDown > 0 && dark > 0 && late > 0 && overlapping > 0, "%d %d %d %d %d", killed, shutDown, dark, late, overlapping)
}

// TestRecutStrikes checks that VMRecut restarts a VM under its ID, that a call which was
// on its way meanwhile reaches the next incarnation, and that the cut delays a later one
// until its end.
func TestRecutStrikes(t *testing.T) {
	run := newRun(Options{Machines: 1, Recut: true})
	var err error
	run.sit, err = site.Start(site.Options{
		Pools: run.pools(), TaskDuration: time.Hour, Expose: run.expose, LongestLease: recutLease, Observer: observer{run},
	})
	assert.NilError(t, err)
	defer run.sit.Stop()
	began := time.Now()
	// The second call uses the connection of the first: the stand-in ends one that sends
	// no request for long.
	executors, vm := platform.NewExecutors(), worker.VM{ID: "vm-0", Address: run.vmProxies[0].Address()}
	call := func() (took time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, res, err := executors.Poll(ctx, vm, platform.Poll{Token: 1, Deadline: 900 * time.Second})
		assert.NilError(t, err)
		assert.Equal(t, res, worker.ResultOK)
		return time.Since(began)
	}
	const down, cutAfter, cut = 500 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second
	run.injectFault(Fault{Kind: VMRecut, For: cut, Recut: Recut{VMs: 1, Down: down, Dark: true, CutAfter: cutAfter, EndAfter: cutAfter}})
	time.Sleep(recutLead + down/2)
	dark := call()
	time.Sleep(time.Until(began.Add(recutLead + down + cutAfter + cut/4)))
	behind := call()
	run.pending.Wait()
	assert.Assert(t, dark >= recutLead+down && dark < recutLead+down+cutAfter, "%v", dark)
	assert.Assert(t, behind >= recutLead+down+cutAfter+cut, "%v", behind)
	id, _, ok := run.sit.Workers[0].RunningVM()
	assert.Assert(t, ok && id == "vm-0")
	assert.Equal(t, len(run.ledger.Violations()), 0)
}

// TestSoakRecut executes a short run in which VMs restart under their IDs and are cut off
// soon after. It guards against a task that starts elsewhere after a takeover while a run
// of it goes on behind the cut, by the longest lease that its VM grants.
func TestSoakRecut(t *testing.T) {
	rep, err := Execute(context.Background(), Options{
		Seed: 13, Recut: true, For: 12 * time.Second, Processes: 3, Machines: 4, Binary: buildProgram(t), Dir: t.TempDir(),
	})
	assert.NilError(t, err)
	assert.Equal(t, len(rep.Violations), 0, "%s", strings.Join(rep.Violations, "\n"))
	assert.Assert(t, slices.ContainsFunc(rep.Faults, func(fau Fault) bool { return fau.Kind == VMRecut }))
	assert.Assert(t, rep.Accepted > 0 && rep.Started > 0, "%d jobs, %d runs", rep.Accepted, rep.Started)
}
