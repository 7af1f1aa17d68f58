package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

func sortItems(items []kv.Item) {
	slices.SortFunc(items, func(one, oth kv.Item) int { return strings.Compare(one.Key, oth.Key) })
}

// testCatalog has one pool with a queue, and an account with a cap.
func testCatalog() catalog.Catalog {
	return catalog.New(catalog.Catalog{
		Version: 1, Revision: 1,
		Queues: []catalog.Queue{
			{Name: "gate", Pool: "lots", MaxAttempts: 4, SlackFactor: 1.6, Target: 600 * time.Millisecond},
			{Name: "settle", Pool: "lots", MaxAttempts: 3, SlackFactor: 2.2, Target: 2500 * time.Millisecond},
		},
		Pools:    []catalog.Pool{{Name: "lots", EnforcesCapacity: true}},
		Accounts: []catalog.Account{{Name: "small", Cap: job.Size{CPU: 24_000}}, {Name: "large"}},
	})
}

func testOptions() Options {
	return Options{
		Lease: 4 * time.Second, StopTime: 400 * time.Millisecond,
		UpkeepTime: 2 * time.Second, MachineOrdersPerSecond: 64, ShareWindow: 5 * time.Second,
	}
}

func jobName(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }

// fanOut is a job of two steps, the second after the first.
func fanOut(n int, account string, width int, cpu int64, span time.Duration) job.Spec {
	ste := job.Step{Count: width, Size: job.Size{CPU: cpu, Memory: 512}, Estimate: span}
	next := ste
	next.After = []int{0}
	return job.Spec{ID: jobName(n), Queue: "gate", Account: account, Payload: "x", Steps: []job.Step{ste, next}}
}

// faultyDay plays half a minute of jobs with faults of every kind, and a calm
// quarter of a minute after it.
func faultyDay(seed uint64) *emulator {
	emu := newEmulator(seed, testCatalog())
	emu.catalog.Pools[0].EnforcesCapacity = seed%3 != 0
	emu.addVMs("lots", 9, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.loseAnswer, emu.loseOrder, emu.lateOrder = 0.03, 0.02, 0.03
	emu.loseCommit, emu.lateCommit = 0.1, 0.1
	emu.duration = func(_ job.Task, ste job.Step) time.Duration {
		return time.Duration(float64(ste.Estimate) * (0.5 + emu.rng.Float64()))
	}
	poisoned := map[job.ID]bool{}
	emu.failing = func(tas job.Task) bool { return poisoned[tas.Job] || emu.rng.Float64() < 0.02 }
	emu.takeOver(testOptions())
	for i := range 120 {
		account := []string{"small", "large"}[i%2]
		at := time.Duration(emu.rng.Int64N(int64(28 * time.Second)))
		spe := fanOut(i+1, account, 1+emu.rng.IntN(6), 500+emu.rng.Int64N(2000), 200*time.Millisecond+time.Duration(emu.rng.Int64N(int64(time.Second))))
		poisoned[spe.ID] = i%29 == 7
		emu.vary(&spe, i)
		emu.after(at, func() { emu.submit(spe) })
	}
	for i := range 2 {
		spe := job.Spec{ID: jobName(1000 + i), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{{
			Count: 4, Size: job.Size{CPU: 1500, Memory: 4096}, LongRunning: true, MayMiss: 1,
		}}}
		emu.after(100*time.Millisecond, func() { emu.submit(spe) })
		emu.after(60*time.Second, func() { emu.cancel(spe.ID) })
	}
	for range 8 {
		vm := emu.vms[emu.names[emu.rng.IntN(len(emu.names))]]
		at := time.Duration(emu.rng.Int64N(int64(26 * time.Second)))
		span := time.Second + time.Duration(emu.rng.Int64N(int64(7*time.Second)))
		switch emu.rng.IntN(3) {
		case 0:
			emu.after(at, func() { emu.crash(vm, span) })
		case 1:
			emu.after(at, func() { vm.cut = true })
			emu.after(at+span, func() { vm.cut = false })
		default:
			emu.after(at, func() { vm.fails = true })
			emu.after(at+span, func() { vm.fails = false })
		}
	}
	for range 3 {
		emu.after(time.Duration(emu.rng.Int64N(int64(28*time.Second))), emu.killDispatcher)
	}
	if seed%2 == 1 {
		emu.killOnUpkeep = 0.15
		emu.after(3*time.Second, func() {
			emu.askWave(upkeep.Wave{Number: 1, Machines: emu.names, Duration: 25 * time.Second, Cap: 3})
		})
	}
	emu.after(30*time.Second, func() {
		emu.loseAnswer, emu.loseOrder, emu.lateOrder, emu.loseCommit, emu.lateCommit = 0, 0, 0, 0, 0
		emu.killOnUpkeep = 0
	})
	emu.run(75 * time.Second)
	return emu
}

// vary makes some jobs gangs, some bounded on each VM and some due at times.
func (emu *emulator) vary(spe *job.Spec, number int) {
	switch number % 7 {
	case 1:
		spe.Steps[0].Gang, spe.Steps[0].SameRack = true, number%2 == 0
	case 3:
		spe.Steps[1].Gang, spe.Steps[1].MaxPerVM = true, 2
	case 4:
		spe.Steps[0].MaxPerVM = 1
	case 5:
		spe.Occurrences, spe.Interval = 3, 1500*time.Millisecond
		spe.FirstDue = emu.start.Add(time.Duration(number) * 200 * time.Millisecond)
	}
}

// TestFaultyDays plays many seeds. No task runs twice at once or after its end
// was acknowledged, none starts before its step, beyond its account's cap, beyond
// a VM's room or beyond its attempts,
// no end is acknowledged before it is stored, jobs end as they truly did, and
// none is lost.
func TestFaultyDays(t *testing.T) {
	seeds := uint64(150)
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeds {
		emu := faultyDay(seed)
		for id := range emu.specs {
			if _, ok := emu.finished[id]; !ok {
				emu.fail("job %s has not ended", id)
			}
		}
		emu.checkBooks()
		assert.Equal(t, len(emu.broken), 0, "seed %d: %s", seed, strings.Join(emu.broken, "\n"))
	}
}

// checkBooks checks that the dispatcher holds what the VMs run, counts it once, and
// has acknowledged all ends.
func (emu *emulator) checkBooks() {
	usage := map[string]job.Size{}
	for id := range emu.known {
		if emu.sched.hosts[id] == nil {
			emu.fail("connections to %s are kept, which is gone", id)
		}
	}
	for _, hos := range emu.sched.hostList {
		if vm := emu.vms[hos.vm.Address]; vm.vm.ID == hos.vm.ID && len(vm.ends) > 0 {
			emu.fail("%s lists %d ends that are not acknowledged, the first is %v", hos.vm.ID, len(vm.ends), vm.ends[0])
		}
		used := job.Size{}
		for _, hel := range hos.runList {
			used = used.Plus(hel.reserved)
			usage[hel.account] = usage[hel.account].Plus(hel.size)
			if hos.runs[hel.task] != hel {
				emu.fail("%s holds run %d of %s beside another one", hos.vm.ID, hel.run, hel.task)
			}
			if emu.vms[hos.vm.Address].runs[hel.task] == nil {
				emu.fail("%s is thought to hold %s", hos.vm.ID, hel.task)
			}
		}
		if used != hos.used {
			emu.fail("%s is thought to have %v in use, not %v", hos.vm.ID, hos.used, used)
		}
	}
	for owner, size := range emu.sched.usage {
		if size != usage[owner] {
			emu.fail("account %s is thought to use %v, not %v", owner, size, usage[owner])
		}
	}
}

// TestSiblingsOnAMachineDueForUpkeep has a step of which one task may be away and
// two lie on one machine. They leave it one after the other.
func TestSiblingsOnAMachineDueForUpkeep(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 2, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.after(100*time.Millisecond, func() {
		emu.submit(job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{{
			Count: 4, Size: job.Size{CPU: 1500, Memory: 4096}, LongRunning: true, MayMiss: 1,
		}}})
	})
	fewest := 4
	for at := 2 * time.Second; at < 20*time.Second; at += 5 * time.Millisecond {
		emu.after(at, func() {
			running := 0
			for _, vm := range emu.vms {
				running += len(vm.runs)
			}
			fewest = min(fewest, running)
		})
	}
	emu.after(2*time.Second, func() {
		emu.askWave(upkeep.Wave{Number: 1, Machines: []string{"lots-0"}, Duration: 15 * time.Second, Cap: 1})
	})
	emu.run(20 * time.Second)
	assert.Equal(t, emu.notes["wave_completed"], 1)
	assert.Equal(t, emu.notes["task_relocated"], 1)
	assert.Equal(t, fewest, 3)
	assert.Equal(t, len(emu.broken), 0, "%s", strings.Join(emu.broken, "\n"))
}

// TestTakeoverAfterMoves takes the duty over while the registrations of lives
// that moves have ended are still there. Jobs that wait start at once.
func TestTakeoverAfterMoves(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.run(time.Second)
	gone := emu.vms["lots-0"].vm
	emu.end(emu.vms["lots-0"], 1500*time.Millisecond)
	emu.down = true
	emu.submit(fanOut(1, "large", 2, 500, 200*time.Millisecond))
	emu.run(2 * time.Second)
	emu.takeOver(testOptions())
	emu.tell(VMRegistered{VM: gone})
	emu.run(3 * time.Second)
	assert.Equal(t, len(emu.finished), 1)
	assert.Equal(t, len(emu.broken), 0, "%s", strings.Join(emu.broken, "\n"))
}

// TestPendingWhileOrdersAreLost counts a job as pending until a VM has started
// one of its tasks, not when one was ordered.
func TestPendingWhileOrdersAreLost(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.run(time.Second)
	emu.loseOrder = 1
	emu.submit(fanOut(1, "large", 2, 500, 200*time.Millisecond))
	emu.run(3 * time.Second)
	assert.Equal(t, emu.pending("gate"), 1)
	emu.loseOrder = 0
	emu.run(8 * time.Second)
	assert.Equal(t, emu.pending("gate"), 0)
	assert.Equal(t, len(emu.finished), 1)
}

// pending returns how many jobs of a queue the dispatcher says have not begun; -1
// if it doesn't know.
func (emu *emulator) pending(queue string) int {
	loa, ok := emu.sched.Load()
	if !ok {
		return -1
	}
	return loa.Pending[queue]
}

// TestPendingAfterTakeover takes over while jobs wait. The new dispatcher tells no
// number before it has loaded them.
func TestPendingAfterTakeover(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.takeOver(testOptions())
	emu.run(time.Second)
	emu.submit(fanOut(1, "large", 2, 500, 200*time.Millisecond))
	emu.run(2 * time.Second)
	assert.Equal(t, emu.pending("gate"), 1)
	emu.takeOver(testOptions())
	emu.run(2*time.Second + emulatedLoad/2)
	assert.Equal(t, emu.pending("gate"), -1)
	emu.run(3 * time.Second)
	assert.Equal(t, emu.pending("gate"), 1)
}

// TestCancelledWhileTheStoreIsSilent cancels a job whose second step is to come,
// while the dispatcher hears nothing of the store and still holds its duty. The
// step does not start.
func TestCancelledWhileTheStoreIsSilent(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 2, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.run(time.Second)
	emu.submit(fanOut(1, "large", 2, 500, 3*time.Second))
	emu.run(1500 * time.Millisecond)
	emu.blind = true
	emu.cancel(jobName(1))
	emu.run(6 * time.Second)
	for name := range emu.truth {
		assert.Equal(t, name.Step, 0, "%s has started", name)
	}
	emu.blind = false
	emu.tell(JobCancelled{ID: jobName(1)})
	emu.run(8 * time.Second)
	assert.Equal(t, len(emu.finished), 1)
}
