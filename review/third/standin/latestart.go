package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

func init() { cases["11"] = lateStartRunsAgain }

// Times of the case, from the submission of the job. Orders to one executor get no answer for
// lateFor and are carried out lateBy after they arrived. The executor is cut from the store at cutAt,
// and starts again under its id at rebornAt.
const (
	lateFor  = 3300 * time.Millisecond
	lateBy   = 6 * time.Second
	cutAt    = 4500 * time.Millisecond
	rebornAt = 5 * time.Second
	rebornIn = 300 * time.Millisecond
	cutFor   = 5 * time.Second
	judgedAt = 14 * time.Second
)

// shortTask is the run time of the tasks of the case.
const shortTask = 300 * time.Millisecond

// lateStart is the state of the case.
type lateStart struct {
	sce *scene

	mu sync.Mutex
	// done is when a run of the job's task ended done, and acked whether that end was
	// acknowledged.
	done   time.Time
	acked  bool
	broken bool
	// others counts the starts of other jobs, and lateShare is the share of all orders that was late.
	others    int
	lateShare float64
	front     *ordersFront
}

// maxLateShare is the share of orders that are late on plal-sched.
const maxLateShare = 0.055

// begin starts the platform, with a count of the orders to the first executor.
func (lat *lateStart) begin(pools []site.Pool) (err error) {
	lat.sce.sit, err = site.Start(site.Options{
		Pools: pools, TaskDuration: shortTask, Observer: lat.sce,
		Expose: func(name, address string) (string, error) {
			if name != "vm-0" {
				return address, nil
			}
			lat.front, err = newOrdersFront(address)
			if err != nil {
				return "", err
			}
			return lat.front.address, nil
		},
	})
	return err
}

// disturb starts the disruptions.
func (lat *lateStart) disturb() {
	sce, wor := lat.sce, lat.sce.sit.Workers[0]
	sce.note("orders to vm-0 get no answer for %v, and are carried out after %v", lateFor, lateBy)
	wor.SetOrdersLate(lateBy)
	time.AfterFunc(lateFor, func() {
		wor.SetOrdersLate(0)
		lat.mu.Lock()
		defer lat.mu.Unlock()
		late := float64(lat.front.orders.Load())
		lat.lateShare = late / (late + float64(lat.others))
		sce.note("orders to vm-0 are answered again; %.0f were late, a share of %.3f", late, lat.lateShare)
	})
	time.AfterFunc(cutAt, func() { sce.note("vm-0 is cut from the store"); wor.Cut() })
	time.AfterFunc(rebornAt, func() { sce.note("vm-0 crashes, and starts again under its id behind the cut"); wor.Restart(rebornIn) })
	time.AfterFunc(cutAt+cutFor, wor.Uncut)
}

// twiceJob is the ID of the job.
const twiceJob = "d1b2c3d4e5f60718"

func (lat *lateStart) started(vm, task string, run int) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	if !strings.HasPrefix(task, twiceJob) {
		lat.others++
		return
	}
	if lat.done.IsZero() {
		return
	}
	lat.sce.note("TWICE: %s starts run %d of %s %v after a run of it ended done; acknowledged: %v", vm, run, task, time.Since(lat.done).Round(time.Millisecond), lat.acked)
	lat.broken = true
}

func (lat *lateStart) ended(_, task string, _ int, outcome string) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	if strings.HasPrefix(task, twiceJob) && outcome == "done" && lat.done.IsZero() {
		lat.done = time.Now()
	}
}

// lateStartRunsAgain has the start of a task carried out late, by the next incarnation of its executor. The task
// has run on another one by then.
func lateStartRunsAgain(sce *scene) (broken bool, err error) {
	lat := &lateStart{sce: sce}
	sce.onStart, sce.onEnd = lat.started, lat.ended
	sce.onAck = func(task, outcome string) {
		lat.mu.Lock()
		defer lat.mu.Unlock()
		lat.acked = lat.acked || strings.HasPrefix(task, twiceJob) && outcome == "done"
	}
	pools := []site.Pool{{Name: "lots", Workers: 8}}
	if err := lat.begin(pools); err != nil {
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
	begin := time.Now()
	if sce.trouble {
		lat.disturb()
	}
	if err := sce.submit(nodes[0], "/gate/"+twiceJob, site.JobBody("twice", []site.Step{{Count: 1, CPU: 4000, Estimate: shortTask}})); err != nil {
		return false, err
	}
	last := ""
	for i := 0; time.Since(begin) < judgedAt; i++ {
		// Other work, whose data is on the second rack.
		other := fmt.Sprintf(`{"spec":"other","steps":[{"count":30,"cpu":500,"mem-mb":64,"estimate-ms":%d,"data-rack":"r2"}]}`, shortTask.Milliseconds())
		if status, answer := sce.call(nodes[i%3], "POST", fmt.Sprintf("/gate/e%015x", i), other); status != 200 {
			sce.note("client: other job -> %d %s", status, answer)
		}
		if state := sce.state(nodes[1], "/gate/"+twiceJob); state != last && state != "" {
			last = state
			sce.note("client: GET of the job -> %s", state)
		}
		time.Sleep(200 * time.Millisecond)
	}
	lat.mu.Lock()
	defer lat.mu.Unlock()
	if lat.done.IsZero() {
		return false, errors.New("the task has not run")
	}
	if lat.lateShare > maxLateShare {
		return false, errors.New("too large a share of the orders was late")
	}
	return lat.broken && lat.acked, nil
}
