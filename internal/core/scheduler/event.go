package scheduler

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/startlog"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Event is an input of State.Reduce.
type Event interface{ event() }

// Tick lets time pass without any other input.
type Tick struct{}

// CatalogChanged carries a newer configuration.
type CatalogChanged struct{ Catalog catalog.Catalog }

// ZonesChanged carries the availability zones that are out of service.
type ZonesChanged struct{ Out map[string]bool }

// JobAccepted carries a stored job.
type JobAccepted struct {
	Spec job.Spec
	// Revision is the revision at which the job was stored.
	Revision kv.Revision
	// Progress and ProgressRevision are the record that a former dispatcher
	// stored; revision 0 means that there is none.
	Progress         job.Progress
	ProgressRevision kv.Revision
}

// JobCancelled reports that the cancellation of a job is stored.
type JobCancelled struct{ ID job.ID }

// VMRegistered carries a new or changed registration of a VM.
type VMRegistered struct{ VM worker.VM }

// VMUnregistered reports that the registration of a VM is gone.
type VMUnregistered struct{ ID string }

// MachinesListed answers ListMachines. Machines is nil if the request failed.
type MachinesListed struct {
	// RequestedAt is when the list was requested.
	RequestedAt time.Time
	Machines    []worker.Machine
}

// Answers of VMs carry the token of what they answer; 0 if it doesn't matter.

// PollAnswered answers a Poll.
type PollAnswered struct {
	VM    worker.VM
	Token int64
	// Sent is when the poll was sent.
	Sent time.Time
	// Report is valid if Result is ResultOK.
	Report worker.Report
	Result worker.Result
}

// StartAnswered answers a Start.
type StartAnswered struct {
	VM     worker.VM
	Token  int64
	Task   job.Task
	Run    int
	Result worker.Result
	// RecordTime is how long the start waited for its record.
	RecordTime time.Duration
	// Unanswered reports whether the start was sent more than once, and a try that
	// wasn't answered may still be carried out.
	Unanswered bool
}

// StartSettled follows a StartAnswered that was Unanswered: all tries have been answered since
// with the same result, or weren't sent.
type StartSettled struct {
	VM     worker.VM
	Token  int64
	Task   job.Task
	Run    int
	Result worker.Result
}

// StopAnswered answers a Stop.
type StopAnswered struct {
	VM     worker.VM
	Token  int64
	Task   job.Task
	Run    int
	Result worker.Result
}

// PaceAnswered answers a Pace.
type PaceAnswered struct {
	VM      worker.VM
	Token   int64
	Task    job.Task
	Percent int
	Result  worker.Result
}

// Committed answers a Commit. Revision is valid if Err is nil.
type Committed struct {
	Revision kv.Revision
	Err      error
	// Lane is that of the Commit.
	Lane int
}

// AdvisorAnswered answers a QueryAdvisor. Tickets is nil if the query failed.
type AdvisorAnswered struct {
	Job        job.ID
	Occurrence int
	Step       int
	// Sent is when the query was sent.
	Sent time.Time
	// VMs lists the VMs that the query named.
	VMs []string
	// Tickets holds the tokens of the tickets by VM. The step may not run on the
	// VMs without one.
	Tickets map[string]string
	// Valid is the time for which the tickets are valid.
	Valid time.Duration
}

// AdvisorSlotsChanged carries the maximum number of concurrent queries to the
// advisor.
type AdvisorSlotsChanged struct{ Count int }

// WaveRequested carries a wave of upkeep that the operator has requested or changed, with
// the machines whose upkeep a former dispatcher began by the same request.
type WaveRequested struct {
	Wave  upkeep.Wave
	Begun []string
	// Former holds further machines that may be down by orders of former dispatchers, or by
	// former requests of the same number.
	Former []string
	// RequestedAt is the time from which the duration of the wave, as it is here, counts
	// by a former dispatcher; zero if none received it.
	RequestedAt time.Time
}

// WaveWithdrawn reports that the operator has withdrawn a wave.
type WaveWithdrawn struct{ Number int64 }

// MachineAnswered answers an Upkeep or a Move.
type MachineAnswered struct {
	Machine string
	// Wave is 0 for a move.
	Wave   int64
	Result worker.MachineResult
}

// EndedJobsListed carries the jobs that former dispatchers stored as ended.
type EndedJobsListed struct{ Jobs []EndedJob }

// VMWatchProgressed reports that all changes of registrations up to a time have been
// received.
type VMWatchProgressed struct{ At time.Time }

// JobWatchProgressed reports that all changes of jobs up to a time have been
// received.
type JobWatchProgressed struct{ At time.Time }

// FormerStartsListed carries the records of starts that former dispatchers left, by key. It
// comes before JobsLoaded.
type FormerStartsListed struct{ Records map[string]startlog.Record }

// StartsNotRecorded answers a RecordStarts that failed. None of its starts was sent.
type StartsNotRecorded struct {
	Txn    kv.Txn
	Starts []Start
	Err    error
}

// JobsLoaded reports that all jobs that were stored at the start of the tenure
// have been received.
type JobsLoaded struct{}

// TenureEnding reports that the duty is about to be handed back or released. From then on no
// machine orders are given (State.MayEnd).
type TenureEnding struct{}

func (Tick) event()                {}
func (CatalogChanged) event()      {}
func (ZonesChanged) event()        {}
func (JobAccepted) event()         {}
func (JobCancelled) event()        {}
func (VMRegistered) event()        {}
func (VMUnregistered) event()      {}
func (MachinesListed) event()      {}
func (PollAnswered) event()        {}
func (StartAnswered) event()       {}
func (StartSettled) event()        {}
func (StopAnswered) event()        {}
func (PaceAnswered) event()        {}
func (Committed) event()           {}
func (AdvisorAnswered) event()     {}
func (AdvisorSlotsChanged) event() {}
func (WaveRequested) event()       {}
func (WaveWithdrawn) event()       {}
func (MachineAnswered) event()     {}
func (EndedJobsListed) event()     {}
func (JobWatchProgressed) event()  {}
func (VMWatchProgressed) event()   {}
func (FormerStartsListed) event()  {}
func (StartsNotRecorded) event()   {}
func (JobsLoaded) event()          {}
func (TenureEnding) event()        {}
