package scheduler

import (
	"math"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/rebalance"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Times and shares of the plan of moves.
const (
	// fleetEvery is the time between two plans.
	fleetEvery = 150 * time.Millisecond
	// lateTime is in what time a pool should be able to do the work of a job that
	// is late or nearly so.
	lateTime = 700 * time.Millisecond
	// usableTime is the part of the time to a job's deadline that is planned
	// with; tasks don't fit into it without gaps.
	usableTime = 0.7
	// leadTime is for how long ahead the work that arrives meanwhile counts.
	leadTime = 500 * time.Millisecond
	// rateTime is over what time the rate of arriving work is averaged.
	rateTime = 700 * time.Millisecond
	// keepTime is for how long a pool keeps what it needed.
	keepTime = 800 * time.Millisecond
	// restTime is for how long the pools together keep what they needed. Turns of
	// demand come back within seconds.
	restTime = 20 * time.Second
	// fullShare is the part of a machine that tasks fill before another one is
	// needed; sizes don't fit without gaps.
	fullShare = 0.9
	// leastMachines is how many machines a pool that is used keeps.
	leastMachines = 2
	// movesShare is the part of the platform's rate of orders that moves use; the
	// rest is for upkeep.
	movesShare = 0.8
	// moveLimit is after what time a move whose end wasn't seen is forgotten.
	moveLimit = 10 * time.Second
)

// demand is what a pool has been asked for.
type demand struct {
	// rate is the work that arrives, in cores; updated is when it was last
	// averaged.
	rate    float64
	updated time.Time
	// arrived is the work that arrived since, in core-seconds.
	arrived float64
	// peaks holds what the pool wanted of late.
	peaks []peak
}

type peak struct {
	at   time.Time
	want int
}

// want notes what the pool wants and returns the most that it wanted of late.
func (dem *demand) want(now time.Time, want int, within time.Duration) (keep int) {
	dem.peaks = append(dem.peaks, peak{now, want})
	for now.Sub(dem.peaks[0].at) > within {
		dem.peaks = dem.peaks[1:]
	}
	for _, pea := range dem.peaks {
		keep = max(keep, pea.want)
	}
	return keep
}

// average brings the rate up to date.
func (dem *demand) average(now time.Time) {
	span := now.Sub(dem.updated)
	if dem.updated.IsZero() || span <= 0 {
		dem.updated = now
		return
	}
	weight := 1 - math.Exp(-span.Seconds()/rateTime.Seconds())
	dem.rate += (dem.arrived/span.Seconds() - dem.rate) * weight
	dem.arrived, dem.updated = 0, now
}

// pendingMove is a machine on its way to a pool.
type pendingMove struct {
	to string
	// vm is the life that the move ended or will end.
	vm    string
	since time.Time
}

// arrive counts a job that was taken in towards its pool's demand.
func (sta *State) arrive(liv *liveJob) {
	if liv.spec.IsLongRunning() || liv.restored {
		return
	}
	sta.demandOf(sta.poolOf(liv)).arrived += liv.work * sta.runtimeRatios[liv.spec.Queue].factor()
}

func (sta *State) demandOf(pool string) *demand {
	dem := sta.demands[pool]
	if dem == nil {
		dem = &demand{}
		sta.demands[pool] = dem
	}
	return dem
}

// planMoves orders the moves of machines that are due.
func (sta *State) planMoves() {
	if sta.now.Sub(sta.movesPlannedAt) < fleetEvery || sta.machines.listed.IsZero() {
		return
	}
	if !sta.maySteer() {
		return
	}
	sta.movesPlannedAt = sta.now
	pools := sta.fleetPools()
	sta.notePools(pools)
	moves := rebalance.Plan(pools, int(math.Ceil(sta.opt.MachineOrdersPerSecond*movesShare*fleetEvery.Seconds())), sta.spareMachines(pools), func(machine, pool string) bool { return !sta.forbiddenMoves[machine+" "+pool] })
	for _, mov := range moves {
		mac := sta.machines.byName[mov.Machine]
		if hos := sta.hosts[mac.VM]; hos != nil {
			hos.goingDown = true
		}
		sta.moves[mov.Machine] = pendingMove{to: mov.To, vm: mac.VM, since: sta.now}
		sta.logDecision("move_ordered", "", map[string]any{"machine": mov.Machine, "from": mov.From, "to": mov.To})
		sta.emit(Move{Machine: mov.Machine, Pool: mov.To})
	}
}

// spareMachines returns how many machines the pools don't need together, by the
// most that they wanted within a while.
func (sta *State) spareMachines(pools []rebalance.Pool) int {
	have, want := 0, 0
	for _, poo := range pools {
		if !poo.Standby {
			have += poo.Have
			want += poo.Want
		}
	}
	most := sta.totalDemand.want(sta.now, want, restTime)
	if sta.now.Sub(sta.opt.Since) < restTime {
		return 0
	}
	return max(0, have-most)
}

// notePools tells the log once a second what the pools have and want.
func (sta *State) notePools(pools []rebalance.Pool) {
	if sta.now.Sub(sta.poolsLoggedAt) < time.Second {
		return
	}
	sta.poolsLoggedAt = sta.now
	fields := map[string]any{}
	for _, poo := range pools {
		fields[poo.Name] = map[string]int{"have": poo.Have, "want": poo.Want, "keep": poo.Keep, "empty": len(poo.Empty)}
	}
	sta.logDecision("pools", "", fields)
}

// fleetPools describes the pools for the plan.
func (sta *State) fleetPools() (pools []rebalance.Pool) {
	incoming := sta.incoming()
	needed := sta.needed()
	for i := range sta.catalog.Pools {
		poo := &sta.catalog.Pools[i]
		flp := rebalance.Pool{Name: poo.Name, Standby: poo.Standby, Have: incoming[poo.Name]}
		if poo.Standby {
			flp.Empty = sta.standbyMachines(poo.Name)
			flp.Have = len(flp.Empty)
			pools = append(pools, flp)
			continue
		}
		dem := sta.demandOf(poo.Name)
		dem.average(sta.now)
		cores, lasting, machineCores := 0.0, 0, 0.0
		for _, hos := range sta.pools[poo.Name] {
			if !hos.fenced && hos.failedPolls == 0 && !hos.vm.Leaving {
				flp.Have++
			}
			if !hos.usable(sta.now) || sta.zonesOut[hos.vm.AZ] {
				continue
			}
			flp.Have++
			machineCores = max(machineCores, float64(hos.vm.Capacity.CPU)/1000)
			lasts := hos.lastingCores()
			cores += lasts
			if lasts > 0 {
				lasting++
			}
			if name, ok := sta.machines.byVM[hos.vm.ID]; ok && len(hos.runList) == 0 {
				flp.Empty = append(flp.Empty, rebalance.IdleMachine{Machine: name, IdleFor: sta.now.Sub(hos.idleSince)})
			}
		}
		cores += needed[poo.Name] + dem.rate*leadTime.Seconds()
		flp.Want = max(leastMachines, lasting, int(math.Ceil(cores/(sta.largestMachine(machineCores)*fullShare))))
		flp.Keep = dem.want(sta.now, flp.Want, keepTime)
		pools = append(pools, flp)
	}
	return pools
}

// incoming counts the machines on their way to each pool, and those that are up
// and whose VMs have not registered yet.
func (sta *State) incoming() map[string]int {
	counts := map[string]int{}
	for _, mac := range sta.machines.byName {
		if _, moves := sta.moves[mac.Name]; !moves && mac.State == worker.MachineUp && sta.hosts[mac.VM] == nil {
			counts[mac.Pool]++
		}
	}
	for name, mov := range sta.moves {
		mac := sta.machines.byName[name]
		back := mac.VM != mov.vm && mac.VM != "" && sta.hosts[mac.VM] != nil
		if back || sta.now.Sub(mov.since) > moveLimit {
			delete(sta.moves, name)
			continue
		}
		counts[mov.to]++
	}
	return counts
}

// standbyMachines returns the machines of a standby pool that may be moved.
func (sta *State) standbyMachines(pool string) (idle []rebalance.IdleMachine) {
	for _, name := range sta.machineNames {
		mac := sta.machines.byName[name]
		_, moves := sta.moves[name]
		if mac.Pool != pool || mac.State != worker.MachineUp || moves || sta.inUpkeep(name) {
			continue
		}
		if hos := sta.hosts[mac.VM]; hos != nil && (hos.vm.Leaving || hos.cordoned || hos.goingDown || len(hos.runList) > 0) {
			continue
		}
		idle = append(idle, rebalance.IdleMachine{Machine: name})
	}
	return idle
}

// inUpkeep reports whether a machine's upkeep is ordered.
func (sta *State) inUpkeep(name string) bool {
	for _, wav := range sta.waves {
		if wav.ordered[name] {
			return true
		}
		if _, down := wav.down[name]; down {
			return true
		}
	}
	return false
}

// largestMachine returns the cores of a pool's machines, or of the largest
// machine for a pool that has none now.
func (sta *State) largestMachine(cores float64) float64 {
	if cores > 0 {
		return cores
	}
	for _, mac := range sta.machines.byName {
		cores = max(cores, mac.Capacity.Cores())
	}
	return max(1, cores)
}

// needed returns the cores with which each pool would do the work of its jobs
// by their deadlines, but no more than their tasks can use at once.
func (sta *State) needed() map[string]float64 {
	sums := map[string]float64{}
	usable := map[string]float64{}
	for _, liv := range sta.jobList {
		if liv.final != "" || liv.spec.IsLongRunning() {
			continue
		}
		factor := sta.runtimeRatios[liv.spec.Queue].factor()
		sum := 0.0
		pool := sta.poolOf(liv)
		for _, occ := range liv.occs {
			for i := range occ.stages {
				stg := &occ.stages[i]
				sum += stg.work(factor)
				if stg.blockers == 0 {
					usable[pool] += stg.step.Reservation().Cores() * float64(stg.left)
				}
			}
		}
		span := max(lateTime, time.Duration(usableTime*float64(liv.deadline.Sub(sta.now))))
		sums[pool] += sum / span.Seconds()
	}
	for pool, sum := range sums {
		sums[pool] = min(sum, usable[pool])
	}
	return sums
}

// lastingCores returns the cores of the tasks that last on a VM.
func (hos *host) lastingCores() float64 {
	sum := 0.0
	for _, hel := range hos.runList {
		if hel.stage != nil && hel.stage.step.LongRunning {
			sum += hel.stage.step.Reservation().Cores()
		}
	}
	return sum
}

// moveAnswered takes in the answer to a move.
func (sta *State) moveAnswered(evt MachineAnswered) {
	mov, ok := sta.moves[evt.Machine]
	if !ok {
		return
	}
	hos := sta.hosts[mov.vm]
	switch evt.Result {
	case worker.MachineOK:
		sta.machines.refreshDue = true
		if hos != nil {
			hos.downAnswered = sta.now
		}
	case worker.MachineUnknown:
		if hos != nil {
			sta.orderFailed(hos, evt.Result)
		}
	default:
		delete(sta.moves, evt.Machine)
		if hos != nil {
			sta.orderFailed(hos, evt.Result)
		}
		if evt.Result == worker.MachineInvalid {
			sta.forbiddenMoves[evt.Machine+" "+mov.to] = true
		}
	}
}
