package scheduler

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Times of orders to VMs.
const (
	// startRetry is how long a task waits after its order was refused.
	startRetry = 150 * time.Millisecond
	// stopRetry is the time between two stops of a run that goes on.
	stopRetry = 500 * time.Millisecond
	// unhealthyPause is how long a VM that refused an order gets no others.
	unhealthyPause = time.Second
)

// stop has a run stopped. It keeps its room until the VM lists its end or has
// rejected it.
func (sta *State) stop(hel *placement) {
	if hel == nil || hel.state == runStopping || hel.state == runRejected {
		return
	}
	hel.state, hel.since, hel.stopSent = runStopping, sta.now, time.Time{}
}

// pursueStops sends the stops that are due.
func (sta *State) pursueStops() {
	for _, hos := range sta.hostList {
		if !hos.fenced {
			continue
		}
		for _, hel := range hos.runList {
			due := hel.state == runStopping || hel.state == runRejected && sta.now.Sub(hel.since) > stopRetry+sta.opt.StopTime
			if !due || hel.stopInFlight || sta.now.Sub(hel.stopSent) < stopRetry {
				continue
			}
			hel.stopSent, hel.stopInFlight = sta.now, true
			sta.emit(Stop{VM: hos.vm, Task: hel.task, Run: hel.run})
		}
	}
}

// stopAnswered takes in the answer to a stop. After it, a run that hasn't come
// yet is rejected; one that is there ends and is listed.
func (sta *State) stopAnswered(hos *host, evt StopAnswered) {
	hel := hos.runs[evt.Task]
	if hel == nil || hel.run != evt.Run {
		return
	}
	hel.stopInFlight = false
	switch evt.Result {
	case worker.ResultOK, worker.ResultOldRun:
		if hel.state == runStopping {
			hel.state, hel.since = runRejected, sta.now
			hos.nextPoll = sta.now
		}
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has answered a higher term")
	case worker.ResultOtherIncarnation:
		sta.removeHost(hos, "another life answers at its address")
	}
}

// startAnswered takes in the answer to a start.
func (sta *State) startAnswered(hos *host, evt StartAnswered) {
	hel := hos.runs[evt.Task]
	if hel == nil || hel.run != evt.Run || hel.state != runOrdered {
		sta.startAfterwards(hos, evt)
		return
	}
	switch evt.Result {
	case worker.ResultOK:
		hel.setState(runRunning, sta.now)
	case worker.ResultUnknown:
		hel.state, hel.since = runUnknown, sta.now
		hos.nextPoll = sta.now
	default:
		sta.startRefused(hos, hel, evt.Result)
	}
	if evt.Result != worker.ResultOK {
		sta.logDecision("start_refused", evt.Task.Job, map[string]any{"task": evt.Task.String(), "run": evt.Run, "vm": hos.vm.ID, "result": evt.Result.String()})
	}
}

// startAfterwards takes in the answer to a start whose run has been stopped,
// seen or ended since.
func (sta *State) startAfterwards(hos *host, evt StartAnswered) {
	switch evt.Result {
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has answered a higher term")
	case worker.ResultOtherIncarnation:
		sta.removeHost(hos, "another life answers at its address")
	}
}

// startRefused takes in that a VM did not start a run, and never will.
func (sta *State) startRefused(hos *host, hel *placement, res worker.Result) {
	stg, name := hel.stage, hel.task
	switch res {
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has answered a higher term")
		return
	case worker.ResultOtherIncarnation:
		sta.removeHost(hos, "another life answers at its address")
	default:
		sta.release(hos, hel)
	}
	switch res {
	case worker.ResultNoRoom, worker.ResultLate:
		hos.quarantinedUntil = sta.now.Add(startRetry)
		hos.nextPoll, hos.reportDue = sta.now, true
	case worker.ResultUnhealthy:
		hos.quarantinedUntil = sta.now.Add(unhealthyPause)
	case worker.ResultNoTicket:
		if stg != nil {
			// The VM may not have been asked about, or the ticket has expired.
			delete(stg.advice.tickets, hos.vm.ID)
		}
	}
	if stg != nil && name.Index < len(stg.tasks) {
		stg.tasks[name.Index].notBefore = sta.now.Add(startRetry)
	}
}
