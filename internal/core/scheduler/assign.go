package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/priority"
)

// waitingStage is a stage with tasks that wait for room.
type waitingStage struct {
	stage       *stage
	priorityKey priority.Key
}

// viewAge bounds how old the view of jobs may be to start tasks by it: a job may
// have been cancelled since. A watch that went silent is noticed and replaced in
// less.
const viewAge = 1500 * time.Millisecond

// assign starts tasks where there is room, in the order of priority.
func (sta *State) assign() {
	if sta.now.Sub(sta.jobsSyncedAt) > viewAge {
		return
	}
	formerRunsMayExist := sta.formerRunsMayExist()
	pools := map[string][]waitingStage{}
	var upcoming []*stage
	for _, liv := range sta.jobList {
		if liv.final != "" || liv.restored && formerRunsMayExist {
			continue
		}
		pool := sta.poolOf(liv)
		for _, occ := range liv.occs {
			for i := range occ.stages {
				stg := &occ.stages[i]
				if stg.waiting == 0 {
					continue
				}
				if stg.blockers > 0 {
					if sta.adviceFor(liv.spec.Queue) != nil && stg.isNext() {
						upcoming = append(upcoming, stg)
					}
					continue
				}
				pools[pool] = append(pools[pool], waitingStage{stg, sta.priorityKey(stg)})
			}
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		waiting := pools[pool]
		hosts := sta.usableHosts(pool)
		slices.SortFunc(waiting, func(one, oth waitingStage) int { return priority.Compare(sta.now, one.priorityKey, oth.priorityKey) })
		for _, wai := range waiting {
			sta.place(wai.stage, hosts)
		}
	}
	for _, stg := range upcoming {
		sta.wantAdvice(stg, sta.usableHosts(sta.poolOf(stg.liveJob)))
	}
	sta.ask()
}

// poolOf returns the pool that runs a job's tasks. It outlasts the removal of
// the job's queue.
func (sta *State) poolOf(liv *liveJob) string {
	if que := sta.catalog.Queue(liv.spec.Queue); que != nil {
		liv.pool = que.Pool
	}
	return liv.pool
}

func (sta *State) priorityKey(stg *stage) priority.Key {
	liv := stg.liveJob
	occ := liv.occs[stg.occ]
	priorityKey := priority.Key{IsLongRunning: stg.step.LongRunning, Excess: liv.excess, Job: string(liv.spec.ID)}
	if que := sta.catalog.Queue(liv.spec.Queue); que != nil {
		priorityKey.Priority = que.Priority
	}
	priorityKey.Remaining = sta.chain(liv.spec, func(step int) bool { return occ.stages[step].left > 0 })
	factor := sta.runtimeRatios[liv.spec.Queue].factor()
	for i := range occ.stages {
		priorityKey.Work += occ.stages[i].work(factor)
	}
	priorityKey.Deadline = liv.deadline
	if liv.spec.Occurrences > 0 {
		priorityKey.Deadline = liv.deadline.Add(liv.spec.Due(stg.occ).Sub(liv.spec.Accepted))
	}
	return priorityKey
}

// work returns the core-seconds that a stage has yet to do, by its estimates
// times a factor.
func (stg *stage) work(factor float64) float64 {
	return stg.step.Size.Cores() * float64(stg.left) * stg.step.Estimate.Seconds() * factor
}

func (sta *State) usableHosts(pool string) (hosts []*host) {
	for _, hos := range sta.pools[pool] {
		if hos.usable(sta.now) && !sta.zonesOut[hos.vm.AZ] {
			hosts = append(hosts, hos)
		}
	}
	return hosts
}

// place starts as many of a stage's waiting tasks as fit.
func (sta *State) place(stg *stage, hosts []*host) {
	if stg.step.Gang {
		sta.placeGang(stg, hosts)
	} else {
		sta.placeEach(stg, hosts)
	}
	if stg.waiting > 0 {
		sta.wantAdvice(stg, hosts)
	}
}

// placeEach starts those waiting tasks of a stage that fit.
func (sta *State) placeEach(stg *stage, hosts []*host) {
	for i := range stg.tasks {
		tas := &stg.tasks[i]
		if tas.phase != phaseWaiting || sta.now.Before(tas.notBefore) {
			continue
		}
		if !sta.underCap(stg, 1) {
			return
		}
		hos := sta.choose(stg, i, hosts, nil)
		if hos == nil {
			return
		}
		sta.start(hos, stg, i, tas.run+1)
	}
}

// underCap reports whether a client account may run n more tasks of a stage.
func (sta *State) underCap(stg *stage, n int) bool {
	acc := sta.catalog.Account(stg.liveJob.spec.Account)
	if acc == nil {
		return true
	}
	sum := sta.usage[acc.Name].Plus(stg.step.Size.Times(n))
	return (acc.Cap.CPU == 0 || sum.CPU <= acc.Cap.CPU) &&
		(acc.Cap.Memory == 0 || sum.Memory <= acc.Cap.Memory) &&
		(acc.Cap.Accelerators == 0 || sum.Accelerators <= acc.Cap.Accelerators)
}

// start orders a VM to start a run of a task.
func (sta *State) start(hos *host, stg *stage, index, run int) {
	name := stg.task(index)
	tas := &stg.tasks[index]
	if len(hos.runs) == 0 {
		hos.nextPoll = sta.now.Add(minPollInterval)
	}
	sta.reserve(hos, stg, name, run, runOrdered)
	sta.emit(Start{
		VM: hos.vm, Task: name, Run: run, Payload: stg.liveJob.spec.Payload, Deadline: sta.extendLease(hos),
		Checkpoint: tas.checkpoint, Ticket: stg.advice.valid(hos.vm.ID, sta.now),
	})
}

// choose returns the VM where a task of a stage runs best beside those of a
// trial, or nil.
func (sta *State) choose(stg *stage, index int, hosts []*host, tri trial) (best *host) {
	var bestScore score
	name := stg.task(index)
	for _, hos := range hosts {
		// A former run that is being stopped there would be taken for the new one.
		if hos.runs[name] != nil || !sta.allows(stg, hos, tri[hos]) {
			continue
		}
		sco := sta.score(stg, hos, tri[hos])
		if best == nil || sco.better(bestScore) {
			best, bestScore = hos, sco
		}
	}
	return best
}

// allows reports whether a task of a stage may run on a VM beside a number of
// others of the stage that are to start there.
func (sta *State) allows(stg *stage, hos *host, planned int) bool {
	ste := stg.step
	if !ste.Reservation().Times(planned + 1).Fits(hos.vm.Capacity.Minus(hos.used)) {
		return false
	}
	if ste.Label != "" && !hos.vm.HasLabel(ste.Label) {
		return false
	}
	if ste.MaxPerVM > 0 && hos.count(stg)+planned >= ste.MaxPerVM {
		return false
	}
	if sta.adviceFor(stg.liveJob.spec.Queue) != nil && stg.advice.valid(hos.vm.ID, sta.now) == "" {
		return false
	}
	return true
}

// count returns how many tasks of a stage a VM holds.
func (hos *host) count(stg *stage) int {
	n := 0
	for _, hel := range hos.runList {
		if hel.stage == stg {
			n++
		}
	}
	return n
}

// score says how well a task runs on a VM; lower fields only break ties.
type score struct {
	// remote says that the task's data lies on another rack.
	remote bool
	// siblings is how many tasks of the step the VM holds, for steps that last.
	siblings int
	// disturbed is how many tasks there disturb the task or are disturbed by it.
	disturbed int
	// free is the share of the VM that stays free. Tasks are packed, so that
	// other VMs become empty and can be moved.
	free float64
}

func (sco score) better(oth score) bool {
	switch {
	case sco.remote != oth.remote:
		return !sco.remote
	case sco.siblings != oth.siblings:
		return sco.siblings < oth.siblings
	case sco.disturbed != oth.disturbed:
		return sco.disturbed < oth.disturbed
	default:
		return sco.free < oth.free
	}
}

func (sta *State) score(stg *stage, hos *host, planned int) score {
	ste := stg.step
	sco := score{remote: ste.DataRack != "" && !hos.vm.HasLabel(ste.DataRack)}
	if ste.LongRunning {
		sco.siblings = hos.count(stg) + planned
	}
	for _, hel := range hos.runList {
		if hel.stage == nil {
			continue
		}
		if oth := hel.stage.step; ste.Fills && oth.TailTarget > 0 || ste.TailTarget > 0 && oth.Fills {
			sco.disturbed++
		}
	}
	if cpu := hos.vm.Capacity.CPU; cpu > 0 {
		sco.free = float64(cpu-hos.used.CPU-ste.Reservation().CPU*int64(planned+1)) / float64(cpu)
	}
	return sco
}
