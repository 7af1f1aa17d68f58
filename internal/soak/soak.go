package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
	"github.com/balsamgauge/balsamgauge/internal/soak/proxy"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

// Options holds the parameters of a run.
type Options struct {
	Seed uint64
	// For is the time for which faults are injected. Jobs are submitted until these
	// have been reverted.
	For time.Duration
	// Series adds the faults that come in series to the single ones.
	Series bool
	// Recut adds VMs that restart under their IDs and are cut off soon after, while long
	// tasks run, and the ends of the holder in between. Leases may be longer then.
	Recut bool
	// Restarts adds crashes of many VMs at once, most of which are soon back under their
	// IDs, with orders that are carried out after it, while long tasks run. Leases may be
	// longer then.
	Restarts bool
	// LateWrites adds writes of the store that get no answer and are carried out late,
	// callers that cancel jobs whose submission got none, and waves that are changed,
	// withdrawn and requested again.
	LateWrites bool
	// FinalCrash makes the VMs of all availability zones crash once the other faults
	// have ended.
	FinalCrash bool
	// Processes is the number of processes of the program.
	Processes int
	// Machines is the number of machines, each with a VM, in each of two pools. A
	// standby pool has two more, without VMs.
	Machines int
	// Binary is the path of the program. Settings and logs are written to Dir.
	Binary string
	Dir    string
}

// longTasks reports whether long tasks run, under leases of up to recutLease.
func (opt Options) longTasks() bool { return opt.Recut || opt.Restarts }

// Report holds the faults and the results of a run.
type Report struct {
	Faults []Fault
	// Accepted counts accepted jobs, Started started runs of tasks.
	Accepted, Started int
	// Violations lists the violated invariants.
	Violations []string
}

// Parameters of a run.
const (
	// settleTimeout is the time after the last submission within which all jobs
	// must end.
	settleTimeout = 32 * time.Second
	readyTimeout  = 15 * time.Second
	// waveTimeout bounds the duration of a wave of upkeep, waveMaxDown the number
	// of machines that it may take down at the same time.
	waveTimeout = 20 * time.Second
	waveMaxDown = 2
	// vmLease is the longest time for which a VM that can't be reached continues
	// to run tasks.
	vmLease = 4500 * time.Millisecond
	// lastingTaskTime exceeds the duration of any run, so that lasting tasks end
	// only by cancellation.
	lastingTaskTime = time.Hour
	// taskFailProbability is the probability that a run of a task fails.
	taskFailProbability = 0.03
	callerCount         = 6
	// annexCallerCount is the number of callers that submit to the annex.
	annexCallerCount = 1
	// watchInterval is the time between two checks for tasks that wait.
	watchInterval = 100 * time.Millisecond
	// keepEnded is the time for which the state of an ended job can be queried, less
	// the time that queries at the end of a run take.
	keepEnded = 100 * time.Second
)

// smallCapMillicores is the cap of the account that has one, in millicores: about
// one and a half times what the callers request for it.
const smallCapMillicores = 24_000

// Run is one run of the soak: the stand-in, the processes, the ledger and the
// faults in progress.
type Run struct {
	opt    Options
	ledger *ledger.Ledger
	sit    *site.Site
	nodes  []*node
	// vmProxies holds the proxy in front of each VM.
	vmProxies []*proxy.Proxy

	mu sync.Mutex
	// linkCuts counts the faults that cut the connections to each VM.
	linkCuts map[int]int
	// lateWrites counts the faults in which writes are late, and lateRNG draws which are.
	lateWrites    int
	lateRNG       *rand.Rand
	configVersion int
	keys          map[string]string
	waves         int
	// killAfterAnswer is the time for which the process that next accepts a job is
	// killed; 0 kills none.
	killAfterAnswer atomic.Int64
	// annexRemovals counts the faults that have removed the annex and not added it
	// again. stepEnded is sent to when a step of the annex may have ended, if a fault
	// waits for that.
	annexRemovals int
	stepEnded     chan struct{}
	// calm is closed once the system has had time to start everything that waits,
	// after the last fault. Lasting jobs are cancelled then.
	calm chan struct{}
	// pending tracks the faults in progress and the restarts that follow them. Their
	// goroutines record violations in the ledger.
	pending sync.WaitGroup
}

func newRun(opt Options) *Run {
	return &Run{
		opt: opt, keys: map[string]string{}, lateRNG: rand.New(rand.NewPCG(opt.Seed, 12)), linkCuts: map[int]int{}, calm: make(chan struct{}), stepEnded: make(chan struct{}),
		ledger: ledger.New(ledger.PlatformBounds, map[string]int64{accounts[0]: smallCapMillicores}),
	}
}

// Execute executes a run. It returns an error if the run could not be set up;
// violated invariants are in the report.
func Execute(ctx context.Context, opt Options) (rep Report, err error) {
	run := newRun(opt)
	defer run.close()
	if err := run.start(); err != nil {
		return Report{}, fmt.Errorf("soak with seed %d: %w", opt.Seed, err)
	}
	rep.Faults = run.schedule()
	faultCtx, stopFaults := context.WithTimeout(ctx, opt.For)
	defer stopFaults()
	submitCtx, stopSubmitting := context.WithCancel(ctx)
	defer stopSubmitting()
	settleCtx, stop := context.WithCancel(ctx)
	defer stop()
	var work sync.WaitGroup
	run.startCallers(faultCtx, submitCtx, settleCtx, &work)
	lingerCtx, stopLingering := context.WithCancel(settleCtx)
	defer stopLingering()
	var lingerers sync.WaitGroup
	for i, nod := range run.nodes {
		lingerers.Go(func() { newLingerer(run, nod, i).work(lingerCtx) })
	}
	run.injectSchedule(faultCtx, rep.Faults)
	run.pending.Wait()
	if opt.FinalCrash {
		run.crashZones(ctx)
	}
	stopSubmitting()
	settled := time.AfterFunc(settleTimeout, stop)
	defer settled.Stop()
	watchCtx, stopWatching := context.WithCancel(settleCtx)
	var watch sync.WaitGroup
	watch.Go(func() { run.watchWaiting(watchCtx) })
	work.Wait()
	stopWatching()
	watch.Wait()
	stopLingering()
	lingerers.Wait()
	run.pollEnded(ctx)
	run.sit.CheckWaves()
	// Tasks cancelled last may still be stopping, and tasks on a VM that a fault
	// disconnected run until its lease expires.
	clock.Pause(ctx, ledger.PlatformBounds.Cancel+vmLease)
	run.stopNodes()
	if ctx.Err() == nil {
		run.ledger.Finish(time.Now())
	}
	rep.Accepted, rep.Started = run.ledger.Counts()
	rep.Violations = run.ledger.Violations()
	return rep, nil
}

// startCallers starts the callers. They submit jobs until submitCtx is done, or
// faultCtx for long jobs, and poll them until settleCtx is done.
func (run *Run) startCallers(faultCtx, submitCtx, settleCtx context.Context, work *sync.WaitGroup) {
	for i := range callerCount + annexCallerCount {
		cal := newCaller(run, i)
		cal.annex = i >= callerCount
		work.Go(func() { cal.work(submitCtx, settleCtx) })
	}
	if run.opt.longTasks() {
		cal := newCaller(run, callerCount+annexCallerCount+1)
		cal.long = true
		work.Go(func() { cal.work(faultCtx, settleCtx) })
	}
}

// schedule returns the faults of the run.
func (run *Run) schedule() (faults []Fault) {
	opt, vms, zones := run.opt, len(run.vmProxies), len(run.sit.Zones())
	faults = Schedule(opt.Seed, opt.For, opt.Processes, vms, zones)
	if opt.Series {
		faults = merge(faults, ScheduleSeries(opt.Seed, opt.For, opt.Processes, vms, zones))
		faults = merge(faults, ScheduleLag(opt.Seed, opt.For, opt.Processes, vms))
	}
	if opt.LateWrites {
		faults = merge(faults, ScheduleLateWrites(opt.Seed, opt.For))
	}
	if opt.longTasks() && !opt.Series {
		faults = thin(faults)
	}
	if opt.Recut {
		faults = merge(faults, ScheduleRecut(opt.Seed, opt.For, vms))
	}
	if opt.Restarts {
		faults = merge(faults, ScheduleRestarts(opt.Seed, opt.For))
	}
	return faults
}

// observer records the events of the VMs in the ledger, with the current time.
type observer struct{ run *Run }

func (obs observer) Started(vm, pool, zone, task string, run int, payload string) {
	obs.run.ledger.Started(time.Now(), vm, zone, task, run, payload)
	obs.run.ledger.StartedInPool(time.Now(), vm, pool, task)
}
func (obs observer) Ended(vm, task string, run int, outcome string) {
	obs.run.ledger.Ended(time.Now(), vm, task, run, outcome)
	obs.run.taskEnded(task, outcome)
}
func (obs observer) Acknowledged(_, task string, run int, outcome string) {
	obs.run.ledger.Acknowledged(time.Now(), task, run, outcome)
}
func (obs observer) Violation(violation string) {
	obs.run.ledger.AddViolation(time.Now(), violation)
}

// start starts the stand-in and the processes, and waits until these are ready.
func (run *Run) start() (err error) {
	if err := os.MkdirAll(run.opt.Dir, 0o755); err != nil {
		return err
	}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(run.opt.Seed, 3))
	var longestLease time.Duration
	if run.opt.longTasks() {
		longestLease = recutLease
	}
	run.sit, err = site.Start(site.Options{
		Pools: run.pools(), LongestLease: longestLease,
		Outcome: func(task string, _ int) (time.Duration, string) {
			ste := run.ledger.StepOf(task)
			if ste.Lasting {
				return lastingTaskTime, "failed"
			}
			mu.Lock()
			defer mu.Unlock()
			outcome, failProbability := "done", taskFailProbability
			if ste.Frail {
				failProbability = frailFailProbability
			}
			if rng.Float64() < failProbability {
				outcome = "failed"
			}
			// Runs take from 0.3 to 1.8 times the estimate.
			return time.Duration(float64(estimate(ste)) * (0.3 + 1.5*rng.Float64())), outcome
		},
		Expose:   run.expose,
		Observer: observer{run},
	})
	if err != nil {
		return err
	}
	run.rotateKeys(accounts...)
	for i := range run.opt.Processes {
		nod, err := newNode(fmt.Sprintf("entry-%d", i), run.opt.Binary, run.opt.Dir, run.sit)
		if err != nil {
			return err
		}
		nod.endedItself = func(state string) {
			run.ledger.AddViolation(time.Now(), fmt.Sprintf("process %s ended by itself with %s", nod.name, state))
			if nod.setDown(true) {
				run.restart(nod)
			}
		}
		run.nodes = append(run.nodes, nod)
		if err := nod.start(); err != nil {
			return err
		}
	}
	return run.awaitReady()
}

// expose opens the proxy before a VM.
func (run *Run) expose(_, address string) (exposed string, err error) {
	prx, err := proxy.New(address)
	if err != nil {
		return "", err
	}
	run.vmProxies = append(run.vmProxies, prx)
	return prx.Address(), nil
}

// pools returns the pools of the stand-in. Only the first has queues.
func (run *Run) pools() []site.Pool {
	return []site.Pool{
		{Name: queuePool, Workers: run.opt.Machines}, {Name: "kiosk", Workers: run.opt.Machines}, {Name: standbyPool, Workers: 2, Standby: true},
	}
}

// queuePrefix is the path prefix of jobs, queuePool the pool that runs them. The machines of
// standbyPool run no VMs.
const (
	queuePrefix = "/gate/"
	queuePool   = "lots"
	standbyPool = "spare"
)

// watchWaiting checks for tasks that wait without a reason, from the time at which
// the leases of VMs that faults disconnected have expired. It ends the period in
// which lasting jobs must run after the longest time that a task may wait.
func (run *Run) watchWaiting(ctx context.Context) {
	clock.Pause(ctx, vmLease)
	calmAt := time.Now().Add(ledger.PlatformBounds.Wait + 10*watchInterval)
	for ended := false; ctx.Err() == nil; clock.Pause(ctx, watchInterval) {
		vms, _ := run.usableVMs()
		run.ledger.CheckWaiting(time.Now(), vms)
		if !ended && time.Now().After(calmAt) {
			ended = true
			close(run.calm)
		}
	}
}

// pollEnded queries the states of the jobs that have ended once more.
func (run *Run) pollEnded(ctx context.Context) {
	cal := newCaller(run, callerCount+annexCallerCount)
	for _, job := range run.ledger.EndedSince(time.Now().Add(-keepEnded)) {
		for tries := 0; tries < endedTries && ctx.Err() == nil; tries++ {
			if state := cal.state(cal.rng, job); state != "" {
				run.ledger.StateReported(time.Now(), job.ID, state)
				break
			}
			clock.Pause(ctx, retryInterval)
		}
	}
}

// endedTries is the number of times that a query of an ended job is tried.
const endedTries = 20

// close kills the processes that still run and stops the proxies and the
// stand-in.
func (run *Run) close() {
	for _, nod := range run.nodes {
		if nod.cmd != nil {
			nod.kill()
		}
		nod.store.Close()
	}
	for _, prx := range run.vmProxies {
		prx.Close()
	}
	if run.sit != nil {
		run.sit.Stop()
	}
}

// stopNodes shuts all processes down gracefully and records the violations.
func (run *Run) stopNodes() {
	var stopping sync.WaitGroup
	for _, nod := range run.nodes {
		stopping.Go(func() {
			if violation := nod.terminate(); violation != "" {
				run.ledger.AddViolation(time.Now(), violation)
			}
		})
	}
	stopping.Wait()
}

func (run *Run) key(account string) string {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.keys[account]
}

// rotateKeys writes a new configuration in which the given accounts have new
// keys. The previous keys are withdrawn.
func (run *Run) rotateKeys(names ...string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	withdrawn := map[string]string{}
	for _, name := range names {
		withdrawn[name] = run.keys[name]
		run.keys[name] = fmt.Sprintf("%s-%d", name, run.configVersion+configStep)
	}
	run.writeConfig()
	for _, key := range withdrawn {
		if key != "" {
			run.ledger.KeyWithdrawn(time.Now(), key)
		}
	}
}

// configStep is the difference between the versions of two configurations.
const configStep = 2

// writeConfig writes a new configuration. The lock must be held.
func (run *Run) writeConfig() {
	run.configVersion += configStep
	cfg := site.Config{
		Version: run.configVersion, Pools: run.pools(),
		Queues: []site.Queue{{Name: "gate", Prefix: queuePrefix, Pool: queuePool, Attempts: ledger.PlatformBounds.Attempts}},
	}
	if run.annexRemovals == 0 {
		cfg.Queues = append(cfg.Queues, site.Queue{Name: "annex", Prefix: annexPrefix, Pool: queuePool, Attempts: annexAttempts})
	}
	for _, name := range accounts {
		acc := site.Account{Name: name, Keys: []string{run.keys[name]}}
		if name == accounts[0] {
			acc.CPUCap = smallCapMillicores
		}
		cfg.Accounts = append(cfg.Accounts, acc)
	}
	run.sit.Configure(cfg)
}

// injectSchedule injects the faults at their times and returns when ctx is done.
func (run *Run) injectSchedule(ctx context.Context, faults []Fault) {
	start := time.Now()
	for _, fau := range faults {
		clock.Pause(ctx, time.Until(start.Add(fau.At)))
		if ctx.Err() != nil {
			return
		}
		run.injectFault(fau)
	}
	<-ctx.Done()
}
