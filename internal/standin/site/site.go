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

	mu      sync.Mutex
	running map[string]int
	done    map[string]bool
	acked   map[string]bool
	started map[string]int
	faults  []string
}

// Options say what runs.
type Options struct {
	// Pool names the pool of all VMs; Workers is their number.
	Pool    string
	Workers int
	// Work is how long each task takes.
	Work time.Duration
	// Advice is how long the advisor takes for an answer; 0 for no advisor. VMs
	// start only tasks with its tickets.
	Advice time.Duration
}

// Start starts a stand-in on loopback addresses.
func Start(opt Options) (sit *Site, err error) {
	sit = &Site{Store: newStore(), running: map[string]int{}, done: map[string]bool{}, acked: map[string]bool{}, started: map[string]int{}}
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
	if opt.Advice > 0 {
		sit.Advisor = &Advisor{decision: opt.Advice, turns: map[string]chan struct{}{}, tickets: map[string]bool{}}
		if sit.AdvisorAddress, err = sit.serve(sit.Advisor); err != nil {
			return nil, err
		}
	}
	for i := range opt.Workers {
		wor := &Worker{
			sit: sit, id: fmt.Sprintf("vm-%d", i), work: opt.Work, born: time.Now(), runs: map[string]*workerRun{},
			highest: map[string]int{}, changed: make(chan struct{}),
		}
		address, err := sit.serve(wor)
		if err != nil {
			return nil, err
		}
		sit.Workers = append(sit.Workers, wor)
		wor.register(address, opt.Pool, i)
	}
	return sit, nil
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

func (sit *Site) serveMachines(wri http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	for _, wor := range sit.Workers {
		rows = append(rows, map[string]any{
			"machine": "m-" + wor.id, "pool": "lots", "state": "up", "zone": "az0", "labels": []string{"a"}, "id": wor.id,
			"capacity": map[string]int64{"cpu": 16000, "mem-mb": 32768, "gpu": 0},
		})
	}
	answer(wri, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

func (sit *Site) began(task, vm string) {
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
}

func (sit *Site) ended(task string, done bool) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.running[task]--
	sit.done[task] = sit.done[task] || done
}

func (sit *Site) acknowledged(task string) {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	sit.acked[task] = true
}

// Faults returns what the system did wrong, as the VMs saw it.
func (sit *Site) Faults() []string {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return slices.Clone(sit.faults)
}

// Started returns how many tasks of a job were started.
func (sit *Site) Started(job string) int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return sit.started[job]
}

// Done returns how many tasks have ended done.
func (sit *Site) Done() int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return len(sit.done)
}
