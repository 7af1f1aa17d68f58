package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/pace"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Times of looks at VMs.
const (
	// clockDriftFactor is how many times longer a span takes on the slowest clock of a
	// VM, which may lose 2%.
	clockDriftFactor = 1.03
	// leaseExpirySlack covers how late an expired lease is noticed there.
	leaseExpirySlack = 100 * time.Millisecond
	// pollWait is how long a busy VM waits for an end before it answers.
	pollWait = 800 * time.Millisecond
	// mixedPollWait is that time where tasks serve beside others that fill: tails
	// are measured over half a second.
	mixedPollWait = 400 * time.Millisecond
	// minPollInterval is the least time between two looks at a VM.
	minPollInterval = 30 * time.Millisecond
	// pollIntervalAfterEnd is that time after a look that told of ends. Until they are
	// acknowledged, VMs answer every look at once; each look is paid for.
	pollIntervalAfterEnd = 110 * time.Millisecond
	// idleAckDelay is how long a VM's last ends wait for their acknowledgement.
	idleAckDelay = 700 * time.Millisecond
	// pollRetryInterval is the time between two looks at a VM that didn't answer.
	pollRetryInterval = 250 * time.Millisecond
	// silentAfterPolls is how many looks fail before the list of machines is
	// asked whether the VM still lives.
	silentAfterPolls = 2
)

// register takes in a VM's registration.
func (sta *State) register(one worker.VM) {
	if old, ok := sta.lostVMs.get(one.ID); ok && old.SameIncarnation(one) {
		return
	}
	hos := sta.hosts[one.ID]
	if hos != nil && hos.vm.SameIncarnation(one) {
		if hos.vm.Leaving != one.Leaving {
			sta.logDecision("vm_leaving", "", map[string]any{"vm": one.ID, "leaving": one.Leaving})
		}
		moved := hos.vm.Pool != one.Pool
		hos.vm, hos.unregistered = one, false
		if moved {
			sta.indexHosts()
		}
		return
	}
	if hos != nil {
		sta.removeHost(hos, "started again under its ID")
	}
	leaseExpiry := sta.now
	if sta.formerLeasesMayHold() {
		leaseExpiry = sta.opt.Since.Add(sta.maxLeaseTime())
	}
	sta.hosts[one.ID] = &host{
		vm: one, runs: map[job.Task]*placement{}, stored: map[int64]bool{}, leaseExpiry: leaseExpiry, nextPoll: sta.now, idleSince: sta.now, firstSeen: sta.now,
		pace: pace.NewControl(),
	}
	sta.indexHosts()
	sta.logDecision("vm_found", "", map[string]any{"vm": one.ID, "pool": one.Pool, "az": one.AZ})
}

// maxLeaseTime is how long after it was extended a lease has surely ended.
func (sta *State) maxLeaseTime() time.Duration {
	return time.Duration(float64(sta.opt.Lease)*clockDriftFactor) + leaseExpirySlack
}

// formerLeasesMayHold reports whether leases that a former dispatcher gave may still
// hold.
func (sta *State) formerLeasesMayHold() bool {
	return sta.now.Before(sta.opt.Since.Add(sta.maxLeaseTime()))
}

// removeHost forgets a life of a VM that has ended, with all that ran there.
func (sta *State) removeHost(hos *host, reason string) {
	sta.logDecision("vm_lost", "", map[string]any{"vm": hos.vm.ID, "runs": len(hos.runs), "reason": reason})
	for _, hel := range slices.Clone(hos.runList) {
		sta.release(hos, hel)
	}
	delete(sta.hosts, hos.vm.ID)
	sta.lostVMs.put(sta.now, hos.vm.ID, hos.vm)
	sta.emit(Forget{VM: hos.vm})
	sta.indexHosts()
}

// release removes a run that is over. Its task waits again unless it is done.
func (sta *State) release(hos *host, hel *placement) {
	delete(hos.runs, hel.task)
	hos.runList = slices.DeleteFunc(hos.runList, func(oth *placement) bool { return oth == hel })
	hos.used = hos.used.Minus(hel.reserved)
	hos.idleSince = sta.now
	sta.usage[hel.account] = sta.usage[hel.account].Minus(hel.size)
	stg := hel.stage
	if stg == nil {
		return
	}
	tas := &stg.tasks[hel.task.Index]
	if tas.host != hos {
		return
	}
	tas.host = nil
	if tas.phase == phasePlaced {
		tas.phase = phaseWaiting
		stg.waiting++
	}
}

// reserve notes a run that may be running on a VM.
func (sta *State) reserve(hos *host, stg *stage, name job.Task, run int, state runState) *placement {
	hel := &placement{task: name, run: run, state: state, since: sta.now, stage: stg, pace: pace.Full}
	if stg != nil {
		hel.reserved, hel.size, hel.account = stg.step.Reservation(), stg.step.Size, stg.liveJob.spec.Account
		tas := &stg.tasks[name.Index]
		tas.run = max(tas.run, run)
		if tas.phase == phaseWaiting {
			tas.phase, tas.host = phasePlaced, hos
			stg.waiting--
		}
	}
	hel.setState(state, sta.now)
	hos.runs[name] = hel
	hos.runList = append(hos.runList, hel)
	hos.used = hos.used.Plus(hel.reserved)
	sta.usage[hel.account] = sta.usage[hel.account].Plus(hel.size)
	return hel
}

// setState enters a state. A job has begun once a VM is known to run a task.
func (hel *placement) setState(state runState, now time.Time) {
	hel.state, hel.since = state, now
	if state == runRunning && hel.stage != nil {
		hel.stage.liveJob.begun = true
	}
}

// extendLease returns the end of a lease that begins now, on the VM's clock, and
// notes how long what runs there may go on.
func (sta *State) extendLease(hos *host) time.Duration {
	if end := sta.now.Add(sta.maxLeaseTime()); end.After(hos.leaseExpiry) {
		hos.leaseExpiry = end
	}
	return hos.clock + sta.now.Sub(hos.clockAt) + sta.opt.Lease
}

// pollHosts asks those VMs for a report that are due for one. Idle VMs are left
// alone, but for the acknowledgement of their last ends.
//
// Until all jobs are loaded no VM is asked: the runs of a job that is not known
// would be stopped.
func (sta *State) pollHosts() {
	if !sta.loaded {
		return
	}
	for _, hos := range sta.hostList {
		if hos.pollInFlight || sta.now.Before(hos.nextPoll) {
			continue
		}
		idle := hos.fenced && hos.failedPolls == 0 && len(hos.runs) == 0 && !hos.reportDue
		if idle && (!hos.ackDue || sta.now.Sub(hos.lastPoll) < idleAckDelay) {
			continue
		}
		sta.sendPoll(hos)
	}
}

func (sta *State) sendPoll(hos *host) {
	loo := Poll{VM: hos.vm, Acked: hos.acked}
	// A look that stays unanswered may arrive all the same. One that extended the
	// lease of a silent VM would put off the time when its tasks may start
	// elsewhere.
	if hos.fenced && hos.failedPolls == 0 {
		loo.Deadline = sta.extendLease(hos)
		if len(hos.runs) > 0 && !hos.hasUnresolvedRuns() {
			loo.Wait = pollWait
			if _, mixed := hos.tailRatio(); mixed {
				loo.Wait = mixedPollWait
			}
		}
	}
	hos.ackDue, hos.reportDue = false, false
	hos.pollInFlight, hos.lastPoll = true, sta.now
	sta.emit(loo)
}

// hasUnresolvedRuns reports whether the fate of some run there is open, which a look
// that doesn't wait settles.
func (hos *host) hasUnresolvedRuns() bool {
	for _, hel := range hos.runList {
		if hel.state == runUnknown || hel.state == runRejected {
			return true
		}
	}
	return false
}

// pollAnswered takes in a VM's answer to a look.
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
		sta.stepDown("VM " + hos.vm.ID + " has answered a higher term")
	case worker.ResultOtherIncarnation:
		sta.removeHost(hos, "another life answers at its address")
	default:
		hos.failedPolls++
		hos.nextPoll = sta.now.Add(pollRetryInterval)
		if hos.failedPolls == silentAfterPolls {
			sta.logDecision("vm_silent", "", map[string]any{"vm": hos.vm.ID, "runs": len(hos.runs), "lapse_ms": hos.leaseExpiry.Sub(sta.now).Milliseconds()})
		}
	}
}

// applyReport takes in what a VM runs and what has ended there.
func (sta *State) applyReport(hos *host, evt PollAnswered) {
	if born := evt.Report.Born; born != 0 {
		if hos.vm.Born != 0 && born != hos.vm.Born {
			sta.removeHost(hos, "born anew")
			return
		}
		hos.vm.Born = born
	}
	hos.failedPolls = 0
	hos.fenced = true
	hos.clock, hos.clockAt = evt.Report.Clock, sta.now
	if len(evt.Report.Ends) > 0 {
		hos.acknowledgeBefore(evt.Report.Ends[0].Number)
	}
	for _, end := range evt.Report.Ends {
		if end.Number > hos.seen {
			hos.seen = end.Number
			sta.endRun(hos, end)
		}
	}
	listed := make(map[job.Task]bool, len(evt.Report.Running))
	for _, row := range evt.Report.Running {
		listed[row.Task] = true
		sta.applyRunning(hos, row)
	}
	for _, hel := range slices.Clone(hos.runList) {
		if !listed[hel.task] {
			sta.applyMissing(hos, hel, evt.Sent)
		}
	}
	sta.control(hos)
}

// applyRunning takes in a run that a VM lists.
func (sta *State) applyRunning(hos *host, row worker.Running) {
	hel := hos.runs[row.Task]
	stg := sta.stageOf(row.Task)
	switch {
	case hel == nil:
		hel = sta.adopt(hos, stg, row)
	case row.Run > hel.run:
		// An order of a former dispatcher was carried out late.
		hel.run = row.Run
	case row.Run < hel.run:
		return
	}
	if hel.state == runOrdered || hel.state == runUnknown {
		hel.setState(runRunning, sta.now)
	}
	hel.percent, hel.load, hel.checkpoint = row.Percent, row.Load, row.Checkpoint
	if stg != nil && row.Checkpoint != "" {
		stg.tasks[row.Task.Index].checkpoint = row.Checkpoint
	}
}

// adopt notes a run that this dispatcher didn't order. It is stopped unless its
// task needs it.
func (sta *State) adopt(hos *host, stg *stage, row worker.Running) *placement {
	wanted := stg != nil && stg.liveJob.final == "" && stg.tasks[row.Task.Index].phase == phaseWaiting
	hel := sta.reserve(hos, stg, row.Task, row.Run, runRunning)
	sta.logDecision("run_adopted", row.Task.Job, map[string]any{"task": row.Task.String(), "run": row.Run, "vm": hos.vm.ID, "wanted": wanted})
	if !wanted {
		sta.stop(hel)
	}
	return hel
}

// applyMissing takes in that a VM doesn't list a run, in answer to a look that
// was sent at a time.
func (sta *State) applyMissing(hos *host, hel *placement, sent time.Time) {
	if !sent.After(hel.since) {
		return
	}
	switch hel.state {
	case runUnknown:
		sta.stop(hel)
	case runRunning, runRejected:
		sta.release(hos, hel)
	case runOrdered, runStopping:
	}
}

// acknowledgeBefore takes in the lowest end that a VM lists: a dispatcher has
// acknowledged all before it, maybe a former one.
func (hos *host) acknowledgeBefore(lowest int64) {
	if lowest-1 <= hos.acked {
		return
	}
	hos.acked = lowest - 1
	maps.DeleteFunc(hos.stored, func(number int64, _ bool) bool { return number <= hos.acked })
}

// markAckable notes that an end needs no store before it is acknowledged.
func (sta *State) markAckable(hos *host, number int64) {
	if number <= hos.acked {
		return
	}
	hos.stored[number] = true
	for hos.stored[hos.acked+1] {
		hos.acked++
		delete(hos.stored, hos.acked)
		hos.ackDue = true
	}
}

// expireLeases frees what ran on VMs whose leases have surely ended.
func (sta *State) expireLeases() {
	for _, hos := range slices.Clone(sta.hostList) {
		if hos.failedPolls == 0 && hos.fenced || sta.now.Before(hos.leaseExpiry) {
			continue
		}
		if len(hos.runs) > 0 {
			sta.logDecision("leases_ended", "", map[string]any{"vm": hos.vm.ID, "runs": len(hos.runs)})
			for _, hel := range slices.Clone(hos.runList) {
				sta.release(hos, hel)
			}
		}
		if hos.unregistered && !hos.pollInFlight {
			sta.removeHost(hos, "its registration is gone and it does not answer")
			// It may be alive behind a partition, and register again.
			sta.lostVMs.remove(hos.vm.ID)
		}
	}
}

// formerRunsMayExist reports whether a VM may still run what a former dispatcher
// started there.
func (sta *State) formerRunsMayExist() bool {
	if !sta.formerLeasesMayHold() {
		return false
	}
	if sta.machines.listed.Before(sta.opt.Since) {
		return true
	}
	for _, mac := range sta.machines.byName {
		if mac.VM == "" || mac.State != worker.MachineUp {
			continue
		}
		if hos := sta.hosts[mac.VM]; hos == nil || !hos.fenced {
			return true
		}
	}
	for _, hos := range sta.hostList {
		if !hos.fenced {
			return true
		}
	}
	return false
}
