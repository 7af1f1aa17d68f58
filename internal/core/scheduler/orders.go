package scheduler

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/settle"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Delays of orders to VMs.
const (
	// startRetryDelay is how long a task waits after its start was refused.
	startRetryDelay = 150 * time.Millisecond
	// stopRetryInterval is the time between two stops of a run that is not over.
	stopRetryInterval = 500 * time.Millisecond
	// unhealthyPause is how long no tasks start on a VM that refused one as
	// unhealthy.
	unhealthyPause = time.Second
)

// stopReason is why a run is stopped, as it is logged.
type stopReason string

// Reasons for the stop of a run.
const (
	// stopJobEnded means that the job has ended, stopTaskDone that another run of the
	// task is done.
	stopJobEnded stopReason = "job_ended"
	stopTaskDone stopReason = "task_done"
	// stopGangBroken means that other members of the gang don't run.
	stopGangBroken stopReason = "gang_broken"
	// stopRelocated means that the task moves off a machine that is due for upkeep.
	stopRelocated stopReason = "relocated"
	// stopUnwanted means that the run was reported, and its task doesn't wait for one.
	stopUnwanted stopReason = "unwanted"
	// stopUnanswered means that the start got no answer, and the VM doesn't list the
	// run. stopLateStart means that the start was meant for a former VM with the ID.
	stopUnanswered stopReason = "unanswered_start"
	stopLateStart  stopReason = "late_start"
)

// stop marks a run to be stopped. The run takes up capacity until the VM reports
// its end, or has accepted the stop and no longer lists the run.
func (sta *State) stop(hos *host, pla *placement, reason stopReason) {
	if pla == nil || pla.ending() {
		return
	}
	if stg := pla.stage; stg != nil && stg.step.LongRunning && stg.liveJob.final == "" {
		sta.logDecision("serving_run_stopped", pla.task.Job, map[string]any{
			"task": pla.task.String(), "run": pla.run, "vm": hos.vm.ID, "reason": reason, "run_state": pla.state.String(), "working": pla.working(), "repeats": pla.repeats,
			"unavailable": stg.countUnavailableBeside(pla.task.Index), "may_be": stg.step.MaxUnavailable,
		})
	}
	pla.state, pla.since, pla.stopSent, pla.stopReason = runStopping, sta.now, time.Time{}, reason
	sta.hasStops = true
}

// sendStops sends the stops that are due.
func (sta *State) sendStops() {
	if !sta.hasStops {
		return
	}
	sta.hasStops = false
	for _, hos := range sta.hostList {
		for _, pla := range hos.runList {
			if !pla.ending() {
				continue
			}
			sta.hasStops = true
			due := pla.state == runStopping || pla.state == runStopAccepted && sta.now.Sub(pla.since) > stopRetryInterval+sta.opt.StopTime
			if !due || pla.stopInFlight || sta.now.Sub(pla.stopSent) < stopRetryInterval {
				continue
			}
			if sta.withdrawBeyondBudget(hos, pla) {
				continue
			}
			pla.stopSent, pla.stopInFlight = sta.now, true
			sta.emit(Stop{VM: hos.vm, Token: hos.token, Task: pla.task, Run: pla.run})
		}
	}
}

// stopAnswered handles the answer to a stop. The VM now rejects the run if its
// start arrives later; if the run is active, it ends and is reported.
func (sta *State) stopAnswered(hos *host, evt StopAnswered) {
	pla := hos.runs[evt.Task]
	if pla == nil || pla.run != evt.Run {
		return
	}
	pla.stopInFlight = false
	switch evt.Result {
	case worker.ResultOK, worker.ResultOldRun:
		if pla.state == runStopping {
			pla.state, pla.since = runStopAccepted, sta.now
			hos.nextPoll = sta.now
		}
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has accepted a higher term")
	case worker.ResultOtherIncarnation:
		sta.removeHost(hos, reasonOtherVM)
	}
}

// startAnswered handles the answer to a start.
func (sta *State) startAnswered(hos *host, evt StartAnswered) {
	if evt.Result == worker.ResultOK {
		// A list of machines that was requested before shows a former incarnation.
		hos.acceptedAt, hos.listedGone = sta.now, false
	}
	pla := hos.runs[evt.Task]
	if pla == nil || pla.run != evt.Run || pla.state != runOrdered {
		sta.staleStartAnswered(hos, evt)
		return
	}
	if evt.Result != worker.ResultUnknown && !evt.Unanswered {
		sta.starts.answered(sta.now.Sub(pla.since) - evt.RecordTime)
	}
	switch evt.Result {
	case worker.ResultOK:
		pla.setState(runRunning, sta.now)
	case worker.ResultUnknown:
		pla.state, pla.since = runUnknown, sta.now
		hos.nextPoll = sta.now
	case worker.ResultOldRun:
		// An earlier start of the run was carried out late, and its end is about to be
		// reported.
		pla.state, pla.since, pla.rejected = runUnknown, sta.now, true
		hos.nextPoll = sta.now
	default:
		sta.startRefused(hos, pla, evt.Result)
	}
	if evt.Result != worker.ResultOK {
		sta.logDecision("start_refused", evt.Task.Job, map[string]any{"task": evt.Task.String(), "run": evt.Run, "vm": hos.vm.ID, "result": evt.Result.String()})
	}
}

// startSettled handles that no try of a start may arrive any more.
func (sta *State) startSettled(evt StartSettled) {
	accepted := evt.Result == worker.ResultOK
	sta.lateStarts.AnswerAll(evt.VM.ID, latestart.Run{Task: evt.Task, Number: evt.Run}, accepted)
	if hos := sta.answeringHost(evt.VM, evt.Token); hos != nil && accepted {
		hos.acceptedAt, hos.listedGone = sta.now, false
	}
}

// staleStartAnswered handles the answer to a start whose run has since been
// stopped, reported or ended.
func (sta *State) staleStartAnswered(hos *host, evt StartAnswered) {
	switch evt.Result {
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has accepted a higher term")
	case worker.ResultOtherIncarnation:
		sta.removeHost(hos, reasonOtherVM)
	}
}

// startRefused handles that a VM refused a start: it did not start the run, and will
// do so later only if an earlier start of the run is still without an answer.
func (sta *State) startRefused(hos *host, pla *placement, res worker.Result) {
	stg, name := pla.stage, pla.task
	switch res {
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has accepted a higher term")
		return
	case worker.ResultOtherIncarnation:
		sta.removeHost(hos, reasonOtherVM)
	default:
		if !sta.lateStarts.MayArrive(hos.vm.ID, latestart.Run{Task: name, Number: pla.run}, sta.now) {
			sta.release(hos, pla)
			break
		}
		pla.state, pla.since, pla.repeats = runUnknown, sta.now, settle.MaxRepeatsBeyondBudget
		hos.nextPoll = sta.now
	}
	switch res {
	case worker.ResultNoRoom, worker.ResultLate:
		hos.quarantinedUntil = sta.now.Add(startRetryDelay)
		hos.nextPoll, hos.reportDue = sta.now, true
	case worker.ResultUnhealthy:
		hos.quarantinedUntil = sta.now.Add(unhealthyPause)
	case worker.ResultNoTicket:
		if stg != nil {
			// The ticket has expired, or the VM was not part of the query.
			delete(stg.advice.tickets, hos.vm.ID)
		}
	}
	if stg != nil && name.Index < len(stg.tasks) {
		stg.tasks[name.Index].notBefore = sta.now.Add(startRetryDelay)
	}
}
