package soak

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"github.com/balsamgauge/balsamgauge/platform"
	"gotest.tools/v3/assert"
)

// TestScheduleLateWrites checks that short schedules have each kind of fault of
// ScheduleLateWrites, and that they are determined by their seed.
func TestScheduleLateWrites(t *testing.T) {
	for seed := range uint64(50) {
		faults := ScheduleLateWrites(seed, 12*time.Second)
		assert.DeepEqual(t, faults, ScheduleLateWrites(seed, 12*time.Second))
		for _, kind := range lateWriteKinds {
			assert.Assert(t, slices.ContainsFunc(faults, func(fau Fault) bool { return fau.Kind == kind }), "seed %d: no %s", seed, kind)
		}
		assert.Assert(t, slices.IsSortedFunc(faults, func(one, oth Fault) int { return int(one.At - oth.At) }))
	}
}

// TestLateWritesStrike checks that StoreWritesLate leaves writes unanswered and carries them
// out later, and that waves are changed and replaced.
func TestLateWritesStrike(t *testing.T) {
	run := newRun(Options{Machines: 4, LateWrites: true})
	var err error
	run.sit, err = site.Start(site.Options{Pools: run.pools(), TaskDuration: time.Hour, Observer: observer{run}})
	assert.NilError(t, err)
	defer run.sit.Stop()
	sto := platform.NewStore(run.sit.StoreAddress).WithAnswerTimeout(100 * time.Millisecond)
	run.injectFault(Fault{Kind: StoreWritesLate, For: 2 * time.Second})
	key := ""
	for i := 0; key == ""; i++ {
		name := strings.Repeat("k", i+1)
		if _, err := sto.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: name, Value: []byte("x")}}}); err != nil {
			assert.ErrorIs(t, err, kv.ErrUnknown)
			key = name
		}
	}
	assert.Assert(t, run.sit.Store.Value(key) == nil)
	time.Sleep(maxWriteDelay + 200*time.Millisecond)
	assert.Equal(t, string(run.sit.Store.Value(key)), "x")
	run.injectFault(Fault{Kind: WaveChanged})
	before := string(run.sit.Store.Value("op/wave/1"))
	run.injectFault(Fault{Kind: WaveChanged, Target: 1})
	assert.Assert(t, before != "" && before != string(run.sit.Store.Value("op/wave/1")))
	run.injectFault(Fault{Kind: WaveReplaced, Target: 1, For: 100 * time.Millisecond})
	assert.Assert(t, run.sit.Store.Value("op/wave/1") == nil)
	run.pending.Wait()
	assert.Assert(t, run.sit.Store.Value("op/wave/1") != nil)
	assert.Equal(t, len(run.ledger.Violations()), 0)
}

// TestStartAfterGivingUp checks that a start of a job that its caller has given up and
// cancelled, as its submission got no answer, is a violation.
func TestStartAfterGivingUp(t *testing.T) {
	led, now := ledger.New(ledger.PlatformBounds, nil), time.Now()
	job := ledger.Job{ID: "a", Account: "large", Payload: "x", Steps: []ledger.Step{{Count: 1, CPU: 500}}}
	led.Submitted(job)
	led.Answered(now, now, job.ID, "", ledger.Unanswered)
	led.Cancelled(now, job.ID)
	led.Started(now.Add(time.Second), "vm-0", "az0", "a.0.0.0", 1, "x")
	assert.Equal(t, len(led.Violations()), 0)
	led.Started(now.Add(4*time.Second), "vm-1", "az1", "a.0.0.0", 2, "x")
	assert.Assert(t, strings.Contains(strings.Join(led.Violations(), "\n"), "starts 4s after its job was cancelled"), "%v", led.Violations())
}

// TestSoakLateWrites executes short runs with late writes and waves that change. It guards
// against answers and statuses that a late write, or a change by the operator, belies.
func TestSoakLateWrites(t *testing.T) {
	binary := buildProgram(t)
	for _, seed := range []uint64{41, 47} {
		rep, err := Execute(context.Background(), Options{
			Seed: seed, LateWrites: true, For: 12 * time.Second, Processes: 3, Machines: 4, Binary: binary, Dir: t.TempDir(),
		})
		assert.NilError(t, err)
		assert.Equal(t, len(rep.Violations), 0, "seed %d: %s", seed, strings.Join(rep.Violations, "\n"))
		assert.Assert(t, rep.Accepted > 0 && rep.Started > 0, "seed %d: %d jobs, %d runs", seed, rep.Accepted, rep.Started)
	}
}
