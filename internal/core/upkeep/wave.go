// Package upkeep plans waves of upkeep: which machine goes down next, so that
// few are down at once and no step loses more tasks than it may miss.
package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// Wave asks for the upkeep of machines within a time. It is immutable.
type Wave struct {
	Number   int64
	Machines []string
	Duration time.Duration
	// Cap is how many of them may be down for upkeep at once; at least 1.
	Cap int
	// Revision is the store's revision at which the operator asked.
	Revision int64
}

// Plan is a wave with how far it has got. It is immutable.
type Plan struct {
	Wave Wave
	// RequestedAt is when this process learned of the wave.
	RequestedAt time.Time
	// Begun holds the machines whose upkeep has begun.
	Begun map[string]bool
}

// WithBegun returns the plan after a machine's upkeep has begun.
func (pla Plan) WithBegun(machine string) Plan {
	begun := make(map[string]bool, len(pla.Begun)+1)
	for name := range pla.Begun {
		begun[name] = true
	}
	begun[machine] = true
	pla.Begun = begun
	return pla
}

// Completed reports whether the upkeep of every machine that stays has begun.
func (pla Plan) Completed(exists func(machine string) bool) bool {
	for _, name := range pla.Wave.Machines {
		if !pla.Begun[name] && exists(name) {
			return false
		}
	}
	return true
}

// StepShare is what a machine holds of a step that lasts.
type StepShare struct {
	// Local is how many of the step's tasks at work the machine holds; Unavailable is
	// how many others are not at work; MayMiss is how many may be away.
	Local, Unavailable, MayMiss int
}

// ExceedsBudget reports whether ending the tasks here would leave too many away.
func (sha StepShare) ExceedsBudget() bool {
	return sha.MayMiss > 0 && sha.Local > 0 && sha.Unavailable+sha.Local > sha.MayMiss
}

// NeedsRelocation reports whether one of the tasks here should go elsewhere first, for
// the machine holds more of them than may be away at once.
func (sha StepShare) NeedsRelocation() bool {
	return sha.MayMiss > 0 && sha.Local > sha.MayMiss && sha.Unavailable < sha.MayMiss
}

// Candidate is a machine that may go down.
type Candidate struct {
	Machine string
	// Up says that the machine is up and not leaving.
	Up bool
	// LostWork is the core-seconds of unsaved work that its upkeep would end.
	LostWork float64
	// Remaining is the longest time that a task there is thought to need yet.
	Remaining time.Duration
	// StepShares holds its tasks that last, by step.
	StepShares []StepShare
}

// ExceedsBudget reports whether the machine's upkeep would leave too many tasks of a
// step away.
func (can Candidate) ExceedsBudget() bool {
	for _, sha := range can.StepShares {
		if sha.ExceedsBudget() {
			return true
		}
	}
	return false
}

// Actions is what to do next for a wave.
type Actions struct {
	// Cordon lists the machines that get no new tasks.
	Cordon []string
	// Relocate lists the machines from which tasks that last go elsewhere.
	Relocate []string
	// Begin lists the machines whose upkeep begins now.
	Begin []string
}

// reserveShare is the part of a wave's duration that is kept in reserve, for
// the upkeep of its last machines and for faults.
const reserveShare = 0.15

// Next plans the next step of a wave. down is how many of its machines are
// down for upkeep; each takes about the span.
func (pla Plan) Next(now time.Time, cans []Candidate, down int, span time.Duration) Actions {
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
	rounds := (len(cans) + pla.Wave.Cap - 1) / pla.Wave.Cap
	late := now.Add(time.Duration(rounds) * span).After(pla.RequestedAt.Add(usable))
	var stp Actions
	for _, can := range cans {
		if free == 0 {
			break
		}
		if !can.Up {
			continue
		}
		free--
		stp.Cordon = append(stp.Cordon, can.Machine)
		if slices.ContainsFunc(can.StepShares, StepShare.NeedsRelocation) {
			stp.Relocate = append(stp.Relocate, can.Machine)
		}
		if !can.ExceedsBudget() && (can.LostWork == 0 || late) {
			stp.Begin = append(stp.Begin, can.Machine)
		}
	}
	return stp
}
