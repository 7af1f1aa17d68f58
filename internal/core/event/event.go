// Package event defines all that can happen to an entry. The reducer hears of
// the clock, the network, the store and the callers only through these.
package event

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// An Event is one thing that happened.
type Event interface{ isEvent() }

// How often a driver must feed Tick; State.TickWithin tells which of the two
// holds.
const (
	// TickInterval is while something waits.
	TickInterval = 5 * time.Millisecond
	// IdleTickInterval is while nothing does.
	IdleTickInterval = 50 * time.Millisecond
)

// Started is the first event of an entry.
type Started struct{}

// Tick tells the time. Deadlines, heartbeats and retries go by it.
type Tick struct{}

// RequestArrived is a caller's request. Its body stays with the driver.
type RequestArrived struct {
	// Request is the driver's own name for it, unique within the process.
	Request uint64
	// Path selects the route.
	Path string
	// KeyHash is empty when no key came with the request.
	KeyHash string
	// Idempotent is what the HTTP method promises.
	Idempotent bool
	// IdempotencyKey is the caller's, or empty.
	IdempotencyKey string
	BodyBytes      int64
	// Timeout shortens the route's deadline when it is positive.
	Timeout time.Duration
}

// RequestCancelled means that the caller of a request went away.
type RequestCancelled struct{ Request uint64 }

// AttemptResult says how an attempt at an upstream ended.
type AttemptResult int

// The results of an attempt.
const (
	// AttemptAnswered means that the whole answer is there.
	AttemptAnswered AttemptResult = iota + 1
	// AttemptNotRun means that no byte reached the upstream, or that it said
	// in its protocol that it did not process the request.
	AttemptNotRun
	// AttemptUnknown means that the upstream may have run the request.
	AttemptUnknown
)

// AttemptEnded is the end of an attempt that StartAttempt began.
type AttemptEnded struct {
	Work    work.ID
	Attempt int
	Result  AttemptResult
	// Status is the upstream's HTTP status when it answered.
	Status int
	// Leaving says that the upstream announced its shutdown.
	Leaving bool
	Reason  string
}

// TaskSubmitted is a task that a caller wants accepted.
type TaskSubmitted struct {
	Request uint64
	Queue   string
	KeyHash string
	Payload []byte
}

// TaskQueried is a caller's question for a task.
type TaskQueried struct {
	Request uint64
	TaskID  string
	KeyHash string
}

// TaskCancelled is a caller's wish to end a task.
type TaskCancelled struct {
	Request uint64
	TaskID  string
	KeyHash string
}

// WorkerTask is a task as its worker reports it.
type WorkerTask struct {
	TaskID  string      `json:"task_id"`
	Attempt int         `json:"attempt"`
	State   WorkerState `json:"state"`
	Result  []byte      `json:"result,omitempty"`
	Reason  string      `json:"reason,omitempty"`
}

// WorkerState is how a worker sees a task.
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

// TaskStartEnded is the end of a StartTask effect.
type TaskStartEnded struct {
	Work    work.ID
	Attempt int
	// Refused means that the worker certainly did not take the task. When
	// neither Refused nor Accepted is set, it may have.
	Accepted bool
	Refused  bool
	Reason   string
}

// WorkerReported answers PollWorker.
type WorkerReported struct {
	VM string
	// Reached is false when the worker did not answer.
	Reached bool
	Tasks   []WorkerTask
}

// PeerUp is a new link to a member.
type PeerUp struct {
	Member string
	AZ     string
}

// PeerDown is the end of the last link to a member. Messages on their way are
// lost.
type PeerDown struct{ Member string }

// MessageReceived is a message of a member.
type MessageReceived struct {
	Member  string
	Message message.Message
}

// StoreAnswered is the result of a call to the store.
type StoreAnswered struct {
	Call   uint64
	Result store.Result
}

// StoreChanged is a watch's notice that the configuration's head changed.
type StoreChanged struct{}

// FleetListed is the platform's list of VMs, which lags. A driver feeds it when
// the list has changed.
type FleetListed struct{ VMs []vm.VM }

// ChangeRequested is an operator's wish to change the configuration.
type ChangeRequested struct {
	Request uint64
	Change  table.Change
	// Base is the revision that the operator's tables were made from; zero
	// means any.
	Base int64
}

// MembersGone is an operator's word that members run no more.
type MembersGone struct{ IDs []string }

// StatusRequested is an operator's question for the entry's status.
type StatusRequested struct{ Request uint64 }

// ShutdownRequested begins the entry's graceful shutdown.
type ShutdownRequested struct{}

// AcceptingStopped follows effect.StopAccepting: every caller has its answer,
// and none can come any more.
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
func (StoreAnswered) isEvent()     {}
func (StoreChanged) isEvent()      {}
func (FleetListed) isEvent()       {}
func (ChangeRequested) isEvent()   {}
func (StatusRequested) isEvent()   {}
func (ShutdownRequested) isEvent() {}
