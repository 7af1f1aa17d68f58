package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// Load is what the dispatcher tells the entries. It is immutable.
type Load struct {
	// Pending counts, by queue, the jobs of which no task has started. Jobs with
	// times to come are not counted.
	Pending map[string]int `msgpack:"p"`
	// Backlog is, by queue, how long the work takes that was accepted before.
	// Queues that catch up within loadStep are left out.
	Backlog map[string]time.Duration `msgpack:"b,omitempty"`
	// Sizes are those of the machines, each once.
	Sizes []job.Size `msgpack:"s,omitempty"`
}

// Bounds of what is told.
const (
	// loadStep is the unit of backlogs. The load is written when it changes.
	loadStep = time.Second
	// worthlessFactor is how many times its objective a job takes at most to be of
	// any worth, from the platform's rules.
	worthlessFactor = 3
	// unfitRetry is when a job may come back that no machine can hold.
	unfitRetry = time.Minute
)

// Load returns the present load. It is not known until all stored jobs have been
// brought.
func (sta *State) Load() (loa Load, ok bool) {
	if !sta.loaded {
		return Load{}, false
	}
	loa = Load{Pending: map[string]int{}, Backlog: map[string]time.Duration{}}
	for _, liv := range sta.jobList {
		if liv.final == "" && !liv.begun && liv.spec.Occurrences == 0 {
			loa.Pending[liv.spec.Queue]++
		}
	}
	backlogs := sta.backlogs()
	for i := range sta.catalog.Queues {
		que := &sta.catalog.Queues[i]
		wait := backlogs[que.Pool]
		if que.Advice != nil {
			wait = max(wait, sta.adviceBacklog())
		}
		if wait = wait.Truncate(loadStep); wait > 0 {
			loa.Backlog[que.Name] = wait
		}
	}
	for _, mac := range sta.machines.byName {
		if !slices.Contains(loa.Sizes, mac.Capacity) {
			loa.Sizes = append(loa.Sizes, mac.Capacity)
		}
	}
	slices.SortFunc(loa.Sizes, func(one, oth job.Size) int { return int(one.CPU - oth.CPU) })
	return loa, true
}

// backlogs returns how long each pool takes for the work of its jobs, with its own
// machines or with its part of all machines, as these move to where work is.
func (sta *State) backlogs() map[string]time.Duration {
	work, cores := map[string]float64{}, map[string]float64{}
	allWork, allCores := 0.0, 0.0
	for _, liv := range sta.jobList {
		if liv.final != "" || liv.spec.IsLongRunning() {
			continue
		}
		factor := sta.runtimeRatios[liv.spec.Queue].factor()
		pool := sta.poolOf(liv)
		for _, occ := range liv.occs {
			for i := range occ.stages {
				work[pool] += occ.stages[i].work(factor)
				allWork += occ.stages[i].work(factor)
			}
		}
	}
	for _, hos := range sta.hostList {
		// VMs that were not heard of yet, or go down for their upkeep, count: after a
		// takeover nothing is refused for what is not known.
		if !hos.unregistered && !hos.vm.Leaving && !sta.zonesOut[hos.vm.AZ] {
			free := max(0, hos.vm.Capacity.Cores()-hos.lastingCores())
			cores[hos.vm.Pool] += free
			allCores += free
		}
	}
	for i := range sta.catalog.Pools {
		if poo := &sta.catalog.Pools[i]; poo.Standby {
			for _, idl := range sta.standbyMachines(poo.Name) {
				allCores += sta.machines.byName[idl.Machine].Capacity.Cores()
			}
		}
	}
	waits := map[string]time.Duration{}
	if allCores == 0 {
		return waits
	}
	for pool, sum := range work {
		seconds := min(sum/max(cores[pool], math.SmallestNonzeroFloat64), allWork/allCores)
		waits[pool] = time.Duration(seconds * float64(time.Second))
	}
	return waits
}

// adviceBacklog returns how long the askers take for the questions of all stages
// that have no task running or done.
func (sta *State) adviceBacklog() time.Duration {
	sum := time.Duration(0)
	for _, liv := range sta.jobList {
		span := sta.adviceTime(liv.spec.Queue)
		if span == 0 || liv.final != "" {
			continue
		}
		for _, occ := range liv.occs {
			for i := range occ.stages {
				if stg := &occ.stages[i]; stg.waiting == len(stg.tasks) && len(stg.advice.tickets) == 0 {
					sum += span
				}
			}
		}
	}
	return sum / time.Duration(max(1, sta.advisorSlots))
}

// Admit decides whether a queue takes another job. The reason is empty if it
// does. A job is not taken if what was accepted before takes so long that the job
// would be worthless, or if no machine can hold one of its tasks.
func (loa Load) Admit(que *catalog.Queue, spe job.Spec) (after time.Duration, reason string) {
	if spe.IsLongRunning() || spe.Occurrences > 0 {
		return 0, ""
	}
	for _, ste := range spe.Steps {
		fits := func(size job.Size) bool { return ste.Reservation().Fits(size) }
		if len(loa.Sizes) > 0 && !slices.ContainsFunc(loa.Sizes, fits) {
			return unfitRetry, "no machine can hold a task of the job"
		}
	}
	objective := que.Objective(spe.CriticalPath(nil, nil))
	if wait := loa.Backlog[que.Name]; wait > worthlessFactor*objective {
		return wait - objective, "the backlog is too long for the job to be in time"
	}
	return 0, ""
}
