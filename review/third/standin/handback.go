package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

func init() { cases["15"] = ordersInTurn }

// Times of the case. The smaller process hands the duty back a little over 4 s after it took it.
const (
	largeProcesses = 8
	// downtime is how long all processes are down, and startGap how much sooner the smaller one
	// starts. All machines start within 0.3 s of each other.
	downtime = 3 * time.Second
	startGap = 200 * time.Millisecond
	// grownContact is contact-ms of plal-sched-grown.
	grownContact  = 4 * time.Second
	burstAfter    = 3850 * time.Millisecond
	waveAfter     = 1400 * time.Millisecond
	burstTasks    = 48
	burstTaskTime = 800 * time.Millisecond
)

// smallName is the name of the smaller process, largeName what those of the others begin with.
const (
	smallName = "frontend-small"
	largeName = "frontend-large"
)

// machineOrder is an order for a machine as the platform sees it.
type machineOrder struct {
	at     time.Time
	holder string
	path   string
}

// turns judges the orders for machines.
type turns struct {
	sce *scene

	mu   sync.Mutex
	last map[string]machineOrder
	// startedAt is when each process was last started.
	startedAt map[string]time.Time
	broken    bool
}

func (tur *turns) inTouch(name string, at time.Time) bool {
	return at.Sub(tur.startedAt[name]) > grownContact
}

// order judges an order for a machine.
func (tur *turns) order(path, holder, token, machine string, status int) {
	tur.sce.note("%s with token %s: POST %s for %s -> %d", holder, token, path, machine, status)
	tur.mu.Lock()
	defer tur.mu.Unlock()
	now := time.Now()
	old, ok := tur.last[machine]
	tur.last[machine] = machineOrder{now, holder, path}
	if !ok || old.holder == holder || now.Sub(old.at) >= leaseTime {
		return
	}
	both := tur.inTouch(old.holder, old.at) && tur.inTouch(holder, now)
	tur.sce.note("ONE: %s follows %s (%s) for %s after %v, both in touch: %v", holder, old.holder, old.path, machine, now.Sub(old.at).Round(time.Millisecond), both)
	tur.broken = tur.broken || both
}

// start starts processes.
func (tur *turns) start(nodes ...*node) (err error) {
	for _, nod := range nodes {
		tur.mu.Lock()
		tur.startedAt[nod.name] = time.Now()
		tur.mu.Unlock()
		err = errors.Join(err, nod.start())
	}
	return err
}

// ordersInTurn kills all processes at once. The smallest is the first to be back and takes the
// duty; it hands it to a larger one 4 s later, in the middle of a burst and before a wave.
func ordersInTurn(sce *scene) (broken bool, err error) {
	pools := []site.Pool{{Name: "lots", Workers: 6}, {Name: "kiosk", Workers: 6}, {Name: "spare", Workers: 2, Standby: true}}
	sce.sit, err = site.Start(site.Options{Pools: pools, TaskDuration: burstTaskTime, Observer: sce})
	if err != nil {
		return false, err
	}
	sce.sit.Configure(site.Config{
		Version: 1, RejectsOverload: true, Pools: pools, Accounts: []site.Account{{Name: "team", Keys: []string{tenantKey}, Weight: 10}},
		Queues: []site.Queue{{Name: "gate", Prefix: "/gate/", Pool: "lots", Attempts: maxAttempts}, {Name: "pay", Prefix: "/pay/", Pool: "kiosk", Attempts: maxAttempts}},
	})
	tur := &turns{sce: sce, last: map[string]machineOrder{}, startedAt: map[string]time.Time{}}
	large, small, err := tur.addProcesses()
	if err != nil {
		return false, err
	}
	if err := tur.begin(large, small); err != nil {
		return false, err
	}
	if err := tur.burst(large, small); err != nil {
		return false, err
	}
	time.Sleep(waveAfter)
	names := tur.moved()
	sce.sit.RequestWave(1, names, waveDuration, 2)
	sce.note("operator: wave 1 for %v, two at once, in %v", names, waveDuration)
	time.Sleep(10 * time.Second)
	tur.mu.Lock()
	defer tur.mu.Unlock()
	return tur.broken, nil
}

// maxHandbacks is how often the processes are killed, as the smaller one may take the duty
// again that it has handed back.
const maxHandbacks = 4

// burst submits a job that needs more machines, just before the smaller process hands the duty
// back if it has it.
func (tur *turns) burst(large []*node, small *node) (err error) {
	body := site.JobBody("burst", []site.Step{{Count: burstTasks, CPU: 4000, Estimate: burstTaskTime}})
	for i := range maxHandbacks {
		if tur.sce.trouble {
			if err := tur.killAll(large, small); err != nil {
				return err
			}
		}
		time.Sleep(burstAfter)
		// The machines of the other pool move each time.
		queue := []string{"gate", "pay"}[i%2]
		if err := tur.sce.submit(large[0], fmt.Sprintf("/%s/00000000000000a%d", queue, i), body); err != nil {
			return err
		}
		if err = tur.sce.awaitAnyHolder(largeName, time.Second); err == nil {
			return nil
		}
		tur.sce.note("the smaller process has the duty again")
		time.Sleep(2 * time.Second)
	}
	return err
}

// maxWave is how many of the 14 machines the wave has, a share of 0.43.
const maxWave = 6

// moved returns the machines that were ordered to move last, by the smaller process if it had the
// duty; at most as many as the wave has.
func (tur *turns) moved() (names []string) {
	tur.mu.Lock()
	defer tur.mu.Unlock()
	for name, ord := range tur.last {
		if (ord.holder == smallName) == tur.sce.trouble && time.Since(ord.at) < 2*leaseTime && len(names) < maxWave {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// addProcesses prepares the processes, with the platform's API for machines and its store before them.
func (tur *turns) addProcesses() (large []*node, small *node, err error) {
	fro, err := newMachinesFront(tur.sce.sit.MachinesAddress)
	if err != nil {
		return nil, nil, err
	}
	fro.onOrder = tur.order
	store, err := newStoreFront(tur.sce.sit.StoreAddress)
	if err != nil {
		return nil, nil, err
	}
	for i := range largeProcesses {
		nod, err := tur.sce.addNode(fmt.Sprintf("%s-%d", largeName, i), 0.8, store, fro.address)
		if err != nil {
			return nil, nil, err
		}
		large = append(large, nod)
	}
	small, err = tur.sce.addNode(smallName, 0.2, store, fro.address)
	return large, small, err
}

// begin starts the larger processes, and the smaller one once one of them holds the duty.
func (tur *turns) begin(large []*node, small *node) error {
	if err := tur.start(large...); err != nil {
		return err
	}
	if err := tur.sce.awaitAnyHolder(largeName, 10*time.Second); err != nil {
		return err
	}
	if err := tur.start(small); err != nil {
		return err
	}
	for _, nod := range tur.sce.nodes {
		if err := nod.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

// killAll kills all processes, and starts them again.
func (tur *turns) killAll(large []*node, small *node) error {
	tur.sce.note("all processes are killed, for %v", downtime)
	for _, nod := range tur.sce.nodes {
		nod.kill()
	}
	time.Sleep(downtime)
	if err := tur.start(small); err != nil {
		return err
	}
	time.Sleep(startGap)
	if err := tur.start(large...); err != nil {
		return err
	}
	return tur.sce.awaitAnyHolder(smallName, 10*time.Second)
}
