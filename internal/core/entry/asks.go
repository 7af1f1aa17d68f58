package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/benbjohnson/immutable"
)

// askTimeout bounds how long peers may take to answer.
const askTimeout = 500 * time.Millisecond

// askState holds the questions that peers have yet to answer.
type askState struct {
	next  uint64
	tasks *immutable.SortedMap[uint64, taskAsk]
	// reservations are those of requests that wait for them; reservationOf
	// maps a request to the hash that is reserved for it.
	reservations  *immutable.SortedMap[uint64, reservationAsk]
	reservationOf *immutable.Map[uint64, string]
}

type taskAsk struct {
	request uint64
	keyHash string
	// awaited counts the peers that have not answered.
	awaited int
	since   time.Time
}

func newAskState() askState {
	return askState{
		tasks:         immutable.NewSortedMap[uint64, taskAsk](nil),
		reservations:  immutable.NewSortedMap[uint64, reservationAsk](nil),
		reservationOf: immutable.NewMap[uint64, string](nil),
	}
}

// mayAsk reports whether the holder of a key may see a task of a team.
func (stp *step) mayAsk(team, queue, keyHash string) bool {
	if rou, ok := stp.st.config.Route(queue); ok && rou.OpenTeam == team && keyHash == "" {
		return true
	}
	asker, ok := key.TeamOf(stp.st.config, keyHash)
	return ok && asker == team
}

func (stp *step) taskAsked(evt event.TaskQueried) {
	if rec, ok := stp.st.log.Stored(evt.TaskID); ok {
		stp.tellTask(evt.Request, evt.KeyHash, rec.Status())
		return
	}
	ask := taskAsk{request: evt.Request, keyHash: evt.KeyHash, since: stp.now}
	stp.st.asks.next++
	id := stp.st.asks.next
	for _, per := range stp.st.view.Peers() {
		if per.Connected {
			ask.awaited++
			stp.send(per.ID, message.TaskQuery{RequestID: id, TaskID: evt.TaskID})
		}
	}
	if ask.awaited == 0 {
		stp.refuseNotRun(evt.Request, outcome.CodeUnknownTask, "No entry holds such a task.")
		return
	}
	stp.st.asks.tasks = stp.st.asks.tasks.Set(id, ask)
}

func (stp *step) tellTask(request uint64, keyHash string, sts task.Status) {
	if !stp.mayAsk(sts.Team, sts.Queue, keyHash) {
		stp.refuseNotRun(request, outcome.CodeUnknownTask, "No entry holds such a task.")
		return
	}
	stp.emit(effect.ReplyTaskStatus{Request: request, Status: sts})
}

func (stp *step) taskAskHeard(from string, msg message.TaskQuery) {
	rec, ok := stp.st.log.Stored(msg.TaskID)
	stp.send(from, message.TaskReply{RequestID: msg.RequestID, Found: ok, Status: rec.Status()})
}

func (stp *step) taskToldHeard(_ string, msg message.TaskReply) {
	ask, ok := stp.st.asks.tasks.Get(msg.RequestID)
	if !ok {
		return
	}
	ask.awaited--
	switch {
	case msg.Found:
		stp.st.asks.tasks = stp.st.asks.tasks.Delete(msg.RequestID)
		stp.tellTask(ask.request, ask.keyHash, msg.Status)
	case ask.awaited == 0:
		stp.st.asks.tasks = stp.st.asks.tasks.Delete(msg.RequestID)
		stp.refuseNotRun(ask.request, outcome.CodeUnknownTask, "No entry holds such a task.")
	default:
		stp.st.asks.tasks = stp.st.asks.tasks.Set(msg.RequestID, ask)
	}
}

func (stp *step) tickAsks() {
	itr := stp.st.asks.tasks.Iterator()
	for !itr.Done() {
		id, ask, _ := itr.Next()
		if stp.now.Sub(ask.since) < askTimeout {
			continue
		}
		stp.st.asks.tasks = stp.st.asks.tasks.Delete(id)
		stp.refuse(ask.request, outcome.Refusal{
			Outcome: outcome.Unknown, Code: outcome.CodeStoreUnavailable,
			Message: "Not every entry answered. Ask again.",
		})
	}
	stp.tickReservations()
}
