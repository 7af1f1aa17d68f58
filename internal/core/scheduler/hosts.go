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
	// slowClock is how many times longer a span takes on the slowest clock of a
	// VM, which may lose 2%.
	slowClock = 1.03
	// lapseSlack covers how late an expired lease is noticed there.
	lapseSlack = 100 * time.Millisecond
	// lookWait is how long a busy VM waits for an end before it answers.
	lookWait = 800 * time.Millisecond
	// mixedLookWait is that time where tasks serve beside others that fill: tails
	// are measured over half a second.
	mixedLookWait = 400 * time.Millisecond
	// lookPause is the least time between two looks at a VM.
	lookPause = 30 * time.Millisecond
	// endPause is that time after a look that told of ends. Until they are
	// acknowledged, VMs answer every look at once; each look is paid for.
	endPause = 110 * time.Millisecond
	// idleAckPause is how long a VM's last ends wait for their acknowledgement.
	idleAckPause = 700 * time.Millisecond
	// retryPause is the time between two looks at a VM that didn't answer.
	retryPause = 250 * time.Millisecond
	// suspectFailures is how many looks fail before the list of machines is
	// asked whether the VM still lives.
	suspectFailures = 2
)

// register takes in a VM's registration.
func (sta *State) register(one worker.VM) {
	if old, ok := sta.lost.get(one.ID); ok && old.SameIncarnation(one) {
		return
	}
	hos := sta.hosts[one.ID]
	if hos != nil && hos.vm.SameIncarnation(one) {
		if hos.vm.Leaving != one.Leaving {
			sta.note("vm_leaving", "", map[string]any{"vm": one.ID, "leaving": one.Leaving})
		}
		moved := hos.vm.Pool != one.Pool
		hos.vm, hos.unregistered = one, false
		if moved {
			sta.indexPools()
		}
		return
	}
	if hos != nil {
		sta.lose(hos, "started again under its ID")
	}
	lapse := sta.now
	if sta.restoring() {
		lapse = sta.opt.Since.Add(sta.leaseEnd())
	}
	sta.hosts[one.ID] = &host{
		vm: one, runs: map[job.Task]*held{}, stored: map[int64]bool{}, lapse: lapse, nextLook: sta.now, emptySince: sta.now, found: sta.now,
		pace: pace.NewControl(),
	}
	sta.indexPools()
	sta.note("vm_found", "", map[string]any{"vm": one.ID, "pool": one.Pool, "az": one.AZ})
}

// leaseEnd is how long after it was extended a lease has surely ended.
func (sta *State) leaseEnd() time.Duration {
	return time.Duration(float64(sta.opt.Lease)*slowClock) + lapseSlack
}

// restoring reports whether leases that a former dispatcher gave may still
// hold.
func (sta *State) restoring() bool { return sta.now.Before(sta.opt.Since.Add(sta.leaseEnd())) }

// lose forgets a life of a VM that has ended, with all that ran there.
func (sta *State) lose(hos *host, reason string) {
	sta.note("vm_lost", "", map[string]any{"vm": hos.vm.ID, "runs": len(hos.runs), "reason": reason})
	for _, hel := range slices.Clone(hos.list) {
		sta.drop(hos, hel)
	}
	delete(sta.hosts, hos.vm.ID)
	sta.lost.put(sta.now, hos.vm.ID, hos.vm)
	sta.emit(Forget{VM: hos.vm})
	sta.indexPools()
}

// drop removes a run that is over. Its task waits again unless it is done.
func (sta *State) drop(hos *host, hel *held) {
	delete(hos.runs, hel.task)
	hos.list = slices.DeleteFunc(hos.list, func(oth *held) bool { return oth == hel })
	hos.used = hos.used.Minus(hel.room)
	hos.emptySince = sta.now
	sta.usage[hel.owner] = sta.usage[hel.owner].Minus(hel.size)
	stg := hel.stage
	if stg == nil {
		return
	}
	tas := &stg.tasks[hel.task.Index]
	if tas.host != hos {
		return
	}
	tas.host = nil
	if tas.phase == phaseHeld {
		tas.phase = phaseWaiting
		stg.waiting++
	}
}

// hold notes a run that may be running on a VM.
func (sta *State) hold(hos *host, stg *stage, name job.Task, run int, state runState) *held {
	hel := &held{task: name, run: run, state: state, since: sta.now, stage: stg, pace: pace.Full}
	if stg != nil {
		hel.room, hel.size, hel.owner = stg.step.Reservation(), stg.step.Size, stg.live.spec.Account
		tas := &stg.tasks[name.Index]
		tas.run = max(tas.run, run)
		if tas.phase == phaseWaiting {
			tas.phase, tas.host = phaseHeld, hos
			stg.waiting--
		}
	}
	hel.confirm(state, sta.now)
	hos.runs[name] = hel
	hos.list = append(hos.list, hel)
	hos.used = hos.used.Plus(hel.room)
	sta.usage[hel.owner] = sta.usage[hel.owner].Plus(hel.size)
	return hel
}

// confirm enters a state. A job has begun once a VM is known to run a task.
func (hel *held) confirm(state runState, now time.Time) {
	hel.state, hel.since = state, now
	if state == runRunning && hel.stage != nil {
		hel.stage.live.begun = true
	}
}

// deadline returns the end of a lease that begins now, on the VM's clock, and
// notes how long what runs there may go on.
func (sta *State) deadline(hos *host) time.Duration {
	if end := sta.now.Add(sta.leaseEnd()); end.After(hos.lapse) {
		hos.lapse = end
	}
	return hos.clock + sta.now.Sub(hos.clockAt) + sta.opt.Lease
}

// look asks those VMs for a report that are due for one. Idle VMs are left
// alone, but for the acknowledgement of their last ends.
//
// Until all jobs are loaded no VM is asked: the runs of a job that is not known
// would be stopped.
func (sta *State) look() {
	if !sta.loaded {
		return
	}
	for _, hos := range sta.hostList {
		if hos.looking || sta.now.Before(hos.nextLook) {
			continue
		}
		idle := hos.fenced && hos.failedLooks == 0 && len(hos.runs) == 0 && !hos.reportDue
		if idle && (!hos.ackDue || sta.now.Sub(hos.lastLook) < idleAckPause) {
			continue
		}
		sta.sendLook(hos)
	}
}

func (sta *State) sendLook(hos *host) {
	loo := Poll{VM: hos.vm, Acked: hos.acked}
	// A look that stays unanswered may arrive all the same. One that extended the
	// lease of a silent VM would put off the time when its tasks may start
	// elsewhere.
	if hos.fenced && hos.failedLooks == 0 {
		loo.Deadline = sta.deadline(hos)
		if len(hos.runs) > 0 && !hos.unsettled() {
			loo.Wait = lookWait
			if _, mixed := hos.tailRatio(); mixed {
				loo.Wait = mixedLookWait
			}
		}
	}
	hos.ackDue, hos.reportDue = false, false
	hos.looking, hos.lastLook = true, sta.now
	sta.emit(loo)
}

// unsettled reports whether the fate of some run there is open, which a look
// that doesn't wait settles.
func (hos *host) unsettled() bool {
	for _, hel := range hos.list {
		if hel.state == runUnknown || hel.state == runRejected {
			return true
		}
	}
	return false
}

// looked takes in a VM's answer to a look.
func (sta *State) looked(hos *host, evt PollAnswered) {
	hos.looking = false
	hos.nextLook = sta.now.Add(lookPause)
	if len(evt.Report.Ends) > 0 {
		hos.nextLook = sta.now.Add(endPause)
	}
	switch evt.Result {
	case worker.ResultOK:
		sta.report(hos, evt)
	case worker.ResultFenced:
		sta.giveUp("VM " + hos.vm.ID + " has answered a higher term")
	case worker.ResultOtherIncarnation:
		sta.lose(hos, "another life answers at its address")
	default:
		hos.failedLooks++
		hos.nextLook = sta.now.Add(retryPause)
		if hos.failedLooks == suspectFailures {
			sta.note("vm_silent", "", map[string]any{"vm": hos.vm.ID, "runs": len(hos.runs), "lapse_ms": hos.lapse.Sub(sta.now).Milliseconds()})
		}
	}
}

// report takes in what a VM runs and what has ended there.
func (sta *State) report(hos *host, evt PollAnswered) {
	if born := evt.Report.Born; born != 0 {
		if hos.vm.Born != 0 && born != hos.vm.Born {
			sta.lose(hos, "born anew")
			return
		}
		hos.vm.Born = born
	}
	hos.failedLooks = 0
	hos.fenced = true
	hos.clock, hos.clockAt = evt.Report.Clock, sta.now
	if len(evt.Report.Ends) > 0 {
		hos.acknowledgedBefore(evt.Report.Ends[0].Number)
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
		sta.sawRunning(hos, row)
	}
	for _, hel := range slices.Clone(hos.list) {
		if !listed[hel.task] {
			sta.sawMissing(hos, hel, evt.Sent)
		}
	}
	sta.control(hos)
}

// sawRunning takes in a run that a VM lists.
func (sta *State) sawRunning(hos *host, row worker.Running) {
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
		hel.confirm(runRunning, sta.now)
	}
	hel.percent, hel.load, hel.checkpoint = row.Percent, row.Load, row.Checkpoint
	if stg != nil && row.Checkpoint != "" {
		stg.tasks[row.Task.Index].checkpoint = row.Checkpoint
	}
}

// adopt notes a run that this dispatcher didn't order. It is stopped unless its
// task needs it.
func (sta *State) adopt(hos *host, stg *stage, row worker.Running) *held {
	wanted := stg != nil && stg.live.final == "" && stg.tasks[row.Task.Index].phase == phaseWaiting
	hel := sta.hold(hos, stg, row.Task, row.Run, runRunning)
	sta.note("run_adopted", row.Task.Job, map[string]any{"task": row.Task.String(), "run": row.Run, "vm": hos.vm.ID, "wanted": wanted})
	if !wanted {
		sta.stop(hel)
	}
	return hel
}

// sawMissing takes in that a VM doesn't list a run, in answer to a look that
// was sent at a time.
func (sta *State) sawMissing(hos *host, hel *held, sent time.Time) {
	if !sent.After(hel.since) {
		return
	}
	switch hel.state {
	case runUnknown:
		sta.stop(hel)
	case runRunning, runRejected:
		sta.drop(hos, hel)
	case runOrdered, runStopping:
	}
}

// acknowledgedBefore takes in the lowest end that a VM lists: a dispatcher has
// acknowledged all before it, maybe a former one.
func (hos *host) acknowledgedBefore(lowest int64) {
	if lowest-1 <= hos.acked {
		return
	}
	hos.acked = lowest - 1
	maps.DeleteFunc(hos.stored, func(number int64, _ bool) bool { return number <= hos.acked })
}

// ackable notes that an end needs no store before it is acknowledged.
func (sta *State) ackable(hos *host, number int64) {
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

// expire frees what ran on VMs whose leases have surely ended.
func (sta *State) expire() {
	for _, hos := range slices.Clone(sta.hostList) {
		if hos.failedLooks == 0 && hos.fenced || sta.now.Before(hos.lapse) {
			continue
		}
		if len(hos.runs) > 0 {
			sta.note("leases_ended", "", map[string]any{"vm": hos.vm.ID, "runs": len(hos.runs)})
			for _, hel := range slices.Clone(hos.list) {
				sta.drop(hos, hel)
			}
		}
		if hos.unregistered && !hos.looking {
			sta.lose(hos, "its registration is gone and it does not answer")
			// It may be alive behind a partition, and register again.
			sta.lost.remove(hos.vm.ID)
		}
	}
}

// unresolved reports whether a VM may still run what a former dispatcher
// started there.
func (sta *State) unresolved() bool {
	if !sta.restoring() {
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
