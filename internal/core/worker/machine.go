package worker

import "github.com/balsamgauge/balsamgauge/internal/core/job"

// MachineState is the state of a machine as the platform lists it.
type MachineState string

// Machine states.
const (
	MachineUp MachineState = "up"
	// MachineMoving means that the machine is being moved to another pool.
	MachineMoving MachineState = "moving"
	// MachineUpkeep means that the machine is down for maintenance.
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is a machine of the platform. It keeps its name, capacity and labels
// while the VM on it is replaced by later incarnations.
type Machine struct {
	Name  string
	Pool  string
	State MachineState
	AZ    string
	// Labels holds the kind of the machine and its rack.
	Labels   []string
	Capacity job.Size
	// VM is the ID of the VM that currently runs on the machine; empty if none does.
	VM string
}

// MachineResult is the result of an order to move or maintain a machine.
type MachineResult int

// Results of machine orders.
const (
	MachineOK MachineResult = iota
	// MachineUnknown means that no valid response was received. The order may
	// have been carried out.
	MachineUnknown
	// MachineRefused means that the order was not carried out and may be retried.
	MachineRefused
	// MachineBusy means that the machine is not up or is shutting down.
	MachineBusy
	// MachineNotInWave means that the machine is not part of the wave.
	MachineNotInWave
	// MachineInvalid means that the machine does not exist or is not allowed in
	// the requested pool.
	MachineInvalid
	// MachineFenced means that the platform has accepted a higher term for the
	// machine. Orders with this term are refused for good.
	MachineFenced
)

// String returns the name of the result as it is logged.
func (res MachineResult) String() string {
	return [...]string{"ok", "unknown", "refused", "busy", "not_in_wave", "invalid", "fenced"}[res]
}
