package scheduler

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Effect is an action that State.Reduce requests from its caller.
type Effect interface{ effect() }

// Orders to a VM and polls carry a fencing token, duty.Token.

// Poll requests a report from a VM, acknowledges ends and extends the lease of
// all runs there.
type Poll struct {
	VM    worker.VM
	Token int64
	// Acked is the number up to which all ends are acknowledged; 0 if the VM knows.
	Acked int64
	// Deadline is the new end of the lease on the VM's clock; 0 extends nothing.
	Deadline time.Duration
	// Wait is how long the VM may wait for an end before it answers.
	Wait time.Duration
	// Slack is how much longer than Wait the answer may take.
	Slack time.Duration
}

// Start orders a VM to start a run. If it isn't recorded, it is sent by the RecordStarts of
// the same call of Reduce.
type Start struct {
	VM      worker.VM
	Token   int64
	Task    job.Task
	Run     int
	Payload string
	// Deadline is the end of the lease on the VM's clock.
	Deadline   time.Duration
	Checkpoint string
	Ticket     string
	// Recorded reports whether the store holds a record of the start.
	Recorded bool
}

// RecordStarts writes a record of the starts before it to the store, and sends them when it
// is stored, or on its way to a store that is slow. The caller adds the condition that this
// process still holds the duty.
type RecordStarts struct{ Txn kv.Txn }

// Stop orders a VM to stop a run, and to reject the run if its start arrives
// later.
type Stop struct {
	VM    worker.VM
	Token int64
	Task  job.Task
	Run   int
}

// Pace orders a VM to run a task at a percentage of full speed.
type Pace struct {
	VM      worker.VM
	Token   int64
	Task    job.Task
	Run     int
	Percent int
}

// Commit writes to the store. The caller adds the condition that this process
// still holds the duty.
type Commit struct {
	Txn kv.Txn
	// Lane identifies the write among those in flight.
	Lane int
}

// QueryAdvisor asks the advisor which VMs may run a step.
type QueryAdvisor struct {
	Job        job.ID
	Occurrence int
	Step       int
	VMs        []string
	// Latency is the expected time that the advisor takes.
	Latency time.Duration
}

// ListMachines requests the list of machines.
type ListMachines struct{}

// Upkeep begins the upkeep of a machine.
type Upkeep struct {
	Machine string
	Wave    int64
}

// SaveWave stores the progress of a wave.
type SaveWave struct {
	Wave  upkeep.Wave
	Begun []string
	// Former holds the machines that may be down by orders of the wave's number.
	Former []string
	// Completed is the status of the wave as it is here. It doesn't hold for a wave that
	// the operator has changed, withdrawn or requested again since.
	Completed bool
	// RequestedAt is the time from which the wave's duration counts.
	RequestedAt time.Time
}

// Move moves a machine to another pool.
type Move struct {
	Machine string
	Pool    string
}

// Forget closes the connections to a VM that has ended.
type Forget struct{ VM worker.VM }

// StepDown ends the tenure, as another process has taken the duty.
type StepDown struct{ Reason string }

// LogDecision writes a decision to the log.
type LogDecision struct {
	Name string
	// Job is empty if the decision does not concern a job.
	Job    job.ID
	Fields map[string]any
}

func (Poll) effect()         {}
func (Start) effect()        {}
func (RecordStarts) effect() {}
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
