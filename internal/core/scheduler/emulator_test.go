package scheduler

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/progress"
	"github.com/balsamgauge/balsamgauge/internal/core/startlog"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// emulator simulates a fleet, a store and a sequence of dispatchers on a
// virtual clock. All randomness comes from its seed. It checks the scheduler's
// invariants against what the VMs run and what the store holds.
type emulator struct {
	rng   *rand.Rand
	now   time.Time
	start time.Time
	queue timers
	order int

	catalog catalog.Catalog
	vms     map[string]*emulatedVM
	// names holds the keys of vms in the order in which they were added.
	names []string
	store *emulatedStore

	// unrecorded holds the starts that wait for their record.
	unrecorded []Start

	sched          *State
	opt            Options
	inbox          []Event
	term           int64
	dispatcherDown bool
	// vmLoadTime is the time until a new dispatcher receives the registrations of
	// VMs.
	vmLoadTime  time.Duration
	wakePending bool

	// Fault probabilities.
	loseAnswer, loseOrder, lateOrder float64
	// repeats is how often an order without an answer is sent again after
	// emulatedRepeatDelay, while those before it may still be carried out.
	repeats int
	// heldUp reports whether an order that is late is being carried out.
	heldUp                 bool
	loseCommit, lateCommit float64
	// watchSilent suppresses changes of jobs to the dispatcher.
	watchSilent bool
	// ordersRenewIDs has VMs that a machine order has ended be back under other IDs, as on the
	// platform.
	ordersRenewIDs bool
	// registerDelay is the time from the start of a VM to its registration, in addition to the
	// latency.
	registerDelay time.Duration
	// registrationsSilent holds back changes of registrations in heldRegistrations.
	registrationsSilent bool
	heldRegistrations   []Event
	// registrations holds, by the ID of a VM, the registrations that the store holds; nil
	// if new dispatchers receive those of all VMs that are up.
	registrations map[string]*worker.VM
	// storeDown makes all writes fail.
	storeDown bool
	// loseMachineAnswer is the probability that the answer to a machine order is
	// lost, which takes emulatedMachineTimeout.
	loseMachineAnswer float64
	// slowList is how long the list of machines takes to arrive, in addition to the
	// latency.
	slowList time.Duration
	// slowMachineOrder is how long the platform takes to carry out a machine order, in
	// addition to the latency.
	slowMachineOrder time.Duration
	// upkeepTime is the time that a machine is down for its upkeep, and onUpkeep is called
	// with each order for one; nil for none.
	upkeepTime time.Duration
	onUpkeep   func(machine string)
	// stopTime is the time that a run takes to stop.
	stopTime time.Duration
	// startup is the time from the start of a run until its task is at work.
	startup time.Duration
	// ending reports whether the dispatcher hands the duty back, and wavesSaving counts the
	// writes of the progress of waves that are under way.
	ending      bool
	wavesSaving int
	// onList is called with the time of the request of each list of machines, as it arrives;
	// nil for none.
	onList func(requestedAt time.Time)
	// onDecision is called with each decision; nil for none.
	onDecision func(name string)
	// killOnUpkeep is the probability that the dispatcher is killed as it orders
	// upkeep.
	killOnUpkeep float64

	// link is the dispatcher's network link; nil if its bandwidth is unlimited.
	link *emulatedLink

	// advisor answers queries about steps; nil if there is none.
	advisor *emulatedAdvisor

	// wave is the wave that was requested or changed last; nil for none. waveChanges counts
	// requests and changes, and savedWaves holds the stored progress of waves by number.
	wave        *upkeep.Wave
	waveChanges int64
	savedWaves  map[int64]SaveWave
	// waveCompleted is the stored status of the wave.
	waveCompleted bool

	truth      map[job.Task]*taskTruth
	violations []string
	decisions  map[string]int
	// finished holds when each job was stored as ended.
	finished map[job.ID]time.Time
	// jobsEnded holds the jobs that a dispatcher has taken for ended.
	jobsEnded map[job.ID]bool
	specs     map[job.ID]job.Spec
	// connected holds the IDs of the VMs to which connections are open.
	connected map[string]bool
	// duration returns a task's actual run time; failing reports whether its
	// runs fail.
	duration func(tas job.Task, ste job.Step) time.Duration
	failing  func(tas job.Task) bool
	// deadly reports whether a task crashes each VM that starts it; nil for none.
	deadly func(tas job.Task) bool
	// late returns the delay with which a poll or a start is carried out that gets no
	// answer; 0 for all others. It is nil if there are none.
	late func(eff Effect) time.Duration
	// lateKeepsEnds has polls that are carried out late acknowledge nothing.
	lateKeepsEnds bool
}

// taskTruth is the actual state of a task on the VMs.
type taskTruth struct {
	running   int
	done      bool
	acked     bool
	failedEnd int
	// starts holds when the task's runs started. failedAcked holds when runs
	// failed whose ends were acknowledged within the lease.
	starts, failedAcked []time.Time
	// crashes holds when VMs crashed that ran the task.
	crashes []time.Time
	// endedAt is when the last run ended, and stopped reports whether an order ended
	// it.
	endedAt time.Time
	stopped bool
}

// timer calls a function at a time; order breaks ties.
type timer struct {
	at    time.Time
	order int
	fire  func()
}

// timers is a heap of timers.
type timers []timer

func (tms timers) Len() int { return len(tms) }
func (tms timers) Less(i, j int) bool {
	if !tms[i].at.Equal(tms[j].at) {
		return tms[i].at.Before(tms[j].at)
	}
	return tms[i].order < tms[j].order
}
func (tms timers) Swap(i, j int) { tms[i], tms[j] = tms[j], tms[i] }
func (tms *timers) Push(x any)   { *tms = append(*tms, x.(timer)) }
func (tms *timers) Pop() any {
	old := *tms
	last := old[len(old)-1]
	*tms = old[:len(old)-1]
	return last
}

// emulatedVM is a machine and the VM that currently runs on it.
type emulatedVM struct {
	vm          worker.VM
	up          bool
	partitioned bool
	startedAt   time.Time
	// fence is the highest token that the VM has accepted.
	fence int64
	runs  map[job.Task]*emulatedRun
	ends  []worker.End
	// endTimes holds the time of each end of this VM by its number;
	// leaseExpiredAt is when the lease last expired.
	endTimes       map[int64]time.Time
	leaseExpiredAt time.Time
	// number is the number of the last end, and reported the highest that a
	// dispatcher has received.
	number, reported int64
	// tombstones holds, by task, the highest run number that the VM rejects.
	tombstones map[job.Task]int
	// deadline is the end of the lease on the VM's clock.
	deadline     time.Duration
	incarnations int
	// waiter answers the poll that waits for an end; nil if none does.
	waiter     func()
	failsTasks bool
	// keepsID reports whether the VM restarts under the ID that it had.
	keepsID bool
	// offline reports whether the machine is down for upkeep or moving, and moving which.
	// upkeepBegun holds the waves in which its upkeep has begun.
	offline, moving bool
	upkeepBegun     map[int64]bool
	// lost reports whether the machine is gone for good.
	lost bool
}

// sorted returns the active tasks in the order of their names.
func (vm *emulatedVM) sorted() []job.Task {
	return slices.SortedFunc(maps.Keys(vm.runs), func(one, oth job.Task) int { return strings.Compare(one.String(), oth.String()) })
}

// emulatedRun is a run that is active on a VM.
type emulatedRun struct {
	run     int
	since   time.Time
	size    job.Size
	account string
	ended   bool
}

// emulatedStore holds the stored items by key.
type emulatedStore struct {
	rev   kv.Revision
	items map[string]kv.Item
}

const (
	emulatedLatency = 2 * time.Millisecond
	// emulatedBatchDelay is how long events wait for the dispatcher, unless it is about to
	// run anyway. It runs every emulatedTick at least.
	emulatedBatchDelay = 3 * time.Millisecond
	emulatedTick       = 40 * time.Millisecond
	// emulatedStopTime is the time that a run takes to stop.
	emulatedStopTime = 200 * time.Millisecond
	// emulatedMachineTimeout is when a machine order counts as unanswered: its
	// connection was reset.
	emulatedMachineTimeout = 20 * time.Millisecond
	emulatedTTL            = 1500 * time.Millisecond
	emulatedRepeatDelay    = 30 * time.Millisecond
	// emulatedRegistrationExpiry is when the registration of a VM that is gone expires.
	emulatedRegistrationExpiry = 4500 * time.Millisecond
	// emulatedMaxLease is the longest lease that a VM grants.
	emulatedMaxLease = 10 * time.Second
)

// newEmulator returns an emulator without VMs and without a dispatcher.
func newEmulator(seed uint64, cat catalog.Catalog) *emulator {
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	return &emulator{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, start: start, catalog: cat, vms: map[string]*emulatedVM{},
		store: &emulatedStore{rev: 1, items: map[string]kv.Item{}}, truth: map[job.Task]*taskTruth{}, decisions: map[string]int{},
		finished: map[job.ID]time.Time{}, jobsEnded: map[job.ID]bool{}, savedWaves: map[int64]SaveWave{}, specs: map[job.ID]job.Spec{}, connected: map[string]bool{},
		stopTime: emulatedStopTime, upkeepTime: 4 * time.Second,
		duration: func(_ job.Task, ste job.Step) time.Duration { return ste.Estimate },
		failing:  func(job.Task) bool { return false },
	}
}

// after calls a function after a time.
func (emu *emulator) after(span time.Duration, fire func()) {
	emu.order++
	heap.Push(&emu.queue, timer{emu.now.Add(span), emu.order, fire})
}

// run advances the clock to a time after the start.
func (emu *emulator) run(until time.Duration) {
	end := emu.start.Add(until)
	for emu.queue.Len() > 0 && !emu.queue[0].at.After(end) {
		tim := heap.Pop(&emu.queue).(timer)
		emu.now = tim.at
		tim.fire()
	}
	emu.now = end
}

// fail records a violated invariant.
func (emu *emulator) fail(format string, args ...any) {
	emu.violations = append(emu.violations, fmt.Sprintf("%6d ms: ", emu.now.Sub(emu.start).Milliseconds())+fmt.Sprintf(format, args...))
}

// addVMs adds VMs to a pool, with a number of them on each rack.
func (emu *emulator) addVMs(pool string, count, rack int, size job.Size) {
	for i := range count {
		name := fmt.Sprintf("%s-%d", pool, i)
		vm := &emulatedVM{vm: worker.VM{
			Pool: pool, Address: name, AZ: fmt.Sprintf("az%d", i%3), Capacity: size,
			Labels: []string{"a", fmt.Sprintf("%s-r%d", pool, i/rack)}, Rack: fmt.Sprintf("%s-r%d", pool, i/rack),
		}}
		emu.vms[name] = vm
		emu.names = append(emu.names, name)
		emu.boot(vm)
	}
}

// boot starts a new VM on a machine, unless the machine is lost.
func (emu *emulator) boot(vm *emulatedVM) {
	if vm.lost {
		return
	}
	vm.incarnations++
	vm.up = true
	vm.startedAt = emu.now
	if !vm.keepsID || vm.vm.ID == "" {
		vm.vm.ID = fmt.Sprintf("%s.%d", vm.vm.Address, vm.incarnations)
	}
	vm.vm.StartedAtMS = emu.now.UnixMilli()
	vm.fence, vm.number, vm.reported, vm.deadline = 0, 0, 0, 0
	vm.runs, vm.ends, vm.tombstones = map[job.Task]*emulatedRun{}, nil, map[job.Task]int{}
	vm.endTimes, vm.leaseExpiredAt = map[int64]time.Time{}, time.Time{}
	life := vm.incarnations
	emu.after(emulatedLatency+emu.registerDelay, func() {
		if vm.incarnations == life {
			emu.register(vm)
		}
	})
}

// register delivers a VM's registration, unless the VM is cut off from the store.
func (emu *emulator) register(vm *emulatedVM) {
	if vm.up && !(vm.partitioned && vm.keepsID) {
		if emu.registrations != nil {
			stored := vm.vm
			emu.registrations[stored.ID] = &stored
		}
		emu.deliver(VMRegistered{VM: vm.vm})
	}
}

// heal ends the partition of a VM.
func (emu *emulator) heal(vm *emulatedVM) {
	vm.partitioned = false
	emu.register(vm)
}

// crash ends a VM, which boots again after a time. Its registration expires
// after 4.5 s.
func (emu *emulator) crash(vm *emulatedVM, downtime time.Duration) {
	if !vm.up {
		return
	}
	vm.up = false
	for name, run := range vm.runs {
		emu.recordEnd(name, run)
		emu.truthOf(name).crashes = append(emu.truthOf(name).crashes, emu.now)
	}
	vm.runs = map[job.Task]*emulatedRun{}
	one := vm.vm
	emu.silence(vm)
	emu.after(emulatedRegistrationExpiry, func() {
		if emu.registrations == nil && (vm.vm.ID != one.ID || !vm.up || vm.partitioned) {
			emu.deliver(VMUnregistered{ID: one.ID})
		}
	})
	emu.after(downtime, func() { emu.boot(vm) })
}

// lose ends a VM and its machine for good.
func (emu *emulator) lose(vm *emulatedVM) {
	vm.lost, vm.offline, vm.moving = true, false, false
	emu.crash(vm, 0)
}

// recordEnd counts a run as no longer active, once.
func (emu *emulator) recordEnd(name job.Task, run *emulatedRun) {
	if !run.ended {
		run.ended = true
		tru := emu.truthOf(name)
		tru.running--
		tru.endedAt, tru.stopped = emu.now, false
	}
}

// truthOf returns the actual state of a task, and creates it if necessary.
func (emu *emulator) truthOf(name job.Task) *taskTruth {
	tru := emu.truth[name]
	if tru == nil {
		tru = &taskTruth{}
		emu.truth[name] = tru
	}
	return tru
}

// clock returns a VM's monotonic clock, which is 2% slow.
func (emu *emulator) clock(vm *emulatedVM) time.Duration {
	return time.Duration(float64(emu.now.Sub(vm.startedAt)) * 0.98)
}

// deliver queues an event for the dispatcher, if there is one.
func (emu *emulator) deliver(evt Event) {
	if emu.sched == nil || emu.dispatcherDown {
		return
	}
	if emu.registrationsSilent {
		switch evt.(type) {
		case VMRegistered, VMUnregistered:
			emu.heldRegistrations = append(emu.heldRegistrations, evt)
			return
		}
	}
	emu.inbox = append(emu.inbox, evt)
	emu.wake(emulatedBatchDelay)
}

// wake schedules a call of Reduce unless one is scheduled.
func (emu *emulator) wake(span time.Duration) {
	if emu.wakePending {
		return
	}
	emu.wakePending = true
	term := emu.term
	emu.after(span, func() {
		emu.wakePending = false
		if term != emu.term || emu.dispatcherDown {
			return
		}
		emu.reduce()
	})
}

// reduce passes the queued events to the dispatcher and performs the effects.
func (emu *emulator) reduce() {
	events := emu.inbox
	emu.inbox = nil
	if !emu.watchSilent {
		events = append(events, JobWatchProgressed{At: emu.now})
	}
	if !emu.registrationsSilent {
		events = append(events, VMWatchProgressed{At: emu.now})
	}
	for _, eff := range emu.sched.Reduce(emu.now, events) {
		emu.perform(eff)
	}
	if emu.ending && emu.wavesSaving == 0 && emu.sched.MayEnd() {
		emu.releaseDuty()
	}
	emu.wake(emulatedTick)
}

// takeOver starts the tenure of a new dispatcher, which loads the stored
// state.
func (emu *emulator) takeOver(opt Options) {
	emu.term++
	emu.store.rev++
	opt.Since, opt.Revision, opt.Term = emu.now, emu.store.rev, emu.term
	emu.opt = opt
	emu.sched, emu.inbox, emu.dispatcherDown, emu.wakePending = New(opt), nil, false, false
	emu.ending, emu.wavesSaving = false, 0
	emu.connected = map[string]bool{}
	emu.deliver(CatalogChanged{Catalog: emu.catalog})
	if emu.advisor != nil {
		emu.advisor.inFlight = 0
		emu.deliver(AdvisorSlotsChanged{Count: emu.advisor.slots})
	}
	// Loading the jobs takes time; VMs may report before.
	term := emu.term
	emu.after(emu.vmLoadTime, func() {
		if term == emu.term {
			emu.deliverVMs()
		}
	})
	emu.after(emulatedLoadTime, func() {
		if term == emu.term {
			emu.deliverJobs()
		}
	})
}

// emulatedLoadTime is the time that loading the jobs takes.
const emulatedLoadTime = 30 * time.Millisecond

// deliverVMs delivers the registrations of all VMs.
func (emu *emulator) deliverVMs() {
	for _, name := range emu.names {
		vm := emu.vms[name]
		if emu.registrations == nil && vm.up {
			emu.deliver(VMRegistered{VM: vm.vm})
		} else if stored := emu.registrations[vm.vm.ID]; stored != nil {
			emu.deliver(VMRegistered{VM: *stored})
		}
	}
}

// storeRegistrations has the store hold the registrations of the VMs. Those of VMs that
// are silent expire.
func (emu *emulator) storeRegistrations() {
	emu.registrations = map[string]*worker.VM{}
	for _, name := range emu.names {
		emu.register(emu.vms[name])
	}
}

// cut begins the partition of a VM.
func (emu *emulator) cut(vm *emulatedVM) {
	vm.partitioned = true
	emu.silence(vm)
}

// silence has the stored registration of a VM expire unless the VM registers again.
func (emu *emulator) silence(vm *emulatedVM) {
	id, stored := vm.vm.ID, emu.registrations[vm.vm.ID]
	if stored == nil {
		return
	}
	emu.after(emulatedRegistrationExpiry, func() {
		if emu.registrations[id] == stored {
			delete(emu.registrations, id)
			emu.deliver(VMUnregistered{ID: id})
		}
	})
}

// deliverJobs delivers the stored state to a new dispatcher.
func (emu *emulator) deliverJobs() {
	stored := progress.Join(emu.store.sorted(job.ProgressPrefix), func(itm kv.Item, err error) { emu.fail("record %s: %v", itm.Key, err) })
	for _, itm := range emu.store.sorted(job.LivePrefix) {
		id, cancelled := job.ParseLiveKey(itm.Key)
		if cancelled {
			emu.deliver(JobCancelled{ID: id})
			continue
		}
		evt := JobAccepted{Revision: itm.Revision}
		evt.Spec, _ = job.Unmarshal[job.Spec](itm.Value)
		evt.Progress, evt.ProgressRevision = stored[id].Progress, stored[id].Revision
		emu.deliver(evt)
	}
	if emu.wave != nil {
		emu.deliver(emu.storedWave())
	}
	former := FormerStartsListed{Records: map[string]startlog.Record{}}
	for _, itm := range emu.store.sorted(startlog.Prefix) {
		rec, err := startlog.Decode(itm.Value)
		if err != nil {
			emu.fail("record %s: %v", itm.Key, err)
		}
		former.Records[itm.Key] = rec
	}
	emu.deliver(former)
	emu.deliver(JobsLoaded{})
	var ended EndedJobsListed
	for _, itm := range emu.store.sorted(job.EndedPrefix) {
		out, err := job.Unmarshal[job.Outcome](itm.Value)
		if err != nil {
			panic(err)
		}
		ended.Jobs = append(ended.Jobs, EndedJob{ID: job.ID(itm.Key[len(job.EndedPrefix):]), At: out.At})
	}
	emu.deliver(ended)
}

// killDispatcher ends the dispatcher. Another one takes over when its lease
// has expired.
func (emu *emulator) killDispatcher() {
	if emu.dispatcherDown || emu.sched == nil {
		return
	}
	emu.dispatcherDown = true
	opt := emu.opt
	emu.after(emulatedTTL, func() { emu.takeOver(opt) })
}

// submit stores a job and delivers it to the dispatcher.
func (emu *emulator) submit(spe job.Spec) {
	spe.Accepted = emu.now
	raw, err := job.Marshal(spe)
	if err != nil {
		panic(err)
	}
	emu.specs[spe.ID] = spe
	rev := emu.store.put(job.LiveKey(spe.ID), raw)
	emu.after(emulatedLatency, func() { emu.deliver(JobAccepted{Spec: spe, Revision: rev}) })
}

// cancel stores the cancellation of a job, unless the job has ended.
func (emu *emulator) cancel(id job.ID) {
	if _, live := emu.store.items[job.LiveKey(id)]; !live {
		return
	}
	emu.store.put(job.CancelKey(id), nil)
	if !emu.watchSilent {
		emu.after(emulatedLatency, func() { emu.deliver(JobCancelled{ID: id}) })
	}
}

// perform performs an effect. Its answer is delivered later.
func (emu *emulator) perform(eff Effect) {
	switch eff := eff.(type) {
	case Poll:
		emu.connected[eff.VM.ID] = true
		emu.performPoll(eff)
	case Start:
		if !eff.Recorded {
			emu.unrecorded = append(emu.unrecorded, eff)
			return
		}
		emu.call(eff, eff.VM, func(vm *emulatedVM) worker.Result { return emu.startOn(vm, eff) }, func(res worker.Result, unanswered bool) Event {
			return StartAnswered{VM: eff.VM, Token: eff.Token, Task: eff.Task, Run: eff.Run, Result: res, Unanswered: unanswered}
		}, func(res worker.Result) Event {
			return StartSettled{VM: eff.VM, Token: eff.Token, Task: eff.Task, Run: eff.Run, Result: res}
		})
	case Stop:
		emu.call(eff, eff.VM, func(vm *emulatedVM) worker.Result { return emu.stopOn(vm, eff) }, func(res worker.Result, _ bool) Event {
			return StopAnswered{VM: eff.VM, Token: eff.Token, Task: eff.Task, Run: eff.Run, Result: res}
		}, nil)
	case RecordStarts:
		emu.recordStarts(eff.Txn)
	case Commit:
		emu.performCommit(eff)
	case QueryAdvisor:
		emu.performQueryAdvisor(eff)
	case ListMachines:
		requestedAt := emu.now
		emu.after(emulatedLatency, func() {
			all := emu.machines()
			emu.after(emu.slowList+emu.link.receive(emu.now, len(all)*emulatedMachineBytes), func() {
				emu.deliver(MachinesListed{RequestedAt: requestedAt, Machines: all})
				if emu.onList != nil {
					emu.onList(requestedAt)
				}
			})
		})
	case Upkeep:
		emu.checkStored(emu.vms[eff.Machine], "upkeep")
		emu.performUpkeep(eff)
	case Move:
		emu.checkStored(emu.vms[eff.Machine], "a move")
		emu.performMove(eff)
	case SaveWave:
		term := emu.term
		emu.wavesSaving++
		emu.after(emulatedLatency, func() {
			if term == emu.term && !emu.dispatcherDown {
				emu.saveWave(eff)
				emu.wavesSaving--
			}
		})
	case StepDown:
		emu.killDispatcher()
	case Forget:
		delete(emu.connected, eff.VM.ID)
	case LogDecision:
		emu.noteDecision(eff)
	}
}

// noteDecision counts a decision.
func (emu *emulator) noteDecision(dec LogDecision) {
	emu.decisions[dec.Name]++
	if emu.onDecision != nil {
		emu.onDecision(dec.Name)
	}
	if dec.Name == "job_ended" {
		emu.jobsEnded[dec.Job] = true
	}
}

// machines returns the list of machines. A machine that isn't up has no VM, also if its VM will
// be back under its ID.
func (emu *emulator) machines() (all []worker.Machine) {
	for _, name := range emu.names {
		vm := emu.vms[name]
		mac := worker.Machine{Name: name, Pool: vm.vm.Pool, Capacity: vm.vm.Capacity}
		switch {
		case vm.lost:
			continue
		case vm.up:
			mac.State, mac.VM = worker.MachineUp, vm.vm.ID
		case vm.moving:
			mac.State = worker.MachineMoving
		case vm.offline:
			mac.State = worker.MachineUpkeep
		default:
			mac.State = worker.MachineDown
		}
		all = append(all, mac)
	}
	return all
}

// requestWave requests a wave of upkeep, in place of one of the same number if there is one.
func (emu *emulator) requestWave(wav upkeep.Wave) {
	emu.forgetUpkeep(wav.Number)
	wav.Revision = emu.waveChanges + 1
	emu.changeWave(wav)
}

// changeWave changes the wave, or requests one.
func (emu *emulator) changeWave(wav upkeep.Wave) {
	emu.waveChanges++
	wav.Changed = emu.waveChanges
	emu.wave = &wav
	emu.deliver(emu.storedWave())
}

// withdrawWave withdraws the wave.
func (emu *emulator) withdrawWave() {
	emu.forgetUpkeep(emu.wave.Number)
	emu.deliver(WaveWithdrawn{Number: emu.wave.Number})
	emu.wave = nil
}

// forgetUpkeep has the platform forget the upkeep that has begun by a wave.
func (emu *emulator) forgetUpkeep(number int64) {
	for _, vm := range emu.vms {
		delete(vm.upkeepBegun, number)
	}
}

// storedWave returns the wave with its stored progress.
func (emu *emulator) storedWave() WaveRequested {
	evt := WaveRequested{Wave: *emu.wave}
	saved := emu.savedWaves[emu.wave.Number]
	evt.Former = saved.Former
	if !emu.wave.Revises(saved.Wave) {
		evt.Former = slices.Concat(saved.Former, saved.Begun)
		return evt
	}
	evt.Begun = saved.Begun
	if emu.wave.Changed == saved.Wave.Changed {
		evt.RequestedAt = saved.RequestedAt
	}
	return evt
}

// saveWave stores the progress of a wave, and its status unless the wave has changed.
func (emu *emulator) saveWave(eff SaveWave) {
	emu.savedWaves[eff.Wave.Number] = eff
	if emu.wave == nil || emu.wave.Number != eff.Wave.Number || emu.wave.Changed != eff.Wave.Changed {
		return
	}
	emu.waveCompleted = eff.Completed
	for _, name := range emu.wave.Machines {
		if vm := emu.vms[name]; eff.Completed && !vm.lost && !vm.upkeepBegun[emu.wave.Number] {
			emu.fail("wave %d is reported as completed, and the upkeep of %s has not begun", emu.wave.Number, name)
		}
	}
}

// shutDown ends a VM without reporting any ends, as a machine order does.
func (emu *emulator) shutDown(vm *emulatedVM, downtime time.Duration) {
	vm.up, vm.offline = false, true
	for _, name := range vm.sorted() {
		emu.checkBudget(vm, Stop{Task: name, Run: vm.runs[name].run})
	}
	for name, run := range vm.runs {
		emu.recordEnd(name, run)
		emu.truthOf(name).stopped = true
	}
	vm.runs = map[job.Task]*emulatedRun{}
	id := vm.vm.ID
	emu.silence(vm)
	emu.after(emulatedRegistrationExpiry, func() { emu.deliver(VMUnregistered{ID: id}) })
	emu.after(downtime, func() {
		vm.offline, vm.moving = false, false
		if emu.ordersRenewIDs {
			vm.vm.ID = ""
		}
		emu.boot(vm)
	})
}

// performUpkeep begins a machine's upkeep, unless it has begun before in the
// same wave.
func (emu *emulator) performUpkeep(eff Upkeep) {
	if emu.onUpkeep != nil {
		emu.onUpkeep(eff.Machine)
	}
	if emu.rng.Float64() < emu.killOnUpkeep {
		emu.after(time.Millisecond, emu.killDispatcher)
	}
	term := emu.term
	answer := func(res worker.MachineResult) {
		span := emulatedLatency
		if emu.rng.Float64() < emu.loseMachineAnswer {
			res, span = worker.MachineUnknown, emulatedMachineTimeout
		}
		emu.after(span, func() {
			if term == emu.term {
				emu.deliver(MachineAnswered{Machine: eff.Machine, Wave: eff.Wave, Result: res})
			}
		})
	}
	emu.after(emulatedLatency+emu.slowMachineOrder, func() {
		vm := emu.vms[eff.Machine]
		switch {
		case vm.lost:
			answer(worker.MachineInvalid)
		case emu.wave == nil, emu.wave.Number == eff.Wave && !slices.Contains(emu.wave.Machines, eff.Machine):
			answer(worker.MachineNotInWave)
		case vm.upkeepBegun[eff.Wave]:
			answer(worker.MachineOK)
		case !vm.up:
			answer(worker.MachineBusy)
		default:
			vm.upkeepBegun = map[int64]bool{eff.Wave: true}
			down := 0
			for _, oth := range emu.vms {
				if oth.offline {
					down++
				}
			}
			if down >= emu.wave.Cap {
				emu.fail("upkeep of %s begins while %d are down", eff.Machine, down)
			}
			emu.shutDown(vm, emu.upkeepTime)
			answer(worker.MachineOK)
		}
	})
}

// performMove moves a machine to another pool.
func (emu *emulator) performMove(eff Move) {
	term := emu.term
	emu.after(emulatedLatency, func() {
		vm := emu.vms[eff.Machine]
		res := worker.MachineBusy
		switch {
		case vm.lost:
			res = worker.MachineInvalid
		case vm.up:
			res = worker.MachineOK
			if vm.vm.Pool != eff.Pool {
				emu.shutDown(vm, 1500*time.Millisecond)
				vm.vm.Pool, vm.moving = eff.Pool, true
			}
		}
		emu.after(emulatedLatency, func() {
			if term == emu.term {
				emu.deliver(MachineAnswered{Machine: eff.Machine, Result: res})
			}
		})
	})
}

// find returns the machine at a VM's address if it can be reached.
func (emu *emulator) find(one worker.VM) *emulatedVM {
	vm := emu.vms[one.Address]
	if vm == nil || !vm.up || vm.partitioned {
		return nil
	}
	return vm
}

// call sends an order to a VM, and again while there is no answer, and delivers the
// first definite answer. The answer is unanswered if another try has none; settled makes the event
// for the moment at which all have the same.
func (emu *emulator) call(eff Effect, one worker.VM, execute func(*emulatedVM) worker.Result, answer func(res worker.Result, unanswered bool) Event, settled func(worker.Result) Event) {
	term, decided, open, left := emu.term, false, 0, emu.repeats
	var first worker.Result
	alike := false
	var send func()
	send = func() {
		open++
		emu.try(eff, one, term, execute, func(res worker.Result) {
			if res != worker.ResultUnknown {
				open--
			} else if left > 0 {
				return
			}
			if !decided {
				decided, first, alike = true, res, open > 0
				emu.deliver(answer(res, open > 0))
				return
			}
			alike = alike && (res == first || first == worker.ResultOK && res == worker.ResultOldRun)
			if alike && open == 0 && settled != nil {
				emu.deliver(settled(first))
			}
		})
		if left > 0 {
			emu.after(emulatedRepeatDelay, func() {
				if left--; !decided && term == emu.term {
					send()
				}
			})
		}
	}
	send()
}

// try sends an order to a VM and its answer back. Either may be lost, and the
// order may be carried out late.
func (emu *emulator) try(eff Effect, one worker.VM, term int64, execute func(*emulatedVM) worker.Result, answer func(worker.Result)) {
	answered := false
	reply := func(span time.Duration, res worker.Result) {
		emu.after(span, func() {
			if term == emu.term && !answered {
				answered = true
				answer(res)
			}
		})
	}
	if emu.link != nil {
		reply(time.Second, worker.ResultUnknown)
	}
	chance := emu.rng.Float64()
	arrive := func(vm *emulatedVM) (worker.Result, bool) {
		if vm == nil || !vm.up {
			return 0, false
		}
		if vm.vm.ID != one.ID {
			return worker.ResultOtherIncarnation, true
		}
		return execute(vm), true
	}
	if delay := emu.delayOf(eff); delay > 0 {
		reply(time.Second, worker.ResultUnknown)
		// The order has passed the partition, if there is one.
		emu.after(delay, func() { emu.arriveLate(func() { arrive(emu.vms[one.Address]) }) })
		return
	}
	if chance < emu.lateOrder {
		reply(time.Second, worker.ResultUnknown)
		emu.after(2*time.Second+time.Duration(emu.rng.Int64N(int64(10*time.Second))), func() { emu.arriveLate(func() { arrive(emu.find(one)) }) })
		return
	}
	emu.after(emu.link.send(emu.now, emulatedOrderBytes), func() {
		if chance < emu.lateOrder+emu.loseOrder {
			reply(time.Second, worker.ResultUnknown)
			return
		}
		res, ok := arrive(emu.find(one))
		if !ok || chance < emu.lateOrder+emu.loseOrder+emu.loseAnswer {
			reply(time.Second, worker.ResultUnknown)
			return
		}
		reply(emu.link.receive(emu.now, emulatedAnswerBytes), res)
	})
}

// delayOf returns the delay of a poll or an order that is carried out late without an
// answer; 0 for all others.
func (emu *emulator) delayOf(eff Effect) time.Duration {
	if emu.late == nil {
		return 0
	}
	return emu.late(eff)
}

// arriveLate carries out an order that is late.
func (emu *emulator) arriveLate(arrive func()) {
	emu.heldUp = true
	arrive()
	emu.heldUp = false
}

// extend extends a VM's lease and ends its runs when the lease expires.
func (emu *emulator) extend(vm *emulatedVM, deadline time.Duration) {
	deadline = min(deadline, emu.clock(vm)+emulatedMaxLease)
	if deadline <= vm.deadline {
		return
	}
	vm.deadline = deadline
	life := vm.incarnations
	wait := time.Duration(float64(deadline-emu.clock(vm)) / 0.98)
	emu.after(wait+time.Millisecond, func() {
		if vm.incarnations != life || !vm.up || emu.clock(vm) < vm.deadline {
			return
		}
		vm.leaseExpiredAt = emu.now
		for _, name := range vm.sorted() {
			emu.endRun(vm, name, vm.runs[name], worker.EndLeaseExpired)
		}
	})
}

// startOn starts a run on a VM, which checks the order as an executor does.
func (emu *emulator) startOn(vm *emulatedVM, ord Start) worker.Result {
	if ord.Token < vm.fence {
		return worker.ResultFenced
	}
	vm.fence = ord.Token
	// Starts that are refused extend the lease as well.
	emu.extend(vm, ord.Deadline)
	if run := vm.runs[ord.Task]; run != nil && run.run == ord.Run {
		return worker.ResultOK
	}
	if ord.Run <= vm.tombstones[ord.Task] || vm.runs[ord.Task] != nil {
		return worker.ResultOldRun
	}
	if ord.Deadline <= emu.clock(vm) {
		return worker.ResultLate
	}
	spe := emu.specs[ord.Task.Job]
	ste := spe.Steps[ord.Task.Step]
	used := job.Size{}
	for _, run := range vm.runs {
		used = used.Plus(run.size)
	}
	if !used.Plus(ste.Reservation()).Fits(vm.vm.Capacity) {
		if emu.catalog.Pools[0].EnforcesCapacity {
			return worker.ResultNoRoom
		}
		emu.fail("%s run %d exceeds the capacity of %s", ord.Task, ord.Run, vm.vm.ID)
	}
	if emu.advisor != nil && !emu.advisor.allows(emu.now, ord) {
		emu.advisor.rejected++
		return worker.ResultNoTicket
	}
	emu.checkStart(vm, ord, spe)
	run := &emulatedRun{run: ord.Run, since: emu.now, size: ste.Reservation(), account: spe.Account}
	vm.runs[ord.Task] = run
	emu.truthOf(ord.Task).running++
	emu.truthOf(ord.Task).starts = append(emu.truthOf(ord.Task).starts, emu.now)
	emu.checkAttempts(ord.Task)
	emu.checkCrashes(ord.Task)
	if emu.isDeadly(ord.Task) {
		life := vm.incarnations
		emu.after(emulatedCrashDelay, func() {
			if vm.incarnations == life {
				emu.crash(vm, emulatedCrashTime)
			}
		})
	}
	if ste.LongRunning {
		return worker.ResultOK
	}
	emu.work(vm, ord, ste, run)
	return worker.ResultOK
}

// work ends a run after the task's run time. A gang works only while all
// members run, and ends with the member that started last.
func (emu *emulator) work(vm *emulatedVM, ord Start, ste job.Step, run *emulatedRun) {
	life := vm.incarnations
	runs := func() bool { return vm.incarnations == life && vm.runs[ord.Task] == run }
	incomplete := func() bool { return ste.Gang && len(emu.gang(ord.Task, ord.Run, ste.Count)) < ste.Count }
	emu.after(emulatedGangTimeout, func() {
		if runs() && incomplete() {
			emu.endRun(vm, ord.Task, run, worker.EndGangIncomplete)
		}
	})
	emu.after(emu.duration(ord.Task, ste), func() {
		if !runs() || incomplete() {
			return
		}
		kind := worker.EndDone
		if emu.failing(ord.Task) || vm.failsTasks {
			kind = worker.EndFailed
		}
		emu.endRun(vm, ord.Task, run, kind)
		if ste.Gang {
			emu.endGangOf(ord.Task, ord.Run, ste.Count, kind)
		}
	})
}

// emulatedGangTimeout is how long a member of a gang waits for the others.
const emulatedGangTimeout = 3 * time.Second

// gang returns the VMs of the active members of a gang, by member.
func (emu *emulator) gang(name job.Task, run, count int) map[job.Task]*emulatedVM {
	members := map[job.Task]*emulatedVM{}
	for i := range count {
		name.Index = i
		for _, vm := range emu.vms {
			if oth := vm.runs[name]; oth != nil && oth.run == run {
				members[name] = vm
			}
		}
	}
	return members
}

// endGangOf ends the other members of a gang after the end of one.
func (emu *emulator) endGangOf(name job.Task, run, count int, kind worker.EndKind) {
	if kind != worker.EndDone {
		kind = worker.EndGangBroken
	}
	members := emu.gang(name, run, count)
	for i := range count {
		name.Index = i
		if vm := members[name]; vm != nil {
			emu.endRun(vm, name, vm.runs[name], kind)
		}
	}
}

// checkStart checks the invariants of the start of a task.
func (emu *emulator) checkStart(vm *emulatedVM, ord Start, spe job.Spec) {
	tru := emu.truthOf(ord.Task)
	if tru.running > 0 {
		emu.fail("%s run %d starts on %s while it runs", ord.Task, ord.Run, vm.vm.ID)
	}
	if tru.done && tru.acked {
		emu.fail("%s run %d starts on %s after its end was acknowledged", ord.Task, ord.Run, vm.vm.ID)
	}
	for _, dep := range spe.Steps[ord.Task.Step].After {
		for i := range spe.Steps[dep].Count {
			before := job.Task{Job: ord.Task.Job, Occurrence: ord.Task.Occurrence, Step: dep, Index: i}
			if !emu.truthOf(before).done {
				emu.fail("%s starts before %s is done", ord.Task, before)
			}
		}
	}
	if due := spe.Due(ord.Task.Occurrence); spe.Occurrences > 0 && emu.now.Before(due) {
		emu.fail("%s starts %v before it is due", ord.Task, due.Sub(emu.now))
	}
	if acc := emu.catalog.Account(spe.Account); acc != nil && acc.Cap.CPU > 0 {
		sum := spe.Steps[ord.Task.Step].Size.CPU
		for _, oth := range emu.vms {
			for _, run := range oth.runs {
				if run.account == spe.Account {
					sum += run.size.CPU
				}
			}
		}
		if sum > acc.Cap.CPU {
			emu.fail("%s raises the usage of account %s to %d, above its cap of %d", ord.Task, spe.Account, sum, acc.Cap.CPU)
		}
	}
}

// A deadly task crashes a VM emulatedCrashDelay after its start, and the VM is
// back after emulatedCrashTime.
const (
	emulatedCrashDelay = 10 * time.Millisecond
	emulatedCrashTime  = 3 * time.Second
)

// isDeadly reports whether a task crashes its VMs.
func (emu *emulator) isDeadly(name job.Task) bool { return emu.deadly != nil && emu.deadly(name) }

// checkCrashes checks that a task that crashes its VMs does not start three times more
// after it has crashed three.
func (emu *emulator) checkCrashes(name job.Task) {
	tru := emu.truthOf(name)
	if !emu.isDeadly(name) || len(tru.crashes) < 3 {
		return
	}
	more := 0
	for _, start := range tru.starts {
		if start.After(tru.crashes[2]) {
			more++
		}
	}
	if more >= 3 {
		emu.fail("%s is started %d times more after three VMs have crashed under it", name, more)
	}
}

// queueOf returns the queue of a job, as recorded with it if it has been removed.
func (emu *emulator) queueOf(spe job.Spec) *catalog.Queue {
	if que := emu.catalog.Queue(spe.Queue); que != nil {
		return que
	}
	return catalog.RecordedQueue(spe)
}

// checkAttempts checks that no run of a task started after as many
// acknowledged failures as its queue allows attempts.
func (emu *emulator) checkAttempts(name job.Task) {
	spe := emu.specs[name.Job]
	if spe.Steps[name.Step].LongRunning {
		return
	}
	tru := emu.truthOf(name)
	for _, start := range tru.starts {
		failed := 0
		for _, end := range tru.failedAcked {
			if end.Before(start) {
				failed++
			}
		}
		if failed >= emu.queueOf(spe).MaxAttempts {
			emu.fail("%s was started after %d failed runs", name, failed)
		}
	}
}

// endRun ends a run on a VM and answers a waiting poll.
func (emu *emulator) endRun(vm *emulatedVM, name job.Task, run *emulatedRun, kind worker.EndKind) {
	emu.recordEnd(name, run)
	delete(vm.runs, name)
	vm.tombstones[name] = max(vm.tombstones[name], run.run)
	vm.number++
	vm.endTimes[vm.number] = emu.now
	vm.ends = append(vm.ends, worker.End{Number: vm.number, Task: name, Run: run.run, Kind: kind})
	switch kind {
	case worker.EndStopped:
		emu.truthOf(name).stopped = true
	case worker.EndDone:
		emu.truthOf(name).done = true
	case worker.EndFailed:
		emu.truthOf(name).failedEnd++
	}
	if vm.waiter != nil {
		wake := vm.waiter
		vm.waiter = nil
		wake()
	}
}

// stopOn stops a run on a VM, or makes the VM reject its start.
func (emu *emulator) stopOn(vm *emulatedVM, ord Stop) worker.Result {
	if ord.Token < vm.fence {
		return worker.ResultFenced
	}
	vm.fence = ord.Token
	vm.tombstones[ord.Task] = max(vm.tombstones[ord.Task], ord.Run)
	run := vm.runs[ord.Task]
	if run != nil && run.run <= ord.Run {
		emu.checkBudget(vm, ord)
		emu.after(emu.stopTime, func() {
			if vm.runs[ord.Task] == run {
				emu.endRun(vm, ord.Task, run, worker.EndStopped)
			}
		})
	}
	return worker.ResultOK
}

// checkBudget checks that a stop that wasn't held up ends a serving task of a live job only
// while its step can bear it.
func (emu *emulator) checkBudget(vm *emulatedVM, ord Stop) {
	spe := emu.specs[ord.Task.Job]
	if emu.heldUp || emu.jobsEnded[spe.ID] || ord.Task.Step >= len(spe.Steps) {
		return
	}
	ste := spe.Steps[ord.Task.Step]
	if !ste.LongRunning || ste.MaxUnavailable == 0 {
		return
	}
	away := 0
	for i := range ste.Count {
		name := ord.Task
		name.Index = i
		if i != ord.Task.Index && emu.isAway(name, spe) {
			away++
		}
	}
	if away >= ste.MaxUnavailable {
		emu.fail("%s run %d is stopped on %s while %d others are away", ord.Task, ord.Run, vm.vm.ID, away)
	}
}

// emulatedNotice is the time after which a serving task that doesn't run counts as away,
// if no order has ended it.
const emulatedNotice = 4500 * time.Millisecond

// isAway reports whether a serving task of a job counts as away.
func (emu *emulator) isAway(name job.Task, spe job.Spec) bool {
	tru := emu.truthOf(name)
	since := tru.endedAt
	if since.IsZero() {
		since = spe.Accepted
	}
	return tru.running == 0 && (tru.stopped || emu.now.Sub(since) > emulatedNotice)
}

// performPoll polls a VM. The poll fails if its answer does not arrive in time.
func (emu *emulator) performPoll(eff Poll) {
	sent, term := emu.now, emu.term
	answered := false
	finish := func(res worker.Result, rep worker.Report) {
		if term == emu.term && !answered {
			answered = true
			emu.recordReported(eff.VM, rep)
			emu.deliver(PollAnswered{VM: eff.VM, Token: eff.Token, Sent: sent, Report: rep, Result: res})
		}
	}
	responded := false
	answer := func(res worker.Result, rep worker.Report) {
		if responded {
			return
		}
		responded = true
		size := emulatedAnswerBytes + emulatedRowBytes*(len(rep.Running)+len(rep.Ends))
		emu.after(emu.link.receive(emu.now, size), func() { finish(res, rep) })
	}
	emu.after(eff.Wait+eff.Slack, func() { finish(worker.ResultUnknown, worker.Report{}) })
	find := func() *emulatedVM { return emu.find(eff.VM) }
	transit := emu.link.send(emu.now, emulatedAnswerBytes)
	if delay := emu.delayOf(eff); delay > 0 {
		// The poll has passed the partition, if there is one.
		if emu.lateKeepsEnds {
			eff.Acked = 0
		}
		transit, responded, find = delay, true, func() *emulatedVM { return emu.vms[eff.VM.Address] }
	}
	emu.after(transit, func() {
		vm := find()
		if vm == nil || !vm.up {
			return
		}
		if vm.vm.ID != eff.VM.ID {
			answer(worker.ResultOtherIncarnation, worker.Report{})
			return
		}
		if eff.Token < vm.fence {
			answer(worker.ResultFenced, worker.Report{})
			return
		}
		vm.fence = eff.Token
		emu.acknowledge(vm, eff.Acked)
		if eff.Deadline > 0 {
			emu.extend(vm, eff.Deadline)
		}
		life := vm.incarnations
		respond := func() {
			if vm.incarnations == life && emu.find(eff.VM) == vm {
				answer(worker.ResultOK, emu.reportOf(vm))
			}
		}
		if eff.Wait > 0 && len(vm.ends) == 0 && !responded {
			vm.waiter = respond
			emu.after(eff.Wait, respond)
			return
		}
		respond()
	})
}

// acknowledge removes the acknowledged ends of a VM, and checks that the store
// holds them.
func (emu *emulator) acknowledge(vm *emulatedVM, upTo int64) {
	kept := vm.ends[:0]
	for _, end := range vm.ends {
		if end.Number > upTo {
			kept = append(kept, end)
			continue
		}
		if end.Kind == worker.EndFailed && vm.leaseExpiredAt.Before(vm.endTimes[end.Number]) {
			tru := emu.truthOf(end.Task)
			tru.failedAcked = append(tru.failedAcked, vm.endTimes[end.Number])
			emu.checkAttempts(end.Task)
		}
		if end.Kind == worker.EndDone {
			tru, endedAt := emu.truthOf(end.Task), vm.endTimes[end.Number]
			tru.acked = true
			restarted := slices.ContainsFunc(tru.starts, func(at time.Time) bool { return at.After(endedAt) })
			if restarted && vm.leaseExpiredAt.Before(endedAt) {
				emu.fail("the end of %s is acknowledged though it has started again since", end.Task)
			}
			if !emu.store.knowsDone(end.Task) {
				emu.fail("the end of %s is acknowledged and not stored", end.Task)
			}
		}
	}
	vm.ends = kept
}

// recordReported records the ends that the dispatcher has received.
func (emu *emulator) recordReported(one worker.VM, rep worker.Report) {
	vm := emu.vms[one.Address]
	if vm == nil || !vm.vm.SameIncarnation(one) || emu.dispatcherDown {
		return
	}
	for _, end := range rep.Ends {
		vm.reported = max(vm.reported, end.Number)
	}
}

// checkStored checks that the store holds the ends that a VM has reported, when
// an order is given that ends the VM.
func (emu *emulator) checkStored(vm *emulatedVM, order string) {
	if !vm.up {
		return
	}
	for _, end := range vm.ends {
		if end.Number <= vm.reported && end.Kind == worker.EndDone && !emu.store.knowsDone(end.Task) {
			emu.fail("%s of %s is ordered, and the reported end of %s run %d is not stored", order, vm.vm.ID, end.Task, end.Run)
		}
	}
}

// reportOf returns a VM's report of its runs and ends.
func (emu *emulator) reportOf(vm *emulatedVM) worker.Report {
	rep := worker.Report{Clock: emu.clock(vm), StartedAtMS: vm.vm.StartedAtMS, Ends: append([]worker.End(nil), vm.ends...)}
	for _, name := range vm.sorted() {
		run := vm.runs[name]
		percent := percentWorking
		if emu.now.Sub(run.since) < emu.startup {
			percent = 0
		}
		rep.Running = append(rep.Running, worker.Running{Task: name, Run: run.run, Percent: percent})
	}
	return rep
}

// recordStarts writes a record of starts, and sends them when it is stored.
func (emu *emulator) recordStarts(txn kv.Txn) {
	term, starts := emu.term, emu.unrecorded
	emu.unrecorded = nil
	emu.after(emulatedLatency, func() {
		if term != emu.term || emu.dispatcherDown {
			return
		}
		err := kv.ErrNotDone
		if !emu.storeDown {
			_, err = emu.commit(txn)
		}
		if err != nil {
			emu.deliver(StartsNotRecorded{Txn: txn, Starts: starts, Err: err})
			return
		}
		for _, eff := range starts {
			eff.Recorded = true
			emu.perform(eff)
		}
	})
}

// performCommit writes to the store. The answer may be lost, and the write may
// be applied late.
func (emu *emulator) performCommit(eff Commit) {
	term := emu.term
	chance := emu.rng.Float64()
	apply := func() (rev kv.Revision, err error) {
		if term != emu.term {
			return 0, kv.ErrNotDone
		}
		return emu.commit(eff.Txn)
	}
	answer := func(span time.Duration, rev kv.Revision, err error) {
		emu.after(span, func() {
			if term == emu.term {
				emu.deliver(Committed{Revision: rev, Err: err, Lane: eff.Lane})
			}
		})
	}
	switch {
	case emu.storeDown:
		answer(emulatedLatency, 0, kv.ErrNotDone)
	case chance < emu.lateCommit:
		answer(time.Second, 0, kv.ErrUnknown)
		emu.after(time.Second+time.Duration(emu.rng.Int64N(int64(5*time.Second))), func() { _, _ = apply() })
	case chance < emu.lateCommit+emu.loseCommit:
		emu.after(emulatedLatency, func() { _, _ = apply() })
		answer(time.Second, 0, kv.ErrUnknown)
	default:
		emu.after(emulatedLatency, func() {
			rev, err := apply()
			answer(emulatedLatency, rev, err)
		})
	}
}

// commit applies a transaction if its conditions hold.
func (emu *emulator) commit(txn kv.Txn) (rev kv.Revision, err error) {
	if tooLarge(txn) {
		return 0, errors.Join(kv.ErrNotDone, kv.ErrRejected)
	}
	con := &kv.ConflictError{}
	failed := false
	for _, cnd := range txn.Conditions {
		itm := emu.store.items[cnd.Key]
		itm.Key = cnd.Key
		con.Current = append(con.Current, itm)
		failed = failed || itm.Revision != cnd.Revision
	}
	if failed {
		return 0, con
	}
	for _, put := range txn.Puts {
		rev = emu.store.put(put.Key, put.Value)
		if len(put.Key) > len(job.EndedPrefix) && put.Key[:len(job.EndedPrefix)] == job.EndedPrefix {
			emu.checkEnded(job.ID(put.Key[len(job.EndedPrefix):]), put.Value)
		}
	}
	for _, key := range txn.Deletes {
		delete(emu.store.items, key)
	}
	return rev, nil
}

// checkEnded checks the record of an ended job against the actual state of its
// tasks.
func (emu *emulator) checkEnded(id job.ID, raw []byte) {
	emu.finished[id] = emu.now
	out, err := job.Unmarshal[job.Outcome](raw)
	if err != nil {
		panic(err)
	}
	// A task that crashes its VMs can't be done. No other job may be given up, however
	// often VMs crash under it.
	worst, deadly := 0, false
	spe := emu.specs[id]
	for occ := range spe.OccurrenceCount() {
		for i, ste := range spe.Steps {
			failed := 0
			for j := range ste.Count {
				name := job.Task{Job: id, Occurrence: occ, Step: i, Index: j}
				tru := emu.truthOf(name)
				worst, failed = max(worst, tru.failedEnd), failed+tru.failedEnd
				deadly = deadly || emu.isDeadly(name)
				if out.State == job.StateCompleted && !tru.done {
					emu.fail("job %s is completed while %s is not done", id, name)
				}
			}
			if ste.Gang {
				worst = max(worst, failed)
			}
		}
	}
	if out.State == job.StateFailed && !deadly && worst < emu.queueOf(spe).MaxAttempts {
		emu.fail("job %s failed after %d failures of a task", id, worst)
	}
}

// put stores an item at a new revision.
func (sto *emulatedStore) put(key string, value []byte) kv.Revision {
	sto.rev++
	sto.items[key] = kv.Item{Key: key, Value: value, Revision: sto.rev}
	return sto.rev
}

// sorted returns the items under a prefix in the order of their keys.
func (sto *emulatedStore) sorted(prefix string) (items []kv.Item) {
	for key, itm := range sto.items {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			items = append(items, itm)
		}
	}
	sortItems(items)
	return items
}

// knowsDone reports whether the store records a task as done.
func (sto *emulatedStore) knowsDone(tas job.Task) bool {
	if _, ok := sto.items[job.EndedKey(tas.Job)]; ok {
		return true
	}
	stored := progress.Join(sto.sorted(job.ProgressKey(tas.Job)), func(itm kv.Item, err error) { panic(fmt.Sprintf("%s: %v", itm.Key, err)) })
	for _, rec := range stored[tas.Job].Progress.Tasks {
		if rec.Occurrence == tas.Occurrence && rec.Step == tas.Step && rec.Index == tas.Index {
			return rec.Done
		}
	}
	return false
}
