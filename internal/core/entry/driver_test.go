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

// driver runs several reducers on a virtual clock and delivers their messages,
// with faults. It simulates the store and the executors and contains no policy.
type driver struct {
	now   time.Time
	rnd   *rand.Rand
	queue callHeap
	order uint64
	nodes []*node
	fleet []vm.VM
	kv    fakeStore
	flt   faults
	tick  time.Duration

	// runs counts the starts of each request at an executor. running and peak
	// are the current and the highest number of concurrent runs of each team.
	runs    map[string]int
	running map[string]int
	peak    map[string]int
	starts  []start
	// workers holds the simulated workers by VM. taskRuns lists the VMs that
	// each task was started on.
	workers  map[string]*fakeWorker
	taskRuns map[string][]string
	// reply holds the reply to each request, by the request's name in the test.
	reply    map[string]reply
	messages int
	bytes    int
	// events counts the events reduced; reducing is the real time spent on
	// them.
	events   int
	reducing time.Duration
	onStart  func(start)
	// trace receives every record of the timeline; nil disables it.
	trace       io.Writer
	runDuration func(run string) time.Duration
	// failAttempt may make an attempt fail instead of running; nil means that
	// all attempts run.
	failAttempt func(sta start) event.AttemptResult
}

// faults holds the probabilities and delays of the injected faults.
type faults struct {
	lose, duplicate, late float64
	storeDown             bool
	storeLose             float64
	storeSlow             time.Duration
}

type start struct {
	at   time.Time
	run  string
	team string
	vm   string
	node string
}

type reply struct {
	at      time.Time
	outcome outcome.Outcome
	code    outcome.Code
	// count is the number of replies under the name.
	count int
	// state is the state in the reply to a task status request.
	state task.State
}

// node is an entry under simulation.
type node struct {
	id     string
	az     string
	state  State
	alive  bool
	paused bool
	// backlog holds the events that arrived while the node was paused.
	backlog []event.Event
	// storeCut is set while the node can't reach the store.
	storeCut bool
	// cut holds the nodes that this one can't reach.
	cut         map[string]bool
	requests    map[uint64]string
	lastRequest uint64
	lastSent    map[string]time.Time
	exited      bool
}

// timedCall is a function that the driver calls at a virtual time.
type timedCall struct {
	at    time.Time
	order uint64
	do    func()
}

// callHeap is a heap of calls, ordered by time and then by creation.
type callHeap []timedCall

func (chp callHeap) Len() int { return len(chp) }
func (chp callHeap) Less(i, j int) bool {
	if chp[i].at.Equal(chp[j].at) {
		return chp[i].order < chp[j].order
	}
	return chp[i].at.Before(chp[j].at)
}
func (chp callHeap) Swap(i, j int) { chp[i], chp[j] = chp[j], chp[i] }
func (chp *callHeap) Push(x any)   { *chp = append(*chp, x.(timedCall)) }
func (chp *callHeap) Pop() any {
	last := (*chp)[len(*chp)-1]
	*chp = (*chp)[:len(*chp)-1]
	return last
}

func newDriver(seed uint64) *driver {
	return &driver{
		now: time.Unix(1_800_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)),
		kv:   fakeStore{items: map[string]store.KeyValue{}, leases: map[int64]time.Time{}, leaseOf: map[string]int64{}},
		tick: event.TickInterval,
		runs: map[string]int{}, running: map[string]int{}, peak: map[string]int{},
		workers: map[string]*fakeWorker{}, taskRuns: map[string][]string{}, reply: map[string]reply{},
		runDuration: func(string) time.Duration { return 20 * time.Millisecond },
	}
}

// after schedules a call after a delay.
func (drv *driver) after(delay time.Duration, do func()) {
	drv.order++
	heap.Push(&drv.queue, timedCall{at: drv.now.Add(delay), order: drv.order, do: do})
}

// run advances the virtual clock.
func (drv *driver) run(duration time.Duration) {
	until := drv.now.Add(duration)
	for len(drv.queue) > 0 && !drv.queue[0].at.After(until) {
		tcl := heap.Pop(&drv.queue).(timedCall)
		drv.now = tcl.at
		tcl.do()
	}
	drv.now = until
}

// addNode starts an entry that is linked to all others.
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

// feed reduces an event at a node and carries out the effects.
func (drv *driver) feed(nod *node, evt event.Event) {
	if !nod.alive {
		return
	}
	if nod.paused {
		nod.backlog = append(nod.backlog, evt)
		return
	}
	started := time.Now()
	next, effs := Reduce(drv.now, nod.state, evt)
	drv.reducing += time.Since(started)
	drv.events++
	nod.state = next
	for _, eff := range effs {
		drv.perform(nod, eff)
	}
}

// resume ends a node's pause and reduces the events that arrived meanwhile.
func (drv *driver) resume(nod *node) {
	nod.paused = false
	backlog := nod.backlog
	nod.backlog = nil
	for _, evt := range backlog {
		drv.feed(nod, evt)
	}
}

// lossReportDelay is the time from the loss of an entry to the platform's
// report of it.
const lossReportDelay = 3 * time.Second

// kill ends a node. The work that it started at the executors goes on.
func (drv *driver) kill(nod *node) {
	drv.after(lossReportDelay, func() {
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

// setCut cuts or restores the link between two nodes.
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

// perform carries out an effect of a node.
func (drv *driver) perform(nod *node, eff effect.Effect) {
	switch eff := eff.(type) {
	case effect.Send:
		drv.send(nod, eff.To, eff.Message)
	case effect.CallStore:
		drv.callStore(nod, eff)
	case effect.StartAttempt:
		drv.startAttempt(nod, eff)
	case effect.RelayResponse:
		drv.recordReply(nod, eff.Request, reply{outcome: outcome.Answered})
	case effect.Refuse:
		drv.recordReply(nod, eff.Request, reply{outcome: eff.Refusal.Outcome, code: eff.Refusal.Code})
	case effect.AcceptTask:
		drv.recordReply(nod, eff.Request, reply{outcome: outcome.Accepted, code: outcome.Code(eff.TaskID)})
	case effect.ReplyChange:
		out := outcome.NotRun
		if eff.Accepted {
			out = outcome.Accepted
		}
		drv.recordReply(nod, eff.Request, reply{outcome: out, code: eff.Code})
	case effect.Record:
		if drv.trace != nil {
			fmt.Fprintln(drv.trace, drv.now.Format("05.000"), nod.id, eff.Part, eff.Name, eff.Subject, eff.Detail)
		}
	case effect.ReplyTaskStatus:
		drv.recordReply(nod, eff.Request, reply{outcome: outcome.Answered, state: eff.Status.State})
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

func (drv *driver) recordReply(nod *node, request uint64, rpl reply) {
	rpl.at = drv.now
	rpl.count = drv.reply[nod.requests[request]].count + 1
	drv.reply[nod.requests[request]] = rpl
}

// send delivers a message after one to three milliseconds. Messages of one link
// stay in order unless a fault delays one. Such faults deliberately break the
// rules for drivers in the package comment.
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
	if drv.chance(drv.flt.duplicate) {
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
	drv.after(drv.runDuration(run), func() {
		drv.running[wrk.Team]--
		drv.feed(nod, end)
	})
}

// request sends a caller's request to a node.
func (drv *driver) request(nod *node, run string, evt event.RequestArrived) {
	nod.lastRequest++
	evt.Request = nod.lastRequest
	nod.requests[evt.Request] = run
	drv.feed(nod, evt)
}

// operate sends an operator's change to a node.
func (drv *driver) operate(nod *node, name string, chg table.Change) {
	nod.lastRequest++
	nod.requests[nod.lastRequest] = name
	drv.feed(nod, event.ChangeRequested{Request: nod.lastRequest, Change: chg})
}

// fakeStore is a key-value store with leases on the virtual clock.
type fakeStore struct {
	revision  int64
	items     map[string]store.KeyValue
	leases    map[int64]time.Time
	leaseOf   map[string]int64
	lastLease int64
	calls     int
	writes    int
	// inFlight counts the writes that may still take effect.
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
	for key, lease := range kvs.leaseOf {
		if now.After(kvs.leases[lease]) {
			delete(kvs.items, key)
			delete(kvs.leaseOf, key)
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
		kvs.lastLease++
		kvs.leases[kvs.lastLease] = now.Add(op.TTL)
		return store.Leased{Lease: kvs.lastLease, TTL: op.TTL}
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
			kvs.leaseOf[put.Key] = put.Lease
		}
	}
	return store.Written{Succeeded: true, Revision: kvs.revision}
}
