package entry

import (
	"math/rand/v2"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
)

// Reduce returns the state after an event, and what is to be done.
func Reduce(now time.Time, sta State, evt event.Event) (next State, effects []effect.Effect) {
	stp := &step{now: now, st: sta}
	stp.st.now = now
	stp.handle(evt)
	stp.settle()
	return stp.st, stp.effects
}

// TickWithin returns how soon the next event.Tick must come after the last one.
// While work waits or an edit is under way it is event.TickEvery.
func (sta State) TickWithin() time.Duration {
	if sta.busy.Len() > 0 || sta.dirty.Len() > 0 || sta.delayed.Len() > 0 || len(sta.edits.pending) > 0 || sta.log.PendingCount() > 0 {
		return event.TickInterval
	}
	return event.IdleTickInterval
}

// step is one run of the reducer: the state being built and the effects so
// far. It lives no longer than Reduce.
type step struct {
	now     time.Time
	st      State
	effects []effect.Effect
	// own holds messages of the entry to itself.
	own []message.Message
}

func (stp *step) handle(evt event.Event) {
	switch evt := evt.(type) {
	case event.Started:
		stp.start()
	case event.Tick:
		stp.tick()
	case event.PeerUp:
		stp.peerUp(evt)
	case event.PeerDown:
		stp.peerDown(evt)
	case event.MessageReceived:
		stp.peerSaid(evt.Member, evt.Message)
	case event.StoreCallEnded:
		stp.storeCallEnded(evt)
	case event.StoreChanged:
		stp.readHead()
	case event.VMsListed:
		stp.vmsListed(evt)
	case event.ChangeRequested:
		stp.operatorAsked(evt)
	case event.MembersGone:
		stp.membersGone(evt.IDs, "an operator vouches for it")
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
		stp.requestArrived(evt)
	case event.RequestCancelled:
		stp.requestCancelled(evt)
	case event.AttemptEnded:
		stp.attemptEnded(evt)
	case event.TaskSubmitted:
		stp.taskSubmitted(evt)
	case event.TaskQueried:
		stp.taskAsked(evt)
	case event.TaskCancelled:
		stp.taskCancelled(evt)
	case event.TaskStartEnded:
		stp.taskStartEnded(evt)
	case event.WorkerReported:
		stp.workerReported(evt)
	}
}

func (stp *step) start() {
	stp.st.started = stp.now
	stp.record("entry", "started", stp.st.set.ID, stp.st.set.AZ)
	stp.openStore()
}

func (stp *step) tick() {
	stp.tickStore()
	stp.tickMembers()
	stp.tickWork()
	stp.tickPermits()
	stp.tickEdits()
	stp.tickTasks()
	stp.tickAsks()
	stp.tickRemoval()
	stp.tickPlanner()
	stp.tickShutdown()
	stp.updateReady()
}

// settle does what follows from the event: the entry's own messages, its
// reports to dispatchers, and the grants of the pools that it leads. A grant to
// itself can change its reports, so it goes round until nothing is left.
func (stp *step) settle() {
	for {
		stp.reportDemands()
		if len(stp.own) == 0 {
			return
		}
		own := stp.own
		stp.own = nil
		for _, msg := range own {
			stp.peerSaid(stp.st.set.ID, msg)
		}
	}
}

func (stp *step) emit(eff effect.Effect) {
	stp.effects = append(stp.effects, eff)
}

func (stp *step) record(part, name, subject, detail string) {
	stp.emit(effect.Record{Part: part, Name: name, Subject: subject, Detail: detail})
}

func (stp *step) send(to string, msg message.Message) {
	if to == stp.st.set.ID {
		stp.own = append(stp.own, msg)
		return
	}
	stp.emit(effect.Send{To: to, Message: msg})
}

// peerSaid handles a message of a member, unless the member is to be removed:
// then it is told so, and nothing of what it says counts.
func (stp *step) peerSaid(from string, msg message.Message) {
	if !stp.isDismissed(from) {
		stp.heard(from)
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
		stp.heartbeatHeard(from, msg)
	case message.Edits:
		stp.editsHeard(from, msg)
	case message.SnapshotRequest:
		stp.offerEdits(from, msg.Have)
	case message.Snapshot:
		stp.snapshotHeard(msg)
	case message.Demand:
		stp.demandHeard(from, msg)
	case message.Grants:
		stp.grantsHeard(from, msg)
	case message.Recall:
		stp.recallHeard(msg)
	case message.PermitRequest:
		stp.permitsAsked(from, msg)
	case message.PermitTransfer:
		stp.permitsHeard(from, msg)
	case message.Freeze:
		stp.freezeHeard(from, msg)
	case message.Frozen:
		stp.frozenHeard(from, msg)
	case message.TaskQuery:
		stp.taskAskHeard(from, msg)
	case message.TaskReply:
		stp.taskToldHeard(from, msg)
	case message.ReserveKey:
		stp.reserveHeard(from, msg)
	case message.ReserveKeyReply:
		stp.reservedHeard(from, msg)
	case message.KeyHandover:
		stp.keepHeard(msg)
	case message.ReleaseKey:
		stp.releaseHeard(from, msg)
	}
}

// random returns a number from 0 up to, not including, n.
func (stp *step) random(n int) int {
	return rand.New(&stp.st.rnd).IntN(n)
}

// jitter returns a span from a half of the given one up to all of it.
func (stp *step) jitter(span time.Duration) time.Duration {
	return span/2 + time.Duration(rand.New(&stp.st.rnd).Int64N(int64(span/2)+1))
}
