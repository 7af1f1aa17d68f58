package scheduler

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Event is something that happened.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// CatalogChanged brings a newer configuration.
type CatalogChanged struct{ Catalog catalog.Catalog }

// ZonesChanged brings the availability zones that are out.
type ZonesChanged struct{ Out map[string]bool }

// JobAccepted brings a job that is stored.
type JobAccepted struct {
	Spec job.Spec
	// Revision is the one at which it was stored.
	Revision kv.Revision
	// Progress and ProgressRevision are what a former dispatcher stored;
	// revision 0 means nothing.
	Progress         job.Progress
	ProgressRevision kv.Revision
}

// JobCancelled says that a job's cancelling is stored.
type JobCancelled struct{ ID job.ID }

// VMRegistered brings a VM's registration or a change of it.
type VMRegistered struct{ VM worker.VM }

// VMUnregistered says that a VM's registration is gone.
type VMUnregistered struct{ ID string }

// MachinesListed brings the list of machines.
type MachinesListed struct {
	// RequestedAt is when the list was asked for.
	RequestedAt time.Time
	Machines    []worker.Machine
}

// PollAnswered answers a Look.
type PollAnswered struct {
	VM     worker.VM
	Sent   time.Time
	Report worker.Report
	Result worker.Result
}

// StartAnswered answers a Start.
type StartAnswered struct {
	VM     worker.VM
	Task   job.Task
	Run    int
	Result worker.Result
}

// StopAnswered answers a Stop.
type StopAnswered struct {
	VM     worker.VM
	Task   job.Task
	Run    int
	Result worker.Result
}

// PaceAnswered answers a Pace.
type PaceAnswered struct {
	VM      worker.VM
	Task    job.Task
	Percent int
	Result  worker.Result
}

// Committed answers a Commit. The revision is valid unless there is an error.
type Committed struct {
	Revision kv.Revision
	Err      error
}

// AdvisorAnswered answers an Advise. Tickets is nil if no advice came.
type AdvisorAnswered struct {
	Job        job.ID
	Occurrence int
	Step       int
	Sent       time.Time
	// VMs are those that were asked about.
	VMs     []string
	Tickets map[string]string
	Valid   time.Duration
}

// AdvisorSlotsChanged says how many questions may be put to the advisor at once.
type AdvisorSlotsChanged struct{ Count int }

// WaveRequested brings a wave of upkeep, with the machines whose upkeep a former
// dispatcher began.
type WaveRequested struct {
	Wave  upkeep.Wave
	Begun []string
}

// WaveWithdrawn says that a wave is no longer asked for.
type WaveWithdrawn struct{ Number int64 }

// MachineAnswered answers an Upkeep or a Move.
type MachineAnswered struct {
	Machine string
	// Wave is 0 for a move.
	Wave   int64
	Result worker.MachineResult
}

// EndedJobsListed brings the jobs that are stored as ended.
type EndedJobsListed struct{ Jobs []EndedJob }

// JobWatchProgressed says that all changes of jobs up to a time have been brought.
type JobWatchProgressed struct{ At time.Time }

// Loaded says that all jobs, VMs and waves that were stored when the duty was
// taken have been brought.
type Loaded struct{}

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
func (Loaded) event()              {}
