package task

import "time"

// State is the stage of processing that a task has reached.
type State string

// The states of a task.
const (
	StateWaiting State = "waiting"
	StateRunning State = "running"
	StateDone    State = "done"
	// StateParked tasks can't run; Reason holds the cause.
	StateParked State = "parked"
	// StateUnknown tasks may have run and must not run again.
	StateUnknown State = "unknown"
	// StateCancelled tasks were cancelled before they ended.
	StateCancelled State = "cancelled"
)

// IsFinal reports whether a task in the state no longer changes.
func (sta State) IsFinal() bool {
	return sta == StateDone || sta == StateParked || sta == StateUnknown || sta == StateCancelled
}

// Record is the complete stored state of a task. A later record replaces an
// earlier one.
type Record struct {
	ID    string `json:"id"`
	Team  string `json:"team"`
	Queue string `json:"queue"`
	// Payload is dropped once the state is final.
	Payload []byte `json:"payload,omitempty"`
	State   State  `json:"state"`
	// Attempt counts the starts and never decreases.
	Attempt int `json:"attempt,omitempty"`
	// VM is the VM of the last recorded attempt.
	VM string `json:"vm,omitempty"`
	// Tried lists the VMs of earlier attempts.
	Tried    []string  `json:"tried,omitempty"`
	Result   []byte    `json:"result,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Accepted time.Time `json:"accepted"`
	Deadline time.Time `json:"deadline"`
	// EndedAt is set once the state is final.
	EndedAt time.Time `json:"ended_at,omitempty"`
}

// WithState returns the record in the given state.
func (rec Record) WithState(sta State) Record {
	rec.State = sta
	return rec
}

// WithEnd returns the record in a final state, without its payload.
func (rec Record) WithEnd(sta State, result []byte, reason string, now time.Time) Record {
	rec.State = sta
	rec.Result = result
	rec.Reason = reason
	rec.EndedAt = now
	rec.Payload = nil
	return rec
}

// Status is the part of a task's state that its submitter may query.
type Status struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Queue   string `json:"queue"`
	State   State  `json:"state"`
	Attempt int    `json:"attempt"`
	Result  []byte `json:"result,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Status returns the part of the record that its submitter may query.
func (rec Record) Status() Status {
	return Status{
		ID: rec.ID, Team: rec.Team, Queue: rec.Queue, State: rec.State,
		Attempt: rec.Attempt, Result: rec.Result, Reason: rec.Reason,
	}
}
