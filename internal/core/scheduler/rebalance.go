package scheduler

import (
	"math"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/rebalance"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Parameters of the planning of moves.
const (
	// movePlanInterval is the time between two plans.
	movePlanInterval = 150 * time.Millisecond
	// lateJobSpan is the time in which a pool should be able to finish a job
	// that is late or almost late.
	lateJobSpan = 700 * time.Millisecond
	// usableTimeShare is the share of the time to a job's deadline in which its
	// work is planned to end. The remainder allows for gaps between tasks.
	usableTimeShare = 0.7
	// leadTime is how far ahead arriving work is planned for.
	leadTime = 500 * time.Millisecond
	// peakWindow is how long a pool keeps the machines of a peak of its demand.
	peakWindow = 800 * time.Millisecond
	// totalPeakWindow is how long all pools together keep the machines of a
	// peak. Demand shifts between pools and returns within seconds.
	totalPeakWindow = 20 * time.Second
	// targetUtilization is the share of a machine's cores that is planned with, as
	// the sizes of tasks do not fill a machine completely.
	targetUtilization = 0.9
	// minMachines is the minimum number of machines of a pool that is not on
	// standby.
	minMachines = 2
	// moveOrderShare is the share of the rate limit for machine orders that
	// moves may use; the remainder is for upkeep.
	moveOrderShare = 0.8
	// maxUnansweredPlans limits the orders that are unanswered to those of this
	// many plans.
	maxUnansweredPlans = 3
	// moveTimeout is the time after which a move whose end was not observed is
	// dropped.
	moveTimeout = 10 * time.Second
)

// pendingMove is the move of a machine to another pool.
type pendingMove struct {
	to string
	// vm is the ID of the VM that the move ends.
	vm    string
	since time.Time
	// unanswered reports whether the answer to the order is outstanding.
	unanswered bool
}

// unansweredMoves returns the number of moves whose orders are unanswered.
func (sta *State) unansweredMoves() (n int) {
	for _, mov := range sta.moves {
		if mov.unanswered {
			n++
		}
	}
	return n
}

// countArrival adds the work of an accepted job to the demand for its pool.
func (sta *State) countArrival(liv *liveJob) {
	if liv.spec.IsLongRunning() || liv.restored {
		return
	}
	sta.demandOf(sta.poolOf(liv)).Add(liv.work * sta.runTimeFactor(liv))
}

// demandOf returns the demand of a pool, and creates it if necessary.
func (sta *State) demandOf(pool string) *rebalance.Demand {
	dem := sta.demands[pool]
	if dem == nil {
		dem = &rebalance.Demand{}
		sta.demands[pool] = dem
	}
	return dem
}

// planMoves orders the moves of machines between pools.
func (sta *State) planMoves() {
	if sta.now.Sub(sta.movesPlannedAt) < movePlanInterval || sta.machines.asOf.IsZero() {
		return
	}
	if sta.ending || !sta.mayOrderMachines() {
		return
	}
	sta.movesPlannedAt = sta.now
	pools := sta.rebalancePools()
	sta.logPools(pools)
	most := int(math.Ceil(sta.opt.MachineOrdersPerSecond * moveOrderShare * movePlanInterval.Seconds()))
	// Orders that wait for others to be answered would time out, and leave the
	// machine without tasks until a list shows its state.
	most = max(0, min(most, maxUnansweredPlans*most-sta.unansweredMoves()))
	moves := rebalance.Plan(pools, most, sta.spareMachines(pools), func(machine, pool string) bool { return !sta.forbiddenMoves[machine+" "+pool] })
	for _, mov := range moves {
		mac := sta.machines.byName[mov.Machine]
		if hos := sta.hosts[mac.VM]; hos != nil {
			hos.goingDown = true
		}
		sta.moves[mov.Machine] = pendingMove{to: mov.To, vm: mac.VM, since: sta.now, unanswered: true}
		sta.logDecision("move_ordered", "", map[string]any{"machine": mov.Machine, "from": mov.From, "to": mov.To})
		sta.emit(Move{Machine: mov.Machine, Pool: mov.To})
	}
}

// spareMachines returns the number of machines that may go to standby: those
// above the total peak of all pools.
func (sta *State) spareMachines(pools []rebalance.Pool) int {
	have, want := 0, 0
	for _, poo := range pools {
		if !poo.Standby {
			have += poo.Have
			want += poo.Want
		}
	}
	most := sta.totalDemand.RecordWant(sta.now, want, totalPeakWindow)
	if sta.now.Sub(sta.opt.Since) < totalPeakWindow {
		return 0
	}
	return max(0, have-most)
}

// logPools logs once a second how many machines the pools have and want.
func (sta *State) logPools(pools []rebalance.Pool) {
	if sta.now.Sub(sta.poolsLoggedAt) < time.Second {
		return
	}
	sta.poolsLoggedAt = sta.now
	fields := map[string]any{}
	for _, poo := range pools {
		fields[poo.Name] = map[string]int{"have": poo.Have, "want": poo.Want, "keep": poo.Keep, "empty": len(poo.Idle)}
	}
	sta.logDecision("pools", "", fields)
}

// rebalancePools returns the pools as input for rebalance.Plan.
func (sta *State) rebalancePools() (pools []rebalance.Pool) {
	incoming := sta.incoming()
	neededCores := sta.neededCores()
	for i := range sta.catalog.Pools {
		poo := &sta.catalog.Pools[i]
		rbp := rebalance.Pool{Name: poo.Name, Standby: poo.Standby, Have: incoming[poo.Name]}
		if poo.Standby {
			rbp.Idle = sta.standbyMachines(poo.Name)
			rbp.Have = len(rbp.Idle)
			pools = append(pools, rbp)
			continue
		}
		dem := sta.demandOf(poo.Name)
		dem.Average(sta.now)
		cores, longRunningHosts, machineCores := 0.0, 0, 0.0
		for _, hos := range sta.pools[poo.Name] {
			if !hos.termAccepted && hos.failedPolls == 0 && !hos.vm.Leaving {
				rbp.Have++
			}
			if !hos.usable(sta.now) || sta.zonesOut[hos.vm.AZ] {
				continue
			}
			rbp.Have++
			machineCores = max(machineCores, float64(hos.vm.Capacity.CPU)/1000)
			longRunning := hos.longRunningCores()
			cores += longRunning
			if longRunning > 0 {
				longRunningHosts++
			}
			if name, ok := sta.machines.byVM[hos.vm.ID]; ok && hos.isIdle() && sta.confirmListedVM(sta.machines.byName[name]) {
				rbp.Idle = append(rbp.Idle, rebalance.IdleMachine{Machine: name, IdleFor: sta.now.Sub(hos.idleSince)})
			}
		}
		cores += neededCores[poo.Name] + dem.Rate()*leadTime.Seconds()
		rbp.Want = max(minMachines, longRunningHosts, int(math.Ceil(cores/(sta.coresPerMachine(machineCores)*targetUtilization))))
		rbp.Keep = dem.RecordWant(sta.now, rbp.Want, peakWindow)
		pools = append(pools, rbp)
	}
	return pools
}

// incoming counts, by pool, the machines that move there, and those that are
// up without a registered VM. It drops the moves that have ended or
// timed out.
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
		if back || sta.now.Sub(mov.since) > moveTimeout {
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
		if mac.Pool != pool || mac.State != worker.MachineUp || moves || sta.upkeeps.MayBeDown(name) {
			continue
		}
		if hos := sta.hosts[mac.VM]; hos != nil && (hos.vm.Leaving || hos.cordoned || hos.goingDown || !hos.isIdle()) {
			continue
		}
		idle = append(idle, rebalance.IdleMachine{Machine: name})
	}
	return idle
}

// coresPerMachine returns the cores with which a machine counts towards a pool's
// demand: cores, which is those of the pool's largest usable machine, or if that
// is 0, those of the largest machine of all.
func (sta *State) coresPerMachine(cores float64) float64 {
	if cores > 0 {
		return cores
	}
	for _, mac := range sta.machines.byName {
		cores = max(cores, mac.Capacity.Cores())
	}
	return max(1, cores)
}

// neededCores returns the cores that each pool needs to finish its jobs by
// their deadlines, limited to what their tasks can use concurrently.
func (sta *State) neededCores() map[string]float64 {
	sums := map[string]float64{}
	usable := map[string]float64{}
	for _, liv := range sta.jobList {
		if liv.final != "" || liv.spec.IsLongRunning() {
			continue
		}
		factor := sta.runTimeFactor(liv)
		sum := 0.0
		pool := sta.poolOf(liv)
		for _, occ := range liv.occs {
			for i := range occ.stages {
				stg := &occ.stages[i]
				sum += stg.remainingWork(factor)
				if stg.blockers == 0 {
					usable[pool] += stg.step.Reservation().Cores() * float64(stg.left)
				}
			}
		}
		span := max(lateJobSpan, time.Duration(usableTimeShare*float64(liv.deadline.Sub(sta.now))))
		sums[pool] += sum / span.Seconds()
	}
	for pool, sum := range sums {
		sums[pool] = min(sum, usable[pool])
	}
	return sums
}

// longRunningCores returns the cores of the long-running tasks on a host.
func (hos *host) longRunningCores() float64 {
	sum := 0.0
	for _, pla := range hos.runList {
		if pla.stage != nil && pla.stage.step.LongRunning {
			sum += pla.stage.step.Reservation().Cores()
		}
	}
	return sum
}

// moveAnswered handles the answer to the order to move a machine.
func (sta *State) moveAnswered(evt MachineAnswered) {
	mov, ok := sta.moves[evt.Machine]
	if !ok {
		return
	}
	mov.unanswered = false
	sta.moves[evt.Machine] = mov
	hos := sta.hosts[mov.vm]
	switch evt.Result {
	case worker.MachineOK, worker.MachineUnknown:
		sta.noteDown(hos)
	default:
		delete(sta.moves, evt.Machine)
		if hos != nil {
			hos.goingDown = false
		}
		if evt.Result == worker.MachineInvalid {
			sta.forbiddenMoves[evt.Machine+" "+mov.to] = true
		}
	}
}
