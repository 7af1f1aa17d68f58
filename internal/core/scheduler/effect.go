package scheduler

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Effect is something to be done.
type Effect interface{ effect() }

// Poll asks a VM what it runs, and extends the lease of all that runs there.
type Poll struct {
	VM worker.VM
	// Acked is the highest number of an end that is stored.
	Acked int64
	// Deadline is on the VM's clock; 0 extends nothing.
	Deadline time.Duration
	// Wait is how long the VM may wait for an end.
	Wait time.Duration
}

// Start orders a VM to start a run.
type Start struct {
	VM      worker.VM
	Task    job.Task
	Run     int
	Payload string
	// Deadline is on the VM's clock.
	Deadline   time.Duration
	Checkpoint string
	Ticket     string
}

// Stop orders a VM to stop a run, or to reject it should it still come.
type Stop struct {
	VM   worker.VM
	Task job.Task
	Run  int
}

// Pace orders a VM to let a task work at a share of its speed.
type Pace struct {
	VM      worker.VM
	Task    job.Task
	Run     int
	Percent int
}

// Commit writes to the store. The runner adds the condition that this process
// still holds the duty.
type Commit struct{ Txn kv.Txn }

// QueryAdvisor asks which VMs may run a step.
type QueryAdvisor struct {
	Job        job.ID
	Occurrence int
	Step       int
	VMs        []string
	// Latency is how long the advisor takes.
	Latency time.Duration
}

// ListMachines asks for the list of machines.
type ListMachines struct{}

// Upkeep begins a machine's upkeep.
type Upkeep struct {
	Machine string
	Wave    int64
}

// SaveWave stores how a wave goes.
type SaveWave struct {
	Number    int64
	Begun     []string
	Completed bool
}

// Move moves a machine to another pool.
type Move struct {
	Machine string
	Pool    string
}

// Forget says that a life of a VM has ended: no calls are made to it any more.
type Forget struct{ VM worker.VM }

// StepDown ends the duty: another dispatcher has taken it.
type StepDown struct{ Reason string }

// LogDecision is a decision for the log.
type LogDecision struct {
	Name string
	// Job is empty if the decision concerns none.
	Job    job.ID
	Fields map[string]any
}

func (Poll) effect()         {}
func (Start) effect()        {}
func (Stop) effect()         {}
func (Pace) effect()         {}
func (Commit) effect()       {}
func (QueryAdvisor) effect() {}
func (ListMachines) effect() {}
func (Upkeep) effect()       {}
func (SaveWave) effect()     {}
func (Move) effect()         {}
func (Forget) effect()       {}
func (StepDown) effect()     {}
func (LogDecision) effect()  {}
