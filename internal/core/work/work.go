// Package work describes a piece of work at the entry that took it: a request
// whose caller waits, or a task whose record is in the store.
package work

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// ID names a piece of work within one entry. It is never used twice by the
// same incarnation.
type ID uint64

// Phase is how far a piece of work has come.
type Phase int

// The phases, in order.
const (
	// PhaseWaiting work waits for a grant from its pool's dispatcher.
	PhaseWaiting Phase = iota
	// PhaseRecording work waits for the store to hold a record of its attempt.
	PhaseRecording
	// PhaseRunning work was sent to a VM.
	PhaseRunning
	// PhaseReporting work ended and waits for the store to hold its result.
	PhaseReporting
)

// Work is one piece of work. It is immutable.
type Work struct {
	ID   ID
	Kind table.Kind
	// TaskID is set for tasks and names the task fleet-wide.
	TaskID string
	// KeyHash is empty on a route open to callers without a key.
	KeyHash string
	Team    string
	Route   string
	Pool    string
	Urgency table.Urgency
	// Repeatable says that a second run does no harm.
	Repeatable bool
	Arrived    time.Time
	// Deadline is not before Arrived.
	Deadline time.Time
	Phase    Phase
	// Attempt counts the starts; it fences an earlier start of the same work.
	Attempt int
	// VM is where the last attempt runs or ran; empty before the first.
	VM string
	// GrantedAt is when the dispatcher granted the slot that the last attempt
	// uses. Work that takes over a slot takes over its time.
	GrantedAt time.Time
	// Reserve says that the slot of the last attempt is of the reserve for
	// urgent work.
	Reserve bool
	// Tried lists the VMs of the earlier attempts; no attempt repeats one.
	Tried []string
	// MayHaveRun says that some attempt ended without anybody's knowing whether
	// it ran. It is never unset.
	MayHaveRun bool
	// NotBefore delays a retry.
	NotBefore time.Time
	// Cancelled says that the caller no longer wants the work.
	Cancelled bool
	// Payload is a task's; requests keep their body outside the core.
	Payload []byte
}

// Lane is work that one team has waiting at one urgency.
type Lane struct {
	Team    string
	Urgency table.Urgency
	// Retry says that the work was tried before, so that some VMs are out of
	// the question.
	Retry bool
}

// Lane returns the lane that the work waits in.
func (wrk Work) Lane() Lane {
	return Lane{Team: wrk.Team, Urgency: wrk.Urgency, Retry: len(wrk.Tried) > 0}
}

// WithPhase returns the work in another phase.
func (wrk Work) WithPhase(pha Phase) Work {
	wrk.Phase = pha
	return wrk
}

// Slot is a slot on a VM, as a dispatcher granted it.
type Slot struct {
	VM        string
	GrantedAt time.Time
	Reserve   bool
}

// Slot returns the slot of the last attempt.
func (wrk Work) Slot() Slot {
	return Slot{VM: wrk.VM, GrantedAt: wrk.GrantedAt, Reserve: wrk.Reserve}
}

// WithStart returns the work as it starts on a slot.
func (wrk Work) WithStart(slt Slot, pha Phase) Work {
	wrk.Attempt++
	wrk.VM = slt.VM
	wrk.GrantedAt = slt.GrantedAt
	wrk.Reserve = slt.Reserve
	wrk.Phase = pha
	return wrk
}

// WithRetry returns the work waiting again, not to be started before a time,
// and never again on the VM that it last ran on.
func (wrk Work) WithRetry(notBefore time.Time) Work {
	wrk.Tried = append(slices.Clone(wrk.Tried), wrk.VM)
	wrk.Phase = PhaseWaiting
	wrk.NotBefore = notBefore
	return wrk
}

// WithMayHaveRun returns the work after an attempt of which nobody knows whether
// it ran.
func (wrk Work) WithMayHaveRun() Work {
	wrk.MayHaveRun = true
	return wrk
}

// WithCancelled returns the work marked as no longer wanted.
func (wrk Work) WithCancelled() Work {
	wrk.Cancelled = true
	return wrk
}

// HasTried reports whether an earlier attempt ran on a VM.
func (wrk Work) HasTried(vm string) bool {
	return slices.Contains(wrk.Tried, vm)
}
