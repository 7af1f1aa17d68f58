package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

func init() { cases["13"] = lastingTaskHeldBack }

// Figures of the case. The executors that crash are lost for good; two of 37 are a share of 0.054.
const (
	heldBackExecutors = 37
	heldBackCrashes   = 2
	longTask          = 40 * time.Second
	// crashAfter is how long after the start an executor is lost.
	crashAfter = 200 * time.Millisecond
	// lastRunSlack, calmBefore and waitBound are the times of the rule.
	lastRunSlack = 6 * time.Second
	calmBefore   = 4 * time.Second
	waitBound    = 3 * time.Second
)

// heldBack is the state of the case.
type heldBack struct {
	sce *scene

	mu            sync.Mutex
	lost, running int
	lastRun       time.Time
}

// Job IDs: that of the task that lasts, and that of the long tasks.
const (
	lastingJob = "c1b2c3d4e5f60718"
	longJob    = "c000000000000000"
)

// started loses the executor that has started the task that lasts.
func (hel *heldBack) started(vm, task string, _ int) {
	hel.mu.Lock()
	defer hel.mu.Unlock()
	if !strings.HasPrefix(task, lastingJob) {
		return
	}
	hel.running++
	if !hel.sce.trouble || hel.lost == heldBackCrashes {
		return
	}
	hel.lost++
	time.AfterFunc(crashAfter, func() {
		if wor := hel.sce.worker(vm); wor != nil {
			hel.sce.note("executor %s is lost for good", vm)
			wor.Lose()
		}
	})
}

func (hel *heldBack) ended(_, task string, _ int, _ string) {
	hel.mu.Lock()
	defer hel.mu.Unlock()
	if strings.HasPrefix(task, lastingJob) {
		hel.running--
		hel.lastRun = time.Now()
	}
}

// idleFor returns for how long the task that lasts has had no run since its last one.
func (hel *heldBack) idleFor() time.Duration {
	hel.mu.Lock()
	defer hel.mu.Unlock()
	if hel.running > 0 || hel.lastRun.IsZero() {
		return 0
	}
	return time.Since(hel.lastRun)
}

// lastingTaskHeldBack loses two executors for good, each soon after it has started a task that lasts. All
// others have room for it, and run one long task each.
func lastingTaskHeldBack(sce *scene) (broken bool, err error) {
	hel := &heldBack{sce: sce}
	sce.onStart, sce.onEnd = hel.started, hel.ended
	pools := []site.Pool{{Name: "lots", Workers: heldBackExecutors}}
	sce.sit, err = site.Start(site.Options{Pools: pools, Observer: sce, Outcome: func(string, int) (time.Duration, string) { return longTask, "done" }})
	if err != nil {
		return false, err
	}
	sce.sit.Configure(site.Config{
		Version: 1, RejectsOverload: true, Pools: pools, Accounts: []site.Account{{Name: "team", Keys: []string{tenantKey}, Weight: 10}},
		Queues: []site.Queue{{Name: "gate", Prefix: "/gate/", Pool: "lots", Attempts: maxAttempts}},
	})
	nodes, err := sce.startNodes(3)
	if err != nil {
		return false, err
	}
	spread := fmt.Sprintf(`{"spec":"long","steps":[{"count":%d,"cpu":4000,"mem-mb":64,"estimate-ms":%d,"max-per-server":1}]}`, heldBackExecutors, longTask.Milliseconds())
	if err := sce.submit(nodes[0], "/gate/"+longJob, spread); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := sce.submit(nodes[0], "/gate/"+lastingJob, site.JobBody("lasting", []site.Step{{Count: 1, CPU: 4000, Estimate: time.Second, Lasting: true}})); err != nil {
		return false, err
	}
	for end := time.Now().Add(24 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if idle := hel.idleFor(); !broken && idle > max(lastRunSlack, calmBefore)+waitBound {
			sce.note("LOST: the task has had no run for %v; %d executors with 12 of 16 cores free", idle.Round(time.Millisecond), heldBackExecutors-heldBackCrashes)
			broken = true
		}
	}
	status, answer := sce.call(nodes[1], http.MethodGet, "/gate/"+lastingJob, "")
	sce.note("client: GET of the job -> %d %s; no run for %v", status, answer, hel.idleFor().Round(time.Second))
	return broken, nil
}
