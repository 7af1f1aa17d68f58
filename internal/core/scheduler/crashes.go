package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// Limits for tasks that crash the VMs that run them.
const (
	// suspectCrashes is the number of crashes after which a task runs apart from
	// others, so that the next one shows whether it is the cause.
	suspectCrashes = 2
	// maxCrashes is the number of crashes after which a task is given up.
	// maxServingCrashes replaces it for long-running steps: others depend on
	// their tasks, and crashes of other causes add up over their lifetime.
	maxCrashes        = 3
	maxServingCrashes = 4
	// startupTime is the age up to which a run of a long-running step counts as
	// a possible cause of a crash, and beyond which it is cleared of suspicion.
	startupTime = 5 * time.Second
	// maxKeptFree is the part of a pool's VMs that may be kept free for suspects.
	maxKeptFree = 0.25
)

// isSuspect reports whether the task may be what crashes its VMs.
func (tas *task) isSuspect() bool { return tas.crashes >= suspectCrashes }

// crashLimit returns the number of crashes after which a task of a step is given
// up.
func crashLimit(ste *job.Step) int {
	if ste.LongRunning {
		return maxServingCrashes
	}
	return maxCrashes
}

// mayCauseCrash reports whether a run may be why its VM crashed. A start that
// the VM has not confirmed may have been ordered after the crash. It is a
// possible cause only if the VM is gone alone.
func (pla *placement) mayCauseCrash(now time.Time, alone bool) bool {
	switch {
	case pla.stage == nil || pla.ending() || pla.state != runRunning && !alone:
		return false
	case pla.stage.step.LongRunning:
		return !pla.adopted && now.Sub(pla.since) <= startupTime
	default:
		return true
	}
}

// countCrash counts a crash against the tasks that may be its cause, and gives up
// those with too many. If a suspect ran on the VM, it counts against no other.
func (sta *State) countCrash(hos *host) {
	if sta.inOutage(hos) {
		return
	}
	alone := sta.isGoneAlone(hos)
	for _, pla := range slices.Clone(hos.runList) {
		if !pla.mayCauseCrash(sta.now, alone) || hos.suspects > 0 && !pla.suspect || pla.stage.liveJob.final != "" {
			continue
		}
		stg := pla.stage
		tas := &stg.tasks[pla.task.Index]
		tas.crashes++
		stg.crashed = true
		sta.markDirty(stg.liveJob)
		if !tas.isSuspect() {
			continue
		}
		givenUp := tas.crashes >= crashLimit(stg.step)
		sta.logDecision("task_suspected", pla.task.Job, map[string]any{
			"task": pla.task.String(), "run": pla.run, "vm": hos.vm.ID, "run_state": pla.state.String(), "crashes": tas.crashes, "runs_beside": len(hos.runList) - 1, "given_up": givenUp,
		})
		if givenUp {
			sta.finish(stg.liveJob, job.StateFailed, reasonCrashes)
		}
	}
}

// isGoneAlone reports whether a VM is listed as gone, and no other one of its
// availability zone.
func (sta *State) isGoneAlone(hos *host) bool {
	return hos.listedGone && !slices.ContainsFunc(sta.hostList, func(oth *host) bool {
		return oth != hos && oth.listedGone && oth.vm.AZ == hos.vm.AZ
	})
}

// clearSuspects clears the long-running tasks that have outlasted their startup
// on the VM.
func (sta *State) clearSuspects(hos *host) {
	for _, pla := range hos.runList {
		if pla.stage == nil || !pla.stage.step.LongRunning || pla.state != runRunning || sta.now.Sub(pla.since) <= startupTime {
			continue
		}
		if tas := &pla.stage.tasks[pla.task.Index]; tas.crashes > 0 {
			tas.crashes = 0
			hos.setSuspect(pla, false)
			sta.markDirty(pla.stage.liveJob)
		}
	}
}

// isolates reports whether the host keeps a task apart from others: suspects run
// neither with each other nor with tasks that end by themselves.
func (hos *host) isolates(suspect bool) bool {
	return hos.suspects > 0 || suspect && hos.finite > 0 || !suspect && hos.keptFree
}

// leftForSuspects returns the number of further VMs of the pool on which suspects
// may start. One VM is left to the tasks that may not run beside suspects; if it were
// more, many suspects would wait for each other.
func (rom *poolRoom) leftForSuspects() int {
	left := max(1, len(rom.hosts)-1)
	for _, hos := range rom.hosts {
		if hos.suspects > 0 {
			left--
		}
	}
	return left
}

// setSuspect records whether a run on the host is a suspect's.
func (hos *host) setSuspect(pla *placement, suspect bool) {
	switch {
	case suspect && !pla.suspect:
		hos.suspects++
	case !suspect && pla.suspect:
		hos.suspects--
	}
	pla.suspect = suspect
}

// addFinite adds to the number of runs on the host that end by themselves.
func (hos *host) addFinite(pla *placement, n int) {
	if !pla.stage.step.LongRunning {
		hos.finite += n
	}
}

// keepFree selects the hosts that get no other tasks while suspects wait: those
// with the fewest runs that can run a suspect, which are free of other tasks
// first.
func (sta *State) keepFree(waiting []waitingStage) {
	for _, hos := range sta.hostList {
		hos.keptFree = false
	}
	suspects := map[*poolRoom][]*stage{}
	for _, wai := range waiting {
		for i := range wai.stage.tasks {
			if tas := &wai.stage.tasks[i]; tas.phase == phaseWaiting && tas.isSuspect() {
				suspects[wai.pool] = append(suspects[wai.pool], wai.stage)
			}
		}
	}
	for pool, stages := range suspects {
		free := slices.DeleteFunc(slices.Clone(pool.hosts), func(hos *host) bool { return hos.isolates(false) })
		slices.SortStableFunc(free, func(one, oth *host) int { return cmp.Compare(len(one.runs), len(oth.runs)) })
		left := min(max(1, int(maxKeptFree*float64(len(pool.hosts)))), pool.leftForSuspects())
		for _, stg := range stages {
			i := slices.IndexFunc(free, func(hos *host) bool { return !hos.keptFree && hos.suits(stg) })
			if i < 0 || left <= 0 {
				continue
			}
			free[i].keptFree = true
			left--
		}
	}
}

// suits reports whether a task of a stage can run on the host once all tasks that
// end by themselves have left it.
func (hos *host) suits(stg *stage) bool {
	free := hos.vm.Capacity
	for _, pla := range hos.runList {
		if pla.stage != nil && pla.stage.step.LongRunning {
			free = free.Minus(pla.reserved)
		}
	}
	return stg.step.Reservation().Fits(free) && (stg.step.Label == "" || hos.vm.HasLabel(stg.step.Label))
}
