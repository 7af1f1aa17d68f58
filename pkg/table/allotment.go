package table

import (
	"cmp"
	"slices"
)

// reallocate returns the allotments after the teams' limits changed. The
// permits of each team then sum to its limit. Members keep their permits and
// the difference is split evenly, so that a raised limit is available
// immediately and a lowered one puts members into debt until permits are
// returned.
func reallocate(old []Allotment, teams []Team, voters []string) []Allotment {
	held := make(map[teamMember]int, len(old))
	sums := map[string]int{}
	for _, alm := range old {
		held[teamMember{alm.Team, alm.Member}] = alm.Permits
		sums[alm.Team] += alm.Permits
	}
	next := make([]Allotment, 0, len(teams)*len(voters))
	for _, tea := range teams {
		shares := splitEvenly(tea.Limit-sums[tea.Name], len(voters))
		for i, vtr := range voters {
			permits := held[teamMember{tea.Name, vtr}] + shares[i]
			next = append(next, Allotment{Team: tea.Name, Member: vtr, Permits: permits})
		}
	}
	sortAllotments(next)
	return next
}

// splitEvenly splits a total, which may be negative, into n parts that differ
// by at most one.
func splitEvenly(total, n int) []int {
	parts := make([]int, n)
	if n == 0 {
		return parts
	}
	for i := range parts {
		parts[i] = total / n
	}
	step := cmp.Compare(total, 0)
	for i := range max(total%n, -(total % n)) {
		parts[i] += step
	}
	return parts
}

// applySettlements returns the allotments of the remaining voters after some
// were removed. The permits of the removed voters go first to members that run
// more work than their permits allow, as Settlement.Debts reports, and the
// remainder is split evenly.
func applySettlements(cfg *Config, settlements []Settlement) []Allotment {
	nets, debts := map[teamMember]int{}, map[teamMember]int{}
	for _, stl := range settlements {
		addPermits(nets, stl.Member, stl.Net)
		addPermits(debts, stl.Member, stl.Debts)
	}
	next := make([]Allotment, 0, len(cfg.Tables.Teams)*len(cfg.Voters))
	for _, tea := range cfg.Tables.Teams {
		permits := make([]int, len(cfg.Voters))
		left := tea.Limit
		for i, vtr := range cfg.Voters {
			permits[i] = cfg.Allotment(tea.Name, vtr.ID) + nets[teamMember{tea.Name, vtr.ID}]
			left -= permits[i]
		}
		for i, vtr := range cfg.Voters {
			paid := max(0, min(left, debts[teamMember{tea.Name, vtr.ID}]))
			permits[i] += paid
			left -= paid
		}
		for i, part := range splitEvenly(left, len(cfg.Voters)) {
			next = append(next, Allotment{Team: tea.Name, Member: cfg.Voters[i].ID, Permits: permits[i] + part})
		}
	}
	sortAllotments(next)
	return next
}

func addPermits(sums map[teamMember]int, member string, parts []TeamPermits) {
	for _, part := range parts {
		sums[teamMember{part.Team, member}] += part.Permits
	}
}

func sortAllotments(alms []Allotment) {
	slices.SortFunc(alms, func(a, b Allotment) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Member, b.Member))
	})
}
