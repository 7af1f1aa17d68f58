// Package worker describes the VMs that run tasks and the reports that they
// send to the dispatcher.
//
// A VM is one incarnation of a virtual machine that runs tasks: from one start to
// its end. A Machine is what the platform lists, moves and maintains; it outlasts
// the VMs that run on it. A run is one attempt to execute a task on a VM. The
// scheduler calls its record of a VM a host, and package platform calls the client
// for these VMs Executors.
//
// The VMs of the entries, which offer the services executor and worker, are
// described by package vm.
package worker

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// VM is one incarnation of a virtual machine, as registered in the store. It is
// immutable.
type VM struct {
	// ID is unique among incarnations, except that a VM may restart under the
	// same ID; StartedAtMS differs then.
	ID string
	// StartedAtMS is the start time of this incarnation in Unix milliseconds; 0
	// if not reported.
	StartedAtMS int64
	// Pool is the name of the pool that the VM serves.
	Pool    string
	Address string
	AZ      string
	// Labels holds the kind of the VM and its rack.
	Labels []string
	// Rack is the rack of the VM's machine; empty if not reported.
	Rack string
	// Capacity is the total size of the tasks that the VM can run at the same
	// time.
	Capacity job.Size
	// Leaving is set when the VM is draining: it shuts down soon and accepts no
	// new work.
	Leaving bool
	// ColdRemaining is the remaining time for which the VM is slow after its
	// start.
	ColdRemaining time.Duration
}

// SameIncarnation reports whether two registrations belong to the same
// incarnation. An unreported start time matches any other.
func (one VM) SameIncarnation(oth VM) bool {
	return one.ID == oth.ID && (one.StartedAtMS == oth.StartedAtMS || one.StartedAtMS == 0 || oth.StartedAtMS == 0) && one.Address == oth.Address
}

// HasLabel reports whether the VM has the given label.
func (one VM) HasLabel(label string) bool {
	for _, lab := range one.Labels {
		if lab == label {
			return true
		}
	}
	return false
}

// Running is an active run in a VM's report.
type Running struct {
	Task       job.Task
	Run        int
	Checkpoint string
	// Percent is the progress of the run. For a long-running task, 100 means that
	// it is working.
	Percent int
	// Load is the tail latency in milliseconds for a serving task, and the CPU in
	// use in thousandths of a core for any other task.
	Load int64
}

// EndKind is the way in which a run ended.
type EndKind string

// Ways in which a run ends.
const (
	EndDone   EndKind = "done"
	EndFailed EndKind = "failed"
	// EndStopped means that the dispatcher stopped the run.
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the lease of the run was not extended in time.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not start in
	// time.
	EndGangIncomplete EndKind = "alone"
)

// End is the record of a run that ended. The VM reports it until the dispatcher
// acknowledges it.
type End struct {
	// Number is the sequence number of the end within one incarnation of a VM,
	// starting at 1.
	Number     int64
	Task       job.Task
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Report is a VM's response to a poll.
type Report struct {
	// Clock is the reading of the VM's own clock at the time of the response.
	Clock time.Duration
	// StartedAtMS is the start time of the incarnation that responded, as in VM.
	StartedAtMS int64
	Running     []Running
	// Ends is sorted by number. All ends with lower numbers than the first one
	// have been acknowledged.
	Ends []End
}

// MaxEnds is the number of ends that a report lists at most. Those with higher numbers
// follow when these have been acknowledged.
const MaxEnds = 500

// ListsAllEnds reports whether no run has ended whose end the report leaves out.
func (rep Report) ListsAllEnds() bool { return len(rep.Ends) < MaxEnds }

// Result is the result of an order or a poll that was sent to a VM.
type Result int

// Results of orders and polls.
const (
	// ResultOK means that the order was carried out.
	ResultOK Result = iota
	// ResultUnknown means that no valid response was received. The order may have
	// been carried out or may still be.
	ResultUnknown
	// ResultFenced means that the VM has seen a dispatcher with a higher term.
	ResultFenced
	// ResultOldRun means that a run of the task with the same or a higher number
	// has already ended on the VM.
	ResultOldRun
	// ResultLate means that the order reached the VM after its deadline.
	ResultLate
	// ResultNoRoom means that the VM has too little free capacity for the task.
	ResultNoRoom
	// ResultNoTicket means that the advisor's permission to run the step on the VM
	// is missing or invalid.
	ResultNoTicket
	// ResultUnhealthy means that the order was not carried out: the VM refused it
	// or could not be reached.
	ResultUnhealthy
	// ResultOtherIncarnation means that another incarnation responded at the VM's
	// address.
	ResultOtherIncarnation
	// ResultInvalid means that the order was malformed.
	ResultInvalid
)

// String returns the name of the result as it is logged.
func (res Result) String() string {
	return [...]string{"ok", "unknown", "fenced", "old_run", "late", "no_room", "no_ticket", "unhealthy", "other_life", "invalid"}[res]
}
