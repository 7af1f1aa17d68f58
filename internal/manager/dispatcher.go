package manager

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/advisory"
	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/progress"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/election"
	"github.com/balsamgauge/balsamgauge/internal/follow"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/internal/record"
	"github.com/balsamgauge/balsamgauge/platform"
)

// Timing and limits of the dispatcher.
const (
	// tickInterval is how often the reducer runs when there are no events.
	tickInterval = 40 * time.Millisecond
	// batchDelay is how long the loop waits for more events after the first
	// one, which saves wake-ups. After an expensive round it waits batchDelayFactor
	// times as long as the reducer took, but at most maxBatchDelay, so that most of
	// the processor is left for calls.
	batchDelay       = 3 * time.Millisecond
	batchDelayFactor = 6
	maxBatchDelay    = 20 * time.Millisecond
	// eventQueueSize is how many events may wait for the loop.
	eventQueueSize = 4096
	// maxTaskLease bounds how long a VM runs tasks without being polled. It is
	// longer than a takeover of the duty takes, so that runs outlast one.
	maxTaskLease = 4 * time.Second
	// leaseFraction is the part of the longest lease granted by a VM that is
	// used.
	leaseFraction = 0.9
)

// dispatcher runs the scheduler during one tenure.
type dispatcher struct {
	nod    *Node
	ten    *election.Tenure
	sta    *scheduler.State
	events chan arrival
	rounds roundStats
	load   loadWriter
	// loadRecord is the stored load, and waveRecords holds the stored progress of
	// waves by number.
	loadRecord  *record.Record
	waveRecords map[int64]*record.Latest
	// ticketSources sends queries to the advisor; reportedSources is the number
	// of available sources that was last reported to the reducer.
	ticketSources   *advisory.Pool
	reportedSources int
	// unrecorded holds the starts of this round that wait for their record.
	unrecorded []pendingStart
	// lateRecords counts the records that are being written again after their starts were
	// sent.
	lateRecords atomic.Int64
	// adviceNeeded is State.NeedsAdvice as of the last round.
	adviceNeeded atomic.Bool
	// ending reports whether the tenure is about to end.
	ending atomic.Bool
}

// dispatch runs the dispatcher until the context is done, or until the tenure is about to
// end and mayEnd allows it.
func (nod *Node) dispatch(ctx context.Context, ten *election.Tenure) {
	cur := ten.Current()
	set := nod.settings()
	bnd := set.Bounds
	dis := &dispatcher{
		nod: nod, ten: ten, events: make(chan arrival, eventQueueSize), ticketSources: advisory.NewPool(nod.now),
		waveRecords: map[int64]*record.Latest{},
	}
	dis.loadRecord = record.New(loadKey, dis.commit)
	dis.sta = scheduler.New(scheduler.Options{
		Since: cur.Since, Revision: cur.Revision, Term: cur.Holder.Term,
		Lease:        min(maxTaskLease, fraction(bnd.MaxTaskLease, leaseFraction)),
		LongestLease: bnd.MaxTaskLease, RegistrationExpiry: bnd.RegistrationExpiry,
		StopTime: bnd.StopTime, UpkeepTime: bnd.Upkeep,
		KeepEnded:              bnd.KeepEnded,
		ShareWindow:            bnd.ShareWindow,
		MachineOrdersPerSecond: set.MachineOrderRate,
		LinkBytesPerSecond:     set.LinkBytesPerSecond,
		MaxValueBytes:          set.MaxValueBytes,
		Capacity:               set.Capacity,
	})
	go dis.readState(ctx)
	go dis.followTicketSources(ctx)
	dis.loop(ctx)
}

// send queues an event for the loop.
func (dis *dispatcher) send(ctx context.Context, evt scheduler.Event) {
	select {
	case dis.events <- arrival{evt, dis.nod.now()}:
	case <-ctx.Done():
	}
}

// loop passes events to the reducer and carries out its effects.
func (dis *dispatcher) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var batch []scheduler.Event
	delay := batchDelay
	ending := dis.ten.Ending()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ending:
			ending = nil
			dis.ending.Store(true)
			batch = append(batch, scheduler.TenureEnding{})
		case arr := <-dis.events:
			batch = dis.receive(batch, arr)
			time.Sleep(delay)
		case <-tick.C:
		}
		batch = dis.drain(batch)
		now := dis.nod.now()
		if !dis.ten.Holds(now) {
			// Events are kept until the duty is guaranteed to be held again.
			continue
		}
		if available := dis.ticketSources.Available(); available != dis.reportedSources {
			dis.reportedSources = available
			batch = append(batch, scheduler.AdvisorSlotsChanged{Count: available})
		}
		effects := dis.sta.Reduce(now, batch)
		reduced := dis.nod.now()
		dis.adviceNeeded.Store(dis.sta.NeedsAdvice())
		delay = min(maxBatchDelay, max(batchDelay, batchDelayFactor*reduced.Sub(now)))
		for _, eff := range effects {
			dis.perform(ctx, now, eff)
		}
		if dis.load.due(now) {
			dis.writeLoad(ctx, now)
		}
		dis.rounds.add(now, reduced, dis.nod.now(), len(batch), len(effects))
		dis.logRounds(now)
		batch = batch[:0]
		if dis.mayEnd() {
			return
		}
	}
}

// endFraction is the part of the grace time for which an ending dispatcher may go on. It is
// also what a handback may take. Open calls finish in what is left of shutdownFraction.
const endFraction = 0.3

// mayEnd reports whether the tenure is about to end and nothing has to be awaited: what the
// reducer knows to be under way, and the records of the machines whose upkeep has begun.
func (dis *dispatcher) mayEnd() bool {
	if !dis.ending.Load() || !dis.sta.MayEnd() {
		return false
	}
	for _, lat := range dis.waveRecords {
		if !lat.Settled() {
			return false
		}
	}
	return true
}

// ticketSourcesWait is how long one watch of the ticket sources waits. It is
// long, as they rarely change.
const ticketSourcesWait = 2 * time.Second

// followTicketSources keeps the ticket sources up to date once some queue or job needs
// advice.
func (dis *dispatcher) followTicketSources(ctx context.Context) {
	for !dis.nod.needsAdvice() && !dis.adviceNeeded.Load() {
		clock.Pause(ctx, time.Second)
		if ctx.Err() != nil {
			return
		}
	}
	wat := &advisory.Watcher{
		Store: dis.nod.store, Pool: dis.ticketSources, Name: dis.nod.settings().Name, Local: dis.nod.relay, Wait: ticketSourcesWait,
		Log: dis.nod.log, Now: dis.nod.now,
	}
	wat.Run(ctx)
}

func (dis *dispatcher) drain(batch []scheduler.Event) []scheduler.Event {
	for {
		select {
		case arr := <-dis.events:
			batch = dis.receive(batch, arr)
		default:
			return batch
		}
	}
}

// readState reads the stored state, and follows its changes from then on.
func (dis *dispatcher) readState(ctx context.Context) {
	sna, ok := dis.firstSnapshot(ctx)
	if !ok {
		return
	}
	dis.sendOperatorState(ctx, sna)
	stored, ok := dis.readProgress(ctx)
	if !ok {
		return
	}
	if !dis.readStarts(ctx) {
		return
	}
	reg := newRegistrations(dis)
	go dis.follow(ctx, platform.VMPrefix, func(items []kv.Item) { reg.reset(ctx, items) }, func(cha kv.Change) { reg.change(ctx, cha) },
		func(sent time.Time) { dis.send(ctx, scheduler.VMWatchProgressed{At: sent}) })
	go dis.follow(ctx, job.LivePrefix, dis.jobsReset(ctx, stored), func(cha kv.Change) { dis.jobChanged(ctx, cha, nil) },
		func(sent time.Time) { dis.send(ctx, scheduler.JobWatchProgressed{At: sent}) })
	go dis.readEndedJobs(ctx)
	dis.followOperator(ctx, sna)
}

// endedJobsDelay postpones reading the ended jobs, which are many and not
// urgent, until a takeover is complete.
const endedJobsDelay = 5 * time.Second

// readEndedJobs reads the jobs that earlier dispatchers stored as ended.
func (dis *dispatcher) readEndedJobs(ctx context.Context) {
	clock.Pause(ctx, endedJobsDelay)
	items, ok := dis.readAll(ctx, job.EndedPrefix)
	if !ok {
		return
	}
	var evt scheduler.EndedJobsListed
	for _, itm := range items {
		out, err := job.Unmarshal[job.Outcome](itm.Value)
		if err != nil {
			dis.logIgnored(itm, err)
			continue
		}
		if itm.Revision < dis.ten.Current().Revision {
			evt.Jobs = append(evt.Jobs, scheduler.EndedJob{ID: job.ID(itm.Key[len(job.EndedPrefix):]), At: out.At})
		}
	}
	dis.send(ctx, evt)
}

func (dis *dispatcher) follow(ctx context.Context, prefix string, reset func([]kv.Item), change func(kv.Change), confirmed func(time.Time)) {
	fol := &follow.Follower{
		Store: dis.nod.store, Prefix: prefix, Wait: dispatchWait, Log: dis.nod.log, Now: dis.nod.now,
		Reset: reset, Change: change, Confirmed: confirmed,
	}
	fol.Run(ctx)
}

// dispatchWait is how long one watch of jobs or VMs waits. A connection that
// went silent delays new jobs by little more than that.
const dispatchWait = 300 * time.Millisecond

// readProgress reads the stored progress of all live jobs.
func (dis *dispatcher) readProgress(ctx context.Context) (all map[job.ID]progress.Stored, ok bool) {
	items, ok := dis.readAll(ctx, job.ProgressPrefix)
	if !ok {
		return nil, false
	}
	return progress.Join(items, dis.logIgnored), true
}

// readAll reads all items under a prefix, with retries until the store answers
// or the context is done.
func (dis *dispatcher) readAll(ctx context.Context, prefix string) (items []kv.Item, ok bool) {
	for ctx.Err() == nil {
		items, _, err := kv.List(ctx, dis.nod.store, prefix)
		if err == nil {
			return items, true
		}
		dis.nod.log.Event("store_read_failed", decisionlog.Fields{"prefix": prefix, "error": err.Error()})
		clock.Pause(ctx, follow.RetryDelay)
	}
	return nil, false
}

func (dis *dispatcher) logIgnored(itm kv.Item, err error) {
	dis.nod.log.Ignored(itm.Key, int64(itm.Revision), err)
}

// jobsReset returns a function that sends all live and cancelled jobs, the
// first time with their stored progress.
func (dis *dispatcher) jobsReset(ctx context.Context, stored map[job.ID]progress.Stored) func([]kv.Item) {
	first := true
	return func(items []kv.Item) {
		for _, itm := range items {
			dis.jobChanged(ctx, kv.Change{Item: itm}, stored)
		}
		stored = nil
		if first {
			first = false
			dis.send(ctx, scheduler.JobsLoaded{})
		}
	}
}

func (dis *dispatcher) jobChanged(ctx context.Context, cha kv.Change, stored map[job.ID]progress.Stored) {
	if cha.Deleted {
		return
	}
	id, cancelled := job.ParseLiveKey(cha.Item.Key)
	if cancelled {
		dis.send(ctx, scheduler.JobCancelled{ID: id})
		return
	}
	spe, err := job.Unmarshal[job.Spec](cha.Item.Value)
	if err != nil {
		dis.logIgnored(cha.Item, err)
		return
	}
	old := stored[id]
	dis.send(ctx, scheduler.JobAccepted{Spec: spe, Revision: cha.Item.Revision, Progress: old.Progress, ProgressRevision: old.Revision})
}

// registrations sends the changes of the registered VMs.
type registrations struct {
	dis *dispatcher
	// known holds the revisions of the registrations that exist, valid or not, by
	// ID.
	known map[string]kv.Revision
}

func newRegistrations(dis *dispatcher) *registrations {
	return &registrations{dis: dis, known: map[string]kv.Revision{}}
}

// reset sends all registered VMs, and those that are no longer registered.
func (reg *registrations) reset(ctx context.Context, items []kv.Item) {
	gone := reg.known
	reg.known = map[string]kv.Revision{}
	for _, itm := range items {
		delete(gone, platform.VMID(itm.Key))
		reg.register(ctx, itm)
	}
	for id := range gone {
		reg.dis.send(ctx, scheduler.VMUnregistered{ID: id})
	}
}

// change sends a change of a registration, unless a list has included it.
func (reg *registrations) change(ctx context.Context, cha kv.Change) {
	id := platform.VMID(cha.Item.Key)
	switch {
	case cha.Item.Revision <= reg.known[id]:
	case cha.Deleted:
		delete(reg.known, id)
		reg.dis.send(ctx, scheduler.VMUnregistered{ID: id})
	default:
		reg.register(ctx, cha.Item)
	}
}

// register sends a registration. One that is wrong names no VM.
func (reg *registrations) register(ctx context.Context, itm kv.Item) {
	id := platform.VMID(itm.Key)
	reg.known[id] = itm.Revision
	one, err := platform.DecodeVM(itm)
	if err != nil {
		reg.dis.logIgnored(itm, err)
		reg.dis.send(ctx, scheduler.VMUnregistered{ID: id})
		return
	}
	reg.dis.send(ctx, scheduler.VMRegistered{VM: one})
}

// followOperator sends the operator's changes to the reducer.
func (dis *dispatcher) followOperator(ctx context.Context, sna snapshot) {
	// sent holds, by number, the revisions of the waves that the reducer has.
	sent := map[int64]int64{}
	for {
		for number, wav := range sna.waves {
			if sent[number] != wav.Changed {
				evt, ok := dis.readWave(ctx, wav)
				if !ok {
					return
				}
				sent[number] = wav.Changed
				dis.send(ctx, evt)
			}
		}
		for number := range sent {
			if _, ok := sna.waves[number]; !ok {
				delete(sent, number)
				dis.send(ctx, scheduler.WaveWithdrawn{Number: number})
			}
		}
		var ok bool
		if sna, ok = dis.nextSnapshot(ctx, sna); !ok {
			return
		}
		dis.sendOperatorState(ctx, sna)
	}
}

// firstSnapshot waits until the operator's keys have been read and confirmed.
func (dis *dispatcher) firstSnapshot(ctx context.Context) (sna snapshot, ok bool) {
	sna, ok = dis.nod.operator.snapshot(), true
	for ok && sna.view.Confirmed.IsZero() {
		sna, ok = dis.nextSnapshot(ctx, sna)
	}
	return sna, ok
}

// nextSnapshot waits until the operator's keys change.
func (dis *dispatcher) nextSnapshot(ctx context.Context, sna snapshot) (next snapshot, ok bool) {
	select {
	case <-ctx.Done():
		return snapshot{}, false
	case <-sna.changed:
		return dis.nod.operator.snapshot(), true
	}
}

// sendOperatorState sends the configuration and the availability zones that are
// out of service.
func (dis *dispatcher) sendOperatorState(ctx context.Context, sna snapshot) {
	dis.send(ctx, scheduler.CatalogChanged{Catalog: sna.view.Catalog})
	dis.send(ctx, scheduler.ZonesChanged{Out: sna.zones})
}

// writeLoad writes the load if the entries need it.
func (dis *dispatcher) writeLoad(ctx context.Context, now time.Time) {
	loa, ok := dis.sta.Load()
	if !ok || !dis.load.begin(now, loa) {
		return
	}
	go func() {
		raw, err := encodeLoad(loa)
		if err == nil {
			err = dis.loadRecord.Write(ctx, record.Value{Puts: []kv.Put{{Key: loadKey, Value: raw}}})
		}
		if err != nil {
			dis.nod.log.Event("load_not_written", decisionlog.Fields{"error": err.Error()})
		}
		dis.load.end(err == nil)
	}()
}

// errDutyLost means that another process holds the duty according to the store.
var errDutyLost = errors.New("the duty is no longer held")

// commit applies a transaction on the condition that this process holds the
// duty.
func (dis *dispatcher) commit(ctx context.Context, txn kv.Txn) (rev kv.Revision, err error) {
	held := kv.Condition{Key: duty.HolderKey, Revision: dis.ten.Current().Revision}
	txn.Conditions = append([]kv.Condition{held}, txn.Conditions...)
	callCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rev, err = dis.nod.store.Commit(callCtx, txn)
	var con *kv.ConflictError
	if errors.As(err, &con) && con.Item(duty.HolderKey).Revision != held.Revision {
		dis.ten.End()
		return 0, errDutyLost
	}
	return rev, err
}
