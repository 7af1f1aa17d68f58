// Package effect defines the outputs of an entry's reducer. A driver executes
// the effects in order and feeds their results back as events.
//
// A VM is one incarnation of a virtual machine of the fleet (vm.VM). It offers
// one of two services: an executor, the upstream of requests, or a worker, which
// runs tasks.
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

// An Effect is one action for the driver.
type Effect interface{ isEffect() }

// Send sends a message to a member. The driver may drop it when the link is
// down or its queue is full; it then closes the link and feeds PeerDown.
type Send struct {
	To      string
	Message message.Message
}

// CallStore makes a call to the store. StoreCallEnded must follow within
// StoreTimeout.
type CallStore struct {
	Call uint64
	Op   store.Op
}

// StoreTimeout bounds a call to the store.
const StoreTimeout = time.Second

// StartAttempt sends a request to a VM. AttemptEnded must follow, shortly after
// the deadline at the latest.
type StartAttempt struct {
	Work    work.ID
	Request uint64
	Attempt int
	VM      string
	Address string
	// Repeatable requests may be sent on a pooled connection, which can be dead
	// without being closed; others need a new one.
	Repeatable bool
	Deadline   time.Time
}

// AbortAttempt aborts an attempt whose result is no longer needed.
type AbortAttempt struct {
	Work    work.ID
	Attempt int
}

// RelayResponse sends the caller the complete response of the attempt that
// ended.
type RelayResponse struct {
	Request uint64
	Work    work.ID
	Attempt int
}

// Refuse sends the caller a refusal in place of an upstream's response.
type Refuse struct {
	Request uint64
	Refusal outcome.Refusal
}

// AcceptTask confirms to a submitter that its task is in the store.
type AcceptTask struct {
	Request uint64
	TaskID  string
}

// ReplyTaskStatus replies to the query for a task.
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

// PollWorker polls a worker for the state of tasks and renews their leases.
// WorkerReported must follow.
type PollWorker struct {
	VM      string
	Address string
	Tasks   []TaskAttempt
	Lease   time.Duration
}

// StopTask requests that a worker stop a task. No event follows.
type StopTask struct {
	VM      string
	Address string
	TaskAttempt
}

// TaskAttempt identifies one attempt at a task.
type TaskAttempt struct {
	TaskID  string `json:"task_id"`
	Attempt int    `json:"attempt"`
}

// ReplyChange replies to an operator's request to change the configuration.
type ReplyChange struct {
	Request uint64
	// Accepted changes are in the store and at a majority of the voters.
	Accepted bool
	Revision int64
	Code     outcome.Code
	Message  string
}

// ReplyStatus replies to an operator's status query.
type ReplyStatus struct {
	Request uint64
	Status  Status
}

// Connect lists the voters to keep links to, in addition to the addresses in
// the settings.
type Connect struct{ Voters []table.Voter }

// PublishConfig makes a configuration available to the driver, which must not
// modify it.
type PublishConfig struct{ Config *table.Config }

// SetReady sets whether the load balancer should route callers to this entry.
type SetReady struct{ Ready bool }

// StopAccepting closes the entry to new callers and lets pending requests
// finish. AcceptingStopped must follow.
type StopAccepting struct{}

// Exit ends the process. Nothing is pending.
type Exit struct{}

// Record adds a record to the timeline, the log of what happened in the process.
type Record struct {
	// Part is the component of the entry that made the record.
	Part string
	// Name says what happened, in snake case.
	Name string
	// Subject is what the record concerns, such as a VM or a member.
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
