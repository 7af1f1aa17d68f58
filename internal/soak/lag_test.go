package soak

import (
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"gotest.tools/v3/assert"
)

// TestLagHasEachKind checks that schedules as short as those of TestSoak have each
// kind of fault of ScheduleLag, and that they are determined by their seed.
func TestLagHasEachKind(t *testing.T) {
	for seed := range uint64(50) {
		faults := ScheduleLag(seed, 15*time.Second, 3, 10)
		assert.DeepEqual(t, faults, ScheduleLag(seed, 15*time.Second, 3, 10))
		for _, kind := range lagKinds {
			assert.Assert(t, slices.ContainsFunc(faults, func(fau Fault) bool { return fau.Kind == kind }), "seed %d: no %s", seed, kind)
		}
		assert.Assert(t, slices.IsSortedFunc(faults, func(one, oth Fault) int { return int(one.At - oth.At) }))
	}
}

// absences records, for each start, whether the annex was absent.
type absences struct {
	observer
	mu     sync.Mutex
	absent map[string]bool
}

func (abs *absences) Started(vm, pool, zone, task string, run int, payload string) {
	abs.observer.Started(vm, pool, zone, task, run, payload)
	abs.run.mu.Lock()
	absent := abs.run.annexRemovals > 0
	abs.run.mu.Unlock()
	abs.mu.Lock()
	defer abs.mu.Unlock()
	abs.absent[task] = absent
}

// TestQueueIsRemovedBetweenSteps checks that QueueRemoved removes the annex between two
// steps of a job that runs, that the job goes on meanwhile, and that the queue is there
// again afterwards.
func TestQueueIsRemovedBetweenSteps(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "balsamgauge")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/balsamgauge").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	run := newRun(Options{Machines: 2})
	abs := &absences{observer: observer{run}, absent: map[string]bool{}}
	run.sit, err = site.Start(site.Options{Pools: run.pools(), TaskDuration: 600 * time.Millisecond, Observer: abs})
	assert.NilError(t, err)
	defer run.sit.Stop()
	run.rotateKeys(accounts...)
	nod, err := newNode("entry-0", binary, dir, run.sit)
	assert.NilError(t, err)
	defer nod.store.Close()
	assert.NilError(t, nod.start())
	defer nod.kill()
	run.nodes = []*node{nod}
	assert.NilError(t, run.awaitReady())
	cal := newCaller(run, 0)
	job := cal.jobOf(annexPrefix, accounts[1], annexAttempts)
	job.ID, job.Steps = "00000000000000a1", []ledger.Step{{Count: 1, CPU: 500}, {Count: 1, CPU: 500, After: []int{0}}, {Count: 1, CPU: 500, After: []int{1}}}
	assert.Assert(t, cal.submit(t.Context(), job))
	run.injectFault(Fault{Kind: QueueRemoved, For: 3 * time.Second})
	time.Sleep(stepTimeout)
	_, status, _ := cal.call(cal.rng, "GET", job, run.key(job.Account), "")
	assert.Equal(t, status, 404)
	run.pending.Wait()
	for end := time.Now().Add(10 * time.Second); cal.state(cal.rng, job) != "completed" && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	assert.Equal(t, cal.state(cal.rng, job), "completed")
	abs.mu.Lock()
	defer abs.mu.Unlock()
	// The processes may read the configuration after the second step has begun.
	assert.Assert(t, !abs.absent[job.ID+".0.0.0"] && abs.absent[job.ID+".0.2.0"], "%v", abs.absent)
	assert.Equal(t, strings.Join(run.ledger.Violations(), "\n"), "")
}
