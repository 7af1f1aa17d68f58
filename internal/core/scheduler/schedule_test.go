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

// sortItems sorts items by key.
func sortItems(items []kv.Item) {
	slices.SortFunc(items, func(one, oth kv.Item) int { return strings.Compare(one.Key, oth.Key) })
}

// testCatalog returns a configuration with one pool, two queues and an account
// with a cap.
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
		Lease: 4 * time.Second, LongestLease: emulatedMaxLease, RegistrationExpiry: emulatedRegistrationExpiry, StopTime: 400 * time.Millisecond,
		UpkeepTime: 2 * time.Second, MachineOrdersPerSecond: 64, ShareWindow: 5 * time.Second,
	}
}

func jobName(n int) job.ID { return job.ID(fmt.Sprintf("%016x", n)) }

// fanOut returns a job of two steps, the second of which depends on the first.
func fanOut(n int, account string, width int, cpu int64, span time.Duration) job.Spec {
	ste := job.Step{Count: width, Size: job.Size{CPU: cpu, Memory: 512}, Estimate: span}
	next := ste
	next.After = []int{0}
	return job.Spec{ID: jobName(n), Queue: "gate", Account: account, Payload: "x", Steps: []job.Step{ste, next}}
}

// faultOptions vary a fault scenario.
type faultOptions struct {
	// repeats is how often an order without an answer is sent again.
	repeats int
	// keepsIDs has VMs restart under their ID.
	keepsIDs bool
	// handBacks is how often the duty is handed back, and slowMachineOrder how long the
	// platform takes for a machine order.
	handBacks        int
	slowMachineOrder time.Duration
}

// faultScenario runs half a minute of jobs with faults of every kind, and then
// continues without faults until 75 s.
func faultScenario(seed uint64, opt faultOptions) *emulator {
	emu := newEmulator(seed, testCatalog())
	emu.repeats = opt.repeats
	emu.catalog.Pools[0].EnforcesCapacity = seed%3 != 0
	emu.addVMs("lots", 9, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.loseAnswer, emu.loseOrder, emu.lateOrder = 0.03, 0.02, 0.03
	for _, vm := range emu.vms {
		vm.keepsID = opt.keepsIDs
	}
	emu.loseCommit, emu.lateCommit = 0.1, 0.1
	emu.duration = func(_ job.Task, ste job.Step) time.Duration {
		return time.Duration(float64(ste.Estimate) * (0.5 + emu.rng.Float64()))
	}
	failingJobs := map[job.ID]bool{}
	emu.failing = func(tas job.Task) bool { return failingJobs[tas.Job] || emu.rng.Float64() < 0.02 }
	emu.takeOver(testOptions())
	for i := range 120 {
		account := []string{"small", "large"}[i%2]
		at := time.Duration(emu.rng.Int64N(int64(28 * time.Second)))
		spe := fanOut(i+1, account, 1+emu.rng.IntN(6), 500+emu.rng.Int64N(2000), 200*time.Millisecond+time.Duration(emu.rng.Int64N(int64(time.Second))))
		failingJobs[spe.ID] = i%29 == 7
		emu.vary(&spe, i)
		emu.after(at, func() { emu.submit(spe) })
	}
	for i := range 2 {
		spe := job.Spec{ID: jobName(1000 + i), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{{
			Count: 4, Size: job.Size{CPU: 1500, Memory: 4096}, LongRunning: true, MaxUnavailable: 1,
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
			emu.after(at, func() { vm.partitioned = true })
			emu.after(at+span, func() { vm.partitioned = false })
		default:
			emu.after(at, func() { vm.failsTasks = true })
			emu.after(at+span, func() { vm.failsTasks = false })
		}
	}
	emu.slowMachineOrder = opt.slowMachineOrder
	emu.endTenures(3, opt.handBacks)
	if seed%2 == 1 {
		emu.killOnUpkeep = 0.15
		emu.after(3*time.Second, func() {
			emu.requestWave(upkeep.Wave{Number: 1, Machines: emu.names, Duration: 25 * time.Second, Cap: 3})
		})
	}
	emu.after(30*time.Second, func() {
		emu.loseAnswer, emu.loseOrder, emu.lateOrder, emu.loseCommit, emu.lateCommit = 0, 0, 0, 0, 0
		emu.killOnUpkeep = 0
	})
	emu.run(75 * time.Second)
	return emu
}

// endTenures kills the dispatcher and has it hand the duty back a number of times each.
func (emu *emulator) endTenures(kills, handBacks int) {
	for range kills {
		emu.after(time.Duration(emu.rng.Int64N(int64(28*time.Second))), emu.killDispatcher)
	}
	for range handBacks {
		emu.after(time.Duration(emu.rng.Int64N(int64(28*time.Second))), emu.handBack)
	}
}

// vary makes some jobs gangs, limits some per VM and schedules some in
// occurrences.
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

// TestFaultInjection checks the invariants under many seeds: No task has two
// active runs or starts after its end was acknowledged. No task starts before
// the steps that it depends on, or beyond its account's cap, its VM's capacity
// or its attempts. No end is acknowledged before it is stored. Jobs end with
// the right state, and none is lost.
func TestFaultInjection(t *testing.T) {
	seeds := uint64(150)
	if testing.Short() {
		seeds = 20
	}
	for seed := range seeds {
		checkFaultScenario(t, seed, faultOptions{})
	}
}

// TestFaultInjectionWithRepeatedOrders checks the same invariants while orders without an
// answer are sent up to four times, so that first tries, repeats, late executions, takeovers
// and crashes meet in many orders.
func TestFaultInjectionWithRepeatedOrders(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		checkFaultScenario(t, 1000+seed, faultOptions{repeats: 3})
	}
}

// TestFaultInjectionWithRestartsUnderOneID guards against tasks that run twice: a late start
// reaches a VM that has restarted under its ID while there was no dispatcher to tell it.
func TestFaultInjectionWithRestartsUnderOneID(t *testing.T) {
	for seed := range uint64(60) {
		checkFaultScenario(t, 7000+seed, faultOptions{repeats: 3, keepsIDs: true})
	}
}

func checkFaultScenario(t *testing.T, seed uint64, opt faultOptions) {
	emu := faultScenario(seed, opt)
	for id := range emu.specs {
		if _, ok := emu.finished[id]; !ok {
			emu.fail("job %s has not ended", id)
		}
	}
	emu.checkAccounting()
	assert.Equal(t, len(emu.violations), 0, "seed %d: %s", seed, strings.Join(emu.violations, "\n"))
}

// checkAccounting checks that the dispatcher's records match the runs on the
// VMs and are counted once, and that all ends are acknowledged.
func (emu *emulator) checkAccounting() {
	usage := map[string]job.Size{}
	for id := range emu.connected {
		if emu.sched.hosts[id] == nil {
			emu.fail("connections to %s are still open after its end", id)
		}
	}
	for _, hos := range emu.sched.hostList {
		if vm := emu.vms[hos.vm.Address]; vm.vm.ID == hos.vm.ID && len(vm.ends) > 0 {
			emu.fail("%s lists %d unacknowledged ends, the first is %v", hos.vm.ID, len(vm.ends), vm.ends[0])
		}
		used := job.Size{}
		for _, pla := range hos.runList {
			used = used.Plus(pla.reserved)
			usage[pla.account] = usage[pla.account].Plus(pla.size)
			if hos.runs[pla.task] != pla {
				emu.fail("%s holds run %d of %s beside another run", hos.vm.ID, pla.run, pla.task)
			}
			if emu.vms[hos.vm.Address].runs[pla.task] == nil {
				emu.fail("%s is recorded as holding %s, which does not run there", hos.vm.ID, pla.task)
			}
		}
		if used != hos.used {
			emu.fail("%s is recorded as using %v, want %v", hos.vm.ID, hos.used, used)
		}
	}
	for account, size := range emu.sched.usage {
		if size != usage[account] {
			emu.fail("account %s is recorded as using %v, want %v", account, size, usage[account])
		}
	}
}

// TestUpkeepRelocatesSiblings checks that two tasks of a step of which only one
// may be unavailable leave a machine that is due for upkeep one after the other.
func TestUpkeepRelocatesSiblings(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 2, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.after(100*time.Millisecond, func() {
		emu.submit(job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{{
			Count: 4, Size: job.Size{CPU: 1500, Memory: 4096}, LongRunning: true, MaxUnavailable: 1,
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
		emu.requestWave(upkeep.Wave{Number: 1, Machines: []string{"lots-0"}, Duration: 15 * time.Second, Cap: 1})
	})
	emu.run(20 * time.Second)
	assert.Equal(t, emu.decisions["wave_completed"], 1)
	assert.Equal(t, emu.decisions["task_relocated"], 1)
	assert.Equal(t, fewest, 3)
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestTakeoverAfterMoves checks that waiting jobs start immediately when a
// dispatcher takes over while VMs that a move has ended are still registered.
func TestTakeoverAfterMoves(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.run(time.Second)
	gone := emu.vms["lots-0"].vm
	emu.shutDown(emu.vms["lots-0"], 1500*time.Millisecond)
	emu.dispatcherDown = true
	emu.submit(fanOut(1, "large", 2, 500, 200*time.Millisecond))
	emu.run(2 * time.Second)
	emu.takeOver(testOptions())
	emu.deliver(VMRegistered{VM: gone})
	emu.run(3 * time.Second)
	assert.Equal(t, len(emu.finished), 1)
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestPendingWhileOrdersAreLost checks that a job counts as pending until a VM
// has started one of its tasks, not from when a start was ordered.
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

// pending returns the dispatcher's number of pending jobs of a queue; -1 if it
// is unknown.
func (emu *emulator) pending(queue string) int {
	loa, ok := emu.sched.Load()
	if !ok {
		return -1
	}
	return loa.Pending[queue]
}

// TestPendingAfterTakeover checks that a dispatcher that takes over while jobs
// wait reports no number of pending jobs before it has loaded them.
func TestPendingAfterTakeover(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.takeOver(testOptions())
	emu.run(time.Second)
	emu.submit(fanOut(1, "large", 2, 500, 200*time.Millisecond))
	emu.run(2 * time.Second)
	assert.Equal(t, emu.pending("gate"), 1)
	emu.takeOver(testOptions())
	emu.run(2*time.Second + emulatedLoadTime/2)
	assert.Equal(t, emu.pending("gate"), -1)
	emu.run(3 * time.Second)
	assert.Equal(t, emu.pending("gate"), 1)
}

// TestCancelWhileWatchIsSilent checks that the second step of a job does not
// start if the job is cancelled while the dispatcher still holds its duty but
// receives nothing from the store.
func TestCancelWhileWatchIsSilent(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 2, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.run(time.Second)
	emu.submit(fanOut(1, "large", 2, 500, 3*time.Second))
	emu.run(1500 * time.Millisecond)
	emu.watchSilent = true
	emu.cancel(jobName(1))
	emu.run(6 * time.Second)
	for name := range emu.truth {
		assert.Equal(t, name.Step, 0, "%s has started", name)
	}
	emu.watchSilent = false
	emu.deliver(JobCancelled{ID: jobName(1)})
	emu.run(8 * time.Second)
	assert.Equal(t, len(emu.finished), 1)
}
