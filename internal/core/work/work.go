// Package work models the work of the entry that accepted it: a request whose
// caller waits for the response, or a task whose record is in the store. The VM
// of an attempt is the one (vm.VM) whose executor or worker runs it.
package work

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// ID identifies a piece of work within one entry. An incarnation of the entry
// never reuses it.
type ID uint64

// Phase is the stage of processing that a piece of work has reached.
type Phase int

// The phases. A retry returns to PhaseWaiting.
const (
	// PhaseWaiting work is queued for a grant from its pool's dispatcher.
	PhaseWaiting Phase = iota
	// PhaseRecording work waits for the store to hold the record of a task's
	// attempt, or, before its first PhaseWaiting, for the reservation of a
	// request's idempotency key.
	PhaseRecording
	// PhaseRunning work has been sent to a VM.
	PhaseRunning
	// PhaseReporting work has ended and waits for its result to be stored.
	PhaseReporting
)

// Work is one piece of work. It is immutable.
type Work struct {
	ID   ID
	Kind table.Kind
	// TaskID is the fleet-wide ID of a task, and empty for a request.
	TaskID string
	// KeyHash is the hash of the API key of a request's caller. It is empty for
	// a request without a key, which an open route accepts, and for a task.
	KeyHash string
	Team    string
	Route   string
	Pool    string
	Urgency table.Urgency
	// Repeatable reports whether running the work twice is harmless.
	Repeatable bool
	Arrived    time.Time
	// Deadline is never before Arrived.
	Deadline time.Time
	Phase    Phase
	// Attempt counts the starts. It fences earlier starts of the same work.
	Attempt int
	// VM is the VM of the last attempt; empty before the first.
	VM string
	// GrantedAt is the time at which the dispatcher granted the slot of the
	// last attempt. Work that reuses a slot inherits the time.
	GrantedAt time.Time
	// Reserve reports whether the slot of the last attempt belongs to the
	// reserve for urgent work.
	Reserve bool
	// Tried lists the VMs of earlier attempts. Each attempt uses a different
	// VM.
	Tried []string
	// MayHaveRun reports whether some attempt ended without confirmation of
	// whether it ran. It is never reset.
	MayHaveRun bool
	// NotBefore is the earliest time of a retry.
	NotBefore time.Time
	// Cancelled reports whether the caller no longer wants the work.
	Cancelled bool
	// Payload is the payload of a task. The bodies of requests stay outside the
	// core.
	Payload []byte
}

// Lane identifies a queue of one team's waiting work at one urgency.
type Lane struct {
	Team    string
	Urgency table.Urgency
	// Retry reports whether the work has had an attempt, which excludes some
	// VMs.
	Retry bool
}

// Lane returns the lane that the work is queued in.
func (wrk Work) Lane() Lane {
	return Lane{Team: wrk.Team, Urgency: wrk.Urgency, Retry: len(wrk.Tried) > 0}
}

// WithPhase returns the work in the given phase.
func (wrk Work) WithPhase(pha Phase) Work {
	wrk.Phase = pha
	return wrk
}

// Slot is a slot on a VM, as granted by a dispatcher.
type Slot struct {
	VM        string
	GrantedAt time.Time
	Reserve   bool
}

// Slot returns the slot of the last attempt.
func (wrk Work) Slot() Slot {
	return Slot{VM: wrk.VM, GrantedAt: wrk.GrantedAt, Reserve: wrk.Reserve}
}

// WithStart returns the work with a new attempt on a slot.
func (wrk Work) WithStart(slt Slot, pha Phase) Work {
	wrk.Attempt++
	wrk.VM = slt.VM
	wrk.GrantedAt = slt.GrantedAt
	wrk.Reserve = slt.Reserve
	wrk.Phase = pha
	return wrk
}

// WithRetry returns the work in the waiting phase, not to start before the
// given time and never again on the VM of its last attempt.
func (wrk Work) WithRetry(notBefore time.Time) Work {
	wrk.Tried = append(slices.Clone(wrk.Tried), wrk.VM)
	wrk.Phase = PhaseWaiting
	wrk.NotBefore = notBefore
	return wrk
}

// WithMayHaveRun returns the work after an attempt that may or may not have
// run.
func (wrk Work) WithMayHaveRun() Work {
	wrk.MayHaveRun = true
	return wrk
}

// WithCancelled returns the work marked as cancelled.
func (wrk Work) WithCancelled() Work {
	wrk.Cancelled = true
	return wrk
}

// HasTried reports whether an earlier attempt used a VM.
func (wrk Work) HasTried(vm string) bool {
	return slices.Contains(wrk.Tried, vm)
}
