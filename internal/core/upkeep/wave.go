// Package upkeep plans waves: it decides which machine goes down for maintenance
// next.
//
// Upkeep is the maintenance of a machine, which ends all that runs on it. A
// wave is a batch of upkeep: of machines whose upkeep is to be done within a
// time. The plan limits the number of machines that are down at the same time,
// and keeps each long-running step within its availability budget: the number
// of its tasks that may be unavailable at the same time (MaxUnavailable).
package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// Wave is an operator's request for the upkeep of machines within a duration. The
// operator may change it. It is immutable.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// Cap is the maximum number of the machines that may be down for upkeep at the
	// same time; at least 1.
	Cap int
	// Revision is the revision of the store at which the wave was requested. A wave
	// that is withdrawn and requested again under its number is another one.
	Revision int64
	// Changed is the revision of the last change, at first that of the request.
	Changed int64
}

// Revises reports whether the wave is a later state of the same request as another one.
func (wav Wave) Revises(oth Wave) bool {
	return wav.Number == oth.Number && wav.Revision == oth.Revision
}

// demandsMore reports whether the wave names machines that another one doesn't, or
// another duration.
func (wav Wave) demandsMore(oth Wave) bool {
	if wav.Duration != oth.Duration {
		return true
	}
	named := make(map[string]bool, len(oth.Machines))
	for _, name := range oth.Machines {
		named[name] = true
	}
	return slices.ContainsFunc(wav.Machines, func(name string) bool { return !named[name] })
}

// Plan is a wave and its progress. It is immutable.
type Plan struct {
	Wave Wave
	// RequestedAt is the time from which the wave's duration counts: when a process
	// received the request, or the last change that demands more.
	RequestedAt time.Time
	// Begun is the set of machines whose upkeep has begun. The wave may no longer name
	// some of them.
	Begun map[string]bool
}

// WithChange returns the plan after a change of its wave was received.
func (pla Plan) WithChange(wav Wave, now time.Time) Plan {
	if wav.demandsMore(pla.Wave) {
		pla.RequestedAt = now
	}
	pla.Wave = wav
	return pla
}

// WithBegun returns the plan after the upkeep of a machine has begun.
func (pla Plan) WithBegun(machine string) Plan {
	begun := make(map[string]bool, len(pla.Begun)+1)
	for name := range pla.Begun {
		begun[name] = true
	}
	begun[machine] = true
	pla.Begun = begun
	return pla
}

// Completed reports whether upkeep has begun on every machine of the wave that
// the platform still lists.
func (pla Plan) Completed(listed func(machine string) bool) bool {
	for _, name := range pla.Wave.Machines {
		if !pla.Begun[name] && listed(name) {
			return false
		}
	}
	return true
}

// StepShare describes the tasks of one long-running step from the viewpoint of a
// machine.
type StepShare struct {
	// Local is the number of tasks of the step that are working on the machine.
	// Unavailable is the number of its tasks that are not working, on this machine
	// or elsewhere. MaxUnavailable is the availability budget: the maximum number
	// of tasks that may be unavailable; 0 means no limit.
	Local, Unavailable, MaxUnavailable int
}

// ExceedsBudget reports whether ending the tasks on the machine would exceed the
// step's availability budget.
func (sha StepShare) ExceedsBudget() bool {
	return sha.MaxUnavailable > 0 && sha.Local > 0 && sha.Unavailable+sha.Local > sha.MaxUnavailable
}

// NeedsRelocation reports whether one of the tasks on the machine should move to
// another machine first, because the machine runs more of them than the
// availability budget allows to end together.
func (sha StepShare) NeedsRelocation() bool {
	return sha.MaxUnavailable > 0 && sha.Local > sha.MaxUnavailable && sha.Unavailable < sha.MaxUnavailable
}

// Candidate is a machine whose upkeep has yet to begin.
type Candidate struct {
	Machine string
	// Up is set if the machine is up and its VM, if registered, answers and is not
	// shutting down.
	Up bool
	// LostWork is the unsaved work, in core-seconds, that upkeep would discard.
	LostWork float64
	// Remaining is the longest estimated remaining run time of the tasks on the
	// machine.
	Remaining time.Duration
	// StepShares describes the long-running steps with tasks on the machine.
	StepShares []StepShare
}

// ExceedsBudget reports whether upkeep of the machine would exceed the
// availability budget of any step.
func (can Candidate) ExceedsBudget() bool {
	for _, sha := range can.StepShares {
		if sha.ExceedsBudget() {
			return true
		}
	}
	return false
}

// Actions holds the next actions for a wave.
type Actions struct {
	// Cordon lists the machines that must not get new tasks.
	Cordon []string
	// Relocate lists the machines from which long-running tasks must move to other
	// machines.
	Relocate []string
	// Begin lists the machines whose upkeep may begin now.
	Begin []string
}

// reserveShare is the fraction of a wave's duration that is kept in reserve for
// the upkeep of the last machines and for faults.
const reserveShare = 0.15

// Next returns the next actions for a wave. cans are the machines whose upkeep
// has yet to begin, down is the number of the wave's machines that are down for
// upkeep, and machineTime is the expected upkeep time of a machine.
//
// Machines whose upkeep keeps within the availability budgets go first, then
// those with the shortest remaining run time and the least work to lose. A
// machine with unsaved work is only cordoned, to let its tasks finish, until the
// wave would otherwise be late.
func (pla Plan) Next(now time.Time, cans []Candidate, down int, machineTime time.Duration) Actions {
	free := pla.Wave.Cap - down
	if free <= 0 || len(cans) == 0 {
		return Actions{}
	}
	cans = slices.Clone(cans)
	slices.SortStableFunc(cans, func(one, oth Candidate) int {
		if one.ExceedsBudget() != oth.ExceedsBudget() {
			if oth.ExceedsBudget() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(one.Remaining, oth.Remaining), cmp.Compare(one.LostWork, oth.LostWork), cmp.Compare(one.Machine, oth.Machine))
	})
	usable := time.Duration(float64(pla.Wave.Duration) * (1 - reserveShare))
	batches := (len(cans) + pla.Wave.Cap - 1) / pla.Wave.Cap
	late := now.Add(time.Duration(batches) * machineTime).After(pla.RequestedAt.Add(usable))
	var act Actions
	for _, can := range cans {
		if free == 0 {
			break
		}
		if !can.Up {
			continue
		}
		free--
		act.Cordon = append(act.Cordon, can.Machine)
		if slices.ContainsFunc(can.StepShares, StepShare.NeedsRelocation) {
			act.Relocate = append(act.Relocate, can.Machine)
		}
		if !can.ExceedsBudget() && (can.LostWork == 0 || late) {
			act.Begin = append(act.Begin, can.Machine)
		}
	}
	return act
}
