package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// accept takes in a job that is stored.
func (sta *State) accept(evt JobAccepted) {
	id := evt.Spec.ID
	if _, ended := sta.ended.get(id); ended || sta.jobs[id] != nil {
		return
	}
	liv := &liveJob{
		spec: evt.Spec, revision: evt.Revision, occsLeft: evt.Spec.OccurrenceCount(),
		progressRev: evt.ProgressRevision, work: evt.Spec.Work(),
		restored: evt.Revision <= sta.opt.Revision,
	}
	sta.jobs[id] = liv
	sta.jobList = append(sta.jobList, liv)
	sta.setDeadline(liv)
	if !evt.Spec.Due(0).After(sta.now) {
		sta.openOccurrence(liv)
	}
	for _, rec := range evt.Progress.Tasks {
		sta.restore(liv, rec)
	}
	sta.arrive(liv)
	sta.countAllowance(liv)
	sta.logDecision("job_taken", id, map[string]any{"queue": evt.Spec.Queue, "account": evt.Spec.Account, "excess": liv.excess, "revision": evt.Revision, "age_ms": sta.now.Sub(evt.Spec.Accepted).Milliseconds()})
}

// countAllowance counts a job against what its account is entitled to.
func (sta *State) countAllowance(liv *liveJob) {
	acc := sta.catalog.Account(liv.spec.Account)
	if acc == nil || liv.spec.IsLongRunning() || liv.restored {
		return
	}
	buc, within := sta.allowances[acc.Name].WithJob(sta.now, acc.Weight, sta.opt.ShareWindow)
	sta.allowances[acc.Name] = buc
	liv.excess = !within
}

// setDeadline works out the latency objective: the queue's slack times the
// longest chain of steps, and its target.
func (sta *State) setDeadline(liv *liveJob) {
	objective := sta.chain(liv.spec, nil)
	if que := sta.catalog.Queue(liv.spec.Queue); que != nil {
		objective = que.Objective(objective)
	}
	liv.deadline = liv.spec.Accepted.Add(objective)
}

// chain returns the longest chain of those steps that count, by what was learned
// of the queue's estimates.
func (sta *State) chain(spe job.Spec, counts func(step int) bool) time.Duration {
	factor := sta.runtimeRatios[spe.Queue].factor()
	return spe.CriticalPath(counts, func(ste job.Step) time.Duration {
		return time.Duration(float64(ste.Estimate)*factor) + sta.adviceTime(spe.Queue)
	})
}

// openOccurrence makes the next occurrence's tasks.
func (sta *State) openOccurrence(liv *liveJob) {
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
}

// dueOccurrences opens occurrences whose time has come.
func (sta *State) dueOccurrences() {
	for _, liv := range sta.jobList {
		for !liv.cancelled && liv.final == "" && len(liv.occs) < liv.spec.OccurrenceCount() && !liv.spec.Due(len(liv.occs)).After(sta.now) {
			sta.openOccurrence(liv)
		}
	}
}

// restore takes in what a former dispatcher stored of a task.
func (sta *State) restore(liv *liveJob, rec job.TaskRecord) {
	if rec.Occurrence >= liv.spec.OccurrenceCount() || rec.Step >= len(liv.spec.Steps) || rec.Index >= liv.spec.Steps[rec.Step].Count {
		sta.logDecision("progress_ignored", liv.spec.ID, map[string]any{"occurrence": rec.Occurrence, "step": rec.Step, "index": rec.Index})
		return
	}
	for len(liv.occs) <= rec.Occurrence {
		sta.openOccurrence(liv)
	}
	liv.begun = true
	stg := &liv.occs[rec.Occurrence].stages[rec.Step]
	tas := &stg.tasks[rec.Index]
	tas.failedRuns = rec.FailedRuns
	tas.checkpoint, tas.run = rec.Checkpoint, max(tas.run, rec.Run)
	if rec.Done && tas.phase != phaseDone {
		sta.markDone(stg, rec.Index)
	}
}

// stageOf returns the stage of a task, or nil if the job isn't live.
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

// markDone counts a task as done and opens what waits for it.
func (sta *State) markDone(stg *stage, index int) {
	tas := &stg.tasks[index]
	if tas.phase == phaseDone {
		return
	}
	if tas.phase == phaseWaiting {
		stg.waiting--
	}
	tas.phase, tas.host = phaseDone, nil
	stg.left--
	if stg.left > 0 {
		return
	}
	occ := stg.liveJob.occs[stg.occ]
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
			sta.finish(stg.liveJob, job.StateCompleted)
		}
	}
}

// finish decides the state in which a job ends.
func (sta *State) finish(liv *liveJob, state job.State) {
	if liv.final != "" {
		return
	}
	liv.final = state
	sta.touch(liv)
	sta.logDecision("job_ended", liv.spec.ID, map[string]any{
		"state": state, "queue": liv.spec.Queue, "age_ms": sta.now.Sub(liv.spec.Accepted).Milliseconds(),
		"late_ms": sta.now.Sub(liv.deadline).Milliseconds(),
	})
	sta.stopAll(liv)
}

// cancel stops a job.
func (sta *State) cancel(id job.ID) {
	liv := sta.jobs[id]
	if liv == nil || liv.cancelled || liv.final != "" {
		return
	}
	liv.cancelled = true
	sta.finish(liv, job.StateCancelled)
}

// stopAll stops all runs of a job.
func (sta *State) stopAll(liv *liveJob) {
	for _, occ := range liv.occs {
		for i := range occ.stages {
			stg := &occ.stages[i]
			for j := range stg.tasks {
				if hos := stg.tasks[j].host; hos != nil {
					sta.stop(hos.runs[stg.task(j)])
				}
			}
		}
	}
}

// touch notes that a job has something to store.
func (sta *State) touch(liv *liveJob) {
	if liv.dirtySince.IsZero() {
		liv.dirtySince = sta.now
	}
}

// endRun takes in the end of a run that the VM listed.
func (sta *State) endRun(hos *host, end worker.End) {
	hel := hos.runs[end.Task]
	started := time.Time{}
	if hel != nil && hel.run == end.Run {
		started = hel.since
		sta.release(hos, hel)
	}
	stg := sta.stageOf(end.Task)
	if stg == nil {
		sta.markAckable(hos, end.Number)
		return
	}
	if stg.liveJob.final != "" {
		sta.store(stg.liveJob, hos, end.Number)
		return
	}
	stg.liveJob.begun = true
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
		// A VM that came back lists ends again that may not be stored yet.
		sta.store(stg.liveJob, hos, end.Number)
		return
	case tas.phase == phaseDone:
		sta.markAckable(hos, end.Number)
		return
	}
	switch end.Kind {
	case worker.EndDone:
		sta.learn(stg, started)
		hos.failures = 0
		sta.store(stg.liveJob, hos, end.Number)
		sta.endOthers(stg, end.Task)
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

// store notes that an end is acknowledged once the job's record is stored.
func (sta *State) store(liv *liveJob, hos *host, number int64) {
	liv.acks = append(liv.acks, ack{hos, number})
	sta.touch(liv)
}

// taskFailed counts a run that failed, and fails the job at the last attempt.
func (sta *State) taskFailed(stg *stage, hos *host, end worker.End) {
	tas := &stg.tasks[end.Task.Index]
	// A former dispatcher may have counted the run and not acknowledged its end.
	if !slices.Contains(tas.failedRuns, end.Run) {
		tas.failedRuns = append(slices.Clip(tas.failedRuns), end.Run)
		sta.suspect(hos)
	}
	sta.store(stg.liveJob, hos, end.Number)
	attempts := 1
	if que := sta.catalog.Queue(stg.liveJob.spec.Queue); que != nil {
		attempts = que.MaxAttempts
	}
	sta.logDecision("task_failed", end.Task.Job, map[string]any{"task": end.Task.String(), "run": end.Run, "vm": hos.vm.ID, "failed": len(tas.failedRuns), "attempts": attempts})
	if len(tas.failedRuns) >= attempts {
		sta.finish(stg.liveJob, job.StateFailed)
	}
}

// Quarantine of VMs that fail tasks.
const (
	// maxFailures is how many runs in a row may fail on a VM before it gets no
	// new tasks for a while.
	maxFailures = 3
	// quarantineTime is the first pause; it doubles with each further failure.
	quarantineTime = 500 * time.Millisecond
	// maxQuarantine bounds the pause.
	maxQuarantine = 8 * time.Second
)

// suspect counts a failure against a VM.
func (sta *State) suspect(hos *host) {
	hos.failures++
	if hos.failures < maxFailures {
		return
	}
	pause := min(maxQuarantine, quarantineTime<<min(hos.failures-maxFailures, 5))
	hos.quarantinedUntil = sta.now.Add(pause)
	sta.logDecision("vm_quarantined", "", map[string]any{"vm": hos.vm.ID, "failures": hos.failures, "pause_ms": pause.Milliseconds()})
}

// learn compares a run's time with the estimate.
func (sta *State) learn(stg *stage, started time.Time) {
	if started.IsZero() || stg.step.Estimate <= 0 || stg.step.Checkpointing {
		return
	}
	queue := stg.liveJob.spec.Queue
	rat := sta.runtimeRatios[queue]
	if rat == nil {
		rat = &runtimeRatio{}
		sta.runtimeRatios[queue] = rat
	}
	rat.add(sta.now.Sub(started).Seconds() / stg.step.Estimate.Seconds())
}

// endOthers stops other copies of a task that is done.
func (sta *State) endOthers(stg *stage, tas job.Task) {
	if hos := stg.tasks[tas.Index].host; hos != nil {
		sta.stop(hos.runs[tas])
	}
}

// endGang ends a whole gang as its member did: one end that is done stands for
// all; any other one ends all.
func (sta *State) endGang(stg *stage, end worker.End) {
	for i := range stg.tasks {
		if end.Kind == worker.EndDone {
			sta.markDone(stg, i)
			continue
		}
		if hos := stg.tasks[i].host; hos != nil {
			name := end.Task
			name.Index = i
			sta.stop(hos.runs[name])
		}
	}
}
