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
	// Broken lists what broke a promise.
	Broken []string
}

// Times of a run.
const (
	// settleTime is how long after the last fault all jobs must have ended.
	settleTime = 25 * time.Second
	readyTime  = 15 * time.Second
	// waveTime is how long a wave of upkeep may take; waveCap is how many
	// machines it may take down at once.
	waveTime = 20 * time.Second
	waveCap  = 2
	// leaseTime is how long a VM that can't be reached runs on, at most.
	leaseTime = 4500 * time.Millisecond
	// lastingTime is longer than a run of the soak.
	lastingTime = time.Hour
	// failShare is how often a run of a task fails.
	failShare = 0.03
	callers   = 6
)

// smallCap is the cap of the account that has one, in thousandths of a core:
// about one and a half times what the callers ask of it.
const smallCap = 24_000

// Run is a run of the soak.
type Run struct {
	opt    Options
	ledger *ledger.Ledger
	sit    *site.Site
	nodes  []*node
	// ways holds the proxy of each VM.
	ways []*proxy.Proxy

	mu      sync.Mutex
	version int
	keys    map[string]string
	waves   int
	// wrong ends of processes are recorded by those who wait for them.
	waits sync.WaitGroup
}

// Play plays a run. The error says that it could not be played.
func Play(ctx context.Context, opt Options) (rep Report, err error) {
	run := &Run{opt: opt, keys: map[string]string{}, ledger: ledger.New(ledger.PlatformBounds, map[string]int64{accounts[0]: smallCap})}
	defer run.close()
	if err := run.start(); err != nil {
		return Report{}, fmt.Errorf("soak with seed %d: %w", opt.Seed, err)
	}
	rep.Faults = Schedule(opt.Seed, opt.For, opt.Processes, len(run.ways), len(run.sit.Zones()))
	submitting, stopSubmitting := context.WithTimeout(ctx, opt.For)
	defer stopSubmitting()
	over, stop := context.WithTimeout(ctx, opt.For+settleTime)
	defer stop()
	var work sync.WaitGroup
	for i := range callers {
		cal := newCaller(run, i)
		work.Go(func() { cal.work(submitting, over) })
	}
	run.inject(submitting, rep.Faults)
	run.waits.Wait()
	work.Wait()
	// What was cancelled last may be stopped yet, and what a fault has cut off ends
	// with its lease.
	clock.Pause(ctx, ledger.PlatformBounds.Cancel+leaseTime)
	run.stopNodes()
	if ctx.Err() == nil {
		run.ledger.Finish(time.Now())
	}
	rep.Accepted, rep.Started = run.ledger.Counts()
	rep.Broken = run.ledger.Broken()
	return rep, nil
}

// observer passes on what the VMs do, with the time.
type observer struct{ led *ledger.Ledger }

func (obs observer) Started(vm, zone, task string, run int, payload string) {
	obs.led.Started(time.Now(), vm, zone, task, run, payload)
}
func (obs observer) Ended(vm, task string, _ int, how string)       { obs.led.Ended(vm, task, how) }
func (obs observer) Acknowledged(_, task string, _ int, how string) { obs.led.Acknowledged(task, how) }
func (obs observer) Violation(what string)                          { obs.led.Fail(time.Now(), what) }

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
				return lastingTime, "failed"
			}
			mu.Lock()
			defer mu.Unlock()
			how := "done"
			if rng.Float64() < failShare {
				how = "failed"
			}
			return time.Duration(float64(taskTime) * (0.3 + 1.5*rng.Float64())), how
		},
		Expose: func(_, address string) (string, error) {
			pro, err := proxy.New(address)
			if err != nil {
				return "", err
			}
			run.ways = append(run.ways, pro)
			return pro.Address(), nil
		},
		Observer: observer{run.ledger},
	})
	if err != nil {
		return err
	}
	run.changeKeys(accounts...)
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
	for _, way := range run.ways {
		way.Close()
	}
	if run.sit != nil {
		run.sit.Stop()
	}
}

// stopNodes ends all processes gracefully.
func (run *Run) stopNodes() {
	var ends sync.WaitGroup
	for _, nod := range run.nodes {
		ends.Go(func() {
			if wrong := nod.terminate(); wrong != "" {
				run.ledger.Fail(time.Now(), wrong)
			}
		})
	}
	ends.Wait()
}

func (run *Run) key(account string) string {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.keys[account]
}

// changeKeys gives accounts new keys in a new configuration. The former ones are
// withdrawn.
func (run *Run) changeKeys(names ...string) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.version += 2
	former := map[string]string{}
	for _, name := range names {
		former[name] = run.keys[name]
		run.keys[name] = fmt.Sprintf("%s-%d", name, run.version)
	}
	cfg := site.Config{
		Version: run.version, Pools: run.pools(),
		Queues: []site.Queue{{Name: "gate", Prefix: queuePrefix, Pool: "lots", Attempts: ledger.PlatformBounds.Attempts}},
	}
	for _, name := range accounts {
		acc := site.Account{Name: name, Keys: []string{run.keys[name]}}
		if name == accounts[0] {
			acc.CPULimit = smallCap
		}
		cfg.Accounts = append(cfg.Accounts, acc)
	}
	run.sit.Configure(cfg)
	for _, key := range former {
		if key != "" {
			run.ledger.Withdraw(time.Now(), key)
		}
	}
}

// inject injects the faults at their times.
func (run *Run) inject(ctx context.Context, faults []Fault) {
	began := time.Now()
	for _, fau := range faults {
		clock.Pause(ctx, time.Until(began.Add(fau.At)))
		if ctx.Err() != nil {
			return
		}
		run.strike(fau)
	}
	<-ctx.Done()
}
