package worker

import "github.com/balsamgauge/balsamgauge/internal/core/job"

// MachineState says what a machine does.
type MachineState string

// The states of machines.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is what outlives the lives of a VM: its name, room and rack.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	AZ    string
	// Labels are its kind and rack.
	Labels   []string
	Capacity job.Size
	// VM is the ID of its present life; empty if it has none.
	VM string
}

// MachineResult is how an order for a machine was answered.
type MachineResult int

// The results of orders for machines.
const (
	MachineOK MachineResult = iota
	// MachineUnknown means that the order may have been carried out.
	MachineUnknown
	// MachineRefused means that nothing was done and the order may be given
	// again.
	MachineRefused
	// MachineBusy means that the machine isn't up, or leaves.
	MachineBusy
	// MachineNotInWave means that the wave doesn't name the machine.
	MachineNotInWave
	// MachineInvalid means that there is no such machine, or that it may not be
	// in that pool.
	MachineInvalid
)

// String names the result for logs.
func (res MachineResult) String() string {
	return [...]string{"ok", "unknown", "refused", "busy", "not_in_wave", "invalid"}[res]
}
