package main

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

func init() { cases["12"] = renamedQueue }

// Bounds of plal-sched.
const (
	configApply = 2 * time.Second
	cancelTime  = 3 * time.Second
	stopTime    = 400 * time.Millisecond
	visibleTime = 3 * time.Second
)

// renamed is the state of the case.
type renamed struct {
	sce   *scene
	nodes []*node
	pools []site.Pool

	mu      sync.Mutex
	running int
}

// count changes the number of running tasks and returns it.
func (ren *renamed) count(n int) int {
	ren.mu.Lock()
	defer ren.mu.Unlock()
	ren.running += n
	return ren.running
}

// configure writes a version of the configuration with one route.
func (ren *renamed) configure(version int, name string) {
	ren.sce.sit.Configure(site.Config{
		Version: version, RejectsOverload: true, Pools: ren.pools, Accounts: []site.Account{{Name: "team", Keys: []string{tenantKey}, Weight: 10}},
		Queues: []site.Queue{{Name: name, Prefix: "/gate/", Pool: "lots", Attempts: maxAttempts}},
	})
	ren.sce.note("operator: version %d, route %q with host %s, prefix /gate/, service lots", version, name, site.Host)
}

// ask makes a call about the job and returns its status.
func (ren *renamed) ask(nod *node, method string) (status int) {
	status, answer := ren.sce.call(nod, method, renamedPath, "")
	ren.sce.note("client: %s %s to %s -> %d %s; %d tasks run", method, renamedPath, nod.name, status, answer, ren.count(0))
	return status
}

// renamedPath is the path of the job.
const renamedPath = "/gate/b1b2c3d4e5f60718"

// renamedQueue changes the configuration while a lasting job runs: one version removes the route of
// the job and adds one of another name with the same host, prefix and service.
func renamedQueue(sce *scene) (broken bool, err error) {
	ren := &renamed{sce: sce, pools: []site.Pool{{Name: "lots", Workers: 8}}}
	sce.onStart = func(string, string, int) { ren.count(1) }
	sce.onEnd = func(string, string, int, string) { ren.count(-1) }
	sce.sit, err = site.Start(site.Options{Pools: ren.pools, TaskDuration: time.Hour, Observer: sce})
	if err != nil {
		return false, err
	}
	ren.configure(1, "gate")
	if ren.nodes, err = sce.startNodes(3); err != nil {
		return false, err
	}
	if err := sce.submit(ren.nodes[0], renamedPath, site.JobBody("lasting", []site.Step{{Count: 5, CPU: 4000, Estimate: time.Second, Lasting: true}})); err != nil {
		return false, err
	}
	time.Sleep(visibleTime)
	if status := ren.ask(ren.nodes[1], http.MethodGet); status != http.StatusOK {
		return false, errors.New("the job can't be queried before the change")
	}
	if sce.trouble {
		ren.configure(4, "gate-2")
	} else {
		ren.configure(4, "gate")
	}
	time.Sleep(configApply + time.Second)
	return ren.judge(), nil
}

// judge queries and cancels the job, and reports whether a rule was broken.
func (ren *renamed) judge() (broken bool) {
	for _, nod := range ren.nodes {
		if ren.ask(nod, http.MethodGet) == http.StatusGone {
			ren.sce.note("LOST: the job was accepted, nobody has cancelled it, and its GET is answered 410")
			broken = true
		}
	}
	status := ren.ask(ren.nodes[2], http.MethodDelete)
	acknowledged := status == http.StatusOK || status == http.StatusGone
	time.Sleep(cancelTime + stopTime + time.Second)
	left := ren.count(0)
	ren.sce.note("%v after the answer to the DELETE %d tasks run", cancelTime+stopTime+time.Second, left)
	if acknowledged && left > 0 {
		ren.sce.note("UNASKED: tasks run on after the cancelling of their job was acknowledged")
		broken = true
	}
	return broken
}
