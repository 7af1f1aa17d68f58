package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/allowance"
	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/pace"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Options are fixed for the time of a duty.
type Options struct {
	// Since is when the duty was taken, and Revision the store's revision then:
	// what was stored later, no former dispatcher has started.
	Since    time.Time
	Revision kv.Revision
	// Term rises with each holder of the duty, from 1.
	Term int64
	// Lease is for how long a VM runs tasks without being looked at.
	Lease time.Duration
	// StopTime is how long a task takes to stop.
	StopTime time.Duration
	// UpkeepTime is how long a machine is away for its upkeep.
	UpkeepTime time.Duration
	// ShareWindow is over what time an account's rate of jobs is averaged.
	ShareWindow time.Duration
	// KeepEnded is how long callers may ask for a job that has ended.
	KeepEnded time.Duration
	// MachineOrdersPerSecond is how many orders for machines the platform takes.
	MachineOrdersPerSecond float64
}

// runsPerTerm is how far the run numbers of two terms are apart at least, so
// that a dispatcher that doesn't know the last run of its predecessor uses a
// higher one.
const runsPerTerm = 1000

// phase is where a task stands.
type phase int

const (
	// phaseWaiting tasks have no run.
	phaseWaiting phase = iota
	// phasePlaced tasks have a run that may be running on a VM.
	phasePlaced
	phaseDone
)

type task struct {
	phase phase
	// run is the highest run that was ordered or seen.
	run int
	// failedRuns lists the runs that ended failed. VMs are heard in any order, so
	// that a lower run may come after a higher one.
	failedRuns []int
	checkpoint string
	// host is set while the phase is phaseHeld.
	host *host
	// notBefore delays the next start after an order was refused.
	notBefore time.Time
}

// stage is a step of one occurrence.
type stage struct {
	liveJob *liveJob
	occ     int
	index   int
	step    *job.Step
	tasks   []task
	// blockers is how many steps must end before this one.
	blockers int
	// waiting and left count the tasks without a run, and those not done.
	waiting, left int
	advice        advice
}

// task names a task of the stage.
func (stg *stage) task(index int) job.Task {
	return job.Task{Job: stg.liveJob.spec.ID, Occurrence: stg.occ, Step: stg.index, Index: index}
}

type occurrence struct {
	stages []stage
	// left counts the stages that are not done.
	left int
}

// liveJob is a job that hasn't ended.
type liveJob struct {
	spec     job.Spec
	revision kv.Revision
	// occs holds the occurrences that are due.
	occs []*occurrence
	// occsLeft counts the occurrences that have not ended.
	occsLeft int
	deadline time.Time
	work     float64
	// pool is the one that ran the queue's tasks when the queue was last known.
	pool      string
	cancelled bool
	// begun says that some task has started.
	begun bool
	// excess says that it lies beyond what its account is entitled to.
	excess bool
	// final is the state to be stored, once it is known.
	final job.State
	// dirtySince is when something changed that is not stored yet; zero if all
	// is stored.
	dirtySince  time.Time
	progressRev kv.Revision
	// acks lists the ends that are stored with the job's next record.
	acks []ack
	// restored says that a former dispatcher may have started its tasks.
	restored bool
}

// ack names an end that a VM listed.
type ack struct {
	host   *host
	number int64
}

// runState is what is known of a run on a VM.
type runState int

const (
	// runOrdered runs have been ordered; no answer came yet.
	runOrdered runState = iota
	// runUnknown runs were ordered, and the answer was lost.
	runUnknown
	runRunning
	// runStopping runs are to be stopped; the VM may not have answered yet.
	runStopping
	// runRejected runs have been stopped before they came, or have ended.
	runRejected
)

// placement is a run that may be running on a VM. It takes room.
type placement struct {
	task     job.Task
	run      int
	reserved job.Size
	size     job.Size
	account  string
	state    runState
	// stage is nil for runs of jobs that are not known.
	stage *stage
	// since is when the state was entered.
	since time.Time
	// percent and load are as in worker.Running.
	percent int
	load    int64
	// pace is the share of its speed that it was last ordered, in percent.
	pace         int
	paceInFlight bool
	checkpoint   string
	// stopSent is when a stop was last sent; stopBusy says that its answer is
	// awaited.
	stopSent     time.Time
	stopInFlight bool
}

// host is one life of a VM with what may be running there.
type host struct {
	vm worker.VM
	// firstSeen is when the registration was first seen.
	firstSeen time.Time
	// fenced says that the VM has answered a look of this term.
	fenced bool
	// clock is the VM's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	runs    map[job.Task]*placement
	// runList holds the runs in the order in which they were noted.
	runList []*placement
	used    job.Size
	// leaseExpiry is when everything there has surely ended, unless it is looked at
	// again.
	leaseExpiry time.Time
	// pollInFlight says that the answer to a look is awaited.
	pollInFlight bool
	lastPoll     time.Time
	nextPoll     time.Time
	// failedPolls counts the looks without an answer since the last one.
	failedPolls int
	// seen is the highest end that was taken in; acked the highest up to which
	// all ends are stored; stored holds those above it that are.
	seen, acked int64
	stored      map[int64]bool
	// ackDue says that acked is higher than the last look told.
	ackDue bool
	// reportDue says that the VM holds something else than is known here, since
	// it refused a task that should fit.
	reportDue bool
	// unregistered says that the registration is gone.
	unregistered bool
	// cordoned says that the machine goes down soon and gets no new tasks.
	cordoned bool
	// goingDown says that the machine's upkeep or move has been ordered.
	goingDown bool
	// downAnswered is when the order's answer came. The list of machines tells
	// whether it had an effect: an order that was carried out before has none.
	downAnswered time.Time
	// quarantinedUntil is until when it gets no new tasks, for it failed some.
	quarantinedUntil time.Time
	// idleSince is when the last run there was over.
	idleSince time.Time
	failures  int
	// pace is that of the tasks that fill.
	pace pace.Control
}

// usable reports whether new tasks may start there.
func (hos *host) usable(now time.Time) bool {
	return hos.fenced && !hos.unregistered && !hos.vm.Leaving && !hos.cordoned && !hos.goingDown && hos.failedPolls == 0 && !now.Before(hos.quarantinedUntil) && !hos.hasOrphanRuns()
}

// hasOrphanRuns reports whether the VM holds runs of jobs that are not known.
// The room that they take is not known either.
func (hos *host) hasOrphanRuns() bool {
	return slices.ContainsFunc(hos.runList, func(hel *placement) bool { return hel.stage == nil })
}

// State is what the dispatcher knows. It belongs to one goroutine.
type State struct {
	opt      Options
	now      time.Time
	effects  []Effect
	catalog  catalog.Catalog
	zonesOut map[string]bool
	jobs     map[job.ID]*liveJob
	// jobList holds the jobs in the order in which they were taken in.
	jobList []*liveJob
	hosts   map[string]*host
	// hostList holds the hosts in the order of their IDs.
	hostList []*host
	// pools holds the hosts of each pool in the order of their IDs.
	pools map[string][]*host
	// usage is what each client account may have running, allowances what each is
	// entitled to submit yet.
	usage      map[string]job.Size
	allowances map[string]allowance.Bucket
	machines   machines
	waves      map[int64]*wave
	commit     commit
	loaded     bool
	// jobsSyncedAt is up to when changes of jobs are known.
	jobsSyncedAt time.Time
	// ended remembers jobs that are stored as ended, so that an event that comes
	// late doesn't bring them back.
	ended *recentMap[job.ID, bool]
	// endedJobs holds the jobs that are stored as ended, by their end.
	endedJobs []EndedJob
	// lostVMs holds the lives of VMs that have ended, by ID: their registrations
	// last for some seconds more.
	lostVMs *recentMap[string, worker.VM]
	// runtimeRatios holds, by queue, how run times compare with the estimates.
	runtimeRatios map[string]*runtimeRatio
	steppedDown   bool
	// machineNames are those of the list of machines, sorted.
	machineNames []string
	demands      map[string]*demand
	// totalDemand is what all pools want together.
	totalDemand demand
	// moves holds the machines on their way to another pool; fleetAt is when the
	// moves were last planned.
	moves          map[string]pendingMove
	movesPlannedAt time.Time
	// poolsLoggedAt is when the log was last told of the pools.
	poolsLoggedAt time.Time
	// advisorSlots is how many questions may be put to the advisor at once, advisorInFlight how
	// many wait for their answer. questions are those noted in this round.
	advisorSlots, advisorInFlight int
	advisorQueue                  []advisorQuery
	// forbiddenMoves holds the moves that the platform doesn't allow, as machine and
	// pool.
	forbiddenMoves map[string]bool
}

// machines is the list of machines as last read.
type machines struct {
	byName map[string]worker.Machine
	byVM   map[string]string
	// requestedAt is when the last list was requestedAt for; listed is when the list that is
	// known was requestedAt for.
	requestedAt, listed time.Time
	inFlight            bool
	// refreshDue says that an order's effect waits for the next list.
	refreshDue bool
}

// wave is a plan with the orders under way.
type wave struct {
	plan upkeep.Plan
	// down holds machines whose upkeep was ordered, with the ID of the VM that
	// it ended and the time of the order.
	down map[string]downMachine
	// ordered holds machines whose answer is awaited.
	ordered map[string]bool
	// completed says that all of it has begun.
	completed bool
}

type downMachine struct {
	vm    string
	since time.Time
}

// commit is the write under way.
type commit struct {
	inFlight bool
	retryAt  time.Time
	jobs     []jobWrite
	// purged counts the records of ended jobs that it removes.
	purged int
}

type jobWrite struct {
	liveJob *liveJob
	acks    []ack
	final   bool
}

// New returns the state of a dispatcher that has just taken the duty.
func New(opt Options) *State {
	return &State{
		opt: opt, jobsSyncedAt: opt.Since, zonesOut: map[string]bool{}, jobs: map[job.ID]*liveJob{}, hosts: map[string]*host{},
		pools: map[string][]*host{}, usage: map[string]job.Size{}, allowances: map[string]allowance.Bucket{}, waves: map[int64]*wave{},
		machines: machines{byName: map[string]worker.Machine{}, byVM: map[string]string{}},
		ended:    newRecentMap[job.ID, bool](), lostVMs: newRecentMap[string, worker.VM](), runtimeRatios: map[string]*runtimeRatio{},
		demands: map[string]*demand{}, moves: map[string]pendingMove{}, forbiddenMoves: map[string]bool{},
	}
}

func (sta *State) emit(eff Effect) { sta.effects = append(sta.effects, eff) }

func (sta *State) logDecision(name string, id job.ID, fields map[string]any) {
	sta.emit(LogDecision{Name: name, Job: id, Fields: fields})
}

// runtimeRatio learns how run times compare with the estimates.
type runtimeRatio struct {
	mean  float64
	count int
}

// minSampleWeight is the weight of a new run once several have been seen.
const minSampleWeight = 0.05

func (rat *runtimeRatio) add(val float64) {
	rat.count++
	rat.mean += (val - rat.mean) * max(minSampleWeight, 1/float64(rat.count))
}

// factor returns the mean, or 1 if nothing has been learned.
func (rat *runtimeRatio) factor() float64 {
	if rat == nil || rat.count == 0 {
		return 1
	}
	return rat.mean
}
