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

// peerReplyTimeout is the time that peers have to reply to a query or a
// reservation.
const peerReplyTimeout = 500 * time.Millisecond

// queryState holds the queries and reservations that peers have not replied to.
type queryState struct {
	lastID uint64
	tasks  *immutable.SortedMap[uint64, taskQuery]
	// reservations holds the requests that wait for their idempotency key to be
	// reserved. reservationOf maps a request to the hash of its key, from the
	// start of the reservation until the request is forgotten or its key
	// released.
	reservations  *immutable.SortedMap[uint64, pendingReservation]
	reservationOf *immutable.Map[uint64, string]
}

// taskQuery is a request for a task's status that has been forwarded to the
// peers.
type taskQuery struct {
	request uint64
	keyHash string
	// awaited counts the peers that have not replied.
	awaited int
	since   time.Time
}

func newQueryState() queryState {
	return queryState{
		tasks:         immutable.NewSortedMap[uint64, taskQuery](nil),
		reservations:  immutable.NewSortedMap[uint64, pendingReservation](nil),
		reservationOf: immutable.NewMap[uint64, string](nil),
	}
}

// mayViewTask reports whether the holder of a key may see a task of a team.
func (stp *step) mayViewTask(team, queue, keyHash string) bool {
	if rou, ok := stp.st.config.Route(queue); ok && rou.OpenTeam == team && keyHash == "" {
		return true
	}
	keyTeam, ok := key.TeamOf(stp.st.config, keyHash)
	return ok && keyTeam == team
}

// handleTaskStatusRequest replies with the status of a task, querying the
// connected peers if this entry does not hold it.
func (stp *step) handleTaskStatusRequest(evt event.TaskQueried) {
	if rec, ok := stp.st.log.Stored(evt.TaskID); ok {
		stp.replyTaskStatus(evt.Request, evt.KeyHash, rec.Status())
		return
	}
	qry := taskQuery{request: evt.Request, keyHash: evt.KeyHash, since: stp.now}
	stp.st.queries.lastID++
	id := stp.st.queries.lastID
	for _, per := range stp.st.view.Peers() {
		if per.Connected {
			qry.awaited++
			stp.send(per.ID, message.TaskQuery{RequestID: id, TaskID: evt.TaskID})
		}
	}
	if qry.awaited == 0 {
		stp.refuseNotRun(evt.Request, outcome.CodeUnknownTask, "No entry holds such a task.")
		return
	}
	stp.st.queries.tasks = stp.st.queries.tasks.Set(id, qry)
}

func (stp *step) replyTaskStatus(request uint64, keyHash string, sts task.Status) {
	if !stp.mayViewTask(sts.Team, sts.Queue, keyHash) {
		stp.refuseNotRun(request, outcome.CodeUnknownTask, "No entry holds such a task.")
		return
	}
	stp.emit(effect.ReplyTaskStatus{Request: request, Status: sts})
}

func (stp *step) handleTaskQuery(from string, msg message.TaskQuery) {
	rec, ok := stp.st.log.Stored(msg.TaskID)
	stp.send(from, message.TaskReply{RequestID: msg.RequestID, Found: ok, Status: rec.Status()})
}

func (stp *step) handleTaskReply(_ string, msg message.TaskReply) {
	qry, ok := stp.st.queries.tasks.Get(msg.RequestID)
	if !ok {
		return
	}
	qry.awaited--
	switch {
	case msg.Found:
		stp.st.queries.tasks = stp.st.queries.tasks.Delete(msg.RequestID)
		stp.replyTaskStatus(qry.request, qry.keyHash, msg.Status)
	case qry.awaited == 0:
		stp.st.queries.tasks = stp.st.queries.tasks.Delete(msg.RequestID)
		stp.refuseNotRun(qry.request, outcome.CodeUnknownTask, "No entry holds such a task.")
	default:
		stp.st.queries.tasks = stp.st.queries.tasks.Set(msg.RequestID, qry)
	}
}

// tickQueries ends the queries and reservations whose time for replies has
// passed.
func (stp *step) tickQueries() {
	itr := stp.st.queries.tasks.Iterator()
	for !itr.Done() {
		id, qry, _ := itr.Next()
		if stp.now.Sub(qry.since) < peerReplyTimeout {
			continue
		}
		stp.st.queries.tasks = stp.st.queries.tasks.Delete(id)
		stp.refuse(qry.request, outcome.Refusal{
			Outcome: outcome.Unknown, Code: outcome.CodeStoreUnavailable,
			Message: "Not every entry answered. Ask again.",
		})
	}
	stp.tickReservations()
}
