package main

import (
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

func init() { cases["12"] = soundJobFails }

// Figures of the crashes, within those of srv_crash on plal-sched: a share of 0.14 of a
// service's executors, for 4.5 s.
const (
	crashes       = 3
	crashAfter    = 200 * time.Millisecond
	crashDowntime = 4500 * time.Millisecond
	executors     = 22
)

// soundJobFails plays three crashes of executors, each soon after it has started a task of the
// same job. No run of the job ends failed, and each ends done if it may go on.
func soundJobFails(sce *scene) (broken bool, err error) {
	const path = "/gate/a1b2c3d4e5f60718"
	var mu sync.Mutex
	crashed, failedRuns := 0, 0
	sce.onStart = func(vm, task string, _ int) {
		mu.Lock()
		defer mu.Unlock()
		if !sce.trouble || crashed == crashes || !strings.HasPrefix(task, "a1b2c3d4e5f60718.") {
			return
		}
		crashed++
		time.AfterFunc(crashAfter, func() {
			if wor := sce.worker(vm); wor != nil {
				sce.note("executor %s crashes, for %v", vm, crashDowntime)
				wor.Crash(crashDowntime)
			}
		})
	}
	sce.onEnd = func(_, _ string, _ int, outcome string) {
		mu.Lock()
		defer mu.Unlock()
		if outcome == "failed" {
			failedRuns++
		}
	}
	sce.sit, err = site.Start(site.Options{Pools: []site.Pool{{Name: "lots", Workers: executors}}, TaskDuration: 2 * time.Second, Observer: sce})
	if err != nil {
		return false, err
	}
	sce.sit.Configure(site.Config{
		Version: 1, RejectsOverload: true, Pools: []site.Pool{{Name: "lots"}}, Accounts: []site.Account{{Name: "team", Keys: []string{tenantKey}, Weight: 10}},
		Queues: []site.Queue{{Name: "gate", Prefix: "/gate/", Pool: "lots", Attempts: maxAttempts}},
	})
	nodes, err := sce.startNodes(3)
	if err != nil {
		return false, err
	}
	if err := sce.submit(nodes[0], path, site.JobBody("sound", []site.Step{{Count: 1, CPU: 4000, Estimate: 2 * time.Second}})); err != nil {
		return false, err
	}
	last := ""
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		state := sce.state(nodes[1], path)
		if state != last && state != "" {
			last = state
			sce.note("client: GET %s from %s -> state %q", path, nodes[1].name, state)
		}
		mu.Lock()
		failed := failedRuns
		mu.Unlock()
		switch state {
		case "failed", "cancelled":
			sce.note("the job is shown as %s; runs that ended failed: %d, max-attempts: %d", state, failed, maxAttempts)
			return failed < maxAttempts, nil
		case "completed":
			return false, nil
		}
	}
	return false, errors.New("the job did not end")
}

// startNodes starts processes of equal size, and waits until they are ready and one holds the
// duty.
func (sce *scene) startNodes(count int) (nodes []*node, err error) {
	for i := range count {
		nod, err := sce.addNode("frontend-"+string(rune('a'+i)), 0.4, sce.sit.StoreAddress, sce.sit.MachinesAddress)
		if err != nil {
			return nil, err
		}
		if err := nod.start(); err != nil {
			return nil, err
		}
		nodes = append(nodes, nod)
	}
	for _, nod := range nodes {
		if err := nod.awaitReady(); err != nil {
			return nil, err
		}
	}
	// The system starts 10 s before its traffic.
	time.Sleep(5 * time.Second)
	return nodes, nil
}
