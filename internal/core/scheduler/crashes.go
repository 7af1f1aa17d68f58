package scheduler

import (
	"cmp"
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/core/blame"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// maxKeptFree is the part of a pool's VMs that may be kept free for suspects.
const maxKeptFree = 0.25

// mayCauseCrash reports whether a run may be why its VM crashed. One that a former
// dispatcher started has outlived its start. A start that the VM has not confirmed may
// have been ordered after the crash. It is a possible cause only if the VM is listed as
// gone.
func (pla *placement) mayCauseCrash(gone bool) bool {
	return pla.stage != nil && pla.stage.liveJob.final == "" && !pla.ending() && !pla.adopted && (pla.state == runRunning || gone)
}

// countCrash weighs a crash against the tasks that may be its cause, and gives up
// those that are shown to crash their VMs. If a suspect ran on the VM, it counts
// against no other.
func (sta *State) countCrash(hos *host) {
	if hos.unseen || sta.outages.Covers(hos.places(), sta.now) {
		return
	}
	alone := sta.isGoneAlone(hos)
	var all, weighed []blame.Run
	var blamed []*placement
	for _, pla := range hos.runList {
		run := sta.runOnLost(hos, pla, alone)
		all = append(all, run)
		if pla.mayCauseCrash(hos.listedGone) && (hos.suspects == 0 || pla.suspect) {
			weighed, blamed = append(weighed, run), append(blamed, pla)
		}
	}
	rate := sta.crashes.Rate(hos.vm.Pool, sta.settledVMs(hos.vm.Pool), sta.now)
	if hos.termAccepted && blame.IsUnexplained(all) {
		sta.crashes.Add(hos.vm.Pool, sta.now)
	}
	for i, rec := range blame.Weigh(weighed, rate) {
		sta.blame(hos, blamed[i], weighed[i], rec, rate)
	}
}

// settledVMs returns the number of VMs of a pool without young runs.
func (sta *State) settledVMs(pool string) (count int) {
	for _, hos := range sta.pools[pool] {
		if !hos.unseen && !slices.ContainsFunc(hos.runList, func(pla *placement) bool { return sta.now.Sub(pla.since) <= blame.YoungAge }) {
			count++
		}
	}
	return count
}

// runOnLost returns what is known of a run on a lost VM.
func (sta *State) runOnLost(hos *host, pla *placement, alone bool) blame.Run {
	seen, silent := hos.clock.ReceivedAt(), sta.now
	for _, oth := range hos.runList {
		if oth.state == runRunning && oth.since.After(seen) {
			seen = oth.since
		}
	}
	if hos.failedPolls > 0 {
		silent = hos.silentSince
	}
	run := blame.Run{Lived: seen.Sub(pla.since), Lost: silent.Sub(pla.since), Alone: alone}
	if pla.state != runRunning {
		// The VM may have been lost before the start was sent.
		run.Lived, run.Lost, run.Unconfirmed = 0, silent.Sub(seen), true
	}
	if pla.stage != nil {
		run.Record = pla.stage.tasks[pla.task.Index].blamed
	}
	return run
}

// blame applies the evidence of a crash to a task that ran on the VM.
func (sta *State) blame(hos *host, pla *placement, run blame.Run, rec blame.Record, rate float64) {
	stg := pla.stage
	if rec != run.Record {
		sta.markDirty(stg.liveJob)
	}
	stg.tasks[pla.task.Index].blamed = rec
	stg.crashed = stg.crashed || rec.Crashes > 0
	givenUp := rec.IsGuilty(stg.step.LongRunning)
	if rec.IsSuspect() {
		sta.logDecision("task_suspected", pla.task.Job, map[string]any{
			"task": pla.task.String(), "run": pla.run, "vm": hos.vm.ID, "run_state": pla.state.String(), "crashes": rec.Crashes, "runs_beside": len(hos.runList) - 1, "given_up": givenUp,
			"evidence": rec.Evidence, "evidence_before": run.Record.Evidence, "lived_ms": run.Lived.Milliseconds(), "lost_ms": run.Lost.Milliseconds(), "crash_rate": rate,
		})
	}
	if givenUp {
		sta.finish(stg.liveJob, job.StateFailed, reasonCrashes)
	}
}

// isGoneAlone reports whether a VM is listed as gone, and no other one of its
// availability zone.
func (sta *State) isGoneAlone(hos *host) bool {
	return hos.listedGone && !slices.ContainsFunc(sta.hostList, func(oth *host) bool {
		return oth != hos && oth.listedGone && !oth.unseen && oth.vm.AZ == hos.vm.AZ
	})
}

// clearSuspects clears the tasks whose runs on the VM have outlived what they are
// suspected of.
func (sta *State) clearSuspects(hos *host) {
	for _, pla := range hos.runList {
		if pla.stage == nil || pla.state != runRunning {
			continue
		}
		tas := &pla.stage.tasks[pla.task.Index]
		if tas.blamed == (blame.Record{}) {
			continue
		}
		age := sta.now.Sub(pla.since)
		hos.setSuspect(pla, tas.blamed.IsolatedAt(age))
		if tas.blamed.Outlived(age) == (blame.Record{}) {
			tas.blamed = blame.Record{}
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
			if tas := &wai.stage.tasks[i]; tas.phase == phaseWaiting && tas.blamed.IsSuspect() {
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
