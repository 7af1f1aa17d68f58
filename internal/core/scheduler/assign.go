package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/priority"
)

// waitingStage is a stage with tasks that wait for free capacity.
type waitingStage struct {
	stage *stage
	// pool is the pool in which the tasks run.
	pool        *poolRoom
	priorityKey priority.Key
}

// maxJobStaleness is the maximum age of the known state of jobs at which tasks
// may start, as a job may have been cancelled since. A silent watch is
// detected and replaced in less time.
const maxJobStaleness = 1500 * time.Millisecond

// worthlessFactor is the multiple of its latency objective after which a job has
// no value, by the platform's rules.
const worthlessFactor = 3

// runTimeFactor returns the ratio of expected to estimated run times of a job's queue.
func (sta *State) runTimeFactor(liv *liveJob) float64 {
	return sta.runtimeRatios.Factor(sta.queueKeyOf(liv))
}

// assign starts waiting tasks in order of priority where there is free capacity.
func (sta *State) assign() {
	if sta.now.Sub(sta.jobsSyncedAt) > maxJobStaleness {
		return
	}
	sta.starts.prune(sta.now)
	que := sta.queueStages()
	sta.keepFree(que.crashed)
	// The pools share the limit of starts in flight, so their stages are ordered
	// together.
	for que.order(sta.now); len(que.waiting) > 0 && !sta.starts.full(); {
		wai := que.pop(sta.now)
		// Earlier stages may have taken the room.
		if wai.pool.mayFit(wai.stage.step.Reservation()) || sta.needsTurn(wai.stage) {
			sta.effort.Stages++
			sta.place(wai.stage, wai.pool)
		}
	}
	if sta.starts.full() && (que.withheld || len(que.waiting) > 0) {
		sta.starts.withheldAt = sta.now
	}
	for _, wai := range que.waiting {
		if sta.needsTurn(wai.stage) {
			sta.place(wai.stage, wai.pool)
		}
	}
	for _, stg := range que.upcoming {
		sta.enqueueAdvisorQuery(stg, sta.roomOf(que.rooms, sta.poolOf(stg.liveJob)).hosts)
	}
	sta.sendAdvisorQueries()
}

// stageQueue holds the stages that wait in a call of Reduce.
type stageQueue struct {
	rooms map[string]*poolRoom
	// waiting holds the stages that may start tasks or need a turn. It is a heap, as
	// usually few of them start any.
	waiting []waitingStage
	// withheld reports whether a stage was left out that might fit, as no further
	// start may be sent.
	withheld bool
	// crashed holds, without keys, the waiting stages under whose tasks VMs have
	// crashed.
	crashed []waitingStage
	// upcoming holds the stages that still depend on others and whose advice is
	// asked for in advance.
	upcoming []*stage
}

// queueStages collects the waiting stages.
func (sta *State) queueStages() (que stageQueue) {
	que.rooms = map[string]*poolRoom{}
	sta.former, sta.bound = sta.boundFormerRuns(), sta.findBound()
	sta.effort.Backlog = 0
	for _, liv := range sta.jobList {
		if liv.final != "" || liv.restored && sta.former.mayExist {
			continue
		}
		for _, occ := range liv.occs {
			for i := range occ.stages {
				if stg := &occ.stages[i]; stg.waiting > 0 {
					sta.queueStage(&que, stg)
				}
			}
		}
	}
	return que
}

// queueStage adds a stage with waiting tasks to the queue.
func (sta *State) queueStage(que *stageQueue, stg *stage) {
	if stg.blockers > 0 {
		if sta.needsAdvice(stg.liveJob) && stg.prerequisitesStarted() {
			que.upcoming = append(que.upcoming, stg)
		}
		return
	}
	sta.effort.Backlog++
	room := sta.roomOf(que.rooms, sta.poolOf(stg.liveJob))
	if stg.crashed {
		que.crashed = append(que.crashed, waitingStage{stage: stg, pool: room})
	}
	fits := room.mayFit(stg.step.Reservation())
	que.withheld = que.withheld || fits && sta.starts.full()
	if fits && !sta.starts.full() || sta.needsTurn(stg) {
		que.waiting = append(que.waiting, waitingStage{stg, room, sta.priorityKey(stg)})
	}
}

// order makes the waiting stages a heap by priority.
func (que *stageQueue) order(now time.Time) {
	for i := len(que.waiting)/2 - 1; i >= 0; i-- {
		que.sink(now, i)
	}
}

// pop removes the stage with the highest priority.
func (que *stageQueue) pop(now time.Time) waitingStage {
	last := len(que.waiting) - 1
	first := que.waiting[0]
	que.waiting[0] = que.waiting[last]
	que.waiting = que.waiting[:last]
	que.sink(now, 0)
	return first
}

// sink moves a stage of the heap down to its place.
func (que *stageQueue) sink(now time.Time, i int) {
	for {
		child := 2*i + 1
		if child >= len(que.waiting) {
			return
		}
		if child+1 < len(que.waiting) && que.before(now, child+1, child) {
			child++
		}
		if !que.before(now, child, i) {
			return
		}
		que.waiting[i], que.waiting[child] = que.waiting[child], que.waiting[i]
		i = child
	}
}

func (que *stageQueue) before(now time.Time, one, oth int) bool {
	return priority.Compare(now, que.waiting[one].priorityKey, que.waiting[oth].priorityKey) < 0
}

// needsTurn reports whether a waiting stage has something to do even if there
// is no room for its tasks: to ask for advice, or to stop an incomplete gang.
func (sta *State) needsTurn(stg *stage) bool {
	return stg.step.Gang && stg.waiting < len(stg.tasks) || sta.needsAdvice(stg.liveJob)
}

// poolOf returns the pool that runs a job's tasks.
func (sta *State) poolOf(liv *liveJob) string { return sta.queueOf(liv).Pool }

// queueOf returns the queue of a job, as last configured if it has been removed. Its name may have
// changed since the job was accepted.
func (sta *State) queueOf(liv *liveJob) *catalog.Queue {
	if liv.queueAsOf != sta.catalogs {
		liv.queueAsOf = sta.catalogs
		if que := sta.catalog.Successor(liv.queue); que != nil {
			liv.queue, liv.queueKey = que, que.Key()
		}
	}
	return liv.queue
}

// queueKeyOf returns the key of a job's queue.
func (sta *State) queueKeyOf(liv *liveJob) string {
	sta.queueOf(liv)
	return liv.queueKey
}

// needsAdvice reports whether the steps of a job need advice.
func (sta *State) needsAdvice(liv *liveJob) bool { return sta.queueOf(liv).Advice != nil }

// priorityKey returns the key that orders a stage by priority.
func (sta *State) priorityKey(stg *stage) priority.Key {
	liv := stg.liveJob
	occ := liv.occs[stg.occ]
	priorityKey := priority.Key{IsLongRunning: stg.step.LongRunning, Excess: liv.excess, Job: string(liv.spec.ID), Priority: sta.queueOf(liv).Priority}
	rem, factor := occ.remainder(liv.spec), sta.runTimeFactor(liv)
	priorityKey.Remaining, priorityKey.Work = time.Duration(float64(rem.path)*factor), rem.work*factor
	if sta.needsAdvice(liv) {
		priorityKey.Remaining = sta.criticalPath(liv, func(step int) bool { return occ.stages[step].left > 0 })
	}
	accepted := liv.spec.Accepted
	if liv.spec.Occurrences > 0 {
		accepted = liv.spec.Due(stg.occ)
	}
	objective := liv.deadline.Sub(liv.spec.Accepted)
	priorityKey.Deadline = accepted.Add(objective)
	priorityKey.Worthless = accepted.Add(worthlessFactor * objective)
	return priorityKey
}

// remainingWork returns the estimated core-seconds of the tasks that are not
// done, scaled by a factor.
func (stg *stage) remainingWork(factor float64) float64 {
	return stg.step.Size.Cores() * float64(stg.left) * stg.step.Estimate.Seconds() * factor
}

// usableHosts returns the hosts of a pool on which new tasks may start.
func (sta *State) usableHosts(pool string) (hosts []*host) {
	for _, hos := range sta.pools[pool] {
		if hos.usable(sta.now) && !sta.zonesOut[hos.vm.AZ] {
			hosts = append(hosts, hos)
		}
	}
	return hosts
}

// place starts as many of a stage's waiting tasks as fit.
func (sta *State) place(stg *stage, room *poolRoom) {
	if stg.step.Gang {
		sta.placeGang(stg, room.hosts)
	} else {
		sta.placeEach(stg, room)
	}
	if stg.waiting > 0 {
		sta.enqueueAdvisorQuery(stg, room.hosts)
	}
}

// placeEach starts the waiting tasks of a stage one by one, as long as they
// fit.
func (sta *State) placeEach(stg *stage, room *poolRoom) {
	var hos *host
	for i := range stg.tasks {
		tas := &stg.tasks[i]
		if tas.phase != phaseWaiting || sta.now.Before(tas.notBefore) {
			continue
		}
		if sta.isBound(stg.task(i)) {
			sta.placeBound(stg, i, room)
			continue
		}
		if sta.starts.full() || !sta.withinCap(stg, 1) || !room.mayFit(stg.step.Reservation()) {
			return
		}
		if tas.blamed.IsSuspect() && room.leftForSuspects() <= 0 {
			continue
		}
		if hos == nil || !stg.packs() || !sta.accepts(hos, stg, i, 0) {
			hos = sta.chooseHost(stg, i, room.hosts, nil)
		}
		if hos == nil && !room.fits(stg.step.Reservation()) {
			room.reject(stg.step.Reservation())
			return
		}
		if hos == nil && tas.blamed.IsSuspect() {
			continue
		}
		if hos == nil {
			return
		}
		sta.start(hos, stg, i, tas.run+1)
	}
}

// placeBound starts a task that is bound to a VM, if it may start there.
func (sta *State) placeBound(stg *stage, index int, room *poolRoom) {
	// The task counts against the cap already.
	tas := &stg.tasks[index]
	if sta.starts.full() || !sta.withinCap(stg, 0) || tas.lostStarts >= maxLostStarts || tas.blamed.IsSuspect() && room.leftForSuspects() <= 0 {
		return
	}
	if hos := sta.chooseHost(stg, index, room.hosts, nil); hos != nil {
		sta.start(hos, stg, index, tas.run+1)
	}
}

// withinCap reports whether n more tasks of a stage fit under the cap of its
// account, whatever the VMs run that have not answered since the takeover. Tasks that are
// bound count already.
func (sta *State) withinCap(stg *stage, n int) bool {
	acc := sta.catalog.Account(stg.liveJob.spec.Account)
	if acc == nil {
		return true
	}
	sum := sta.usageLimit(acc.Name).Plus(stg.step.Size.Times(n))
	return (acc.Cap.CPU == 0 || sum.CPU <= acc.Cap.CPU) &&
		(acc.Cap.Memory == 0 || sum.Memory <= acc.Cap.Memory) &&
		(acc.Cap.Accelerators == 0 || sum.Accelerators <= acc.Cap.Accelerators)
}

// start orders a VM to start a run of a task.
func (sta *State) start(hos *host, stg *stage, index, run int) {
	name := stg.task(index)
	if len(hos.runs) == 0 {
		hos.nextPoll = sta.now.Add(minPollInterval)
	}
	sta.sendStart(hos, sta.reserve(hos, stg, name, run, runOrdered))
}

// sendStart sends the start of a run that is ordered.
func (sta *State) sendStart(hos *host, pla *placement) {
	stg := pla.stage
	sta.starts.add(pla)
	sta.lateStarts.Add(hos.vm.ID, latestart.Run{Task: pla.task, Number: pla.run}, sta.now)
	recorded := pla.repeats > 0
	if !recorded {
		sta.recordStart(hos, pla)
	}
	sta.emit(Start{
		VM: hos.vm, Token: hos.token, Recorded: recorded, Task: pla.task, Run: pla.run, Payload: stg.liveJob.spec.Payload, Deadline: sta.extendLease(hos),
		Checkpoint: stg.tasks[pla.task.Index].checkpoint, Ticket: stg.advice.ticketFor(hos.vm.ID, sta.now),
	})
}

// packs reports whether the host that is best for a task of the stage is also best
// for the next one, if that fits: it is the one with the least free CPU that
// differs from others in nothing else.
func (stg *stage) packs() bool {
	return !stg.step.LongRunning && (!stg.step.BestEffort || stg.step.TailTarget == 0)
}

// accepts reports whether a task of a stage may start on a host where a number of
// other tasks of the stage are planned.
func (sta *State) accepts(hos *host, stg *stage, index, planned int) bool {
	// A former run of the task that is being stopped there would be mistaken for
	// the new one.
	return sta.canRun(stg, hos, planned) && !hos.isolates(stg.tasks[index].blamed.IsSuspect()) && hos.runs[stg.task(index)] == nil
}

// chooseHost returns the best host for a task of a stage, or nil if there is none.
// Tasks in planned take up capacity as well. The hosts are in the order of their IDs.
func (sta *State) chooseHost(stg *stage, index int, hosts []*host, planned plannedTasks) (best *host) {
	if holder, bound := sta.holderOf(stg.task(index)); bound {
		i, ok := slices.BinarySearchFunc(hosts, holder, compareHostID)
		if !ok {
			return nil
		}
		hosts = hosts[i : i+1]
	}
	var bestScore score
	sta.effort.Hosts += len(hosts)
	for _, hos := range hosts {
		if !sta.accepts(hos, stg, index, planned[hos]) {
			continue
		}
		sco := sta.score(stg, hos, planned[hos])
		sco.losesStarts = stg.tasks[index].lostOn == hos.vm.ID
		if best == nil || sco.better(bestScore) {
			best, bestScore = hos, sco
		}
	}
	return best
}

// canRun reports whether a task of a stage may run on a host where the given
// number of other tasks of the stage are planned.
func (sta *State) canRun(stg *stage, hos *host, planned int) bool {
	ste := stg.step
	if !ste.Reservation().Times(planned+1).Fits(hos.vm.Capacity.Minus(hos.used)) || hos.mayListNoMoreEnds() {
		return false
	}
	if ste.Label != "" && !hos.vm.HasLabel(ste.Label) {
		return false
	}
	if ste.MaxPerVM > 0 && hos.countTasks(stg)+planned >= ste.MaxPerVM {
		return false
	}
	if sta.needsAdvice(stg.liveJob) && stg.advice.ticketFor(hos.vm.ID, sta.now) == "" {
		return false
	}
	return true
}

// countTasks returns the number of a stage's tasks on the host.
func (hos *host) countTasks(stg *stage) int {
	n := 0
	for _, pla := range hos.runList {
		if pla.stage == stg {
			n++
		}
	}
	return n
}

// score rates a host for a task. Each field breaks ties of the ones before it.
type score struct {
	// losesStarts reports whether the last start of the task got no answer from the host.
	losesStarts bool
	// remote reports whether the task's data is on another rack.
	remote bool
	// siblings is the number of the step's tasks on the host, for long-running
	// steps.
	siblings int
	// interfering is the number of tasks on the host that would slow down the
	// task or be slowed down by it.
	interfering int
	// free is the share of the host's CPU that stays free. Tasks are packed, so
	// that other hosts become idle and their machines can be moved.
	free float64
}

// better compares the fields of two scores in order.
func (sco score) better(oth score) bool {
	switch {
	case sco.losesStarts != oth.losesStarts:
		return !sco.losesStarts
	case sco.remote != oth.remote:
		return !sco.remote
	case sco.siblings != oth.siblings:
		return sco.siblings < oth.siblings
	case sco.interfering != oth.interfering:
		return sco.interfering < oth.interfering
	default:
		return sco.free < oth.free
	}
}

// score rates a host for a task of a stage where the given number of other tasks
// of the stage are planned.
func (sta *State) score(stg *stage, hos *host, planned int) score {
	ste := stg.step
	sco := score{remote: ste.DataRack != "" && !hos.vm.HasLabel(ste.DataRack)}
	if ste.LongRunning {
		sco.siblings = hos.countTasks(stg) + planned
	}
	for _, pla := range hos.runList {
		if pla.stage == nil {
			continue
		}
		if oth := pla.stage.step; ste.BestEffort && oth.TailTarget > 0 || ste.TailTarget > 0 && oth.BestEffort {
			sco.interfering++
		}
	}
	if cpu := hos.vm.Capacity.CPU; cpu > 0 {
		sco.free = float64(cpu-hos.used.CPU-ste.Reservation().CPU*int64(planned+1)) / float64(cpu)
	}
	return sco
}
