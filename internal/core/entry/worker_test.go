package entry

import (
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// fakeWorker runs tasks under leases on the virtual clock.
type fakeWorker struct {
	lost    bool
	failing bool
	tasks   map[string]*fakeTask
	fences  map[string]int
}

type fakeTask struct {
	attempt int
	due     time.Time
	expires time.Time
	fails   bool
}

// workerTables adds a pool of workers to tables, with a queue of repeatable
// tasks and one of tasks that are not repeatable.
func workerTables(tbs table.Tables, workers, azs int) table.Tables {
	vms := map[string]int{}
	for i := range workers {
		vms[azName(i%azs)]++
	}
	tbs.Pools = append(tbs.Pools, table.Pool{
		Name: "workers", Service: table.ServiceWorker, Budget: 1, VMs: vms, MaxWaiting: 20_000,
	})
	for name, repeatable := range map[string]bool{"again": true, "once": false} {
		tbs.Routes = append(tbs.Routes, table.Route{
			Name: name, Kind: table.KindTask, Pool: "workers", Urgency: table.UrgencyNormal,
			Repeatable: repeatable, Deadline: table.Duration(10 * time.Minute), MaxBodyBytes: 1024,
		})
	}
	return tbs
}

func workerVMs(workers, azs int) []vm.VM {
	var vms []vm.VM
	for i := range workers {
		vms = append(vms, vm.VM{
			ID: fmt.Sprintf("wk%03d", i), AZ: azName(i % azs), Rack: azName(i % azs),
			Address: fmt.Sprintf("wk%03d:80", i), Service: table.ServiceWorker, Slots: 8,
		})
	}
	return vms
}

func (drv *driver) worker(vmID string) *fakeWorker {
	wkr, ok := drv.workers[vmID]
	if !ok {
		wkr = &fakeWorker{tasks: map[string]*fakeTask{}, fences: map[string]int{}}
		drv.workers[vmID] = wkr
	}
	return wkr
}

func (drv *driver) startTask(nod *node, eff effect.StartTask) {
	end := event.TaskStartEnded{Work: eff.Work, Attempt: eff.Attempt}
	wkr := drv.worker(eff.VM)
	if wkr.lost {
		drv.after(time.Second, func() { drv.feed(nod, end) })
		return
	}
	drv.after(time.Millisecond, func() {
		if eff.Attempt <= wkr.fences[eff.TaskID] {
			end.NotAccepted = true
		} else {
			end.Accepted = true
			wkr.fences[eff.TaskID] = eff.Attempt
			wkr.tasks[eff.TaskID] = &fakeTask{
				attempt: eff.Attempt, due: drv.now.Add(drv.runDuration(eff.TaskID)), expires: drv.now.Add(eff.Lease), fails: wkr.failing,
			}
			drv.taskRuns[eff.TaskID] = append(drv.taskRuns[eff.TaskID], eff.VM)
		}
		if !drv.chance(drv.flt.lose) {
			drv.after(time.Millisecond, func() { drv.feed(nod, end) })
		}
	})
}

func (drv *driver) pollWorker(nod *node, eff effect.PollWorker) {
	wkr := drv.worker(eff.VM)
	if wkr.lost || drv.chance(drv.flt.lose) {
		drv.after(time.Second, func() { drv.feed(nod, event.WorkerReported{VM: eff.VM}) })
		return
	}
	drv.after(time.Millisecond, func() {
		rep := event.WorkerReported{VM: eff.VM, Reached: true}
		for _, att := range eff.Tasks {
			rep.Tasks = append(rep.Tasks, wkr.report(drv.now, att, eff.Lease))
		}
		drv.after(time.Millisecond, func() { drv.feed(nod, rep) })
	})
}

func (wkr *fakeWorker) report(now time.Time, att effect.TaskAttempt, lease time.Duration) event.WorkerTask {
	wtk := event.WorkerTask{TaskID: att.TaskID, Attempt: att.Attempt, State: event.WorkerUnknown}
	tsk, ok := wkr.tasks[att.TaskID]
	if !ok || tsk.attempt != att.Attempt {
		wkr.fences[att.TaskID] = max(wkr.fences[att.TaskID], att.Attempt)
		return wtk
	}
	switch {
	case now.After(tsk.expires) && tsk.expires.Before(tsk.due):
		wtk.State, wtk.Reason = event.WorkerFailed, "the lease expired"
	case now.Before(tsk.due):
		wtk.State = event.WorkerRunning
		tsk.expires = now.Add(lease)
	case tsk.fails:
		wtk.State, wtk.Reason = event.WorkerFailed, "the worker fails every task"
	default:
		wtk.State, wtk.Result = event.WorkerDone, []byte("done")
	}
	return wtk
}

// submit submits a task to a node. The reply is stored under the name.
func (drv *driver) submit(nod *node, name, team, queue string) {
	nod.lastRequest++
	nod.requests[nod.lastRequest] = name
	drv.feed(nod, event.TaskSubmitted{Request: nod.lastRequest, Queue: queue, KeyHash: key.Hash(secretOf(team)), Payload: []byte(name)})
}

// queryTask requests the status of a task from a node.
func (drv *driver) queryTask(nod *node, name, team, taskID string) {
	nod.lastRequest++
	nod.requests[nod.lastRequest] = name
	drv.feed(nod, event.TaskQueried{Request: nod.lastRequest, TaskID: taskID, KeyHash: key.Hash(secretOf(team))})
}
