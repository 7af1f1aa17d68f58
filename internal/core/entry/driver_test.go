package entry

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// driver steps several reducers on a virtual clock and passes their messages,
// with faults. It holds fakes of the store and of the executors, and no policy.
type driver struct {
	now   time.Time
	rnd   *rand.Rand
	queue happenings
	order uint64
	nodes []*node
	fleet []vm.VM
	kv    fakeStore
	flt   faults
	tick  time.Duration

	// runs counts the starts of each request at an executor; running and peak
	// count what runs at once, by team.
	runs    map[string]int
	running map[string]int
	peak    map[string]int
	starts  []start
	// workers holds the fakes by VM; taskRuns where each task was started.
	workers  map[string]*fakeWorker
	taskRuns map[string][]string
	// told holds what callers were told, by request.
	told     map[string]told
	messages int
	bytes    int
	// events and reducing are what the reducers were fed, and took in real
	// time.
	events   int
	reducing time.Duration
	onStart  func(start)
	// trace is told every record of the time line; nil means nobody.
	trace io.Writer
	span  func(run string) time.Duration
	// failAttempt makes an attempt fail instead of running; nil means never.
	failAttempt func(sta start) event.AttemptResult
}

// faults are the odds and delays of what goes wrong.
type faults struct {
	lose, double, late float64
	storeDown          bool
	storeLose          float64
	storeSlow          time.Duration
}

type start struct {
	at   time.Time
	run  string
	team string
	vm   string
	node string
}

type told struct {
	at      time.Time
	outcome outcome.Outcome
	code    outcome.Code
	// replies counts what was told under the name.
	replies int
	// state is that of a task that was asked for.
	state task.State
}

type node struct {
	id     string
	az     string
	state  State
	alive  bool
	paused bool
	// backlog holds what came while the node was paused.
	backlog []event.Event
	// storeCut says that the node can't reach the store.
	storeCut bool
	// cut holds the nodes that this one can't reach.
	cut      map[string]bool
	requests map[uint64]string
	next     uint64
	lastSent map[string]time.Time
	exited   bool
}

type happening struct {
	at    time.Time
	order uint64
	do    func()
}

type happenings []happening

func (hps happenings) Len() int { return len(hps) }
func (hps happenings) Less(i, j int) bool {
	if hps[i].at.Equal(hps[j].at) {
		return hps[i].order < hps[j].order
	}
	return hps[i].at.Before(hps[j].at)
}
func (hps happenings) Swap(i, j int) { hps[i], hps[j] = hps[j], hps[i] }
func (hps *happenings) Push(x any)   { *hps = append(*hps, x.(happening)) }
func (hps *happenings) Pop() any {
	last := (*hps)[len(*hps)-1]
	*hps = (*hps)[:len(*hps)-1]
	return last
}

func newDriver(seed uint64) *driver {
	return &driver{
		now: time.Unix(1_800_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)),
		kv:   fakeStore{items: map[string]store.KeyValue{}, leases: map[int64]time.Time{}, owners: map[string]int64{}},
		tick: event.TickInterval,
		runs: map[string]int{}, running: map[string]int{}, peak: map[string]int{},
		workers: map[string]*fakeWorker{}, taskRuns: map[string][]string{}, told: map[string]told{},
		span: func(string) time.Duration { return 20 * time.Millisecond },
	}
}

func (drv *driver) after(span time.Duration, do func()) {
	drv.order++
	heap.Push(&drv.queue, happening{at: drv.now.Add(span), order: drv.order, do: do})
}

// run lets virtual time pass.
func (drv *driver) run(span time.Duration) {
	until := drv.now.Add(span)
	for len(drv.queue) > 0 && !drv.queue[0].at.After(until) {
		hap := heap.Pop(&drv.queue).(happening)
		drv.now = hap.at
		hap.do()
	}
	drv.now = until
}

// addNode starts an entry that is linked to all the others.
func (drv *driver) addNode(az string) *node { return drv.addNodeOn(az, "") }

// addNodeOn starts an entry on a VM that the platform lists.
func (drv *driver) addNodeOn(az, vmID string) *node {
	id := fmt.Sprintf("n%d", len(drv.nodes)+1)
	nod := &node{
		id: id, az: az, alive: true, cut: map[string]bool{},
		requests: map[uint64]string{}, lastSent: map[string]time.Time{},
		state: New(Settings{ID: id, Address: id, AZ: az, VM: vmID, Seed: drv.rnd.Uint64(), StoreWritesPerSecond: 100}),
	}
	drv.nodes = append(drv.nodes, nod)
	drv.feed(nod, event.Started{})
	drv.feed(nod, event.VMsListed{VMs: drv.fleet})
	for _, other := range drv.nodes {
		if other != nod && other.alive {
			drv.feed(nod, event.PeerUp{Member: other.id, AZ: other.az})
			drv.feed(other, event.PeerUp{Member: id, AZ: az})
		}
	}
	drv.after(time.Duration(drv.rnd.Int64N(int64(drv.tick))), func() { drv.tickNode(nod) })
	return nod
}

func (drv *driver) tickNode(nod *node) {
	if !nod.alive {
		return
	}
	if !nod.paused {
		drv.feed(nod, event.Tick{})
	}
	drv.after(drv.tick, func() { drv.tickNode(nod) })
}

// feed gives a node an event and carries out the effects.
func (drv *driver) feed(nod *node, evt event.Event) {
	if !nod.alive {
		return
	}
	if nod.paused {
		nod.backlog = append(nod.backlog, evt)
		return
	}
	began := time.Now()
	next, effs := Reduce(drv.now, nod.state, evt)
	drv.reducing += time.Since(began)
	drv.events++
	nod.state = next
	for _, eff := range effs {
		drv.carryOut(nod, eff)
	}
}

func (drv *driver) resume(nod *node) {
	nod.paused = false
	backlog := nod.backlog
	nod.backlog = nil
	for _, evt := range backlog {
		drv.feed(nod, evt)
	}
}

// goneAfter is how long after an entry's loss the platform tells of it.
const goneAfter = 3 * time.Second

// kill ends a node; what it started at the executors runs on.
func (drv *driver) kill(nod *node) {
	drv.after(goneAfter, func() {
		for _, other := range drv.nodes {
			drv.feed(other, event.MembersGone{IDs: []string{nod.id}})
		}
	})
	nod.alive = false
	for _, other := range drv.nodes {
		if other != nod {
			drv.feed(other, event.PeerDown{Member: nod.id})
		}
	}
}

// setCut breaks or restores the way between two nodes.
func (drv *driver) setCut(a, b *node, cut bool) {
	if a.cut[b.id] == cut {
		return
	}
	a.cut[b.id], b.cut[a.id] = cut, cut
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		if cut {
			drv.feed(pair[0], event.PeerDown{Member: pair[1].id})
		} else if pair[1].alive {
			drv.feed(pair[0], event.PeerUp{Member: pair[1].id, AZ: pair[1].az})
		}
	}
}

func (drv *driver) node(id string) *node {
	at := slices.IndexFunc(drv.nodes, func(nod *node) bool { return nod.id == id })
	return drv.nodes[at]
}

func (drv *driver) carryOut(nod *node, eff effect.Effect) {
	switch eff := eff.(type) {
	case effect.Send:
		drv.send(nod, eff.To, eff.Message)
	case effect.CallStore:
		drv.callStore(nod, eff)
	case effect.StartAttempt:
		drv.startAttempt(nod, eff)
	case effect.RelayResponse:
		drv.tell(nod, eff.Request, told{outcome: outcome.Answered})
	case effect.Refuse:
		drv.tell(nod, eff.Request, told{outcome: eff.Refusal.Outcome, code: eff.Refusal.Code})
	case effect.AcceptTask:
		drv.tell(nod, eff.Request, told{outcome: outcome.Accepted, code: outcome.Code(eff.TaskID)})
	case effect.ReplyChange:
		out := outcome.NotRun
		if eff.Accepted {
			out = outcome.Accepted
		}
		drv.tell(nod, eff.Request, told{outcome: out, code: eff.Code})
	case effect.Record:
		if drv.trace != nil {
			fmt.Fprintln(drv.trace, drv.now.Format("05.000"), nod.id, eff.Part, eff.Name, eff.Subject, eff.Detail)
		}
	case effect.ReplyTaskStatus:
		drv.tell(nod, eff.Request, told{outcome: outcome.Answered, state: eff.Status.State})
	case effect.StartTask:
		drv.startTask(nod, eff)
	case effect.PollWorker:
		drv.pollWorker(nod, eff)
	case effect.StopAccepting:
		drv.after(time.Millisecond, func() { drv.feed(nod, event.AcceptingStopped{}) })
	case effect.Exit:
		nod.exited = true
		drv.after(0, func() { drv.kill(nod) })
	}
}

func (drv *driver) tell(nod *node, request uint64, tld told) {
	tld.at = drv.now
	tld.replies = drv.told[nod.requests[request]].replies + 1
	drv.told[nod.requests[request]] = tld
}

// send passes a message in one to three milliseconds. Messages of one link
// keep their order unless a fault makes one late.
func (drv *driver) send(from *node, to string, msg message.Message) {
	drv.messages++
	if data, err := message.Encode(msg); err == nil {
		drv.bytes += len(data)
	}
	target := drv.node(to)
	if from.cut[to] || drv.chance(drv.flt.lose) {
		return
	}
	copies := 1
	if drv.chance(drv.flt.double) {
		copies = 2
	}
	for range copies {
		at := drv.now.Add(time.Millisecond + time.Duration(drv.rnd.Int64N(int64(2*time.Millisecond))))
		if drv.chance(drv.flt.late) {
			at = at.Add(time.Duration(drv.rnd.Int64N(int64(2 * time.Second))))
		} else {
			at = laterOf(at, from.lastSent[to])
			from.lastSent[to] = at
		}
		drv.after(at.Sub(drv.now), func() {
			if !from.cut[to] {
				drv.feed(target, event.MessageReceived{Member: from.id, Message: msg})
			}
		})
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (drv *driver) chance(odds float64) bool {
	return odds > 0 && drv.rnd.Float64() < odds
}

func (drv *driver) startAttempt(nod *node, eff effect.StartAttempt) {
	run := nod.requests[eff.Request]
	wrk, _ := nod.state.works.Get(eff.Work)
	sta := start{at: drv.now, run: run, team: wrk.Team, vm: eff.VM, node: nod.id}
	end := event.AttemptEnded{Work: eff.Work, Attempt: eff.Attempt, Result: event.AttemptAnswered}
	if drv.failAttempt != nil {
		if res := drv.failAttempt(sta); res != 0 {
			end.Result = res
			drv.after(time.Millisecond, func() { drv.feed(nod, end) })
			return
		}
	}
	drv.starts = append(drv.starts, sta)
	drv.runs[run]++
	drv.running[wrk.Team]++
	drv.peak[wrk.Team] = max(drv.peak[wrk.Team], drv.running[wrk.Team])
	if drv.onStart != nil {
		drv.onStart(sta)
	}
	drv.after(drv.span(run), func() {
		drv.running[wrk.Team]--
		drv.feed(nod, end)
	})
}

// request sends a caller's request to a node.
func (drv *driver) request(nod *node, run string, evt event.RequestArrived) {
	nod.next++
	evt.Request = nod.next
	nod.requests[evt.Request] = run
	drv.feed(nod, evt)
}

// operate sends an operator's change to a node.
func (drv *driver) operate(nod *node, name string, chg table.Change) {
	nod.next++
	nod.requests[nod.next] = name
	drv.feed(nod, event.ChangeRequested{Request: nod.next, Change: chg})
}

// fakeStore is a key-value store with leases on the virtual clock.
type fakeStore struct {
	revision int64
	items    map[string]store.KeyValue
	leases   map[int64]time.Time
	owners   map[string]int64
	next     int64
	calls    int
	writes   int
	// inFlight counts the writes that may yet take effect.
	inFlight int
}

func (drv *driver) callStore(nod *node, eff effect.CallStore) {
	drv.kv.calls++
	_, isWrite := eff.Op.(store.Write)
	drv.kv.writes += boolToInt(isWrite)
	answered := false
	answer := func(res store.Result) {
		if !answered {
			answered = true
			drv.feed(nod, event.StoreCallEnded{Call: eff.Call, Result: res})
		}
	}
	drv.after(effect.StoreTimeout, func() { answer(store.Failed{Reason: "timeout"}) })
	if drv.flt.storeDown || nod.storeCut {
		return
	}
	lost := drv.chance(drv.flt.storeLose)
	delay := time.Millisecond
	if drv.flt.storeSlow > 0 {
		delay += time.Duration(drv.rnd.Int64N(int64(drv.flt.storeSlow)))
	}
	drv.kv.inFlight += boolToInt(isWrite)
	drv.after(delay, func() {
		drv.kv.inFlight -= boolToInt(isWrite)
		res := drv.kv.apply(drv.now, eff.Op)
		if !lost {
			drv.after(time.Millisecond, func() { answer(res) })
		}
	})
}

func (kvs *fakeStore) apply(now time.Time, op store.Op) store.Result {
	for key, lease := range kvs.owners {
		if now.After(kvs.leases[lease]) {
			delete(kvs.items, key)
			delete(kvs.owners, key)
		}
	}
	switch op := op.(type) {
	case store.Get:
		return store.Values{Values: kvs.find(func(key string) bool { return key == op.Key })}
	case store.List:
		return store.Values{Values: kvs.find(func(key string) bool { return strings.HasPrefix(key, op.Prefix) })}
	case store.Write:
		return kvs.write(op)
	case store.LeaseGrant:
		kvs.next++
		kvs.leases[kvs.next] = now.Add(op.TTL)
		return store.Leased{Lease: kvs.next, TTL: op.TTL}
	case store.LeaseRefresh:
		if now.After(kvs.leases[op.Lease]) {
			return store.Leased{Lease: op.Lease}
		}
		kvs.leases[op.Lease] = now.Add(leaseTTL)
		return store.Leased{Lease: op.Lease, TTL: leaseTTL}
	case store.LeaseRevoke:
		kvs.leases[op.Lease] = time.Time{}
		return store.Leased{Lease: op.Lease}
	}
	return store.Failed{Reason: "unknown call"}
}

func (kvs *fakeStore) find(matches func(key string) bool) []store.KeyValue {
	var found []store.KeyValue
	for key, itm := range kvs.items {
		if matches(key) {
			found = append(found, itm)
		}
	}
	slices.SortFunc(found, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (kvs *fakeStore) write(op store.Write) store.Result {
	for _, cnd := range op.Conditions {
		if kvs.items[cnd.Key].ModRevision != cnd.ModRevision {
			return store.Written{Revision: kvs.revision}
		}
	}
	kvs.revision++
	for key := range kvs.items {
		for _, prefix := range op.DeletePrefixes {
			if strings.HasPrefix(key, prefix) {
				delete(kvs.items, key)
			}
		}
		for _, rng := range op.DeleteRanges {
			if key >= rng.From && key < rng.To {
				delete(kvs.items, key)
			}
		}
	}
	for _, key := range op.Deletes {
		delete(kvs.items, key)
	}
	for _, put := range op.Puts {
		kvs.items[put.Key] = store.KeyValue{Key: put.Key, Value: put.Value, ModRevision: kvs.revision}
		if put.Lease != 0 {
			kvs.owners[put.Key] = put.Lease
		}
	}
	return store.Written{Succeeded: true, Revision: kvs.revision}
}
