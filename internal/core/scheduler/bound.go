package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/vmclock"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// A start may be carried out seconds after it was sent, by the next incarnation of its VM as
// well, which knows nothing of it. So whatever ends a run for the dispatcher, its task is bound
// to the VM's ID until no start of it can arrive there, also if the VM has refused it by now. The
// task may start again under this ID, as a VM that gets starts has answered, and refuses former
// ones. Its end is not acknowledged before (heldend.go).

// neglects returns whether the starts of a task for former incarnations of a VM don't bind it. They
// do, as the VM may restart once more, but not at any price: if the VM answers, and so refuses them, and
// has no room, other VMs may; and a serving task must not be without a run for seconds if the VM gets no
// tasks.
func (sta *State) neglects(tas job.Task) func(vm string) bool {
	return func(vm string) bool {
		hos, stg := sta.hosts[vm], sta.stageOfRun(tas)
		if hos == nil || stg == nil || !hos.termAccepted || hos.failedPolls > 0 || hos.listedGone {
			return false
		}
		if hos.vm.Leaving || hos.cordoned || hos.goingDown || sta.zonesOut[hos.vm.AZ] {
			return stg.step.LongRunning
		}
		return !stg.step.Reservation().Fits(hos.vm.Capacity.Minus(hos.used))
	}
}

// holderOf returns the VM to which a task is bound; see latestart.Starts.Holder.
func (sta *State) holderOf(tas job.Task) (vm string, bound bool) {
	return sta.lateStarts.Holder(tas, sta.neglects(tas))
}

// isBound reports whether a task is bound to a VM, or to several.
func (sta *State) isBound(tas job.Task) bool {
	_, bound := sta.holderOf(tas)
	return bound
}

// countBound returns the number of a stage's tasks that are bound.
func (sta *State) countBound(stg *stage) (n int) {
	for i := range stg.tasks {
		if sta.isBound(stg.task(i)) {
			n++
		}
	}
	return n
}

// boundTasks describes the waiting tasks that are bound.
type boundTasks struct {
	// sizes holds their size by client account: their runs may be active unseen.
	sizes map[string]job.Size
	// toLost reports whether some are bound to VMs that are lost, or to several. A list of
	// machines may free them.
	toLost bool
}

// findBound returns the waiting tasks that are bound.
func (sta *State) findBound() boundTasks {
	bnd := boundTasks{sizes: map[string]job.Size{}}
	for tas := range sta.lateStarts.Tasks() {
		stg := sta.waitingStageOf(tas)
		if stg == nil {
			continue
		}
		vm, bound := sta.holderOf(tas)
		if !bound {
			continue
		}
		account := stg.liveJob.spec.Account
		bnd.sizes[account] = bnd.sizes[account].Plus(stg.step.Size)
		bnd.toLost = bnd.toLost || sta.hosts[vm] == nil
	}
	return bnd
}

// waitingStageOf returns the stage of a task of a live job that has no run; nil if it has one.
func (sta *State) waitingStageOf(tas job.Task) *stage {
	stg := sta.stageOfRun(tas)
	if stg == nil || stg.liveJob.final != "" || stg.tasks[tas.Index].phase != phaseWaiting {
		return nil
	}
	return stg
}

// settleUnlisted settles starts on VMs that no machine ran when the last list of machines was
// requested.
func (sta *State) settleUnlisted(requestedAt time.Time) {
	down := slices.ContainsFunc(sta.machineNames, func(name string) bool { return sta.machines.byName[name].State == worker.MachineDown })
	missing := map[string]bool{}
	for _, vm := range sta.lateStarts.VMs() {
		name, known := sta.machines.lastOf[vm]
		mac, listed := sta.machines.byName[name]
		if known && !listed {
			missing[name] = true
			sta.machines.refreshDue = sta.machines.refreshDue || !sta.machines.missing[name]
		}
		if sta.listedAs(vm) == string(worker.MachineUp) {
			continue
		}
		if hos := sta.hosts[vm]; hos != nil && (!hos.coveredBy(requestedAt) || hos.termAccepted && hos.failedPolls == 0) {
			continue
		}
		// An ID comes back only on the machine that had it, which is down until then. The pages of
		// a list are read one after the other, so that one list may miss a machine.
		mayReturn := down
		if known {
			mayReturn = mac.State == worker.MachineDown || !listed && !sta.machines.missing[name]
		}
		if mayReturn {
			sta.lateStarts.Observe(vm, requestedAt)
		} else {
			sta.lateStarts.Forget(vm, requestedAt)
		}
	}
	sta.machines.missing = missing
}

// extendedUntil returns until when calls to a VM may extend the lease of a run that a late
// start begins on its next incarnation.
func (sta *State) extendedUntil(vm string, run latestart.Run) time.Time {
	end := sta.leases.Inherited(vm)
	if sta.lateStarts.IsFormer(vm, run) {
		end = vmclock.Latest(end, sta.leases.InheritedFromFormer(sta.opt.Since))
	}
	return end
}

// askInterval is the time between two looks for overdue starts. In between they are looked
// for when the next start is overdue.
const askInterval = 100 * time.Millisecond

// askHolders requests what shows whether runs have begun by starts that can't arrive any more
// and to which waiting tasks are bound: reports of the VMs, or a list of machines if they are lost.
func (sta *State) askHolders() {
	if sta.now.Sub(sta.holdersAskedAt) < askInterval && (sta.nextOverdue.IsZero() || !sta.now.After(sta.nextOverdue)) {
		return
	}
	sta.holdersAskedAt, sta.nextOverdue = sta.now, sta.lateStarts.NextOverdue(sta.now)
	for _, vm := range sta.lateStarts.VMs() {
		if !slices.ContainsFunc(sta.lateStarts.Overdue(vm, sta.now), func(tas job.Task) bool { return sta.waitingStageOf(tas) != nil }) {
			continue
		}
		if hos := sta.hosts[vm]; hos != nil {
			hos.reportDue = true
		} else {
			sta.machines.refreshDue = true
		}
	}
}
