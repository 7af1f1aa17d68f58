package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// Load is the dispatcher's load, which the entries use to admit jobs. It is
// immutable.
type Load struct {
	// Pending is, by queue, the number of jobs of which no task has started.
	// Jobs with scheduled occurrences are not counted.
	Pending map[string]int `msgpack:"p"`
	// Backlog is, by queue, the time that the work of accepted jobs takes.
	// Queues with less than backlogUnit are left out.
	Backlog map[string]time.Duration `msgpack:"b,omitempty"`
	// Sizes lists the distinct capacities of the machines.
	Sizes []job.Size `msgpack:"s,omitempty"`
}

// Parameters of Load and Admit.
const (
	// backlogUnit is the unit to which backlogs are truncated. The load is
	// written when it changes.
	backlogUnit = time.Second
	// worthlessFactor is the multiple of its latency objective after which a job
	// has no value, by the platform's rules.
	worthlessFactor = 3
	// oversizedRetry is the retry delay of a job with a task that no machine can
	// hold.
	oversizedRetry = time.Minute
)

// Load returns the current load. It is not known until all stored jobs are
// loaded.
func (sta *State) Load() (loa Load, ok bool) {
	if !sta.jobsLoaded {
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
			wait = max(wait, sta.advisorBacklog())
		}
		if wait = wait.Truncate(backlogUnit); wait > 0 {
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

// backlogs returns the time that each pool needs for the work of its jobs. It is
// the time in which the pool's own machines do that work, or that in which all
// machines do the work of all pools, whichever is less, as machines move to
// where work is.
func (sta *State) backlogs() map[string]time.Duration {
	remainingWork, cores := map[string]float64{}, map[string]float64{}
	allWork, allCores := 0.0, 0.0
	for _, liv := range sta.jobList {
		if liv.final != "" || liv.spec.IsLongRunning() {
			continue
		}
		factor := sta.runtimeRatios[liv.spec.Queue].factor()
		pool := sta.poolOf(liv)
		for _, occ := range liv.occs {
			for i := range occ.stages {
				remainingWork[pool] += occ.stages[i].remainingWork(factor)
				allWork += occ.stages[i].remainingWork(factor)
			}
		}
	}
	for _, hos := range sta.hostList {
		// VMs that have not reported yet or are down for upkeep count as well.
		// Otherwise jobs would be refused after a takeover because the capacity is
		// still unknown.
		if !hos.unregistered && !hos.vm.Leaving && !sta.zonesOut[hos.vm.AZ] {
			free := max(0, hos.vm.Capacity.Cores()-hos.longRunningCores())
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
	for pool, sum := range remainingWork {
		seconds := min(sum/max(cores[pool], math.SmallestNonzeroFloat64), allWork/allCores)
		waits[pool] = time.Duration(seconds * float64(time.Second))
	}
	return waits
}

// advisorBacklog returns the time that the queries for all stages without a
// running or finished task take with the current number of slots.
func (sta *State) advisorBacklog() time.Duration {
	sum := time.Duration(0)
	for _, liv := range sta.jobList {
		span := sta.advisorLatency(liv.spec.Queue)
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

// Admit decides whether a queue accepts a job. It returns the reason for a
// refusal, which is empty if the job is accepted, and the delay after which to
// retry. A job is refused if the backlog delays it until it has no value, or
// if no machine can hold one of its tasks.
func (loa Load) Admit(que *catalog.Queue, spe job.Spec) (after time.Duration, reason string) {
	if spe.IsLongRunning() || spe.Occurrences > 0 {
		return 0, ""
	}
	for _, ste := range spe.Steps {
		fits := func(size job.Size) bool { return ste.Reservation().Fits(size) }
		if len(loa.Sizes) > 0 && !slices.ContainsFunc(loa.Sizes, fits) {
			return oversizedRetry, "no machine can hold a task of the job"
		}
	}
	objective := que.Objective(spe.CriticalPath(nil, nil))
	if wait := loa.Backlog[que.Name]; wait > worthlessFactor*objective {
		return wait - objective, "the backlog is too long for the job to be in time"
	}
	return 0, ""
}
