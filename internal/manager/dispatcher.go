package manager

import (
	"context"
	"errors"
	"reflect"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/advisory"
	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/election"
	"github.com/balsamgauge/balsamgauge/internal/follow"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/platform"
)

// Times of the dispatcher's loop.
const (
	// tickEvery is how often time passes for the reducer when nothing happens.
	tickEvery = 40 * time.Millisecond
	// batchPause is how long the loop waits for more events, which saves
	// wake-ups.
	batchPause = 3 * time.Millisecond
	// loadEvery is how often the load is written if it has changed.
	loadEvery = time.Second
	// eventQueue is how many events may wait for the loop.
	eventQueue = 4096
	// maxLease bounds for how long a VM runs tasks without a look. It outlasts
	// the takeover of the duty.
	maxLease = 4 * time.Second
	// leaseShare is the part of the longest lease that a VM grants that is used.
	leaseShare = 0.9
)

// dispatcher runs the scheduler for the time of one tenure.
type dispatcher struct {
	nod    *Node
	ten    *election.Tenure
	sta    *scheduler.State
	events chan scheduler.Event
	// load is what was last written.
	load     scheduler.Load
	loadSent time.Time
	// waves orders the writes about waves.
	waves sync.Mutex
	// askers put questions to the advisor; asked is how many the reducer knows of.
	askers *advisory.Pool
	asked  int
}

// dispatch runs the dispatcher until the context is done.
func (nod *Node) dispatch(ctx context.Context, ten *election.Tenure) {
	cur := ten.Current()
	set := nod.settings()
	bnd := set.Bounds
	dis := &dispatcher{nod: nod, ten: ten, events: make(chan scheduler.Event, eventQueue), askers: advisory.NewPool(nod.now)}
	dis.sta = scheduler.New(scheduler.Options{
		Since: cur.Since, Revision: cur.Revision, Term: cur.Holder.Term,
		Lease:    min(maxLease, time.Duration(float64(bnd.MaxTaskLease)*leaseShare)),
		StopTime: bnd.StopTime, UpkeepTime: bnd.Upkeep,
		KeepEnded:              bnd.KeepEnded,
		ShareWindow:            bnd.ShareWindow,
		MachineOrdersPerSecond: set.MachineOrdersPerSecond,
	})
	go dis.bring(ctx)
	go dis.followAskers(ctx)
	dis.loop(ctx)
}

// send queues an event for the loop.
func (dis *dispatcher) send(ctx context.Context, evt scheduler.Event) {
	select {
	case dis.events <- evt:
	case <-ctx.Done():
	}
}

// loop feeds the reducer and carries out its effects.
func (dis *dispatcher) loop(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var batch []scheduler.Event
	for {
		select {
		case <-ctx.Done():
			return
		case evt := <-dis.events:
			batch = append(batch, evt)
			time.Sleep(batchPause)
		case <-tick.C:
		}
		batch = dis.drain(batch)
		now := dis.nod.now()
		if !dis.ten.Holds(now) {
			// The answers that came are kept until the duty is sure again.
			continue
		}
		if size := dis.askers.Available(); size != dis.asked {
			dis.asked = size
			batch = append(batch, scheduler.AdvisorSlotsChanged{Count: size})
		}
		effects := dis.sta.Reduce(now, batch)
		batch = batch[:0]
		for _, eff := range effects {
			dis.perform(ctx, now, eff)
		}
		dis.writeLoad(ctx, now)
	}
}

// askersWatch is how long a watch of the askers waits: they change rarely.
const askersWatch = 2 * time.Second

// followAskers keeps up with the entries that put questions to the advisor, once
// some queue needs advice.
func (dis *dispatcher) followAskers(ctx context.Context) {
	for !dis.nod.needsAdvice() {
		clock.Pause(ctx, time.Second)
		if ctx.Err() != nil {
			return
		}
	}
	wat := &advisory.Watcher{
		Store: dis.nod.store, Pool: dis.askers, Name: dis.nod.settings().Name, Local: dis.nod.relay, Wait: askersWatch,
		Log: dis.nod.log, Now: dis.nod.now,
	}
	wat.Run(ctx)
}

func (dis *dispatcher) drain(batch []scheduler.Event) []scheduler.Event {
	for {
		select {
		case evt := <-dis.events:
			batch = append(batch, evt)
		default:
			return batch
		}
	}
}

// bring loads what is stored, and follows it from then on.
func (dis *dispatcher) bring(ctx context.Context) {
	sna := dis.nod.operator.snapshot()
	for sna.view.Confirmed.IsZero() {
		var ok bool
		if sna, ok = dis.nextSnapshot(ctx, sna); !ok {
			return
		}
	}
	dis.sendOperator(ctx, sna)
	progress, ok := dis.progress(ctx)
	if !ok {
		return
	}
	go dis.follow(ctx, platform.VMPrefix, dis.vmsReset(ctx), func(cha kv.Change) { dis.vmChanged(ctx, cha) }, nil)
	go dis.follow(ctx, job.LivePrefix, dis.jobsReset(ctx, progress), func(cha kv.Change) { dis.jobChanged(ctx, cha, nil) },
		func(sent time.Time) { dis.send(ctx, scheduler.JobWatchProgressed{At: sent}) })
	go dis.bringEnded(ctx)
	dis.followOperator(ctx, sna)
}

// endedDelay keeps the list of ended jobs, which is long and not urgent, apart
// from what a takeover waits for.
const endedDelay = 5 * time.Second

// bringEnded lists the jobs that former dispatchers stored as ended.
func (dis *dispatcher) bringEnded(ctx context.Context) {
	clock.Pause(ctx, endedDelay)
	items, ok := dis.list(ctx, job.EndedPrefix)
	if !ok {
		return
	}
	var evt scheduler.EndedJobsListed
	for _, itm := range items {
		out, err := job.Unmarshal[job.Outcome](itm.Value)
		if err != nil {
			dis.ignored(itm, err)
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
		Store: dis.nod.store, Prefix: prefix, Wait: dispatchWatch, Log: dis.nod.log, Now: dis.nod.now,
		Reset: reset, Change: change, Confirmed: confirmed,
	}
	fol.Run(ctx)
}

// dispatchWatch is how long a watch of jobs or VMs waits. A connection that
// went silent delays new jobs by little more than that.
const dispatchWatch = 300 * time.Millisecond

// stored is a job's progress as a former dispatcher stored it.
type stored struct {
	progress job.Progress
	revision kv.Revision
}

// progress reads the progress of all live jobs.
func (dis *dispatcher) progress(ctx context.Context) (all map[job.ID]stored, ok bool) {
	items, ok := dis.list(ctx, job.ProgressPrefix)
	if !ok {
		return nil, false
	}
	all = make(map[job.ID]stored, len(items))
	for _, itm := range items {
		pro, err := job.Unmarshal[job.Progress](itm.Value)
		if err != nil {
			dis.ignored(itm, err)
			continue
		}
		all[job.ID(itm.Key[len(job.ProgressPrefix):])] = stored{pro, itm.Revision}
	}
	return all, true
}

// list reads all items under a prefix, until the store answers or the context is
// done.
func (dis *dispatcher) list(ctx context.Context, prefix string) (items []kv.Item, ok bool) {
	for ctx.Err() == nil {
		ask, cancel := context.WithTimeout(ctx, follow.ReadTimeout)
		items, _, err := kv.List(ask, dis.nod.store, prefix)
		cancel()
		if err == nil {
			return items, true
		}
		dis.nod.log.Event("store_read_failed", decisionlog.Fields{"prefix": prefix, "error": err.Error()})
		clock.Pause(ctx, follow.RetryDelay)
	}
	return nil, false
}

func (dis *dispatcher) ignored(itm kv.Item, err error) {
	dis.nod.log.Event("entry_ignored", decisionlog.Fields{"key": itm.Key, "revision": itm.Revision, "error": err.Error()})
}

// jobsReset brings all live jobs, and those cancelled.
func (dis *dispatcher) jobsReset(ctx context.Context, progress map[job.ID]stored) func([]kv.Item) {
	first := true
	return func(items []kv.Item) {
		for _, itm := range items {
			dis.jobChanged(ctx, kv.Change{Item: itm}, progress)
		}
		progress = nil
		if first {
			first = false
			dis.send(ctx, scheduler.Loaded{})
		}
	}
}

func (dis *dispatcher) jobChanged(ctx context.Context, cha kv.Change, progress map[job.ID]stored) {
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
		dis.ignored(cha.Item, err)
		return
	}
	old := progress[id]
	dis.send(ctx, scheduler.JobAccepted{Spec: spe, Revision: cha.Item.Revision, Progress: old.progress, ProgressRevision: old.revision})
}

// vmsReset brings all registered VMs, and says which are no longer registered.
func (dis *dispatcher) vmsReset(ctx context.Context) func([]kv.Item) {
	known := map[string]bool{}
	return func(items []kv.Item) {
		present := map[string]bool{}
		for _, itm := range items {
			present[platform.VMID(itm.Key)] = true
			dis.vmChanged(ctx, kv.Change{Item: itm})
		}
		for id := range known {
			if !present[id] {
				dis.send(ctx, scheduler.VMUnregistered{ID: id})
			}
		}
		known = present
	}
}

func (dis *dispatcher) vmChanged(ctx context.Context, cha kv.Change) {
	if cha.Deleted {
		dis.send(ctx, scheduler.VMUnregistered{ID: platform.VMID(cha.Item.Key)})
		return
	}
	one, err := platform.DecodeVM(cha.Item)
	if err != nil {
		dis.ignored(cha.Item, err)
		dis.send(ctx, scheduler.VMUnregistered{ID: platform.VMID(cha.Item.Key)})
		return
	}
	dis.send(ctx, scheduler.VMRegistered{VM: one})
}

// followOperator passes on what the operator changes.
func (dis *dispatcher) followOperator(ctx context.Context, sna snapshot) {
	asked := map[int64]bool{}
	for {
		for number, wav := range sna.waves {
			if !asked[number] {
				begun, ok := dis.waveBegun(ctx, number)
				if !ok {
					return
				}
				asked[number] = true
				dis.send(ctx, scheduler.WaveRequested{Wave: wav, Begun: begun})
			}
		}
		for number := range asked {
			if _, ok := sna.waves[number]; !ok {
				delete(asked, number)
				dis.send(ctx, scheduler.WaveWithdrawn{Number: number})
			}
		}
		var ok bool
		if sna, ok = dis.nextSnapshot(ctx, sna); !ok {
			return
		}
		dis.sendOperator(ctx, sna)
	}
}

// nextSnapshot waits for a change of what the operator wrote.
func (dis *dispatcher) nextSnapshot(ctx context.Context, sna snapshot) (next snapshot, ok bool) {
	select {
	case <-ctx.Done():
		return snapshot{}, false
	case <-sna.changed:
		return dis.nod.operator.snapshot(), true
	}
}

// sendOperator brings the configuration and the availability zones that are out.
func (dis *dispatcher) sendOperator(ctx context.Context, sna snapshot) {
	dis.send(ctx, scheduler.CatalogChanged{Catalog: sna.view.Catalog})
	dis.send(ctx, scheduler.ZonesChanged{Out: sna.zones})
}

// writeLoad writes the load if it has changed.
func (dis *dispatcher) writeLoad(ctx context.Context, now time.Time) {
	if now.Sub(dis.loadSent) < loadEvery {
		return
	}
	loa, ok := dis.sta.Load()
	if !ok || reflect.DeepEqual(loa, dis.load) {
		return
	}
	dis.load, dis.loadSent = loa, now
	raw, err := encodeLoad(loa)
	if err != nil {
		dis.nod.log.Event("load_not_written", decisionlog.Fields{"error": err.Error()})
		return
	}
	go func() {
		if _, err := dis.commit(ctx, kv.Txn{Puts: []kv.Put{{Key: loadKey, Value: raw}}}); err != nil {
			dis.nod.log.Event("load_not_written", decisionlog.Fields{"error": err.Error()})
		}
	}()
}

// errDutyLost means that the store says that another process has the duty.
var errDutyLost = errors.New("the duty is no longer held")

// commit writes on the condition that this process holds the duty.
func (dis *dispatcher) commit(ctx context.Context, txn kv.Txn) (rev kv.Revision, err error) {
	held := kv.Condition{Key: duty.HolderKey, Revision: dis.ten.Current().Revision}
	txn.Conditions = append([]kv.Condition{held}, txn.Conditions...)
	ask, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rev, err = dis.nod.store.Commit(ask, txn)
	var con *kv.ConflictError
	if errors.As(err, &con) && con.Item(duty.HolderKey).Revision != held.Revision {
		dis.ten.End()
		return 0, errDutyLost
	}
	return rev, err
}
