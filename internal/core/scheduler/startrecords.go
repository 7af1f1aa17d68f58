package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/pace"
	"github.com/balsamgauge/balsamgauge/internal/core/startlog"
	"github.com/balsamgauge/balsamgauge/internal/core/vmclock"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

const (
	// startPruneInterval is the time between two passes over the recorded starts.
	startPruneInterval = 100 * time.Millisecond
	// startCleanInterval is the longest time for which obsolete records of starts wait for
	// a write that deletes them as well.
	startCleanInterval = 250 * time.Millisecond
)

// recordStart has a start recorded with the others of this call of Reduce.
func (sta *State) recordStart(hos *host, pla *placement) {
	sta.newStarts = append(sta.newStarts, startlog.Start{
		VM: hos.vm, LongLease: sta.now.Before(hos.longLeaseUntil), Run: latestart.Run{Task: pla.task, Number: pla.run},
	})
}

// loseStart handles that a try of a start got no answer. The next dispatcher has to know: if the VM
// lists the run, that may be by another try.
func (sta *State) loseStart(one worker.VM, run latestart.Run) {
	if !sta.lateStarts.Lose(one.ID, run) {
		return
	}
	hos := sta.hosts[one.ID]
	sta.newStarts = append(sta.newStarts, startlog.Start{
		VM: one, LongLease: hos != nil && sta.now.Before(hos.longLeaseUntil), Run: run, Unanswered: true,
	})
}

// writeStarts records the new starts, and deletes the records that are obsolete.
func (sta *State) writeStarts() {
	if sta.now.Sub(sta.startsPrunedAt) >= startPruneInterval {
		sta.startsPrunedAt = sta.now
		sta.startLog.Prune(sta.startMatters)
	}
	cleanDue := sta.startLog.HasObsolete() && sta.now.Sub(sta.startsWrittenAt) >= startCleanInterval
	if len(sta.newStarts) == 0 && !cleanDue {
		return
	}
	txn, err := sta.startLog.Write(sta.newStarts, kv.MaxTxnEntries-reservedEntries)
	if err != nil {
		sta.stepDown(err.Error())
		return
	}
	sta.newStarts, sta.startsWrittenAt = nil, sta.now
	sta.emit(RecordStarts{Txn: txn})
}

// startMatters reports whether the next dispatcher needs to know of a start: the VM may
// carry it out late, or hold a longer lease for its run than dispatchers ask for.
func (sta *State) startMatters(vm string, run latestart.Run) bool {
	if sta.lateStarts.IsOpen(vm, run) {
		return true
	}
	hos := sta.hosts[vm]
	if hos == nil || !sta.now.Before(hos.longLeaseUntil) {
		return false
	}
	pla := hos.runs[run.Task]
	return pla != nil && pla.run == run.Number
}

// startsNotRecorded handles starts that were not sent, as their record may not be stored.
func (sta *State) startsNotRecorded(evt StartsNotRecorded) {
	sta.logDecision("starts_not_recorded", "", map[string]any{"starts": len(evt.Starts), "error": evt.Err.Error()})
	sta.startLog.Failed(evt.Txn)
	for _, ord := range evt.Starts {
		sta.lateStarts.Withdraw(ord.VM.ID, latestart.Run{Task: ord.Task, Number: ord.Run})
		hos := sta.hosts[ord.VM.ID]
		if hos == nil || !hos.vm.SameIncarnation(ord.VM) {
			continue
		}
		pla := hos.runs[ord.Task]
		if pla == nil || pla.run != ord.Run || pla.state != runOrdered {
			continue
		}
		sta.release(hos, pla)
		if stg := pla.stage; stg != nil {
			stg.tasks[ord.Task.Index].notBefore = sta.now.Add(startRetryDelay)
		}
	}
}

// formerStart is the recorded start of a task with the highest run number.
type formerStart struct {
	run latestart.Run
	vm  startlog.VMRuns
}

// restoreStarts takes over the records of former dispatchers. Of each task the run with the
// highest number counts as active until its VM has answered, or can't run it any more. A
// start may have been sent again, and its lease extended, until the tenure began.
func (sta *State) restoreStarts() {
	last := map[job.Task]formerStart{}
	for key, rec := range sta.formerStarts {
		sta.startLog.Restore(key, rec)
		for _, vmr := range rec.VMs {
			for _, row := range vmr.Runs {
				run := row.LateStart()
				sta.lateStarts.Restore(vmr.ID, vmr.StartedAtMS, run, row.Unanswered, sta.opt.Since)
				stg := sta.stageOfRun(run.Task)
				if stg == nil || stg.liveJob.final != "" || stg.tasks[run.Task.Index].phase == phaseDone {
					continue
				}
				if run.Number > last[run.Task].run.Number {
					last[run.Task] = formerStart{run, vmr}
				}
			}
		}
	}
	sta.formerStarts = nil
	for _, tas := range slices.SortedFunc(maps.Keys(last), func(one, oth job.Task) int { return strings.Compare(one.String(), oth.String()) }) {
		sta.restoreStart(last[tas])
	}
}

// restoreStart reserves the run of a recorded start.
func (sta *State) restoreStart(fmr formerStart) {
	one, inherited := fmr.vm.VM(), sta.leases.InheritedFromFormer(sta.opt.Since)
	if los, ok := sta.lostVMs.Get(one.ID); ok && los.vm.SameIncarnation(one) {
		return
	}
	hos := sta.hosts[one.ID]
	listed := !sta.machines.asOf.Before(sta.opt.Since)
	if hos == nil && listed && sta.machines.byName[sta.machines.byVM[one.ID]].State != worker.MachineUp {
		return
	}
	if hos == nil {
		// The VM may have restarted unseen.
		hos = &host{
			vm: one, runs: map[job.Task]*placement{}, ackable: map[int64]bool{}, heldEnds: map[int64]job.Task{}, leaseExpiry: inherited, nextPoll: sta.now, idleSince: sta.now, firstSeen: sta.opt.Since,
			pace: pace.NewControl(), unregistered: true, unseen: true, token: duty.Token(sta.opt.Term, sta.now.Sub(sta.opt.Since)),
		}
		sta.hosts[one.ID] = hos
		sta.indexHost(hos)
	}
	if fmr.vm.LongLease || !hos.vm.SameIncarnation(one) {
		hos.longLeaseUntil = vmclock.Latest(hos.longLeaseUntil, inherited)
	}
	hos.leaseExpiry = vmclock.Latest(hos.leaseExpiry, hos.longLeaseUntil)
	sta.reserveFormer(hos, fmr.run)
}

// reserveFormer has a task wait that a VM may run by a start of a former dispatcher, until
// the VM has answered.
func (sta *State) reserveFormer(hos *host, run latestart.Run) {
	stg := sta.stageOfRun(run.Task)
	if stg == nil || stg.liveJob.final != "" || stg.tasks[run.Task.Index].phase != phaseWaiting || hos.runs[run.Task] != nil {
		return
	}
	pla := sta.reserve(hos, stg, run.Task, run.Number, runUnknown)
	pla.former = true
	hos.adopt(pla)
	sta.logDecision("start_restored", run.Task.Job, map[string]any{
		"task": run.Task.String(), "run": run.Number, "vm": hos.vm.ID, "registered": !hos.unregistered,
		"long_lease": sta.now.Before(hos.longLeaseUntil), "lapse_ms": hos.leaseExpiry.Sub(sta.now).Milliseconds(),
	})
}

// seeFirst handles the registration of a VM that was known only from records. The same
// incarnation holds no longer lease than the former dispatcher knew of.
func (sta *State) seeFirst(hos *host) {
	if hos.unseen {
		hos.unseen = false
		hos.leaseExpiry = vmclock.Latest(sta.leases.OfFormer(sta.opt.Since), hos.longLeaseUntil)
	}
}

// resumeFormer handles that a VM lists a run that a former dispatcher recorded. It is
// stopped if its task doesn't need it.
func (sta *State) resumeFormer(hos *host, pla *placement, row worker.Running) {
	pla.former, pla.run = false, row.Run
	tas := &pla.stage.tasks[pla.task.Index]
	tas.run = max(tas.run, row.Run)
	if wanted := pla.stage.liveJob.final == "" && tas.host == hos; !wanted {
		sta.stop(hos, pla, stopUnwanted)
	}
}

// boundLease bounds the lease of a VM that has accepted its token, by its report. All calls
// for former incarnations that extend it have arrived.
func (sta *State) boundLease(hos *host, clock time.Duration) {
	inherits := sta.now.Before(hos.longLeaseUntil)
	hos.leaseExpiry, hos.longLeaseUntil = sta.now, time.Time{}
	if sta.opt.Term > 1 {
		hos.leaseExpiry = sta.leases.Accepted(sta.opt.Since, sta.now, sta.ageOf(hos.vm, clock))
	}
	if inherits {
		hos.leaseExpiry = sta.now.Add(vmclock.LongestLease(sta.opt.LongestLease))
	}
	if hos.leaseExpiry.After(vmclock.Latest(sta.now, sta.leases.OfFormer(sta.opt.Since))) {
		hos.longLeaseUntil = hos.leaseExpiry
	}
}

// ageOf returns the least time for which a VM may have been running. Its clock may start
// anywhere, and its start time is by another time of day.
func (sta *State) ageOf(one worker.VM, clock time.Duration) time.Duration {
	if one.StartedAtMS == 0 {
		return clock
	}
	return min(clock, sta.startedAgo(one)-vmclock.MaxSkew)
}

// supersedeFormer releases the recorded run of a task of which a VM reports a higher one:
// it was over when that was started.
func (sta *State) supersedeFormer(stg *stage, name job.Task, run int) {
	if stg == nil || stg.tasks[name.Index].host == nil {
		return
	}
	hos := stg.tasks[name.Index].host
	if pla := hos.runs[name]; pla.former && pla.run < run {
		sta.release(hos, pla)
	}
}

// inheritedLease returns when the lease of a new incarnation of a VM is guaranteed to have
// ended that calls for former ones extend; zero if there were none. old is the host of
// the one before, nil if there is none.
func (sta *State) inheritedLease(old *host, one worker.VM) (end time.Time) {
	end = sta.leases.Inherited(one.ID)
	unanswered := old != nil && !old.termAccepted || old == nil && len(sta.lateStarts.Pending(one.ID, sta.now)) > 0
	if sta.opt.Term > 1 && unanswered {
		end = vmclock.Latest(end, sta.leases.InheritedFromFormer(sta.opt.Since))
	}
	return end
}
