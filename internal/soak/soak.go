package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
	"github.com/balsamgauge/balsamgauge/internal/soak/proxy"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

// Options say what to run.
type Options struct {
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Processes is how many processes of the program run.
	Processes int
	// Machines is how many VMs the stand-in has in each of two pools.
	Machines int
	// Binary is the program; Dir gets settings and logs.
	Binary string
	Dir    string
}

// Report is what a run saw.
type Report struct {
	Faults []Fault
	// Accepted counts jobs, Started runs of tasks.
	Accepted, Started int
	// Violations lists what broke a promise.
	Violations []string
}

// Times of a run.
const (
	// settleTimeout is how long after the last fault all jobs must have ended.
	settleTimeout = 25 * time.Second
	readyTimeout  = 15 * time.Second
	// waveTimeout is how long a wave of upkeep may take; waveCap is how many
	// machines it may take down at once.
	waveTimeout = 20 * time.Second
	waveMaxDown = 2
	// vmLease is how long a VM that can't be reached runs on, at most.
	vmLease = 4500 * time.Millisecond
	// lastingTaskTime is longer than a run of the soak.
	lastingTaskTime = time.Hour
	// taskFailProbability is how often a run of a task fails.
	taskFailProbability = 0.03
	callerCount         = 6
)

// smallCapMilliCPU is the cap of the account that has one, in thousandths of a core:
// about one and a half times what the callers ask of it.
const smallCapMilliCPU = 24_000

// Run is a run of the soak.
type Run struct {
	opt    Options
	ledger *ledger.Ledger
	sit    *site.Site
	nodes  []*node
	// vmProxies holds the proxy of each VM.
	vmProxies []*proxy.Proxy

	mu      sync.Mutex
	version int
	keys    map[string]string
	waves   int
	// wrong ends of processes are recorded by those who wait for them.
	pending sync.WaitGroup
}

// Execute plays a run. The error says that it could not be played.
func Execute(ctx context.Context, opt Options) (rep Report, err error) {
	run := &Run{opt: opt, keys: map[string]string{}, ledger: ledger.New(ledger.PlatformBounds, map[string]int64{accounts[0]: smallCapMilliCPU})}
	defer run.close()
	if err := run.start(); err != nil {
		return Report{}, fmt.Errorf("soak with seed %d: %w", opt.Seed, err)
	}
	rep.Faults = Schedule(opt.Seed, opt.For, opt.Processes, len(run.vmProxies), len(run.sit.Zones()))
	submitCtx, stopSubmitting := context.WithTimeout(ctx, opt.For)
	defer stopSubmitting()
	settleCtx, stop := context.WithTimeout(ctx, opt.For+settleTimeout)
	defer stop()
	var callers sync.WaitGroup
	for i := range callerCount {
		cal := newCaller(run, i)
		callers.Go(func() { cal.submitJobs(submitCtx, settleCtx) })
	}
	run.injectSchedule(submitCtx, rep.Faults)
	run.pending.Wait()
	callers.Wait()
	// What was cancelled last may be stopped yet, and what a fault has cut off ends
	// with its lease.
	clock.Pause(ctx, ledger.PlatformBounds.Cancel+vmLease)
	run.stopNodes()
	if ctx.Err() == nil {
		run.ledger.Finish(time.Now())
	}
	rep.Accepted, rep.Started = run.ledger.Counts()
	rep.Violations = run.ledger.Violations()
	return rep, nil
}

// observer passes on what the VMs do, with the time.
type observer struct{ led *ledger.Ledger }

func (obs observer) Started(vm, zone, task string, run int, payload string) {
	obs.led.Started(time.Now(), vm, zone, task, run, payload)
}
func (obs observer) Ended(vm, task string, _ int, how string)       { obs.led.Ended(vm, task, how) }
func (obs observer) Acknowledged(_, task string, _ int, how string) { obs.led.Acknowledged(task, how) }
func (obs observer) Broken(what string)                             { obs.led.AddViolation(time.Now(), what) }

// start starts the stand-in and the processes.
func (run *Run) start() (err error) {
	if err := os.MkdirAll(run.opt.Dir, 0o755); err != nil {
		return err
	}
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(run.opt.Seed, 3))
	run.sit, err = site.Start(site.Options{
		Pools: run.pools(),
		Outcome: func(task string, _ int) (time.Duration, string) {
			if run.ledger.Lasts(task) {
				return lastingTaskTime, "failed"
			}
			mu.Lock()
			defer mu.Unlock()
			how := "done"
			if rng.Float64() < taskFailProbability {
				how = "failed"
			}
			return time.Duration(float64(taskEstimate) * (0.3 + 1.5*rng.Float64())), how
		},
		Expose: func(_, address string) (string, error) {
			prx, err := proxy.New(address)
			if err != nil {
				return "", err
			}
			run.vmProxies = append(run.vmProxies, prx)
			return prx.Address(), nil
		},
		Observer: observer{run.ledger},
	})
	if err != nil {
		return err
	}
	run.rotateKeys(accounts...)
	for i := range run.opt.Processes {
		nod, err := newNode(fmt.Sprintf("entry-%d", i), run.opt.Binary, run.opt.Dir, run.sit.StoreAddress, run.sit.MachinesAddress)
		if err != nil {
			return err
		}
		run.nodes = append(run.nodes, nod)
		if err := nod.start(); err != nil {
			return err
		}
	}
	return run.awaitReady()
}

// pools are those of the stand-in; only the first has a queue.
func (run *Run) pools() []site.Pool {
	return []site.Pool{
		{Name: "lots", Workers: run.opt.Machines}, {Name: "kiosk", Workers: run.opt.Machines}, {Name: "spare", Workers: 2, Standby: true},
	}
}

// queuePrefix begins the paths of jobs.
const queuePrefix = "/gate/"

// close ends what is left.
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

// stopNodes ends all processes gracefully.
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

// rotateKeys gives accounts new keys in a new configuration. The former ones are
// withdrawn.
func (run *Run) rotateKeys(names ...string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.version += 2
	withdrawn := map[string]string{}
	for _, name := range names {
		withdrawn[name] = run.keys[name]
		run.keys[name] = fmt.Sprintf("%s-%d", name, run.version)
	}
	cfg := site.Config{
		Version: run.version, Pools: run.pools(),
		Queues: []site.Queue{{Name: "gate", Prefix: queuePrefix, Pool: "lots", Attempts: ledger.PlatformBounds.Attempts}},
	}
	for _, name := range accounts {
		acc := site.Account{Name: name, Keys: []string{run.keys[name]}}
		if name == accounts[0] {
			acc.CPU = smallCapMilliCPU
		}
		cfg.Accounts = append(cfg.Accounts, acc)
	}
	run.sit.Configure(cfg)
	for _, key := range withdrawn {
		if key != "" {
			run.ledger.Withdraw(time.Now(), key)
		}
	}
}

// injectSchedule injects the faults at their times.
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
