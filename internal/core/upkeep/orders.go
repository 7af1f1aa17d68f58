package upkeep

import "time"

// Orders holds the orders for upkeep whose effect may not be over. A machine counts
// as down from when its upkeep is ordered until a list of machines that was
// requested after the answer shows it as up. So an order without an answer counts as
// carried out until it is known not to be. A machine has one order at a time.
type Orders struct {
	byMachine map[string]order
}

// order is an order for the upkeep of a machine.
type order struct {
	// wave is the wave for which it was given, as it was then, and vm the ID of the VM
	// that it ends; empty if none was listed.
	wave Wave
	vm   string
	// endedAt is when the call with the order ended; zero while it is unanswered.
	endedAt time.Time
}

// NewOrders returns an empty set of orders.
func NewOrders() *Orders { return &Orders{byMachine: map[string]order{}} }

// Give records an order for a machine that has none, and the VM that it ends.
func (ors *Orders) Give(machine, vm string, wav Wave) {
	ors.byMachine[machine] = order{wave: wav, vm: vm}
}

// Wave returns the wave with a number, as it was when the order for a machine was given;
// the zero wave if the machine has no order of a wave with that number.
func (ors *Orders) Wave(machine string, number int64) (wav Wave) {
	if ord, ok := ors.byMachine[machine]; ok && ord.wave.Number == number {
		wav = ord.wave
	}
	return wav
}

// Machines returns the machines with orders of a wave.
func (ors *Orders) Machines(wave int64) (names []string) {
	for machine, ord := range ors.byMachine {
		if ord.wave.Number == wave {
			names = append(names, machine)
		}
	}
	return names
}

// End records that the call with an order of a wave ended, and that it may have been
// carried out. It returns the VM that the order ends.
func (ors *Orders) End(machine string, wave int64, now time.Time) (vm string) {
	ord, ok := ors.byMachine[machine]
	if !ok || ord.wave.Number != wave {
		return ""
	}
	ord.endedAt = now
	ors.byMachine[machine] = ord
	return ord.vm
}

// Refuse drops an order of a wave, which was not carried out. It returns the VM that
// the order would have ended.
func (ors *Orders) Refuse(machine string, wave int64) (vm string) {
	ord, ok := ors.byMachine[machine]
	if !ok || ord.wave.Number != wave {
		return ""
	}
	delete(ors.byMachine, machine)
	return ord.vm
}

// Settle drops the orders whose effect is over by a list of machines that was
// requested at a time: their machines are up, as reported by isUp, or gone.
func (ors *Orders) Settle(requestedAt time.Time, isUp func(machine string) bool) {
	for machine, ord := range ors.byMachine {
		if !ord.endedAt.IsZero() && requestedAt.After(ord.endedAt) && isUp(machine) {
			delete(ors.byMachine, machine)
		}
	}
}

// MayBeDown reports whether a machine may be down by an order.
func (ors *Orders) MayBeDown(machine string) bool {
	_, ok := ors.byMachine[machine]
	return ok
}

// Unanswered reports whether an order of a wave is unanswered.
func (ors *Orders) Unanswered(wave int64) bool {
	for _, ord := range ors.byMachine {
		if ord.wave.Number == wave && ord.endedAt.IsZero() {
			return true
		}
	}
	return false
}

// AnyUnanswered reports whether an order of any wave is unanswered.
func (ors *Orders) AnyUnanswered() bool {
	for _, ord := range ors.byMachine {
		if ord.endedAt.IsZero() {
			return true
		}
	}
	return false
}
