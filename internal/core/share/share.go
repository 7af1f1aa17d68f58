// Package share divides the slots of a full pool between teams in weighted
// max-min proportion.
//
// Pick is the incremental rule that the dispatcher uses: each free slot goes to
// the team that runs the least relative to its weight. WaterFill is the direct
// division of a fixed number of slots, which serves as the reference in tests.
package share

import "cmp"

// Team is the state of one team when a slot becomes free.
type Team struct {
	Name string
	// Weight is at least 1.
	Weight int
	// Running counts the slots that the team holds.
	Running int
	// Waiting counts the work that is ready to start.
	Waiting int
}

// Pick returns the index of the team that receives the next free slot, or -1
// when no team has work waiting. Ties are broken by name.
func Pick(teams []Team) int {
	best := -1
	for i, tea := range teams {
		if tea.Waiting <= 0 {
			continue
		}
		if best < 0 || less(tea, teams[best]) {
			best = i
		}
	}
	return best
}

// less reports whether team a receives a free slot before team b, because it
// runs less relative to its weight. It counts half a slot more than each team
// runs (the Webster/Sainte-Laguë method) and cross-multiplies to stay exact.
// Counting a whole slot more favours heavy teams: the result was up to 1.6 slots
// off the fractional shares, compared with up to 1 for this method.
func less(a, b Team) bool {
	left := (2*a.Running + 1) * b.Weight
	right := (2*b.Running + 1) * a.Weight
	return cmp.Or(cmp.Compare(left, right), cmp.Compare(a.Name, b.Name)) < 0
}

// Demand is the number of slots that one team could use.
type Demand struct {
	Name   string
	Weight int
	Wanted int
}

// WaterFill divides slots by weighted max-min: no team gets more than it wants,
// and unused shares are divided among the others by weight. The result is
// fractional, in the order of the demands.
func WaterFill(slots int, demands []Demand) []float64 {
	got := make([]float64, len(demands))
	left := float64(slots)
	open := make([]bool, len(demands))
	for i, dem := range demands {
		open[i] = dem.Wanted > 0
	}
	for {
		weights := 0
		for i, dem := range demands {
			if open[i] {
				weights += dem.Weight
			}
		}
		if weights == 0 {
			return got
		}
		level := left / float64(weights)
		capped := false
		for i, dem := range demands {
			if open[i] && float64(dem.Wanted) <= level*float64(dem.Weight) {
				got[i] = float64(dem.Wanted)
				left -= got[i]
				open[i] = false
				capped = true
			}
		}
		if capped {
			continue
		}
		for i, dem := range demands {
			if open[i] {
				got[i] = level * float64(dem.Weight)
			}
		}
		return got
	}
}
