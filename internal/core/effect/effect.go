// Package effect defines all that the reducer wants done. A driver carries the
// effects out in their order and feeds what comes of them back as events.
package effect

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// An Effect is one thing to be done.
type Effect interface{ isEffect() }

// Send sends a message to a member. It may be dropped when the link is down or
// its queue is full; the driver then ends the link and feeds PeerDown.
type Send struct {
	To      string
	Message message.Message
}

// CallStore makes a call. StoreAnswered must follow, within StoreTimeout.
type CallStore struct {
	Call uint64
	Op   store.Op
}

// StoreTimeout bounds a call to the store.
const StoreTimeout = time.Second

// StartAttempt sends a request to a VM. AttemptEnded must follow, at the
// latest a little after the deadline.
type StartAttempt struct {
	Work    work.ID
	Request uint64
	Attempt int
	VM      string
	Address string
	// Repeatable requests may go out on a connection that has been idle;
	// others need one that is new.
	Repeatable bool
	Deadline   time.Time
}

// AbortAttempt ends an attempt that nobody waits for.
type AbortAttempt struct {
	Work    work.ID
	Attempt int
}

// RelayResponse gives the caller the whole answer of the attempt that ended.
type RelayResponse struct {
	Request uint64
	Work    work.ID
	Attempt int
}

// Refuse answers a caller without an upstream's answer.
type Refuse struct {
	Request uint64
	Refusal outcome.Refusal
}

// AcceptTask tells a submitter that its task is in the store.
type AcceptTask struct {
	Request uint64
	TaskID  string
}

// ReplyTaskStatus answers a question for a task.
type ReplyTaskStatus struct {
	Request uint64
	Status  task.Status
}

// StartTask sends a task to a worker. TaskStartEnded must follow.
type StartTask struct {
	Work    work.ID
	TaskID  string
	Attempt int
	VM      string
	Address string
	Payload []byte
	Queue   string
	Lease   time.Duration
}

// PollWorker asks a worker for tasks and renews their leases. WorkerReported
// must follow.
type PollWorker struct {
	VM      string
	Address string
	Tasks   []TaskAttempt
	Lease   time.Duration
}

// StopTask asks a worker to stop a task. Nothing follows.
type StopTask struct {
	VM      string
	Address string
	TaskAttempt
}

// TaskAttempt names an attempt at a task.
type TaskAttempt struct {
	TaskID  string `json:"task_id"`
	Attempt int    `json:"attempt"`
}

// ReplyChange answers an operator's change.
type ReplyChange struct {
	Request uint64
	// Accepted changes are in the store and at a majority of the voters.
	Accepted bool
	Revision int64
	Code     outcome.Code
	Message  string
}

// ReplyStatus answers an operator's question.
type ReplyStatus struct {
	Request uint64
	Status  Status
}

// Connect names the addresses to keep links to, beside those of the settings.
type Connect struct{ Voters []table.Voter }

// PublishConfig makes a configuration known to the driver, for reading only.
type PublishConfig struct{ Config *table.Config }

// SetReady tells the balancer whether to send callers here.
type SetReady struct{ Ready bool }

// StopAccepting takes no more callers and lets those that are here have their
// answers. AcceptingStopped must follow.
type StopAccepting struct{}

// Exit ends the process: nothing is left to do.
type Exit struct{}

// Record adds an event to the time line.
type Record struct {
	// Part is the part of the entry that it concerns.
	Part string
	// Name is what happened, in snake case.
	Name string
	// Subject is what it happened to.
	Subject string
	Detail  string
}

func (Send) isEffect()            {}
func (CallStore) isEffect()       {}
func (StartAttempt) isEffect()    {}
func (AbortAttempt) isEffect()    {}
func (RelayResponse) isEffect()   {}
func (Refuse) isEffect()          {}
func (AcceptTask) isEffect()      {}
func (ReplyTaskStatus) isEffect() {}
func (StartTask) isEffect()       {}
func (PollWorker) isEffect()      {}
func (StopTask) isEffect()        {}
func (ReplyChange) isEffect()     {}
func (ReplyStatus) isEffect()     {}
func (Connect) isEffect()         {}
func (PublishConfig) isEffect()   {}
func (SetReady) isEffect()        {}
func (StopAccepting) isEffect()   {}
func (Exit) isEffect()            {}
func (Record) isEffect()          {}
