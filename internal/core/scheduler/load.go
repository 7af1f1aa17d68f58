package scheduler

import (
	"maps"
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
	// Backlog holds, by pool, the time that the work of accepted jobs takes
	// whose deadline is within each of backlogHorizons. Pools with less than
	// minBacklog are left out.
	Backlog map[string][]time.Duration `msgpack:"b,omitempty"`
	// AccountBacklog is the time that a new job of a client account waits for the
	// account's other jobs, if they are held back by the account's cap or exceed
	// its allowance. Accounts with less than minBacklog are left out.
	AccountBacklog map[string]time.Duration `msgpack:"a,omitempty"`
	// AdvisorBacklog is the time that the advisor takes for all queries of jobs
	// that need them.
	AdvisorBacklog time.Duration `msgpack:"d,omitempty"`
	// StartBacklog is the time that the dispatcher takes to start the waiting tasks
	// of jobs that can still be in time, while it cannot send starts as fast as VMs
	// have room for them; otherwise 0.
	StartBacklog time.Duration `msgpack:"t,omitempty"`
	// Sizes lists the distinct capacities of the machines.
	Sizes []job.Size `msgpack:"s,omitempty"`
}

// Parameters of Load and Admit.
const (
	// backlogUnit is the unit to which backlogs are truncated, and minBacklog the
	// smallest that is published: less delays no job noticeably.
	backlogUnit = 100 * time.Millisecond
	minBacklog  = 400 * time.Millisecond
	// advisorBacklogUnit is the unit to which the advisor's backlog is truncated.
	advisorBacklogUnit = time.Second
	// startSlackShare is the share of a job's slack that its first tasks may wait for
	// the dispatcher. Entries see the load with a delay, and tasks of later
	// steps wait as well.
	startSlackShare = 0.5
	// minStartRetry is the shortest retry delay of a job that the dispatcher cannot
	// start in time.
	minStartRetry = 500 * time.Millisecond
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
	loa = Load{Pending: map[string]int{}, Backlog: map[string][]time.Duration{}}
	for _, liv := range sta.jobList {
		if liv.final == "" && !liv.begun && liv.spec.Occurrences == 0 {
			loa.Pending[sta.queueOf(liv).Name]++
		}
	}
	loa.AdvisorBacklog = sta.advisorBacklog().Truncate(advisorBacklogUnit)
	loa.StartBacklog = sta.startBacklog().Truncate(backlogUnit)
	backlogs, accountBacklogs := sta.backlogs()
	loa.AccountBacklog = accountBacklogs
	for pool, waits := range backlogs {
		if len(waits) > 0 && waits[len(waits)-1] >= minBacklog {
			loa.Backlog[pool] = waits
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

// advisorBacklog returns the time that the queries for all stages without a
// running or finished task take with the current number of slots.
func (sta *State) advisorBacklog() time.Duration {
	sum := time.Duration(0)
	for _, liv := range sta.jobList {
		span := sta.advisorLatency(liv)
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

// startBacklog returns the time that the dispatcher takes to start the waiting
// tasks of jobs that can still be in time; 0 unless it is behind. Jobs beyond their
// account's allowance and tasks beyond its cap are left out, as no others wait for
// them.
func (sta *State) startBacklog() time.Duration {
	rate := sta.starts.startsPerSecond()
	if rate == 0 || !sta.starts.isBehind(sta.now) {
		return 0
	}
	tasks := 0
	usage := maps.Clone(sta.usage)
	for _, liv := range sta.jobList {
		if liv.final != "" || liv.spec.IsLongRunning() || liv.excess {
			continue
		}
		factor := sta.runTimeFactor(liv)
		for _, occ := range liv.occs {
			if rest := time.Duration(float64(occ.remainder(liv.spec).path) * factor); sta.now.Add(rest).After(liv.deadline) {
				continue
			}
			for i := range occ.stages {
				stg := &occ.stages[i]
				n := min(stg.waiting, sta.countUnderCap(liv.spec.Account, usage[liv.spec.Account], stg.step.Size))
				usage[liv.spec.Account] = usage[liv.spec.Account].Plus(stg.step.Size.Times(n))
				tasks += n
			}
		}
	}
	return durationOf(float64(tasks) / rate)
}

// countUnderCap returns how many more tasks of a size fit under an account's cap
// beside those that use some of it.
func (sta *State) countUnderCap(account string, used, size job.Size) int {
	acc := sta.catalog.Account(account)
	if acc == nil {
		return math.MaxInt
	}
	n := math.MaxInt
	for _, dim := range [...][3]int64{
		{acc.Cap.CPU, used.CPU, size.CPU}, {acc.Cap.Memory, used.Memory, size.Memory}, {acc.Cap.Accelerators, used.Accelerators, size.Accelerators},
	} {
		if limit, taken, each := dim[0], dim[1], dim[2]; limit > 0 && each > 0 {
			n = min(n, int(max(0, limit-taken)/each))
		}
	}
	return n
}

// Admit decides whether a queue accepts a job. It returns the reason for a
// refusal, which is empty if the job is accepted, and the delay after which to
// retry. A job is refused if the backlog delays it until it has no value, if the
// dispatcher cannot start it in time, or if no machine can hold one of its tasks.
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
	path := spe.CriticalPath(nil, nil)
	objective := que.Objective(path)
	// Unlike a pool, a dispatcher that is behind gets no help from elsewhere, and
	// each task that it starts too late delays others.
	if slack := time.Duration(startSlackShare * float64(objective-path)); loa.StartBacklog > slack {
		return loa.StartBacklog - slack + minStartRetry, "the dispatcher cannot start the job in time"
	}
	wait := max(loa.backlogBefore(que.Pool, objective), loa.AccountBacklog[spe.Account])
	if que.Advice != nil {
		wait = max(wait, loa.AdvisorBacklog)
	}
	if wait > worthlessFactor*objective {
		return wait - objective, "the backlog is too long for the job to be in time"
	}
	return 0, ""
}

// backlogBefore returns the time that a new job for a pool with the given latency
// objective waits for jobs with earlier deadlines.
func (loa Load) backlogBefore(pool string, objective time.Duration) time.Duration {
	waits := loa.Backlog[pool]
	if len(waits) == 0 {
		return 0
	}
	return waits[min(horizonOf(objective), len(waits)-1)]
}
