package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/blame"
	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/progress"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// accept adds a stored job.
func (sta *State) accept(evt JobAccepted) {
	id := evt.Spec.ID
	if _, ended := sta.ended.Get(id); ended || sta.jobs[id] != nil {
		return
	}
	liv := &liveJob{
		spec: evt.Spec, revision: evt.Revision, occsLeft: evt.Spec.OccurrenceCount(),
		record: progress.New(evt.Spec, evt.ProgressRevision), work: evt.Spec.Work(),
		restored: evt.Revision <= sta.opt.Revision,
		queue:    catalog.RecordedQueue(evt.Spec),
	}
	liv.queueKey = liv.queue.Key()
	sta.jobs[id] = liv
	sta.jobList = append(sta.jobList, liv)
	sta.setDeadline(liv)
	sta.adviceNeeded = sta.adviceNeeded || sta.needsAdvice(liv)
	if !evt.Spec.Due(0).After(sta.now) {
		sta.openOccurrence(liv)
	}
	for _, rec := range evt.Progress.Tasks {
		sta.restoreTask(liv, rec)
	}
	sta.countArrival(liv)
	sta.chargeAllowance(liv)
	sta.logDecision("job_taken", id, map[string]any{"queue": evt.Spec.Queue, "account": evt.Spec.Account, "excess": liv.excess, "revision": evt.Revision, "age_ms": sta.now.Sub(evt.Spec.Accepted).Milliseconds(), "restored": liv.restored, "records": len(evt.Progress.Tasks)})
}

// chargeAllowance charges a job to its account's allowance.
func (sta *State) chargeAllowance(liv *liveJob) {
	acc := sta.catalog.Account(liv.spec.Account)
	if acc == nil || liv.spec.IsLongRunning() || liv.restored {
		return
	}
	buc, within := sta.allowances[acc.Name].WithJob(sta.now, acc.JobRate, sta.opt.ShareWindow)
	sta.allowances[acc.Name] = buc
	liv.excess = !within
}

// setDeadline sets the deadline by the queue's latency objective: its slack
// factor times the critical path, plus its target.
func (sta *State) setDeadline(liv *liveJob) {
	liv.deadline = liv.spec.Accepted.Add(sta.queueOf(liv).Objective(sta.criticalPath(liv, nil)))
}

// criticalPath returns the duration of the longest chain of dependent steps
// among those that count. Estimates are scaled by the queue's run-time ratio.
func (sta *State) criticalPath(liv *liveJob, counts func(step int) bool) time.Duration {
	factor, latency := sta.runTimeFactor(liv), sta.advisorLatency(liv)
	return liv.spec.CriticalPath(counts, func(ste job.Step) time.Duration {
		return time.Duration(float64(ste.Estimate)*factor) + latency
	})
}

// openOccurrence creates the tasks of the job's next occurrence.
func (sta *State) openOccurrence(liv *liveJob) *occurrence {
	occ := &occurrence{stages: make([]stage, len(liv.spec.Steps)), left: len(liv.spec.Steps)}
	for i := range liv.spec.Steps {
		ste := &liv.spec.Steps[i]
		occ.stages[i] = stage{
			liveJob: liv, occ: len(liv.occs), index: i, step: ste, tasks: make([]task, ste.Count),
			blockers: len(ste.After), waiting: ste.Count, left: ste.Count,
		}
		for j := range occ.stages[i].tasks {
			occ.stages[i].tasks[j].run = int(sta.opt.Term-1) * runsPerTerm
		}
	}
	liv.occs = append(liv.occs, occ)
	return occ
}

// openDueOccurrences opens the occurrences that have become due.
func (sta *State) openDueOccurrences() {
	for _, liv := range sta.jobList {
		for !liv.cancelled && liv.final == "" && len(liv.occs) < liv.spec.OccurrenceCount() && !liv.spec.Due(len(liv.occs)).After(sta.now) {
			sta.openOccurrence(liv)
		}
	}
}

// restoreTask applies a task record that a former dispatcher stored.
func (sta *State) restoreTask(liv *liveJob, rec job.TaskRecord) {
	if min(rec.Occurrence, rec.Step, rec.Index) < 0 || rec.Occurrence >= liv.spec.OccurrenceCount() || rec.Step >= len(liv.spec.Steps) || rec.Index >= liv.spec.Steps[rec.Step].Count {
		sta.logDecision("progress_ignored", liv.spec.ID, map[string]any{"occurrence": rec.Occurrence, "step": rec.Step, "index": rec.Index})
		return
	}
	sta.openOccurrences(liv, rec.Occurrence)
	liv.begun = true
	stg := &liv.occs[rec.Occurrence].stages[rec.Step]
	tas := &stg.tasks[rec.Index]
	tas.failedRuns, tas.blamed = rec.FailedRuns, blame.Restored(rec.Crashes, rec.Evidence)
	stg.crashed = stg.crashed || tas.blamed.Crashes > 0
	tas.checkpoint, tas.run = rec.Checkpoint, max(tas.run, rec.Run)
	if rec.Done && tas.phase != phaseDone {
		sta.markDone(stg, rec.Index)
	}
}

// stageOf returns the stage of a task, or nil if the job is not live or has no
// such task.
func (sta *State) stageOf(tas job.Task) *stage {
	liv := sta.jobs[tas.Job]
	if liv == nil {
		return nil
	}
	if tas.Occurrence >= len(liv.occs) {
		return nil
	}
	occ := liv.occs[tas.Occurrence]
	if tas.Step >= len(occ.stages) || tas.Index >= len(occ.stages[tas.Step].tasks) {
		return nil
	}
	return &occ.stages[tas.Step]
}

// openOccurrences opens a job's occurrences up to one of which a former dispatcher has
// started tasks. If its clock was ahead, the occurrence is not due yet: it is opened, as
// its runs and their records count, and its other tasks wait until it is due.
func (sta *State) openOccurrences(liv *liveJob, last int) {
	for len(liv.occs) <= last {
		due := liv.spec.Due(len(liv.occs))
		for _, stg := range sta.openOccurrence(liv).stages {
			for i := range stg.tasks {
				stg.tasks[i].notBefore = due
			}
		}
	}
}

// stageOfRun returns the stage of a task of which a VM reports a run, or nil if
// the job is not live or has no such task.
func (sta *State) stageOfRun(tas job.Task) *stage {
	if liv := sta.jobs[tas.Job]; liv != nil && liv.final == "" && tas.Occurrence < liv.spec.OccurrenceCount() {
		sta.openOccurrences(liv, tas.Occurrence)
	}
	return sta.stageOf(tas)
}

// markDone marks a task as done and unblocks the stages that depend on it.
func (sta *State) markDone(stg *stage, index int) {
	tas := &stg.tasks[index]
	if tas.phase == phaseDone {
		return
	}
	if tas.phase == phaseWaiting {
		stg.waiting--
	}
	occ := stg.liveJob.occs[stg.occ]
	tas.phase, tas.host = phaseDone, nil
	stg.left--
	occ.rest = nil
	if stg.left > 0 {
		return
	}
	occ.left--
	for i := range occ.stages {
		for _, dep := range occ.stages[i].step.After {
			if dep == stg.index {
				occ.stages[i].blockers--
			}
		}
	}
	if occ.left == 0 {
		stg.liveJob.occsLeft--
		if stg.liveJob.occsLeft == 0 {
			sta.finish(stg.liveJob, job.StateCompleted, reasonTasksDone)
		}
	}
}

// endReason is why a job ended, as it is logged.
type endReason string

// Reasons for the end of a job.
const (
	reasonTasksDone endReason = "tasks_done"
	reasonCancelled endReason = "cancelled"
	// reasonAttempts means that a task failed as often as its queue allows.
	reasonAttempts endReason = "attempts"
	// reasonCrashes means that a task has crashed too many VMs.
	reasonCrashes endReason = "crashes"
)

// finish sets the state in which a job ends, and stops its runs.
func (sta *State) finish(liv *liveJob, state job.State, reason endReason) {
	if liv.final != "" {
		return
	}
	liv.final, liv.dirtySince = state, sta.now
	sta.logDecision("job_ended", liv.spec.ID, map[string]any{
		"state": state, "reason": reason, "queue": liv.spec.Queue, "age_ms": sta.now.Sub(liv.spec.Accepted).Milliseconds(),
		"late_ms": sta.now.Sub(liv.deadline).Milliseconds(),
	})
	sta.stopRuns(liv)
}

// cancel ends a job as cancelled, also if it has ended otherwise: while its outcome
// is not stored, the cancellation was acknowledged first.
func (sta *State) cancel(id job.ID) {
	liv := sta.jobs[id]
	if liv == nil || liv.cancelled {
		return
	}
	liv.cancelled = true
	if liv.final != "" {
		sta.logDecision("end_overruled", id, map[string]any{"state": liv.final})
		liv.final = ""
	}
	sta.finish(liv, job.StateCancelled, reasonCancelled)
}

// stopRuns stops all runs of a job.
func (sta *State) stopRuns(liv *liveJob) {
	for _, occ := range liv.occs {
		for i := range occ.stages {
			stg := &occ.stages[i]
			for j := range stg.tasks {
				if hos := stg.tasks[j].host; hos != nil {
					sta.stop(hos, hos.runs[stg.task(j)], stopJobEnded)
				}
			}
		}
	}
}

// markDirty records that a job has unstored changes.
func (sta *State) markDirty(liv *liveJob) {
	if liv.dirtySince.IsZero() {
		liv.dirtySince = sta.now
	}
}

// runEnded handles the end of a run that a VM reports.
func (sta *State) runEnded(hos *host, end worker.End) {
	pla := hos.runs[end.Task]
	started := time.Time{}
	sta.lateStarts.List(hos.vm.ID, latestart.Run{Task: end.Task, Number: end.Run})
	sta.holdEnd(hos, end)
	if pla != nil && pla.run == end.Run {
		started = pla.since
		sta.release(hos, pla)
	}
	stg := sta.stageOfRun(end.Task)
	if stg == nil {
		sta.markAckable(hos, end.Number)
		return
	}
	if stg.liveJob.final != "" {
		sta.ackOnceStored(stg.liveJob, hos, end.Number)
		return
	}
	stg.liveJob.begun = true
	sta.supersedeFormer(stg, end.Task, end.Run)
	tas := &stg.tasks[end.Task.Index]
	tas.run = max(tas.run, end.Run)
	if end.Checkpoint != "" {
		tas.checkpoint = end.Checkpoint
	}
	switch {
	case stg.step.LongRunning:
		sta.logDecision("lasting_task_ended", end.Task.Job, map[string]any{"task": end.Task.String(), "run": end.Run, "vm": hos.vm.ID, "kind": end.Kind})
		sta.markAckable(hos, end.Number)
		return
	case tas.phase == phaseDone && end.Kind == worker.EndDone:
		// A VM that was unreachable reports ends again that may not be stored yet.
		sta.ackOnceStored(stg.liveJob, hos, end.Number)
		return
	case tas.phase == phaseDone:
		sta.markAckable(hos, end.Number)
		return
	}
	switch end.Kind {
	case worker.EndDone:
		sta.updateRuntimeRatio(stg, started)
		hos.failures = 0
		sta.ackOnceStored(stg.liveJob, hos, end.Number)
		sta.stopOtherRun(stg, end.Task)
		sta.markDone(stg, end.Task.Index)
	case worker.EndFailed:
		sta.taskFailed(stg, hos, end)
	default:
		sta.markAckable(hos, end.Number)
	}
	if stg.step.Gang {
		sta.endGang(stg, end)
	}
}

// ackOnceStored acknowledges an end once the job's record is stored.
func (sta *State) ackOnceStored(liv *liveJob, hos *host, number int64) {
	liv.acks = append(liv.acks, ack{hos, number})
	sta.markDirty(liv)
}

// taskFailed counts a failed run, and fails the job after the last attempt.
func (sta *State) taskFailed(stg *stage, hos *host, end worker.End) {
	tas := &stg.tasks[end.Task.Index]
	// A former dispatcher may have counted the run without acknowledging its
	// end.
	if !slices.Contains(tas.failedRuns, end.Run) {
		tas.failedRuns = append(slices.Clip(tas.failedRuns), end.Run)
		sta.countFailure(hos)
	}
	sta.ackOnceStored(stg.liveJob, hos, end.Number)
	// A queue that was removed before its job was recorded with this has no limit.
	attempts := sta.queueOf(stg.liveJob).MaxAttempts
	sta.logDecision("task_failed", end.Task.Job, map[string]any{"task": end.Task.String(), "run": end.Run, "vm": hos.vm.ID, "failed": len(tas.failedRuns), "attempts": attempts})
	if attempts > 0 && len(tas.failedRuns) >= attempts {
		sta.finish(stg.liveJob, job.StateFailed, reasonAttempts)
	}
}

// Quarantine of VMs on which tasks fail.
const (
	// maxFailures is the number of consecutive failed runs after which a VM is
	// quarantined.
	maxFailures = 3
	// minQuarantine is the time of the first quarantine. It doubles with each
	// further failure.
	minQuarantine = 500 * time.Millisecond
	// maxQuarantine bounds the time of a quarantine.
	maxQuarantine = 8 * time.Second
)

// countFailure counts a failed run against its VM. The VM gets no new tasks for a
// moment, so that the next attempt is made on another one if there is room.
func (sta *State) countFailure(hos *host) {
	hos.failures++
	if hos.failures < maxFailures {
		hos.quarantinedUntil = sta.now.Add(startRetryDelay)
		return
	}
	pause := min(maxQuarantine, minQuarantine<<min(hos.failures-maxFailures, 5))
	hos.quarantinedUntil = sta.now.Add(pause)
	sta.logDecision("vm_quarantined", "", map[string]any{"vm": hos.vm.ID, "failures": hos.failures, "pause_ms": pause.Milliseconds()})
}

// updateRuntimeRatio adds a run's time to the run-time ratio of its queue.
func (sta *State) updateRuntimeRatio(stg *stage, started time.Time) {
	if started.IsZero() || stg.step.Estimate <= 0 || stg.step.Checkpointing {
		return
	}
	sta.runtimeRatios.Add(sta.queueKeyOf(stg.liveJob), sta.now.Sub(started).Seconds()/stg.step.Estimate.Seconds())
}

// stopOtherRun stops the run of a task that was done by another run.
func (sta *State) stopOtherRun(stg *stage, tas job.Task) {
	if hos := stg.tasks[tas.Index].host; hos != nil {
		sta.stop(hos, hos.runs[tas], stopTaskDone)
	}
}

// endGang handles the end of one member of a gang: if it is done, so is the whole
// gang; otherwise the other members of its run are stopped. A later run goes on, unless the
// gang is done: the end of a former run may be reported again, or late by a VM that was
// cut off.
func (sta *State) endGang(stg *stage, end worker.End) {
	for i := range stg.tasks {
		if hos := stg.tasks[i].host; hos != nil {
			pla, done := hos.runs[stg.task(i)], end.Kind == worker.EndDone
			switch later := pla.run > end.Run; {
			case done && later:
				sta.stop(hos, pla, stopTaskDone)
			case !done && !later:
				sta.stop(hos, pla, stopGangBroken)
			}
		}
		if end.Kind == worker.EndDone {
			sta.markDone(stg, i)
		}
	}
}
