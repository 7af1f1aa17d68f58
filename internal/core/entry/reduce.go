package entry

import (
	"math/rand/v2"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
)

// Reduce returns the state after an event and the effects to carry out.
func Reduce(now time.Time, sta State, evt event.Event) (next State, effects []effect.Effect) {
	stp := &step{now: now, st: sta}
	stp.st.now = now
	stp.handle(evt)
	stp.settle()
	return stp.st, stp.effects
}

// TickWithin returns the longest time until the next event.Tick. It is
// event.TickInterval while work, a report to a dispatcher, an edit or a task
// record waits.
func (sta State) TickWithin() time.Duration {
	if sta.backlogged.Len() > 0 || sta.dirty.Len() > 0 || sta.delayed.Len() > 0 || len(sta.edits.pending) > 0 || sta.log.PendingCount() > 0 {
		return event.TickInterval
	}
	return event.IdleTickInterval
}

// step is one call of Reduce: the state under construction and the effects so
// far.
type step struct {
	now     time.Time
	st      State
	effects []effect.Effect
	// loopback holds the messages of the entry to itself.
	loopback []message.Message
}

func (stp *step) handle(evt event.Event) {
	switch evt := evt.(type) {
	case event.Started:
		stp.start()
	case event.Tick:
		stp.tick()
	case event.PeerUp:
		stp.handlePeerUp(evt)
	case event.PeerDown:
		stp.handlePeerDown(evt)
	case event.MessageReceived:
		stp.handlePeerMessage(evt.Member, evt.Message)
	case event.StoreCallEnded:
		stp.handleStoreResult(evt)
	case event.StoreChanged:
		stp.readHead()
	case event.VMsListed:
		stp.handleFleetList(evt)
	case event.ChangeRequested:
		stp.handleChangeRequest(evt)
	case event.MembersGone:
		stp.markGone(evt.IDs, "reported by an operator")
	case event.StatusRequested:
		stp.emit(effect.ReplyStatus{Request: evt.Request, Status: stp.status()})
	case event.ShutdownRequested:
		stp.beginShutdown()
	case event.AcceptingStopped:
		stp.st.draining.stopped = true
	default:
		stp.handleWork(evt)
	}
}

// handleWork handles the events of requests and tasks.
func (stp *step) handleWork(evt event.Event) {
	switch evt := evt.(type) {
	case event.RequestArrived:
		stp.handleRequest(evt)
	case event.RequestCancelled:
		stp.handleRequestCancelled(evt)
	case event.AttemptEnded:
		stp.handleAttemptEnded(evt)
	case event.TaskSubmitted:
		stp.handleTaskSubmitted(evt)
	case event.TaskQueried:
		stp.handleTaskStatusRequest(evt)
	case event.TaskCancelled:
		stp.handleTaskCancelled(evt)
	case event.TaskStartEnded:
		stp.handleTaskStartEnded(evt)
	case event.WorkerReported:
		stp.handleWorkerReport(evt)
	}
}

func (stp *step) start() {
	stp.st.started = stp.now
	stp.record("entry", "started", stp.st.settings.ID, stp.st.settings.AZ)
	stp.openStore()
}

func (stp *step) tick() {
	stp.tickStore()
	stp.tickMembers()
	stp.tickWork()
	stp.tickPermits()
	stp.tickEdits()
	stp.tickTasks()
	stp.tickQueries()
	stp.tickRemoval()
	stp.tickPlanner()
	stp.tickShutdown()
	stp.updateReady()
}

// settle handles the consequences of the event: the entry's messages to itself,
// its reports to dispatchers, and the grants of the pools that it leads. A
// grant to itself can change its reports, so it repeats until no message is
// left.
func (stp *step) settle() {
	for {
		stp.reportDemands()
		if len(stp.loopback) == 0 {
			return
		}
		loopback := stp.loopback
		stp.loopback = nil
		for _, msg := range loopback {
			stp.handlePeerMessage(stp.st.settings.ID, msg)
		}
	}
}

// emit adds an effect.
func (stp *step) emit(eff effect.Effect) {
	stp.effects = append(stp.effects, eff)
}

// record adds an event to the timeline.
func (stp *step) record(part, name, subject, detail string) {
	stp.emit(effect.Record{Part: part, Name: name, Subject: subject, Detail: detail})
}

// send sends a message to a member, which may be the entry itself.
func (stp *step) send(to string, msg message.Message) {
	if to == stp.st.settings.ID {
		stp.loopback = append(stp.loopback, msg)
		return
	}
	stp.emit(effect.Send{To: to, Message: msg})
}

// handlePeerMessage handles a message of a member. The messages of a dismissed
// member have no effect; its heartbeats are answered with a Freeze that names
// the member itself, upon which it exits.
func (stp *step) handlePeerMessage(from string, msg message.Message) {
	if !stp.isDismissed(from) {
		stp.markAlive(from)
		stp.handleMessage(from, msg)
		return
	}
	if _, isHeartbeat := msg.(message.Heartbeat); isHeartbeat {
		stp.send(from, message.Freeze{Members: []string{from}})
	}
}

func (stp *step) handleMessage(from string, msg message.Message) {
	switch msg := msg.(type) {
	case message.Heartbeat:
		stp.handleHeartbeat(from, msg)
	case message.Edits:
		stp.handleEdits(from, msg)
	case message.SnapshotRequest:
		stp.sendMissingEdits(from, msg.Have)
	case message.Snapshot:
		stp.handleSnapshot(msg)
	case message.Demand:
		stp.handleDemand(from, msg)
	case message.Grants:
		stp.handleGrants(from, msg)
	case message.Recall:
		stp.handleRecall(msg)
	case message.PermitRequest:
		stp.handlePermitRequest(from, msg)
	case message.PermitTransfer:
		stp.handlePermitTransfer(from, msg)
	case message.Freeze:
		stp.handleFreeze(from, msg)
	case message.Frozen:
		stp.handleFrozen(from, msg)
	case message.TaskQuery:
		stp.handleTaskQuery(from, msg)
	case message.TaskReply:
		stp.handleTaskReply(from, msg)
	case message.ReserveKey:
		stp.handleReserveKey(from, msg)
	case message.ReserveKeyReply:
		stp.handleReserveKeyReply(from, msg)
	case message.KeyHandover:
		stp.handleKeyHandover(msg)
	case message.ReleaseKey:
		stp.handleReleaseKey(from, msg)
	}
}

// random returns a random number in [0,n).
func (stp *step) random(n int) int {
	return rand.New(&stp.st.rnd).IntN(n)
}

// jitter returns a random duration between half of dur and dur.
func (stp *step) jitter(dur time.Duration) time.Duration {
	return dur/2 + time.Duration(rand.New(&stp.st.rnd).Int64N(int64(dur/2)+1))
}
