package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Times of the list of machines.
const (
	// listPause is the time between two lists while something waits for them.
	listPause = 500 * time.Millisecond
	// listSoon is that time after an order for a machine.
	listSoon = 60 * time.Millisecond
	// listRest is that time while nothing does.
	listRest = 10 * time.Second
)

// waveAsked takes in a wave.
func (sta *State) waveAsked(evt WaveRequested) {
	if wav := sta.waves[evt.Wave.Number]; wav != nil {
		return
	}
	plan := upkeep.Plan{Wave: evt.Wave, RequestedAt: sta.now}
	for _, name := range evt.Begun {
		plan = plan.WithBegun(name)
	}
	sta.waves[evt.Wave.Number] = &wave{plan: plan, down: map[string]downMachine{}, ordered: map[string]bool{}}
	sta.logDecision("wave_asked", "", map[string]any{"wave": evt.Wave.Number, "machines": len(evt.Wave.Machines), "cap": evt.Wave.Cap, "duration_ms": evt.Wave.Duration.Milliseconds(), "begun": len(evt.Begun)})
	sta.emit(SaveWave{Number: evt.Wave.Number, Begun: evt.Begun})
}

// planWaves orders the upkeep that is due.
func (sta *State) planWaves() {
	if len(sta.waves) == 0 {
		return
	}
	for _, hos := range sta.hostList {
		hos.cordoned = false
	}
	for _, number := range slices.Sorted(maps.Keys(sta.waves)) {
		wav := sta.waves[number]
		if !wav.completed && !sta.machines.listed.IsZero() {
			sta.planWave(number, wav)
		}
	}
}

func (sta *State) planWave(number int64, wav *wave) {
	exists := func(name string) bool { _, ok := sta.machines.byName[name]; return ok }
	if wav.plan.Completed(exists) && len(wav.ordered) == 0 {
		wav.completed = true
		sta.logDecision("wave_completed", "", map[string]any{"wave": number, "age_ms": sta.now.Sub(wav.plan.RequestedAt).Milliseconds()})
		sta.emit(SaveWave{Number: number, Begun: wav.begun(), Completed: true})
		return
	}
	if !sta.maySteer() {
		return
	}
	var cans []upkeep.Candidate
	for _, name := range wav.plan.Wave.Machines {
		if _, moves := sta.moves[name]; moves || wav.plan.Begun[name] || wav.ordered[name] || !exists(name) {
			continue
		}
		cans = append(cans, sta.candidate(name))
	}
	stp := wav.plan.Next(sta.now, cans, sta.downOf(wav)+len(wav.ordered), sta.opt.UpkeepTime)
	for _, name := range stp.Cordon {
		if hos := sta.hosts[sta.machines.byName[name].VM]; hos != nil {
			hos.cordoned = true
		}
	}
	for _, name := range stp.Relocate {
		sta.relocate(name)
	}
	for _, name := range stp.Begin {
		// Machines that go down before it in this round may hold tasks of the same
		// step.
		if sta.candidate(name).ExceedsBudget() {
			continue
		}
		wav.ordered[name] = true
		if hos := sta.hosts[sta.machines.byName[name].VM]; hos != nil {
			hos.goingDown = true
		}
		sta.logDecision("upkeep_ordered", "", map[string]any{"machine": name, "wave": number, "vm": sta.machines.byName[name].VM})
		sta.emit(Upkeep{Machine: name, Wave: number})
	}
}

// steerDelay is how long a dispatcher keeps apart from the orders for machines
// of a former one, which stopped to send them before its lease ended. Machines
// do not tell terms apart.
const steerDelay = 600 * time.Millisecond

// maySteer reports whether orders for machines may be given.
// After a takeover they wait for a list of machines that shows what the former
// dispatcher ordered last.
func (sta *State) maySteer() bool {
	if sta.opt.Term == 1 {
		return true
	}
	if sta.machines.listed.Before(sta.opt.Since.Add(steerDelay)) {
		sta.machines.refreshDue = !sta.now.Before(sta.opt.Since.Add(steerDelay))
		return false
	}
	return true
}

func (wav *wave) begun() (names []string) {
	for name := range wav.plan.Begun {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// downOf returns how many machines of a wave are down for upkeep: those that the
// list shows so, and those ordered since. A machine is back once the list shows
// it up with another VM.
func (sta *State) downOf(wav *wave) int {
	for name, dow := range wav.down {
		mac, ok := sta.machines.byName[name]
		back := mac.State == worker.MachineUp && mac.VM != dow.vm
		if !ok || back && sta.machines.listed.After(dow.since) {
			delete(wav.down, name)
		}
	}
	n := len(wav.down)
	for _, name := range wav.plan.Wave.Machines {
		_, counted := wav.down[name]
		if !counted && !wav.ordered[name] && sta.machines.byName[name].State == worker.MachineUpkeep {
			n++
		}
	}
	return n
}

// candidate describes a machine that a wave may take down.
func (sta *State) candidate(name string) upkeep.Candidate {
	mac := sta.machines.byName[name]
	hos := sta.hosts[mac.VM]
	can := upkeep.Candidate{Machine: name, Up: mac.State == worker.MachineUp}
	if hos == nil {
		return can
	}
	if hos.vm.Leaving || hos.failedPolls > 0 || !hos.fenced {
		can.Up = false
		return can
	}
	shares := map[*stage]upkeep.StepShare{}
	var lasting []*stage
	for _, hel := range hos.runList {
		stg := hel.stage
		if stg == nil || stg.liveJob.final != "" {
			continue
		}
		if stg.step.LongRunning {
			sha, seen := shares[stg]
			if !seen {
				lasting = append(lasting, stg)
			}
			if hel.working() {
				sha.Local++
			}
			shares[stg] = sha
			continue
		}
		left := stg.step.Estimate - sta.now.Sub(hel.since)
		can.Remaining = max(can.Remaining, left)
		can.LostWork += stg.step.Size.Cores() * sta.now.Sub(hel.since).Seconds()
		if can.LostWork == 0 {
			can.LostWork = stg.step.Size.Cores()
		}
	}
	for _, stg := range lasting {
		sha := shares[stg]
		sha.MayMiss = stg.step.MayMiss
		sha.Unavailable = stg.away(hos)
		can.StepShares = append(can.StepShares, sha)
	}
	return can
}

// relocate stops one task that lasts of each step that has more of them on a
// machine than may be away at once. It starts again on another machine.
func (sta *State) relocate(name string) {
	hos := sta.hosts[sta.machines.byName[name].VM]
	done := map[*stage]bool{}
	for _, hel := range hos.runList {
		stg := hel.stage
		if stg == nil || !stg.step.LongRunning || done[stg] || !hel.working() {
			continue
		}
		sha := upkeep.StepShare{Local: hos.working(stg), Unavailable: stg.away(hos), MayMiss: stg.step.MayMiss}
		if !sha.NeedsRelocation() {
			continue
		}
		done[stg] = true
		sta.logDecision("task_relocated", hel.task.Job, map[string]any{"task": hel.task.String(), "run": hel.run, "vm": hos.vm.ID, "machine": name})
		sta.stop(hel)
	}
}

// working reports whether the run is at work and has not been told to stop.
func (hel *placement) working() bool { return hel.state == runRunning && hel.percent >= atWork }

// working counts the tasks of a stage that are at work on a VM.
func (hos *host) working(stg *stage) int {
	n := 0
	for _, hel := range hos.runList {
		if hel.stage == stg && hel.working() {
			n++
		}
	}
	return n
}

// atWork is the percent of a task that lasts and is at work.
const atWork = 100

// away returns how many tasks of a stage that lasts are not at work. Those that
// are at work on one VM are left out.
func (stg *stage) away(but *host) int {
	n := 0
	for i := range stg.tasks {
		hos := stg.tasks[i].host
		if hos == but {
			name := stg.task(i)
			if hel := hos.runs[name]; hel != nil && !hel.working() {
				n++
			}
			continue
		}
		if hos == nil || hos.failedPolls > 0 || hos.vm.Leaving || hos.goingDown {
			n++
			continue
		}
		for _, hel := range hos.runList {
			if hel.stage == stg && hel.task.Index == i && !hel.working() {
				n++
			}
		}
	}
	return n
}

// machineAnswered takes in the answer to an order for a machine.
func (sta *State) machineAnswered(evt MachineAnswered) {
	sta.logDecision("machine_answered", "", map[string]any{"machine": evt.Machine, "wave": evt.Wave, "result": evt.Result.String()})
	if evt.Wave == 0 {
		sta.moveAnswered(evt)
		return
	}
	wav := sta.waves[evt.Wave]
	if wav == nil {
		return
	}
	delete(wav.ordered, evt.Machine)
	if evt.Result == worker.MachineNotInWave || evt.Result == worker.MachineInvalid {
		wav.plan = wav.plan.WithBegun(evt.Machine)
		return
	}
	vm := sta.machines.byName[evt.Machine].VM
	if evt.Result != worker.MachineOK {
		if hos := sta.hosts[vm]; hos != nil {
			sta.orderFailed(hos, evt.Result)
		}
		return
	}
	wav.plan = wav.plan.WithBegun(evt.Machine)
	wav.down[evt.Machine] = downMachine{vm: vm, since: sta.now}
	sta.emit(SaveWave{Number: evt.Wave, Begun: wav.begun()})
	if hos := sta.hosts[vm]; hos != nil {
		hos.downAnswered = sta.now
		sta.machines.refreshDue = true
	}
}

// orderFailed takes in that an order for a host's machine was not carried out,
// as far as is known.
func (sta *State) orderFailed(hos *host, res worker.MachineResult) {
	if res == worker.MachineUnknown {
		hos.downAnswered = sta.now
		sta.machines.refreshDue = true
		return
	}
	hos.goingDown = false
}

// machinesListed takes in the list of machines. It tells which lives have
// ended.
func (sta *State) machinesListed(evt MachinesListed) {
	sta.machines.inFlight = false
	if evt.Machines == nil {
		return
	}
	sta.machines.listed = evt.RequestedAt
	sta.machines.byName = make(map[string]worker.Machine, len(evt.Machines))
	sta.machines.byVM = make(map[string]string, len(evt.Machines))
	for _, mac := range evt.Machines {
		sta.machines.byName[mac.Name] = mac
		if mac.VM != "" {
			sta.machines.byVM[mac.VM] = mac.Name
		}
	}
	sta.machineNames = slices.Sorted(maps.Keys(sta.machines.byName))
	for _, hos := range slices.Clone(sta.hostList) {
		sta.checkListed(hos, evt.RequestedAt)
	}
}

// checkListed takes in what a list of machines that was asked for at a time says
// of a host.
func (sta *State) checkListed(hos *host, asked time.Time) {
	name, ok := sta.machines.byVM[hos.vm.ID]
	mac := sta.machines.byName[name]
	ordered := hos.goingDown && !hos.downAnswered.IsZero() && asked.After(hos.downAnswered)
	switch {
	case ordered && ok && mac.State == worker.MachineUp:
		sta.logDecision("order_without_effect", "", map[string]any{"machine": name, "vm": hos.vm.ID})
		hos.goingDown, hos.downAnswered = false, time.Time{}
		delete(sta.moves, name)
		for _, wav := range sta.waves {
			delete(wav.down, name)
		}
	case ordered:
		sta.removeHost(hos, "its machine went down as ordered")
	case (!ok || mac.State != worker.MachineUp) && !hos.fenced && !asked.Before(hos.firstSeen):
		// Registrations outlast the life of a VM by some seconds.
		sta.removeHost(hos, "no machine has this life any more")
	case hos.failedPolls > 0 && (!ok || mac.State == worker.MachineDown):
		sta.removeHost(hos, "the list of machines says that it is down")
	}
}

// listMachines asks for the list of machines while something waits for it.
func (sta *State) listMachines() {
	pause := listRest
	if sta.formerLeasesMayHold() && sta.machines.listed.Before(sta.opt.Since) {
		pause = 0
	}
	for _, wav := range sta.waves {
		if !wav.completed {
			pause = min(pause, listPause)
		}
	}
	for _, hos := range sta.hostList {
		_, listed := sta.machines.byVM[hos.vm.ID]
		if hos.failedPolls >= silentAfterPolls || !listed {
			pause = min(pause, listPause)
		}
	}
	if len(sta.moves) > 0 {
		pause = min(pause, listPause)
	}
	if sta.machines.refreshDue {
		pause = min(pause, listSoon)
	}
	if sta.machines.inFlight || sta.now.Sub(sta.machines.requestedAt) < pause {
		return
	}
	sta.machines.inFlight, sta.machines.refreshDue = true, false
	sta.machines.requestedAt = sta.now
	sta.emit(ListMachines{})
}
