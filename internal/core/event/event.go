// Package event defines the inputs of an entry's reducer. Clock, network, store
// and callers reach the reducer only as events.
//
// A VM is one incarnation of a virtual machine of the fleet (vm.VM). It offers
// one of two services: an executor, the upstream of requests, or a worker, which
// runs tasks.
package event

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// An Event is one input of the reducer.
type Event interface{ isEvent() }

// Intervals at which a driver must feed Tick; State.TickWithin returns the one
// that applies.
const (
	// TickInterval applies while work waits or a write to the store is pending.
	TickInterval = 5 * time.Millisecond
	// IdleTickInterval applies otherwise.
	IdleTickInterval = 50 * time.Millisecond
)

// Started is the first event of an entry.
type Started struct{}

// Tick advances time. Deadlines, heartbeats and retries are checked on it.
type Tick struct{}

// RequestArrived is a caller's request. The driver keeps its body.
type RequestArrived struct {
	// Request is the driver's identifier of the request, unique within the
	// process.
	Request uint64
	// Path selects the route.
	Path string
	// KeyHash is the hash of the caller's API key, and empty when none came with
	// the request.
	KeyHash string
	// Idempotent reports whether the HTTP method is idempotent.
	Idempotent bool
	// IdempotencyKey is the idempotency key that the caller sent, or empty.
	IdempotencyKey string
	BodyBytes      int64
	// Timeout shortens the route's deadline when it is positive.
	Timeout time.Duration
}

// RequestCancelled reports that the caller of a request disconnected.
type RequestCancelled struct{ Request uint64 }

// AttemptResult is the result of an attempt at an upstream.
type AttemptResult int

// The results of an attempt, named like the outcomes of package outcome.
const (
	// AttemptAnswered means that the complete response was received.
	AttemptAnswered AttemptResult = iota + 1
	// AttemptNotRun means that no byte reached the upstream, or that the
	// upstream reported in its protocol that it did not process the request.
	AttemptNotRun
	// AttemptUnknown means that the upstream may have run the request.
	AttemptUnknown
)

// AttemptEnded reports the end of an attempt that StartAttempt began.
type AttemptEnded struct {
	Work    work.ID
	Attempt int
	Result  AttemptResult
	// Status is the HTTP status of the upstream's response, if there was one.
	Status int
	// UpstreamLeaving reports whether the upstream announced that it shuts down
	// gracefully.
	UpstreamLeaving bool
	Reason          string
}

// TaskSubmitted is a caller's request to accept a task.
type TaskSubmitted struct {
	Request uint64
	Queue   string
	KeyHash string
	Payload []byte
}

// TaskQueried is a caller's query for the status of a task.
type TaskQueried struct {
	Request uint64
	TaskID  string
	KeyHash string
}

// TaskCancelled is a caller's request to cancel a task.
type TaskCancelled struct {
	Request uint64
	TaskID  string
	KeyHash string
}

// WorkerTask is the state of a task as its worker reports it.
type WorkerTask struct {
	TaskID  string      `json:"task_id"`
	Attempt int         `json:"attempt"`
	State   WorkerState `json:"state"`
	Result  []byte      `json:"result,omitempty"`
	Reason  string      `json:"reason,omitempty"`
}

// WorkerState is the state of a task at a worker.
type WorkerState string

// The states that a worker reports.
const (
	WorkerRunning WorkerState = "running"
	WorkerDone    WorkerState = "done"
	WorkerFailed  WorkerState = "failed"
	// WorkerUnknown means that the worker does not know the attempt and will
	// refuse it from now on.
	WorkerUnknown WorkerState = "unknown"
)

// TaskStartEnded reports the result of a StartTask effect.
type TaskStartEnded struct {
	Work    work.ID
	Attempt int
	// Accepted means that the worker accepted the task; NotAccepted means that
	// it is guaranteed not to have. When neither is set, the worker may have
	// accepted the task.
	Accepted    bool
	NotAccepted bool
	Reason      string
}

// WorkerReported is the result of PollWorker.
type WorkerReported struct {
	VM string
	// Reached is false when the worker did not respond.
	Reached bool
	Tasks   []WorkerTask
}

// PeerUp reports a new link to a member.
type PeerUp struct {
	Member string
	AZ     string
}

// PeerDown reports that the last link to a member ended. Messages in transit
// are lost.
type PeerDown struct{ Member string }

// MessageReceived is a message from a member.
type MessageReceived struct {
	Member  string
	Message message.Message
}

// StoreCallEnded reports the result of a CallStore effect.
type StoreCallEnded struct {
	Call   uint64
	Result store.Result
}

// StoreChanged is a watch notification that store.KeyConfigHead changed.
type StoreChanged struct{}

// VMsListed is the platform's list of VMs, which lags behind their actual
// state. A driver feeds it when the list has changed.
type VMsListed struct{ VMs []vm.VM }

// ChangeRequested is an operator's request to change the configuration.
type ChangeRequested struct {
	Request uint64
	Change  table.Change
	// Base is the configuration revision that the operator's tables were
	// derived from; zero skips the check.
	Base int64
}

// MembersGone is an operator's confirmation that members are gone: their
// processes have terminated, as package member explains.
type MembersGone struct{ IDs []string }

// StatusRequested is an operator's query for the entry's status.
type StatusRequested struct{ Request uint64 }

// ShutdownRequested starts the entry's graceful shutdown.
type ShutdownRequested struct{}

// AcceptingStopped follows effect.StopAccepting: every caller has received its
// response, and no new caller can connect.
type AcceptingStopped struct{}

func (AcceptingStopped) isEvent()  {}
func (MembersGone) isEvent()       {}
func (Started) isEvent()           {}
func (Tick) isEvent()              {}
func (RequestArrived) isEvent()    {}
func (RequestCancelled) isEvent()  {}
func (AttemptEnded) isEvent()      {}
func (TaskSubmitted) isEvent()     {}
func (TaskQueried) isEvent()       {}
func (TaskCancelled) isEvent()     {}
func (TaskStartEnded) isEvent()    {}
func (WorkerReported) isEvent()    {}
func (PeerUp) isEvent()            {}
func (PeerDown) isEvent()          {}
func (MessageReceived) isEvent()   {}
func (StoreCallEnded) isEvent()    {}
func (StoreChanged) isEvent()      {}
func (VMsListed) isEvent()         {}
func (ChangeRequested) isEvent()   {}
func (StatusRequested) isEvent()   {}
func (ShutdownRequested) isEvent() {}
