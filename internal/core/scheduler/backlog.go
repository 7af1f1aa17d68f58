package scheduler

import (
	"math"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// backlogHorizons are the times to a job's deadline by which pending work is
// grouped. Later deadlines count to the last one.
var backlogHorizons = [...]time.Duration{
	time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, 6 * time.Second, 9 * time.Second, 15 * time.Second,
}

// horizonOf returns the index of the first horizon that includes a time.
func horizonOf(span time.Duration) int {
	for i, hor := range backlogHorizons {
		if span <= hor {
			return i
		}
	}
	return len(backlogHorizons) - 1
}

// workByHorizon is work in core-seconds by the horizon of its deadline.
type workByHorizon [len(backlogHorizons)]float64

// add adds work from a horizon on.
func (wrk *workByHorizon) add(horizon int, work float64) {
	for i := horizon; i < len(wrk); i++ {
		wrk[i] += work
	}
}

// total returns the work of all horizons.
func (wrk *workByHorizon) total() float64 { return wrk[len(wrk)-1] }

// pendingWork sums the estimated work that is not done. Work of long-running
// jobs is not counted.
type pendingWork struct {
	// byPool and byAccount leave out the work of jobs that exceed the allowance
	// of their account, as other jobs do not wait for them.
	byPool, byAccount map[string]*workByHorizon
	// excess is the work of such jobs, by account.
	excess map[string]float64
}

// pendingWork sums the work of all live jobs.
func (sta *State) pendingWork() pendingWork {
	wrk := pendingWork{byPool: map[string]*workByHorizon{}, byAccount: map[string]*workByHorizon{}, excess: map[string]float64{}}
	for _, liv := range sta.jobList {
		if liv.final != "" || liv.spec.IsLongRunning() {
			continue
		}
		factor := sta.runTimeFactor(liv)
		sum := 0.0
		for _, occ := range liv.occs {
			for i := range occ.stages {
				sum += occ.stages[i].remainingWork(factor)
			}
		}
		if liv.excess {
			wrk.excess[liv.spec.Account] += sum
			continue
		}
		horizon := horizonOf(liv.deadline.Sub(sta.now))
		addWork(wrk.byPool, sta.poolOf(liv), horizon, sum)
		addWork(wrk.byAccount, liv.spec.Account, horizon, sum)
	}
	return wrk
}

func addWork(works map[string]*workByHorizon, name string, horizon int, sum float64) {
	if works[name] == nil {
		works[name] = &workByHorizon{}
	}
	works[name].add(horizon, sum)
}

// usableCores returns the cores of each pool that are free of long-running
// tasks, and those of all pools including the machines on standby.
func (sta *State) usableCores() (byPool map[string]float64, all float64) {
	byPool = map[string]float64{}
	for _, hos := range sta.hostList {
		// VMs that have not reported yet or are down for upkeep count as well.
		// Otherwise jobs would be refused after a takeover because the capacity is
		// still unknown.
		if !hos.unregistered && !hos.vm.Leaving && !sta.zonesOut[hos.vm.AZ] {
			free := max(0, hos.vm.Capacity.Cores()-hos.longRunningCores())
			byPool[hos.vm.Pool] += free
			all += free
		}
	}
	for i := range sta.catalog.Pools {
		if poo := &sta.catalog.Pools[i]; poo.Standby {
			for _, idl := range sta.standbyMachines(poo.Name) {
				all += sta.machines.byName[idl.Machine].Capacity.Cores()
			}
		}
	}
	return byPool, all
}

// backlogs returns, by horizon, the time that each pool needs for the work of
// its jobs, and the time that new jobs of an account wait for its other ones.
//
// The time of a pool is that in which its own machines do the work, or that in
// which all machines do the work of all pools, whichever is less, as machines
// move to where work is.
func (sta *State) backlogs() (pools map[string][]time.Duration, accounts map[string]time.Duration) {
	pools, accounts = map[string][]time.Duration{}, map[string]time.Duration{}
	cores, allCores := sta.usableCores()
	if allCores == 0 {
		return pools, accounts
	}
	wrk := sta.pendingWork()
	shared := sta.sharedBacklog(wrk, allCores)
	for pool, sums := range wrk.byPool {
		for i, sum := range sums {
			seconds := min(sum/max(cores[pool], math.SmallestNonzeroFloat64), shared[i])
			pools[pool] = append(pools[pool], durationOf(seconds).Truncate(backlogUnit))
		}
	}
	for account, sums := range wrk.byAccount {
		setBacklog(accounts, account, sums.total()/sta.capCores(account))
	}
	for account, sum := range wrk.excess {
		// Jobs beyond the allowance wait for all others.
		own := sum
		if sums := wrk.byAccount[account]; sums != nil {
			own += sums.total()
		}
		setBacklog(accounts, account, max(shared[len(shared)-1]+sum/allCores, own/sta.capCores(account)))
	}
	return pools, accounts
}

// setBacklog sets the backlog of an account unless it is negligible.
func setBacklog(accounts map[string]time.Duration, account string, seconds float64) {
	if wait := durationOf(seconds).Truncate(backlogUnit); wait >= minBacklog {
		accounts[account] = wait
	}
}

// sharedBacklogRounds is the number of rounds in which sharedBacklog converges.
const sharedBacklogRounds = 6

// sharedBacklog returns, by horizon, the seconds in which all machines do the
// work of all pools. Work that an account's cap postpones beyond that time takes
// no capacity from other accounts until then.
func (sta *State) sharedBacklog(wrk pendingWork, allCores float64) (seconds workByHorizon) {
	for i := range seconds {
		for _, sums := range wrk.byAccount {
			seconds[i] += sums[i] / allCores
		}
		for range sharedBacklogRounds {
			usable := 0.0
			for account, sums := range wrk.byAccount {
				usable += min(sums[i], sta.capCores(account)*seconds[i])
			}
			seconds[i] = usable / allCores
		}
	}
	return seconds
}

// capCores returns the cores that the tasks of an account may use at the same
// time.
func (sta *State) capCores(account string) float64 {
	acc := sta.catalog.Account(account)
	if acc == nil || acc.Cap.CPU == 0 {
		return math.Inf(1)
	}
	return job.Size{CPU: acc.Cap.CPU}.Cores()
}

func durationOf(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
