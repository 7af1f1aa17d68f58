// Package site is a small stand-in for the users' platform on loopback: its
// store, VMs that run tasks, and the list of machines. It speaks the platform's
// published protocol, so that the whole path runs without the platform.
package site

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Site is a running stand-in.
type Site struct {
	Store   *Store
	Workers []*Worker
	// Advisor is nil unless it is asked for.
	Advisor *Advisor
	// StoreAddress, MachinesAddress and AdvisorAddress are where they listen.
	StoreAddress    string
	MachinesAddress string
	AdvisorAddress  string
	servers         []*http.Server

	opt Options

	mu      sync.Mutex
	running map[string]int
	done    map[string]bool
	acked   map[string]bool
	started map[string]int
	faults  []string
}

// Options say what runs.
type Options struct {
	// Pool names the pool of the VMs; Workers is their number.
	Pool    string
	Workers int
	// Pools replaces Pool for several ones; their VMs follow each other.
	Pools []Pool
	// TaskDuration is how long each task takes.
	TaskDuration time.Duration
	// Outcome replaces Work: how long a run takes, and how it ends.
	Outcome func(task string, run int) (work time.Duration, how string)
	// DecisionTime is how long the advisor takes for an answer; 0 for no advisor. VMs
	// start only tasks with its tickets.
	DecisionTime time.Duration
	// Expose returns the address by which a listener is reached; nil for its own.
	Expose func(name, address string) (exposed string, err error)
	// Observer is told what the VMs do; it may be nil.
	Observer Observer
}

// Pool is a group of machines. Those of a standby pool run no VM.
type Pool struct {
	Name    string
	Workers int
	Standby bool
}

// Observer is told what the VMs do, in the order in which each VM does it.
type Observer interface {
	// Started is told of a run that has started, with the payload of the order.
	Started(vm, zone, task string, run int, payload string)
	// Ended is told how a run ended: as the VM lists it, or "gone" with its VM.
	Ended(vm, task string, run int, how string)
	// Acknowledged is told of an end that was acknowledged to its VM.
	Acknowledged(vm, task string, run int, how string)
	// Violation is told of an order that breaks a rule of the machines.
	Violation(what string)
}

// Start starts a stand-in on loopback addresses.
func Start(opt Options) (sit *Site, err error) {
	if opt.Pools == nil {
		opt.Pools = []Pool{{Name: opt.Pool, Workers: opt.Workers}}
	}
	sit = &Site{opt: opt, Store: newStore(), running: map[string]int{}, done: map[string]bool{}, acked: map[string]bool{}, started: map[string]int{}}
	defer func() {
		if err != nil {
			sit.Stop()
			err = fmt.Errorf("start stand-in of the platform: %w", err)
		}
	}()
	if sit.StoreAddress, err = sit.serve(sit.Store); err != nil {
		return nil, err
	}
	if sit.MachinesAddress, err = sit.serve(http.HandlerFunc(sit.serveMachines)); err != nil {
		return nil, err
	}
	if opt.DecisionTime > 0 {
		sit.Advisor = &Advisor{decision: opt.DecisionTime, turns: map[string]chan struct{}{}, tickets: map[string]bool{}}
		if sit.AdvisorAddress, err = sit.serve(sit.Advisor); err != nil {
			return nil, err
		}
	}
	for _, poo := range opt.Pools {
		for range poo.Workers {
			if err := sit.addWorker(poo.Name); err != nil {
				return nil, err
			}
		}
	}
	return sit, nil
}

func (sit *Site) addWorker(pool string) (err error) {
	wor := &Worker{sit: sit, index: len(sit.Workers), served: map[int64]bool{}}
	if wor.address, err = sit.serve(wor); err != nil {
		return err
	}
	if sit.opt.Expose != nil {
		if wor.address, err = sit.opt.Expose(fmt.Sprintf("vm-%d", wor.index), wor.address); err != nil {
			return err
		}
	}
	wor.begin(pool)
	sit.Workers = append(sit.Workers, wor)
	return nil
}

func (sit *Site) standby(pool string) bool {
	return slices.ContainsFunc(sit.opt.Pools, func(poo Pool) bool { return poo.Name == pool && poo.Standby })
}

// outcome returns how long a run takes and how it ends.
func (sit *Site) outcome(task string, run int) (work time.Duration, how string) {
	if sit.opt.Outcome != nil {
		return sit.opt.Outcome(task, run)
	}
	return sit.opt.TaskDuration, "done"
}

func (sit *Site) serve(handler http.Handler) (address string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	sit.servers = append(sit.servers, srv)
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), nil
}

// Stop ends the stand-in.
func (sit *Site) Stop() {
	for _, srv := range sit.servers {
		_ = srv.Close()
	}
}

func (sit *Site) began(vm, zone, task string, run int, payload string) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.running[task]++
	sit.started[jobOf(task)]++
	if sit.running[task] > 1 {
		sit.faults = append(sit.faults, fmt.Sprintf("%s starts on %s while it runs", task, vm))
	}
	if sit.acked[task] {
		sit.faults = append(sit.faults, fmt.Sprintf("%s starts on %s after its end was acknowledged", task, vm))
	}
	if sit.opt.Observer != nil {
		sit.opt.Observer.Started(vm, zone, task, run, payload)
	}
}

func (sit *Site) ended(vm, task string, run int, how string) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.running[task]--
	if how == "done" {
		sit.done[task] = true
	}
	if sit.opt.Observer != nil {
		sit.opt.Observer.Ended(vm, task, run, how)
	}
}

func (sit *Site) acknowledged(vm, task string, run int, how string) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	if how == "done" {
		sit.acked[task] = true
	}
	if sit.opt.Observer != nil {
		sit.opt.Observer.Acknowledged(vm, task, run, how)
	}
}

// broken notes an order that breaks a rule of the machines.
func (sit *Site) broken(format string, args ...any) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	what := fmt.Sprintf(format, args...)
	sit.faults = append(sit.faults, what)
	if sit.opt.Observer != nil {
		sit.opt.Observer.Violation(what)
	}
}

// Zones returns the names of the availability zones.
func (sit *Site) Zones() []string { return []string{zoneName(0), zoneName(1), zoneName(2)} }

// Violations returns what the system did wrong, as the VMs saw it.
func (sit *Site) Violations() []string {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return slices.Clone(sit.faults)
}

// StartedTasks returns how many tasks of a job were started.
func (sit *Site) StartedTasks(job string) int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return sit.started[job]
}

// DoneTasks returns how many tasks have ended done.
func (sit *Site) DoneTasks() int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return len(sit.done)
}
