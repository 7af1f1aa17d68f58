package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// waveRequested adds a wave, or applies a change of one, and saves its state.
func (sta *State) waveRequested(evt WaveRequested) {
	old := sta.waves[evt.Wave.Number]
	if old != nil && old.plan.Wave.Changed == evt.Wave.Changed {
		return
	}
	plan := upkeep.Plan{Wave: evt.Wave, RequestedAt: sta.now}
	// The clock of the process that received it first may be ahead.
	if !evt.RequestedAt.IsZero() && evt.RequestedAt.Before(sta.now) {
		plan.RequestedAt = evt.RequestedAt
	}
	former := slices.Concat(evt.Begun, evt.Former)
	if old != nil {
		former = append(former, old.former...)
	}
	if old != nil && evt.Wave.Revises(old.plan.Wave) {
		plan = old.plan.WithChange(evt.Wave, sta.now)
	}
	for _, name := range evt.Begun {
		plan = plan.WithBegun(name)
	}
	slices.Sort(former)
	wav := &wave{plan: plan, former: slices.Compact(former), refusedAt: map[string]time.Time{}}
	sta.waves[evt.Wave.Number] = wav
	sta.logDecision("wave_asked", "", map[string]any{
		"wave": evt.Wave.Number, "machines": len(evt.Wave.Machines), "cap": evt.Wave.Cap, "duration_ms": evt.Wave.Duration.Milliseconds(), "begun": len(plan.Begun),
		"age_ms": sta.now.Sub(plan.RequestedAt).Milliseconds(), "created": evt.Wave.Revision, "revision": evt.Wave.Changed,
	})
	sta.saveWave(wav)
}

// wavePlanInterval is the time between two plans of upkeep, which look at every
// machine of the waves. Machines stay cordoned in between.
const wavePlanInterval = 40 * time.Millisecond

// planWaves orders the upkeep that is due.
func (sta *State) planWaves() {
	// Machines that are due stay cordoned while the tenure ends.
	if sta.ending || sta.now.Sub(sta.wavesPlannedAt) < wavePlanInterval {
		return
	}
	sta.wavesPlannedAt = sta.now
	for _, hos := range sta.hostList {
		hos.cordoned = false
	}
	for _, number := range slices.Sorted(maps.Keys(sta.waves)) {
		wav := sta.waves[number]
		if !wav.completed && !sta.machines.asOf.IsZero() {
			sta.planWave(number, wav)
		}
	}
}

// planWave orders the upkeep that is due in one wave.
func (sta *State) planWave(number int64, wav *wave) {
	if wav.plan.Completed(sta.machineListed) && !sta.upkeeps.Unanswered(number) {
		wav.completed = true
		sta.logDecision("wave_completed", "", map[string]any{"wave": number, "age_ms": sta.now.Sub(wav.plan.RequestedAt).Milliseconds()})
		sta.saveWave(wav)
		return
	}
	if !sta.mayOrderMachines() {
		return
	}
	act := wav.plan.Next(sta.now, sta.candidates(wav), sta.countMachinesDown(wav), sta.opt.UpkeepTime)
	for _, name := range act.Cordon {
		if hos := sta.hosts[sta.machines.byName[name].VM]; hos != nil {
			hos.cordoned = true
		}
	}
	for _, name := range act.Relocate {
		sta.relocate(name)
	}
	for _, name := range act.Begin {
		// Machines ordered down earlier in this loop may hold tasks of the same
		// step.
		if sta.candidate(name).ExceedsBudget() {
			continue
		}
		hos := sta.hosts[sta.machines.byName[name].VM]
		if hos != nil && hos.hasUnstoredEnds() {
			continue
		}
		sta.upkeeps.Give(name, sta.machines.byName[name].VM, wav.plan.Wave)
		if hos != nil {
			hos.goingDown = true
		}
		sta.logDecision("upkeep_ordered", "", map[string]any{"machine": name, "wave": number, "vm": sta.machines.byName[name].VM})
		sta.emit(Upkeep{Machine: name, Wave: number})
	}
}

// upkeepRetryDelay is the time between two orders for a machine that the platform doesn't
// take for one of the wave, or doesn't know: its view and this one's may differ for a while.
const upkeepRetryDelay = time.Second

// MaxOrderTransit is how long a machine order may take from when it is sent to its
// arrival, or else never arrives.
const MaxOrderTransit = 500 * time.Millisecond

// machineOrderDelay is how long after the start of its tenure a dispatcher
// gives no machine orders. The former dispatcher stopped sending them before
// its lease ended, but some may still be in transit, and machines do not check
// terms.
const machineOrderDelay = MaxOrderTransit + 100*time.Millisecond

// mayOrderMachines reports whether machine orders may be given. After a
// takeover they wait for a list of machines that shows the last orders of the
// former dispatcher.
func (sta *State) mayOrderMachines() bool {
	if sta.opt.Term == 1 {
		return true
	}
	if sta.machines.asOf.Before(sta.opt.Since.Add(machineOrderDelay)) {
		sta.machines.refreshDue = !sta.now.Before(sta.opt.Since.Add(machineOrderDelay))
		return false
	}
	return true
}

// saveWave stores a wave's progress.
func (sta *State) saveWave(wav *wave) {
	sta.emit(SaveWave{
		Wave: wav.plan.Wave, Begun: wav.begun(), Former: sta.downByNumber(wav), Completed: wav.completed, RequestedAt: wav.plan.RequestedAt,
	})
}

// begun returns the sorted names of the machines whose upkeep has begun.
func (wav *wave) begun() (names []string) {
	for name := range wav.plan.Begun {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// countMachinesDown returns the number of a wave's machines that are down for
// upkeep or may be, by orders of any wave. Machines that the wave no longer names are among
// them if their upkeep was ordered by it, or by a former request of the same number.
func (sta *State) countMachinesDown(wav *wave) (n int) {
	for _, name := range wav.plan.Wave.Machines {
		if sta.downForUpkeep(name) {
			n++
		}
	}
	for _, name := range sta.downByNumber(wav) {
		if !slices.Contains(wav.plan.Wave.Machines, name) {
			n++
		}
	}
	return n
}

// downForUpkeep reports whether a machine is down for upkeep or may be.
func (sta *State) downForUpkeep(name string) bool {
	return sta.upkeeps.MayBeDown(name) || sta.machines.byName[name].State == worker.MachineUpkeep
}

// downByNumber returns the machines that are down for upkeep, or may be, by orders of a
// wave's number, whether the wave names them or not.
func (sta *State) downByNumber(wav *wave) (names []string) {
	names = sta.upkeeps.Machines(wav.plan.Wave.Number)
	for _, name := range wav.former {
		if sta.downForUpkeep(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// machineListed reports whether the last list of machines has a machine.
func (sta *State) machineListed(name string) bool {
	_, ok := sta.machines.byName[name]
	return ok
}

// candidates returns the machines of a wave whose upkeep may be ordered next.
func (sta *State) candidates(wav *wave) (cans []upkeep.Candidate) {
	for _, name := range wav.plan.Wave.Machines {
		_, moves := sta.moves[name]
		if moves || wav.plan.Begun[name] || sta.upkeeps.MayBeDown(name) || !sta.machineListed(name) {
			continue
		}
		if at, refused := wav.refusedAt[name]; refused && sta.now.Sub(at) < upkeepRetryDelay {
			continue
		}
		cans = append(cans, sta.candidate(name))
	}
	return cans
}

// candidate returns the description of a machine for the plan of a wave.
func (sta *State) candidate(name string) upkeep.Candidate {
	mac := sta.machines.byName[name]
	hos := sta.hosts[mac.VM]
	can := upkeep.Candidate{Machine: name, Up: mac.State == worker.MachineUp && sta.confirmListedVM(mac)}
	if hos == nil {
		// The registrations of VMs may arrive later than the list of machines.
		// Until the leases of a former dispatcher have expired, an unknown VM may
		// run tasks.
		can.Up = can.Up && (mac.VM == "" || !sta.formerLeasesMayHold())
		return can
	}
	if hos.vm.Leaving || hos.failedPolls > 0 || !hos.termAccepted {
		can.Up = false
		return can
	}
	shares := map[*stage]upkeep.StepShare{}
	var longRunning []*stage
	for _, pla := range hos.runList {
		stg := pla.stage
		if stg == nil || stg.liveJob.final != "" {
			continue
		}
		if stg.step.LongRunning {
			sha, seen := shares[stg]
			if !seen {
				longRunning = append(longRunning, stg)
			}
			if !pla.ending() {
				sha.Local++
			}
			// A run that was starting at the last report may work by now, so it
			// counts as one that upkeep ends rather than as unavailable.
			if !pla.ending() && !pla.working() {
				sha.Unavailable--
			}
			shares[stg] = sha
			continue
		}
		left := stg.step.Estimate - sta.now.Sub(pla.since)
		can.Remaining = max(can.Remaining, left)
		can.LostWork += stg.step.Size.Cores() * sta.now.Sub(pla.since).Seconds()
		// A machine without work to lose may go down at once, so a run that has
		// just started must count as well.
		if can.LostWork == 0 {
			can.LostWork = stg.step.Size.Cores()
		}
	}
	for _, stg := range longRunning {
		sha := shares[stg]
		sha.MaxUnavailable = stg.step.MaxUnavailable
		sha.Unavailable += stg.countUnavailable(hos)
		can.StepShares = append(can.StepShares, sha)
	}
	return can
}

// relocate stops, for each long-running step with more tasks on a machine than
// may be unavailable at the same time, one of these tasks. It starts again on
// another machine.
func (sta *State) relocate(name string) {
	hos := sta.hosts[sta.machines.byName[name].VM]
	done := map[*stage]bool{}
	for _, pla := range hos.runList {
		stg := pla.stage
		// A task that stays bound to the VM couldn't start elsewhere.
		if stg == nil || !stg.step.LongRunning || done[stg] || !pla.working() || sta.isBound(pla.task) {
			continue
		}
		sha := upkeep.StepShare{Local: hos.working(stg), Unavailable: stg.countUnavailable(hos), MaxUnavailable: stg.step.MaxUnavailable}
		if !sha.NeedsRelocation() {
			continue
		}
		done[stg] = true
		sta.logDecision("task_relocated", pla.task.Job, map[string]any{"task": pla.task.String(), "run": pla.run, "vm": hos.vm.ID, "machine": name})
		sta.stop(hos, pla, stopRelocated)
	}
}

// ending reports whether a run is being stopped.
func (pla *placement) ending() bool { return pla.state == runStopping || pla.state == runStopAccepted }

// working reports whether a long-running task is working and not being stopped.
func (pla *placement) working() bool { return pla.state == runRunning && pla.percent >= percentWorking }

// working returns the number of a stage's tasks that are working on the host.
func (hos *host) working(stg *stage) int {
	n := 0
	for _, pla := range hos.runList {
		if pla.stage == stg && pla.working() {
			n++
		}
	}
	return n
}

// percentWorking is the progress that a long-running task reports when it is
// working.
const percentWorking = 100

// countUnavailable returns the number of tasks of a long-running stage that are
// not working, or whose host does not answer or is going down. A task on the host
// local is counted only if it is not working, as the caller considers the end of
// that host separately.
func (stg *stage) countUnavailable(local *host) int {
	n := 0
	for i := range stg.tasks {
		if stg.isUnavailable(i, local) {
			n++
		}
	}
	return n
}

// countUnavailableBeside returns the number of a stage's unavailable tasks other than
// one.
func (stg *stage) countUnavailableBeside(index int) int {
	n := stg.countUnavailable(nil)
	if stg.isUnavailable(index, nil) {
		n--
	}
	return n
}

// isUnavailable reports whether a task counts as unavailable for countUnavailable.
func (stg *stage) isUnavailable(index int, local *host) bool {
	hos := stg.tasks[index].host
	if hos == nil || hos != local && (hos.failedPolls > 0 || hos.vm.Leaving || hos.goingDown) {
		return true
	}
	pla := hos.runs[stg.task(index)]
	return pla != nil && !pla.working()
}

// machineAnswered handles the answer to a machine order.
func (sta *State) machineAnswered(evt MachineAnswered) {
	sta.logDecision("machine_answered", "", map[string]any{"machine": evt.Machine, "wave": evt.Wave, "result": evt.Result.String()})
	if evt.Result == worker.MachineFenced {
		sta.stepDown("machine " + evt.Machine + " has accepted a higher term")
		return
	}
	if evt.Wave == 0 {
		sta.moveAnswered(evt)
		return
	}
	wav := sta.waves[evt.Wave]
	given := sta.upkeeps.Wave(evt.Machine, evt.Wave)
	if wav != nil && !wav.plan.Wave.Revises(given) {
		// The wave that is known by now was requested after the order.
		wav = nil
	}
	switch evt.Result {
	case worker.MachineOK:
		sta.noteDown(sta.hosts[sta.upkeeps.End(evt.Machine, evt.Wave, sta.now)])
		if wav != nil {
			wav.plan = wav.plan.WithBegun(evt.Machine)
			sta.saveWave(wav)
		}
	case worker.MachineUnknown:
		sta.noteDown(sta.hosts[sta.upkeeps.End(evt.Machine, evt.Wave, sta.now)])
		if wav != nil {
			// The next dispatcher must know that the machine may be down.
			sta.saveWave(wav)
		}
	default:
		if hos := sta.hosts[sta.upkeeps.Refuse(evt.Machine, evt.Wave)]; hos != nil {
			hos.goingDown = false
		}
		if wav != nil && (evt.Result == worker.MachineNotInWave || evt.Result == worker.MachineInvalid) {
			wav.refusedAt[evt.Machine] = sta.now
			sta.machines.refreshDue = true
		}
	}
}

// noteDown records that a call ended whose order may have ended a host; nil if the
// VM is unknown. Only a list of machines shows whether it did.
func (sta *State) noteDown(hos *host) {
	sta.machines.refreshDue = true
	if hos != nil {
		hos.downAnsweredAt = sta.now
	}
}
