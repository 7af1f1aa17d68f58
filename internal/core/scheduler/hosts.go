package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/pace"
	"github.com/balsamgauge/balsamgauge/internal/core/vmclock"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Parameters of polls and leases.
const (
	// pollWait is how long a VM with active runs waits for an end before it
	// answers a poll.
	pollWait = 800 * time.Millisecond
	// mixedPollWait replaces pollWait on VMs where serving and best-effort tasks
	// share CPUs: the platform measures tail latencies over half a second.
	mixedPollWait = 400 * time.Millisecond
	// suspectPollWait replaces pollWait on VMs with suspects: whether the VM outlives
	// their start is what they are tried for.
	suspectPollWait = 100 * time.Millisecond
	// pollSlack is how much longer than its wait a poll may take, and
	// maxPollSlack the limit to which it doubles with each failed poll: the VM
	// may be slow to reach rather than silent.
	pollSlack    = 700 * time.Millisecond
	maxPollSlack = 2800 * time.Millisecond
	// minPollInterval is the minimum time between two polls of a VM.
	minPollInterval = 30 * time.Millisecond
	// pollIntervalAfterEnd replaces minPollInterval after a report with ends. A
	// VM with unacknowledged ends answers polls immediately, and each poll is
	// billed.
	pollIntervalAfterEnd = 110 * time.Millisecond
	// idleAckDelay is how long the last ends of an idle VM wait for their
	// acknowledgement.
	idleAckDelay = 700 * time.Millisecond
	// pollRetryInterval is the time between two polls of a VM that does not
	// answer.
	pollRetryInterval = 250 * time.Millisecond
	// silentAfterPolls is the number of failed polls after which the list of
	// machines is requested, to learn whether the VM still exists.
	silentAfterPolls = 2
	// maxVMWatchGap is the longest time between two answers to the watch of
	// registrations during which the store counts as up.
	maxVMWatchGap = time.Second
)

// lossReason is why a VM counts as lost, as it is logged.
type lossReason string

// Reasons for the loss of a VM.
const (
	// reasonRestarted means that the VM has registered as another incarnation, and
	// reasonOtherIncarnation that its report shows that it is one. Starts for the former
	// incarnation may have reached it.
	reasonRestarted        lossReason = "restarted under the same ID"
	reasonOtherIncarnation lossReason = "the VM reported another start time"
	// reasonMachineGone means that the list of machines shows the VM as ended, and it does
	// not answer.
	reasonMachineGone lossReason = "its machine is down or not listed"
	// reasonUnlisted replaces it for a VM that has never answered this dispatcher.
	reasonUnlisted lossReason = "no listed machine runs this VM"
	reasonOrdered  lossReason = "the machine went down as ordered"
	reasonOtherVM  lossReason = "another VM answers at its address"
	reasonNotHeard lossReason = "not registered and not answering"
)

// endsRuns reports whether the runs that the VM accepted have ended with it, and none of
// them was accepted by another incarnation: an accepted start overrules a list of machines that was
// requested before, and a VM of another ID accepts none.
func (rea lossReason) endsRuns() bool {
	switch rea {
	case reasonMachineGone, reasonUnlisted, reasonOrdered, reasonOtherVM:
		return true
	}
	return false
}

// register applies a VM's registration.
func (sta *State) register(one worker.VM) {
	if old, ok := sta.lostVMs.Get(one.ID); ok && old.vm.SameIncarnation(one) {
		return
	}
	hos := sta.hosts[one.ID]
	if hos != nil && hos.vm.SameIncarnation(one) {
		if hos.vm.Leaving != one.Leaving {
			sta.logDecision("vm_leaving", "", map[string]any{"vm": one.ID, "leaving": one.Leaving})
		}
		sta.unindexHost(hos)
		hos.vm, hos.unregistered = one, false
		sta.seeFirst(hos)
		sta.indexHost(hos)
		return
	}
	inherited := sta.inheritedLease(hos, one)
	if hos != nil {
		sta.removeHost(hos, reasonRestarted)
	}
	leaseExpiry := vmclock.Latest(sta.now, sta.leases.OfFormer(sta.opt.Since), inherited)
	hos = &host{
		vm: one, runs: map[job.Task]*placement{}, ackable: map[int64]bool{}, heldEnds: map[int64]job.Task{}, leaseExpiry: leaseExpiry, nextPoll: sta.now, idleSince: sta.now, firstSeen: sta.now,
		pace: pace.NewControl(), longLeaseUntil: inherited, token: duty.Token(sta.opt.Term, sta.now.Sub(sta.opt.Since)),
	}
	sta.hosts[one.ID] = hos
	sta.indexHost(hos)
	sta.logDecision("vm_found", "", map[string]any{
		"vm": one.ID, "pool": one.Pool, "az": one.AZ, "started_ms_ago": sta.startedAgo(one).Milliseconds(),
		"lapse_ms": leaseExpiry.Sub(sta.now).Milliseconds(), "inherits": !inherited.IsZero(),
	})
	sta.rejectLateStarts(hos)
}

// rejectLateStarts has a new VM reject the starts that a former VM with its ID has not
// answered. Until it does, or until the runs of late starts would have ended, their
// tasks don't start elsewhere.
func (sta *State) rejectLateStarts(hos *host) {
	for _, run := range sta.lateStarts.Pending(hos.vm.ID, sta.now) {
		if sta.lateStarts.IsFormer(hos.vm.ID, run) {
			sta.reserveFormer(hos, run)
			continue
		}
		fields := map[string]any{"task": run.Task.String(), "run": run.Number, "vm": hos.vm.ID}
		stg := sta.stageOfRun(run.Task)
		if stg != nil && stg.tasks[run.Task.Index].host != nil {
			fields["active_on"] = stg.tasks[run.Task.Index].host.vm.ID
		}
		sta.logDecision("late_start_rejected", run.Task.Job, fields)
		// Beyond the step's budget, the first report tells whether the run has begun.
		if pla := sta.reserve(hos, stg, run.Task, run.Number, runUnknown); pla.mayEnd() {
			sta.stop(hos, pla, stopLateStart)
		}
	}
}

// formerLeasesMayHold reports whether leases granted by a former dispatcher
// may still be in force.
func (sta *State) formerLeasesMayHold() bool {
	return sta.now.Before(sta.leases.OfFormer(sta.opt.Since))
}

// maxNamedTasks bounds the tasks that a log entry names.
const maxNamedTasks = 8

// removeHost removes a VM that has ended, with all its runs.
func (sta *State) removeHost(hos *host, reason lossReason) {
	fields := map[string]any{
		"vm": hos.vm.ID, "runs": len(hos.runs), "unstored_ends": hos.lastEnd - hos.ackableUpTo, "reason": reason,
		"known_for_ms": sta.now.Sub(hos.firstSeen).Milliseconds(),
	}
	if pending := sta.lateStarts.Pending(hos.vm.ID, sta.now); len(pending) > 0 {
		fields["open_starts"], fields["open_tasks"] = len(pending), latestart.Names(pending[:min(maxNamedTasks, len(pending))])
	}
	if !sta.machines.asOf.IsZero() {
		fields["list_age_ms"] = sta.now.Sub(sta.machines.asOf).Milliseconds()
		fields["listed_as"] = sta.listedAs(hos.vm.ID)
	}
	sta.logDecision("vm_lost", "", fields)
	if !hos.goingDown && !hos.vm.Leaving {
		sta.countCrash(hos)
	}
	if reason.endsRuns() {
		sta.lateStarts.SettleAnswered(hos.vm.ID)
	}
	sta.lateStarts.Outlive(hos.vm.ID)
	for _, pla := range slices.Clone(hos.runList) {
		sta.release(hos, pla)
	}
	delete(sta.hosts, hos.vm.ID)
	sta.lostVMs.Put(sta.now, hos.vm.ID, lostVM{hos.vm, sta.now})
	sta.emit(Forget{VM: hos.vm})
	sta.unindexHost(hos)
}

// release removes a run that is over, or that never started. Its task waits again
// unless it is done.
func (sta *State) release(hos *host, pla *placement) {
	delete(hos.runs, pla.task)
	hos.runList = slices.DeleteFunc(hos.runList, func(oth *placement) bool { return oth == pla })
	hos.used = hos.used.Minus(pla.reserved)
	hos.idleSince = sta.now
	sta.usage[pla.account] = sta.usage[pla.account].Minus(pla.size)
	stg := pla.stage
	if stg == nil {
		sta.orphans--
		return
	}
	hos.setSuspect(pla, false)
	hos.addFinite(pla, -1)
	tas := &stg.tasks[pla.task.Index]
	if tas.host != hos {
		return
	}
	tas.host = nil
	if tas.phase == phasePlaced {
		tas.phase = phaseWaiting
		stg.waiting++
	}
}

// reserve records a run that may be active on a VM, and the capacity that
// it takes up.
func (sta *State) reserve(hos *host, stg *stage, name job.Task, run int, state runState) *placement {
	pla := &placement{task: name, run: run, state: state, since: sta.now, stage: stg, pace: pace.Full}
	if stg == nil {
		sta.orphans++
	} else {
		pla.reserved, pla.size, pla.account = stg.step.Reservation(), stg.step.Size, stg.liveJob.spec.Account
		tas := &stg.tasks[name.Index]
		tas.run = max(tas.run, run)
		hos.setSuspect(pla, tas.blamed.IsSuspect())
		hos.addFinite(pla, 1)
		if tas.phase == phaseWaiting {
			tas.phase, tas.host = phasePlaced, hos
			stg.waiting--
		}
	}
	pla.setState(state, sta.now)
	hos.runs[name] = pla
	hos.runList = append(hos.runList, pla)
	hos.used = hos.used.Plus(pla.reserved)
	sta.usage[pla.account] = sta.usage[pla.account].Plus(pla.size)
	return pla
}

// setState enters a state. A job has begun once a VM is known to run one of
// its tasks.
func (pla *placement) setState(state runState, now time.Time) {
	pla.state, pla.since = state, now
	if state == runRunning && pla.stage != nil {
		pla.stage.liveJob.begun = true
		tas := &pla.stage.tasks[pla.task.Index]
		tas.lostStarts, tas.lostOn = 0, ""
	}
}

// extendLease returns the end of a lease that begins now, on the VM's clock,
// and records when it is guaranteed to have expired.
func (sta *State) extendLease(hos *host) time.Duration {
	hos.leaseExpiry = vmclock.Latest(hos.leaseExpiry, sta.leases.Extend(hos.vm.ID, sta.now))
	return hos.clock.Deadline(sta.now, sta.opt.Lease)
}

// pollHosts polls the VMs that are due. Idle VMs are only polled to acknowledge
// their last ends, and to read their clocks before the last readings are too old.
//
// No VM is polled before all jobs are loaded: the runs of jobs not yet loaded
// would be stopped.
func (sta *State) pollHosts() {
	if !sta.jobsLoaded {
		return
	}
	for _, hos := range sta.hostList {
		if hos.pollInFlight || sta.now.Before(hos.nextPoll) || hos.isGone() {
			continue
		}
		sta.releaseHeldEnds(hos)
		idle := hos.termAccepted && hos.failedPolls == 0 && !hos.listedGone && len(hos.runs) == 0 && !hos.reportDue
		if idle && !hos.clock.IsOld(sta.now) && (!hos.ackDue || sta.now.Sub(hos.lastPoll) < idleAckDelay) {
			continue
		}
		sta.sendPoll(hos)
	}
}

// isGone reports whether the VM's machine has been ordered down and nothing that
// ran there is left to learn about. A list of machines shows whether the order had
// an effect.
func (hos *host) isGone() bool {
	return hos.goingDown && !hos.downAnsweredAt.IsZero() && len(hos.runs) == 0
}

// sendPoll polls a VM and acknowledges its ends.
func (sta *State) sendPoll(hos *host) {
	pol := Poll{VM: hos.vm, Token: hos.token, Slack: min(maxPollSlack, pollSlack<<min(hos.failedPolls, 4))}
	// A silent VM may still receive polls. If they extended its lease, its tasks
	// would have to wait longer to start elsewhere.
	if hos.termAccepted && hos.failedPolls == 0 {
		pol.Deadline = sta.extendLease(hos)
		if len(hos.runs) > 0 && !hos.hasUnresolvedRuns() {
			pol.Wait = pollWait
			if _, mixed := hos.tailRatio(); mixed {
				pol.Wait = mixedPollWait
			}
			if hos.suspects > 0 {
				pol.Wait = suspectPollWait
			}
		}
	}
	if last := hos.lastAckable(); last > hos.ackedUpTo {
		pol.Acked = last
	}
	hos.ackSent = pol.Acked
	hos.ackDue, hos.reportDue = false, false
	hos.pollInFlight, hos.lastPoll = true, sta.now
	sta.emit(pol)
}

// hasUnresolvedRuns reports whether it is unknown of some runs whether they are
// active on the VM. A poll that does not wait resolves them.
func (hos *host) hasUnresolvedRuns() bool {
	for _, pla := range hos.runList {
		if pla.state == runUnknown && !pla.waits || pla.state == runStopAccepted {
			return true
		}
	}
	return false
}

// pollAnswered handles a VM's answer to a poll.
func (sta *State) pollAnswered(hos *host, evt PollAnswered) {
	hos.pollInFlight = false
	hos.nextPoll = sta.now.Add(minPollInterval)
	if len(evt.Report.Ends) > 0 {
		hos.nextPoll = sta.now.Add(pollIntervalAfterEnd)
	}
	switch evt.Result {
	case worker.ResultOK:
		sta.applyReport(hos, evt)
	case worker.ResultFenced:
		sta.stepDown("VM " + hos.vm.ID + " has accepted a higher term")
	case worker.ResultOtherIncarnation:
		sta.removeHost(hos, reasonOtherVM)
	default:
		if hos.listedGone {
			sta.removeHost(hos, reasonMachineGone)
			return
		}
		if hos.failedPolls == 0 {
			hos.silentSince = sta.now
		}
		hos.failedPolls++
		hos.nextPoll = sta.now.Add(pollRetryInterval)
		if hos.failedPolls == silentAfterPolls {
			sta.logDecision("vm_silent", "", map[string]any{
				"vm": hos.vm.ID, "runs": len(hos.runs), "lapse_ms": hos.leaseExpiry.Sub(sta.now).Milliseconds(), "term_accepted": hos.termAccepted,
				"registered": !hos.unregistered, "started_ms_ago": sta.startedAgo(hos.vm).Milliseconds(), "inherits": sta.now.Before(hos.longLeaseUntil),
			})
		}
	}
}

// applyReport updates a host from a VM's report of its active and ended runs.
func (sta *State) applyReport(hos *host, evt PollAnswered) {
	if startedAtMS := evt.Report.StartedAtMS; startedAtMS != 0 {
		if hos.vm.StartedAtMS != 0 && startedAtMS != hos.vm.StartedAtMS {
			sta.replaceRestarted(hos, startedAtMS)
			return
		}
		hos.vm.StartedAtMS = startedAtMS
	}
	hos.failedPolls = 0
	hos.ackedUpTo = max(hos.ackedUpTo, hos.ackSent)
	if !hos.termAccepted {
		sta.boundLease(hos, evt.Report.Clock)
	}
	hos.endsLeftOut = !evt.Report.ListsAllEnds() && (hos.endsLeftOut || !hos.termAccepted && sta.opt.Term > 1)
	if !hos.termAccepted {
		sta.lateStarts.Meet(hos.vm.ID, hos.vm.StartedAtMS)
	}
	hos.termAccepted, hos.listedGone = true, false
	hos.clock = vmclock.NewReading(evt.Report.Clock, sta.now)
	if len(evt.Report.Ends) > 0 {
		hos.markAcknowledgedBefore(evt.Report.Ends[0].Number)
	}
	for _, end := range evt.Report.Ends {
		if end.Number > hos.lastEnd {
			hos.lastEnd = end.Number
			sta.runEnded(hos, end)
		}
	}
	listed := make(map[job.Task]bool, len(evt.Report.Running))
	for _, row := range evt.Report.Running {
		listed[row.Task] = true
		sta.applyRunning(hos, row)
	}
	for _, pla := range slices.Clone(hos.runList) {
		// A run that is missing may have ended if ends are left out.
		if !listed[pla.task] && evt.Report.ListsAllEnds() {
			sta.applyMissing(hos, pla, evt.Sent)
		}
	}
	if evt.Report.ListsAllEnds() {
		sta.lateStarts.Observe(hos.vm.ID, evt.Sent)
	}
	sta.controlPace(hos)
	sta.clearSuspects(hos)
}

// replaceRestarted replaces the record of a VM whose report shows that it has
// restarted under the same ID. The new incarnation may already run tasks, which
// were ordered before the restart was known, and gets more of these orders until it has
// accepted its own token: the next report shows them.
func (sta *State) replaceRestarted(old *host, startedAtMS int64) {
	one := old.vm
	one.StartedAtMS = startedAtMS
	sta.removeHost(old, reasonOtherIncarnation)
	sta.register(one)
}

// applyRunning updates the record of a run that a VM reports as active.
func (sta *State) applyRunning(hos *host, row worker.Running) {
	pla := hos.runs[row.Task]
	stg := sta.stageOfRun(row.Task)
	switch {
	case pla == nil:
		pla = sta.adopt(hos, stg, row)
	case pla.former:
		sta.resumeFormer(hos, pla, row)
	case row.Run > pla.run:
		// An order of a former dispatcher was carried out late.
		pla.run = row.Run
		hos.adopt(pla)
	case row.Run < pla.run:
		return
	}
	if pla.state == runOrdered || pla.state == runUnknown {
		pla.setState(runRunning, sta.now)
	}
	if pla.state == runStopping && pla.rejectsStart() && sta.isWanted(hos, pla) {
		sta.withdrawStop(hos, pla, runRunning)
	}
	sta.lateStarts.List(hos.vm.ID, latestart.Run{Task: pla.task, Number: pla.run})
	pla.percent, pla.load, pla.checkpoint = row.Percent, row.Load, row.Checkpoint
	if stg != nil && row.Checkpoint != "" {
		stg.tasks[row.Task.Index].checkpoint = row.Checkpoint
	}
}

// adopt records a run that this dispatcher did not order. The run is stopped
// unless its task is waiting for one, or has only one that isn't at work.
func (sta *State) adopt(hos *host, stg *stage, row worker.Running) *placement {
	sta.supersedeFormer(stg, row.Task, row.Run)
	wanted := stg != nil && stg.liveJob.final == "" && stg.tasks[row.Task.Index].phase == phaseWaiting
	fields := map[string]any{"task": row.Task.String(), "run": row.Run, "vm": hos.vm.ID, "wanted": wanted}
	if stg != nil && stg.tasks[row.Task.Index].host != nil {
		oth := stg.tasks[row.Task.Index].host
		fields["other_vm"], fields["other_run"], fields["other_state"] = oth.vm.ID, oth.runs[row.Task].run, oth.runs[row.Task].state.String()
	}
	pla := sta.reserve(hos, stg, row.Task, row.Run, runRunning)
	hos.adopt(pla)
	sta.logDecision("run_adopted", row.Task.Job, fields)
	if !wanted && !sta.replaceIdleRun(hos, pla, row) {
		sta.stop(hos, pla, stopUnwanted)
	}
	return pla
}

// replaceIdleRun has a serving task keep a run that is at work in place of another one of a
// former dispatcher that isn't, and reports whether it does.
func (sta *State) replaceIdleRun(hos *host, pla *placement, row worker.Running) bool {
	if !pla.isServing() || row.Percent < percentWorking {
		return false
	}
	tas := &pla.stage.tasks[row.Task.Index]
	if tas.host == nil {
		return false
	}
	oth := tas.host.runs[row.Task]
	if !oth.adopted || oth.state != runRunning || oth.working() {
		return false
	}
	sta.stop(tas.host, oth, stopUnwanted)
	tas.host = hos
	return true
}

// applyMissing handles a run that is missing from the answer to a poll sent at
// a given time.
func (sta *State) applyMissing(hos *host, pla *placement, sent time.Time) {
	if !sent.After(pla.since) {
		return
	}
	switch pla.state {
	case runUnknown:
		if pla.former {
			sta.release(hos, pla)
			return
		}
		sta.settleStart(hos, pla)
	case runRunning, runStopAccepted:
		sta.release(hos, pla)
	case runOrdered, runStopping:
	}
}

// hasUnstoredEnds reports whether some of the ends that the VM has reported are
// not stored. They would be lost if the VM ended and another process took over the
// duty.
func (hos *host) hasUnstoredEnds() bool { return hos.lastEnd > hos.ackableUpTo }

// isIdle reports whether the VM can end without a loss.
func (hos *host) isIdle() bool { return len(hos.runList) == 0 && !hos.hasUnstoredEnds() }

// markAcknowledgedBefore records that all ends before the lowest one that a VM
// reports have been acknowledged, by this or a former dispatcher.
func (hos *host) markAcknowledgedBefore(lowest int64) {
	if lowest-1 <= hos.ackableUpTo {
		return
	}
	hos.ackableUpTo = lowest - 1
	maps.DeleteFunc(hos.ackable, func(number int64, _ bool) bool { return number <= hos.ackableUpTo })
	hos.dropHeld(func(number int64, _ job.Task) bool { return number <= hos.ackableUpTo })
}

// markAckable records that an end may be acknowledged, as nothing about it is
// left to be stored.
func (sta *State) markAckable(hos *host, number int64) {
	if number <= hos.ackableUpTo {
		return
	}
	hos.ackable[number] = true
	for hos.ackable[hos.ackableUpTo+1] {
		hos.ackableUpTo++
		delete(hos.ackable, hos.ackableUpTo)
		hos.ackDue = hos.ackDue || hos.lastAckable() == hos.ackableUpTo
	}
}

// releaseExpired releases the runs on a VM whose lease is guaranteed to have expired.
// A run whose start got no answer may begin later, on an incarnation of the VM that knows
// nothing of the lease. A VM that is still registered has not restarted unseen.
func (sta *State) releaseExpired(hos *host) {
	hos.endsLeftOut = false
	// Registrations may outlast their expiry while the store is down.
	renewedAt := sta.vmsSyncedAt.Add(-sta.opt.RegistrationExpiry)
	registered := !hos.unregistered && !renewedAt.Before(vmclock.Latest(hos.leaseExpiry, sta.vmsSyncedSince))
	if registered {
		sta.lateStarts.SettleAnswered(hos.vm.ID)
		sta.lateStarts.Observe(hos.vm.ID, renewedAt)
	}
	expired := slices.DeleteFunc(slices.Clone(hos.runList), func(pla *placement) bool {
		run := latestart.Run{Task: pla.task, Number: pla.run}
		if registered || !sta.lateStarts.IsOpen(hos.vm.ID, run) {
			return false
		}
		return sta.now.Before(vmclock.Latest(sta.lateStarts.End(hos.vm.ID, run), sta.extendedUntil(hos.vm.ID, run)))
	})
	if len(expired) == 0 {
		return
	}
	sta.logDecision("leases_ended", "", map[string]any{"vm": hos.vm.ID, "runs": len(expired), "late_starts": len(hos.runs) - len(expired)})
	for _, pla := range expired {
		sta.release(hos, pla)
	}
}

// expireLeases releases the runs on VMs whose leases are guaranteed to have
// expired.
func (sta *State) expireLeases() {
	for _, hos := range slices.Clone(sta.hostList) {
		if hos.failedPolls == 0 && hos.termAccepted || sta.now.Before(hos.leaseExpiry) {
			continue
		}
		sta.releaseExpired(hos)
		if hos.unregistered && !hos.pollInFlight && len(hos.runs) == 0 {
			sta.removeHost(hos, reasonNotHeard)
			// The VM may be alive behind a network partition, and register again.
			sta.lostVMs.Remove(hos.vm.ID)
		}
	}
}
