package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/allowance"
	"github.com/balsamgauge/balsamgauge/internal/core/blame"
	"github.com/balsamgauge/balsamgauge/internal/core/capacity"
	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/estimate"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/pace"
	"github.com/balsamgauge/balsamgauge/internal/core/progress"
	"github.com/balsamgauge/balsamgauge/internal/core/rebalance"
	"github.com/balsamgauge/balsamgauge/internal/core/recent"
	"github.com/balsamgauge/balsamgauge/internal/core/startlog"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/vmclock"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Options are the parameters of a dispatcher. They do not change during a
// tenure.
type Options struct {
	// Since is when the tenure began, and Revision the revision of the store at
	// that time: no former dispatcher has started a job stored at a later
	// revision.
	Since    time.Time
	Revision kv.Revision
	// Term is the fencing token of the tenure. It counts tenures from 1.
	Term int64
	// Lease is how long a VM keeps tasks running after the last poll that
	// extended its lease.
	Lease time.Duration
	// LongestLease is the longest lease that a VM grants, whatever it is asked for.
	LongestLease time.Duration
	// RegistrationExpiry is how long a VM's registration lasts that isn't renewed.
	RegistrationExpiry time.Duration
	// StopTime is the time a task takes to stop.
	StopTime time.Duration
	// UpkeepTime is the time a machine is down for its upkeep.
	UpkeepTime time.Duration
	// ShareWindow is the window over which an account's job rate is averaged.
	ShareWindow time.Duration
	// KeepEnded is the retention time of records of ended jobs, during which
	// callers may query them.
	KeepEnded time.Duration
	// MachineOrdersPerSecond is the platform's rate limit for machine orders,
	// which are moves and upkeep.
	MachineOrdersPerSecond float64
	// MaxValueBytes is the size up to which the store holds a value; 0 for
	// kv.MaxValueBytes.
	MaxValueBytes int
	// LinkBytesPerSecond is the bandwidth of the dispatcher's network link; 0 if
	// it is unlimited.
	LinkBytesPerSecond float64
	// Capacity switches the decisions about scarce capacity.
	Capacity capacity.Policy
}

// runsPerTerm is the difference between the first run numbers of two consecutive
// terms. A dispatcher that does not know the last run of its predecessor still
// uses a higher one.
const runsPerTerm = 1000

// phase is the state of a task.
type phase int

const (
	// phaseWaiting is the phase of a task without a run.
	phaseWaiting phase = iota
	// phasePlaced is the phase of a task with a run that may be active on a VM.
	phasePlaced
	phaseDone
)

// task is the state of a task of a stage.
type task struct {
	phase phase
	// run is the highest run number that was ordered or reported.
	run int
	// failedRuns lists the runs that failed. VMs report in any order, so a lower
	// run may be reported after a higher one.
	failedRuns []int
	// blamed is the evidence that the task crashes its VMs.
	blamed     blame.Record
	checkpoint string
	// host is the host of the task's run; nil unless the phase is phasePlaced.
	host *host
	// notBefore is the earliest time of the next start after an order was
	// refused.
	notBefore time.Time
	// lostStarts counts the runs in sequence that were given up as their starts got no answer, and
	// lostOn is the ID of the VM of the last one.
	lostStarts int
	lostOn     string
}

// stage is one step of one occurrence of a job.
type stage struct {
	liveJob *liveJob
	occ     int
	index   int
	step    *job.Step
	tasks   []task
	// blockers is the number of steps that must end before this one starts.
	blockers int
	// waiting counts the tasks without a run, left those that are not done.
	waiting, left int
	// crashed reports whether VMs have crashed under some of the tasks.
	crashed bool
	advice  advice
}

// task returns the identifier of the stage's task with the given index.
func (stg *stage) task(index int) job.Task {
	return job.Task{Job: stg.liveJob.spec.ID, Occurrence: stg.occ, Step: stg.index, Index: index}
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	stages []stage
	// left counts the stages that are not done.
	left int
	// rest is what remains to be done; nil if it has to be computed anew.
	rest *remainder
}

// remainder is the estimate of what remains of an occurrence, by the client's
// estimates.
type remainder struct {
	// path is the length of the longest chain of steps that are not done, work
	// the core-seconds of the tasks that are not done.
	path time.Duration
	work float64
}

// remainder returns the estimate of what remains of an occurrence of a job.
func (occ *occurrence) remainder(spe job.Spec) remainder {
	if occ.rest == nil {
		rem := remainder{path: spe.CriticalPath(func(step int) bool { return occ.stages[step].left > 0 }, nil)}
		for i := range occ.stages {
			rem.work += occ.stages[i].remainingWork(1)
		}
		occ.rest = &rem
	}
	return *occ.rest
}

// liveJob is a job that has not ended.
type liveJob struct {
	spec     job.Spec
	revision kv.Revision
	// occs holds the occurrences that are due.
	occs []*occurrence
	// occsLeft counts the occurrences that have not ended.
	occsLeft int
	deadline time.Time
	// work is the estimated work of one occurrence, in core-seconds.
	work float64
	// queue is the job's queue as last configured up to the configuration with the
	// number queueAsOf. It is kept when the queue is removed, and never nil.
	queue     *catalog.Queue
	queueAsOf int
	// queueKey is the key of queue.
	queueKey  string
	cancelled bool
	// begun reports whether a task of the job has started.
	begun bool
	// excess reports whether the job exceeds its account's allowance.
	excess bool
	// final is the state in which the job ended; empty before.
	final job.State
	// dirtySince is the time of the first change that is not stored; zero if
	// everything is. It is in the future if the store rejected the record.
	dirtySince time.Time
	// saving reports whether a write of the record is in flight. There is one at a
	// time, as its condition is the revision of the last.
	saving bool
	record *progress.Record
	// acks lists the ends to acknowledge once the job's next record is stored.
	acks []ack
	// restored reports whether the job was stored before the tenure began, so
	// that a former dispatcher may have started tasks of it.
	restored bool
	// alone reports whether the store rejected a transaction with the record, which
	// is written without others until it is stored.
	alone bool
}

// ack identifies an end that a VM reported.
type ack struct {
	host   *host
	number int64
}

// runState is the state of a run on a VM, as far as the dispatcher knows it.
type runState int

const (
	// runOrdered is the state of a run whose start was ordered and not yet
	// answered.
	runOrdered runState = iota
	// runUnknown is the state of a run whose start was ordered and not answered
	// in time.
	runUnknown
	runRunning
	// runStopping is the state of a run that is to be stopped; the VM may not
	// have answered yet.
	runStopping
	// runStopAccepted is the state of a run after the VM has accepted its stop.
	// The VM ends the run if it is active, and rejects its start if that arrives
	// later. The run is over once a report no longer lists it.
	runStopAccepted
)

// String returns the name of the state as it is logged.
func (sta runState) String() string {
	return [...]string{"ordered", "unknown", "running", "stopping", "stop_accepted"}[sta]
}

// placement is a run that may be active on a VM. It takes up capacity there
// until it is known to be over.
type placement struct {
	task job.Task
	run  int
	// reserved is the capacity that it takes up on the VM. size counts against
	// the cap of its account.
	reserved job.Size
	size     job.Size
	account  string
	// suspect reports whether the task is a suspect (blame.Record.IsSuspect), adopted
	// whether a former dispatcher started the run.
	suspect, adopted bool
	state            runState
	// stage is nil for a run of an unknown job.
	stage *stage
	// former reports whether a former dispatcher recorded the start and the VM has not
	// answered since.
	former bool
	// repeats counts how often the start was sent again. rejected reports whether the
	// VM has rejected the run, and waits whether only the VM's report can settle it.
	repeats         int
	rejected, waits bool
	// since is when the run entered its state.
	since time.Time
	// percent and load are the values of worker.Running.
	percent int
	load    int64
	// pace is the pace that the VM last confirmed, as a percentage of full
	// speed; pace.Unknown if only a former dispatcher has ordered it.
	pace         int
	paceInFlight bool
	checkpoint   string
	// stopSent is when a stop was last sent. stopInFlight reports whether its
	// answer is outstanding.
	stopSent     time.Time
	stopInFlight bool
	// stopReason is why the run is being stopped.
	stopReason stopReason
}

// host is the scheduler's record of a VM and of the runs that may be active
// there.
type host struct {
	vm worker.VM
	// token is the fencing token of orders to the VM.
	token int64
	// firstSeen is when the VM's registration was first received.
	firstSeen time.Time
	// termAccepted reports whether the VM has answered a poll with its token, and so
	// refuses the orders of former dispatchers, and those that were meant for former
	// incarnations.
	termAccepted bool
	// endsLeftOut reports whether the VM may hold ends of runs of a former dispatcher that
	// no report has listed yet.
	endsLeftOut bool
	// acceptedAt is when the VM last answered that it carries out a start. A list of
	// machines requested before doesn't show that the run is over.
	acceptedAt time.Time
	// clock is the VM's clock as of its last report.
	clock vmclock.Reading
	runs  map[job.Task]*placement
	// runList holds the runs in the order in which they were recorded.
	runList []*placement
	used    job.Size
	// leaseExpiry is when all runs on the VM are guaranteed to have ended,
	// unless a poll extends the lease.
	leaseExpiry time.Time
	// longLeaseUntil is until when the VM may hold a longer lease than this dispatcher asks
	// for.
	longLeaseUntil time.Time
	// unseen reports whether the VM is known only from the records of starts.
	unseen bool
	// pollInFlight reports whether the answer to a poll is outstanding.
	pollInFlight bool
	lastPoll     time.Time
	nextPoll     time.Time
	// failedPolls counts the consecutive polls without an answer.
	failedPolls int
	// silentSince is when the first of them was found to have no answer.
	silentSince time.Time
	// lastEnd is the highest end number that was processed. ackableUpTo is the
	// number up to which all ends may be acknowledged. ackable holds the higher
	// ends that may be acknowledged once those between may be.
	lastEnd, ackableUpTo int64
	ackable              map[int64]bool
	// heldEnds holds, by number, the tasks of the ends that are not acknowledged yet as another
	// start of the task may arrive at the VM. They may be stored. lowestHeld is the lowest number.
	heldEnds   map[int64]job.Task
	lowestHeld int64
	// ackSent is the number up to which the last poll acknowledged ends, 0 for none.
	// ackedUpTo is the highest that a poll with an answer did: the next incarnation, whose
	// numbers start anew, must not get it.
	ackSent, ackedUpTo int64
	// ackDue reports whether ackableUpTo has risen since the last poll.
	ackDue bool
	// reportDue reports whether the VM's runs differ from the recorded ones: it
	// refused a task that should fit.
	reportDue bool
	// listedGone reports whether the last list of machines shows that the VM has
	// ended, and the VM has not answered a poll or accepted a start since.
	listedGone bool
	// unregistered reports whether the VM's registration is gone.
	unregistered bool
	// cordoned reports whether the machine is due for upkeep and gets no new
	// tasks.
	cordoned bool
	// goingDown reports whether the upkeep or the move of the machine has been
	// ordered.
	goingDown bool
	// downAnsweredAt is when the call with that order ended. Its answer does not
	// show whether the machine goes down, as an order that repeats an earlier one
	// is accepted without effect. A list of machines requested later does.
	downAnsweredAt time.Time
	// quarantinedUntil is when the VM gets new tasks again after failed runs or
	// a refused order.
	quarantinedUntil time.Time
	// idleSince is when the last run was released.
	idleSince time.Time
	// failures counts the consecutive failed runs on the VM.
	failures int
	// suspects counts the runs of suspects on the VM, finite those of tasks that
	// end by themselves.
	suspects, finite int
	// keptFree reports whether the VM gets only suspects in this call of Reduce.
	keptFree bool
	// pace controls the pace of the best-effort tasks on the VM. paceUnordered reports
	// whether a former dispatcher may have ordered that of some, and this one none since it knows
	// them.
	pace          pace.Control
	paceUnordered bool
}

// usable reports whether new tasks may start on the VM, unless its availability
// zone is out of service.
func (hos *host) usable(now time.Time) bool {
	return hos.termAccepted && !hos.listedGone && !hos.unregistered && !hos.vm.Leaving && !hos.cordoned && !hos.goingDown && hos.failedPolls == 0 && !now.Before(hos.quarantinedUntil) && !hos.hasOrphanRuns()
}

// hasOrphanRuns reports whether the VM holds runs of unknown jobs. The
// capacity that they take up is unknown too.
func (hos *host) hasOrphanRuns() bool {
	return slices.ContainsFunc(hos.runList, func(pla *placement) bool { return pla.stage == nil })
}

// State is the state of the dispatcher. It is not safe for concurrent use.
type State struct {
	opt     Options
	now     time.Time
	effects []Effect
	catalog catalog.Catalog
	// catalogs counts the configurations received.
	catalogs int
	zonesOut map[string]bool
	outages  *blame.Outages
	// crashes holds the recent crashes that no task explains.
	crashes *blame.Crashes
	jobs    map[job.ID]*liveJob
	// jobList holds the jobs in the order in which they were accepted.
	jobList []*liveJob
	hosts   map[string]*host
	// hostList holds the hosts in the order of their IDs.
	hostList []*host
	// pools holds the hosts of each pool in the order of their IDs.
	pools map[string][]*host
	// usage is, by client account, the size of the runs that may be active.
	// allowances holds the leaky buckets that meter the accounts' new jobs.
	usage      map[string]job.Size
	allowances map[string]allowance.Bucket
	// orphans counts the runs of unknown jobs on all VMs.
	orphans int
	// former bounds the unreported runs of a former dispatcher, in a call of Reduce.
	former formerRuns
	// bound describes the waiting tasks that are bound to VMs, in a call of Reduce.
	bound boundTasks
	// formerLeasesLogged reports whether the end of the former dispatcher's leases was
	// logged.
	formerLeasesLogged bool
	machines           machines
	waves              map[int64]*wave
	// upkeeps holds the orders of all waves.
	upkeeps *upkeep.Orders
	// wavesPlannedAt is when the upkeep of waves was last planned.
	wavesPlannedAt time.Time
	// hasStops reports whether a run may be being stopped.
	hasStops   bool
	commits    [maxCommits]commit
	starts     startWindow
	effort     Effort
	jobsLoaded bool
	// jobsSyncedAt is the time up to which all changes of jobs have been
	// received.
	jobsSyncedAt time.Time
	// vmsSyncedAt is the time up to which all changes of registrations have been
	// received, and vmsSyncedSince when the last gap in their receipt ended.
	vmsSyncedAt, vmsSyncedSince time.Time
	// ended holds the jobs that were recently stored as ended, so that a delayed
	// event does not bring them back.
	ended *recent.Map[job.ID, bool]
	// endedJobs lists the records of ended jobs that are stored, oldest first.
	endedJobs []EndedJob
	// lostVMs holds the VMs that ended recently, by ID. Their registrations last
	// some seconds longer.
	lostVMs *recent.Map[string, lostVM]
	// lateStarts holds the starts that VMs may carry out late.
	lateStarts *latestart.Starts
	// holdersAskedAt is when overdue starts were last looked for, and nextOverdue when the next
	// start was overdue by then; zero if there was none.
	holdersAskedAt, nextOverdue time.Time
	// startLog holds the records of starts, newStarts the starts of this call of Reduce that
	// have none. formerStarts holds those of former dispatchers until the jobs are loaded.
	startLog        *startlog.Log
	newStarts       []startlog.Start
	formerStarts    map[string]startlog.Record
	startsPrunedAt  time.Time
	startsWrittenAt time.Time
	// leases holds what extends the leases of VMs.
	leases *vmclock.Leases
	// expiredAt is when lateStarts and leases were last cleared of what is too old.
	expiredAt time.Time
	// unlisted is the result of unlistedHosts while unlistedKnown is set.
	unlisted      []*host
	unlistedKnown bool
	// runtimeRatios holds, by the key of a queue, the ratio of actual to estimated run times.
	runtimeRatios estimate.Ratios
	steppedDown   bool
	// ending reports whether the tenure is about to end.
	ending bool
	// machineNames holds the sorted names of the listed machines.
	machineNames []string
	demands      map[string]*rebalance.Demand
	// totalDemand is the demand of all pools together.
	totalDemand rebalance.Demand
	// moves holds the machines that are moving to another pool. movesPlannedAt
	// is when moves were last planned.
	moves          map[string]pendingMove
	movesPlannedAt time.Time
	// poolsLoggedAt is when the state of the pools was last logged.
	poolsLoggedAt time.Time
	// advisorSlots is the maximum number of concurrent queries to the advisor,
	// and advisorInFlight the number of unanswered ones. advisorQueue holds the
	// queries collected in this call of Reduce.
	advisorSlots, advisorInFlight int
	// adviceNeeded reports whether a job has needed advice in this tenure.
	adviceNeeded bool
	advisorQueue []advisorQuery
	// forbiddenMoves holds the moves that the platform does not allow, as
	// machine and pool.
	forbiddenMoves map[string]bool
}

// lostVM is a VM that has ended, with the time at which that became known.
type lostVM struct {
	vm worker.VM
	at time.Time
}

// wave is the plan of a wave of upkeep.
type wave struct {
	plan upkeep.Plan
	// completed reports whether the upkeep of all machines has begun.
	completed bool
	// former holds machines that were down when a dispatcher received the wave, or may have
	// been, by orders of its number.
	former []string
	// refusedAt holds when the platform last refused the upkeep of a machine as not of
	// the wave, or as unknown.
	refusedAt map[string]time.Time
}

// commit is a write to the store that may be in flight.
type commit struct {
	inFlight bool
	retryAt  time.Time
	jobs     []jobWrite
	// purged is the number of records of ended jobs that the write removes.
	purged int
}

// jobWrite is the part of a write that concerns a job.
type jobWrite struct {
	liveJob  *liveJob
	acks     []ack
	final    bool
	progress progress.Write
}

// New returns the state of a dispatcher whose tenure has just begun.
func New(opt Options) *State {
	opt.MaxValueBytes = cmp.Or(opt.MaxValueBytes, kv.MaxValueBytes)
	return &State{
		opt: opt, starts: newStartWindow(opt.LinkBytesPerSecond), jobsSyncedAt: opt.Since, zonesOut: map[string]bool{}, outages: blame.NewOutages(), crashes: blame.NewCrashes(), jobs: map[job.ID]*liveJob{}, hosts: map[string]*host{},
		pools: map[string][]*host{}, usage: map[string]job.Size{}, allowances: map[string]allowance.Bucket{}, waves: map[int64]*wave{}, upkeeps: upkeep.NewOrders(), lateStarts: latestart.NewStarts(vmclock.LongestLease(opt.LongestLease)), startLog: startlog.New(opt.Term), leases: vmclock.NewLeases(opt.Lease, opt.LongestLease, latestart.MaxDelay+pollWait),
		machines: machines{byName: map[string]worker.Machine{}, byVM: map[string]string{}, lastOf: map[string]string{}},
		ended:    recent.NewMap[job.ID, bool](), lostVMs: recent.NewMap[string, lostVM](), runtimeRatios: estimate.Ratios{},
		demands: map[string]*rebalance.Demand{}, moves: map[string]pendingMove{}, forbiddenMoves: map[string]bool{},
	}
}

// emit adds an effect to the result of Reduce.
func (sta *State) emit(eff Effect) { sta.effects = append(sta.effects, eff) }

// logDecision emits a decision for the log. id is empty if it concerns no job.
func (sta *State) logDecision(name string, id job.ID, fields map[string]any) {
	sta.emit(LogDecision{Name: name, Job: id, Fields: fields})
}
