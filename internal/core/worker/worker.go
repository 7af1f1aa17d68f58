// Package worker describes the VMs that run tasks, and what they report.
package worker

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// VM is one life of a VM of a pool, as it registered itself. It is immutable.
type VM struct {
	// ID is unique among the lives of VMs, except that a VM may start again
	// under the ID that it had; Born then differs.
	ID string
	// Born is when this life began, in Unix milliseconds; 0 if not told.
	Born int64
	// Pool names the pool that the VM serves.
	Pool    string
	Address string
	AZ      string
	// Labels names the VM's kind and its rack.
	Labels []string
	// Rack is the rack of the VM's machine; empty if it is not told.
	Rack string
	// Capacity is what its tasks may take together.
	Capacity job.Size
	// Leaving says that the VM shuts down soon and takes no new work.
	Leaving bool
	// ColdRemaining is how much longer the VM is slow after its start.
	ColdRemaining time.Duration
}

// SameIncarnation reports whether two registrations are of the same life.
func (one VM) SameIncarnation(oth VM) bool {
	return one.ID == oth.ID && (one.Born == oth.Born || one.Born == 0 || oth.Born == 0) && one.Address == oth.Address
}

// HasLabel reports whether the VM has a label.
func (one VM) HasLabel(label string) bool {
	for _, lab := range one.Labels {
		if lab == label {
			return true
		}
	}
	return false
}

// Running is a run that a VM lists.
type Running struct {
	Task       job.Task
	Run        int
	Checkpoint string
	// Percent is how far it has got; of tasks that last, 100 means at work.
	Percent int
	// Load is the tail of response times in milliseconds for a task that
	// serves, and the processors in use, in thousandths, for others.
	Load int64
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped"
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang didn't come in time.
	EndGangIncomplete EndKind = "alone"
)

// End is the end of a run that a VM lists until it is acknowledged.
type End struct {
	// Number counts the ends of one life of a VM from 1.
	Number     int64
	Task       job.Task
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Report is a VM's answer to a look at it.
type Report struct {
	// Clock is the VM's own clock when it answered.
	Clock   time.Duration
	Born    int64
	Running []Running
	// Ends are in the order of their numbers. All ends below the first have been
	// acknowledged.
	Ends []End
}

// Result is how a VM answered an order.
type Result int

// The results of orders.
const (
	// ResultOK means that the order was carried out.
	ResultOK Result = iota
	// ResultUnknown means that no answer came: the order may have been carried
	// out, or may still be.
	ResultUnknown
	// ResultFenced means that a dispatcher with a higher term has called the VM.
	ResultFenced
	// ResultOldRun means that a run that is not lower has ended there.
	ResultOldRun
	// ResultLate means that the order's deadline had passed.
	ResultLate
	// ResultNoRoom means that the task doesn't fit.
	ResultNoRoom
	// ResultNoTicket means that the advisor's ticket isn't valid.
	ResultNoTicket
	// ResultUnhealthy means that the VM refused and did nothing.
	ResultUnhealthy
	// ResultOtherIncarnation means that another life of the VM answered.
	ResultOtherIncarnation
	// ResultInvalid means that the order was malformed.
	ResultInvalid
)

// String names the result for logs.
func (res Result) String() string {
	return [...]string{"ok", "unknown", "fenced", "old_run", "late", "no_room", "no_ticket", "unhealthy", "other_life", "invalid"}[res]
}
