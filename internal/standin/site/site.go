// Package site is a small stand-in for the users' platform on loopback: its
// store, its VMs that run tasks, its list of machines and its advisor. It
// implements the platform's published protocol, so that tests and the soak drive
// processes of the manage command without the platform. Package fleet has the
// stand-ins for entries, the processes of the serve command.
//
// A machine belongs to one of the pools and outlasts its VMs. It runs at most
// one VM at a time. A Worker is a machine together with its VM. An incarnation
// is a VM from its start to its end; the next VM on the machine is a new
// incarnation with a new id.
//
// Upkeep is the maintenance of a machine, during which it runs no VM, and a wave
// is a batch of upkeep. The duty is the exclusive right to dispatch; only the
// process that holds it may order moves and upkeep of machines. The advisor
// decides which VMs may run the steps of some queues, and a ticket is its
// permission for one VM.
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
	// Advisor is nil unless Options.DecisionTime is set.
	Advisor *Advisor
	// StoreAddress, MachinesAddress and AdvisorAddress are the addresses on which
	// the store, the list of machines and the advisor listen.
	StoreAddress    string
	MachinesAddress string
	AdvisorAddress  string
	servers         []*http.Server

	opt Options

	mu sync.Mutex
	// running counts the runs in progress of each task.
	running map[string]int
	// done and acked hold the tasks that ended as done, and those of them whose end
	// was acknowledged to the VM.
	done  map[string]bool
	acked map[string]bool
	// started counts the started runs of each job.
	started    map[string]int
	violations []string
	// listDelay is the time after which a list of machines is answered once it was
	// read, and machineAnswersLost is set if orders for machines get no answer.
	listDelay          time.Duration
	machineAnswersLost bool
	// machineOrderDelay is the time that the platform takes to carry out an order for a
	// machine, and machineOrdersUnderWay the number of orders that have arrived and are
	// not carried out.
	machineOrderDelay     time.Duration
	machineOrdersUnderWay int
}

// Options configure a Site.
type Options struct {
	// Pool is the name of the only pool, and Workers its number of machines.
	Pool    string
	Workers int
	// Pools replaces Pool and Workers. Machines are numbered in its order.
	Pools []Pool
	// TaskDuration is the duration of each run.
	TaskDuration time.Duration
	// Outcome replaces TaskDuration. It returns the duration of a run and how it
	// ends.
	Outcome func(task string, run int) (work time.Duration, outcome string)
	// DecisionTime is the time the advisor takes to answer. With 0 there is no
	// advisor; otherwise VMs start only tasks that carry one of its tickets.
	DecisionTime time.Duration
	// LongestLease is the longest lease that VMs grant, or 0 for 6 s.
	LongestLease time.Duration
	// Expose returns the address to register for a VM's listener, such as that of a
	// proxy in front of it. If it is nil, the listener's own address is registered.
	Expose func(name, address string) (exposed string, err error)
	// Observer is notified of what the VMs do; it may be nil.
	Observer Observer
}

// Pool is a group of machines. Machines of a standby pool run no VM.
type Pool struct {
	Name    string
	Workers int
	Standby bool
}

// Observer is notified of what the VMs do. The events of one VM arrive in their
// order.
type Observer interface {
	// Started is called when a run has started, with the payload of the order.
	Started(vm, pool, zone, task string, run int, payload string)
	// Ended is called when a run has ended. The outcome is the one that the VM
	// reports, or "gone" if its VM ended with it.
	Ended(vm, task string, run int, outcome string)
	// Acknowledged is called when the end of a run was acknowledged to its VM.
	Acknowledged(vm, task string, run int, outcome string)
	// Violation is called when an order for a machine violates the platform's rules.
	Violation(description string)
}

// Start starts a site on loopback addresses.
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
	sit.Store.waveReported = sit.checkWave
	if sit.StoreAddress, err = sit.serve(sit.Store); err != nil {
		return nil, err
	}
	if sit.MachinesAddress, err = sit.serve(http.HandlerFunc(sit.serveMachines)); err != nil {
		return nil, err
	}
	if opt.DecisionTime > 0 {
		sit.Advisor = &Advisor{decisionTime: opt.DecisionTime, semaphores: map[string]chan struct{}{}, tickets: map[string]bool{}}
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

// addWorker starts a machine in a pool.
func (sit *Site) addWorker(pool string) (err error) {
	wor := &Worker{sit: sit, index: len(sit.Workers), begun: map[int64]bool{}}
	if wor.address, err = sit.serve(wor); err != nil {
		return err
	}
	if sit.opt.Expose != nil {
		if wor.address, err = sit.opt.Expose(fmt.Sprintf("vm-%d", wor.index), wor.address); err != nil {
			return err
		}
	}
	wor.beginIncarnation(pool, false)
	sit.Workers = append(sit.Workers, wor)
	return nil
}

// isStandby reports whether the machines of a pool run no VM.
func (sit *Site) isStandby(pool string) bool {
	return slices.ContainsFunc(sit.opt.Pools, func(poo Pool) bool { return poo.Name == pool && poo.Standby })
}

// plannedOutcome returns the duration of a run and how it ends unless it is
// stopped.
func (sit *Site) plannedOutcome(task string, run int) (work time.Duration, outcome string) {
	if sit.opt.Outcome != nil {
		return sit.opt.Outcome(task, run)
	}
	return sit.opt.TaskDuration, "done"
}

// serve serves a handler on a free loopback port and returns its address.
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

// Stop closes all listeners and connections.
func (sit *Site) Stop() {
	for _, srv := range sit.servers {
		_ = srv.Close()
	}
}

// recordStart counts a run that started. Two runs of a task in progress, and a
// run of a task that was done and acknowledged, are violations.
func (sit *Site) recordStart(vm, pool, zone, task string, run int, payload string) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.running[task]++
	sit.started[jobOf(task)]++
	if sit.running[task] > 1 {
		sit.violations = append(sit.violations, fmt.Sprintf("%s starts on %s while it runs", task, vm))
	}
	if sit.acked[task] {
		sit.violations = append(sit.violations, fmt.Sprintf("%s starts on %s after its end was acknowledged", task, vm))
	}
	if sit.opt.Observer != nil {
		sit.opt.Observer.Started(vm, pool, zone, task, run, payload)
	}
}

// recordEnd counts a run that ended.
func (sit *Site) recordEnd(vm, task string, run int, outcome string) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.running[task]--
	if outcome == "done" {
		sit.done[task] = true
	}
	if sit.opt.Observer != nil {
		sit.opt.Observer.Ended(vm, task, run, outcome)
	}
}

// recordAcknowledgement marks a task that was done as acknowledged.
func (sit *Site) recordAcknowledgement(vm, task string, run int, outcome string) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	if outcome == "done" {
		sit.acked[task] = true
	}
	if sit.opt.Observer != nil {
		sit.opt.Observer.Acknowledged(vm, task, run, outcome)
	}
}

// reportViolation records an order for a machine that violates the platform's
// rules.
func (sit *Site) reportViolation(format string, args ...any) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	description := fmt.Sprintf(format, args...)
	sit.violations = append(sit.violations, description)
	if sit.opt.Observer != nil {
		sit.opt.Observer.Violation(description)
	}
}

// LongestLease returns the longest lease that VMs grant.
func (sit *Site) LongestLease() time.Duration {
	if sit.opt.LongestLease > 0 {
		return sit.opt.LongestLease
	}
	return maxLease
}

// Zones returns the names of the availability zones.
func (sit *Site) Zones() []string { return []string{zoneName(0), zoneName(1), zoneName(2)} }

// Violations describes the violations that the VMs and the machines observed.
func (sit *Site) Violations() []string {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return slices.Clone(sit.violations)
}

// StartedRuns returns the number of runs of a job's tasks that were started.
func (sit *Site) StartedRuns(job string) int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return sit.started[job]
}

// DoneTasks returns the number of tasks that ended as done.
func (sit *Site) DoneTasks() int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return len(sit.done)
}
