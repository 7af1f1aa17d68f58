package table

import (
	"cmp"
	"slices"
)

// reallot returns the allotments after the teams' limits changed. The permits
// of each team sum to its limit afterwards. Members keep what they have; the
// difference is spread evenly, so that a raised limit can be used at once and
// a lowered one puts members into debt until permits come back.
func reallot(old []Allotment, teams []Team, voters []string) []Allotment {
	held := make(map[teamMember]int, len(old))
	sums := map[string]int{}
	for _, alm := range old {
		held[teamMember{alm.Team, alm.Member}] = alm.Permits
		sums[alm.Team] += alm.Permits
	}
	next := make([]Allotment, 0, len(teams)*len(voters))
	for _, tea := range teams {
		shares := spread(tea.Limit-sums[tea.Name], len(voters))
		for i, vtr := range voters {
			permits := held[teamMember{tea.Name, vtr}] + shares[i]
			next = append(next, Allotment{Team: tea.Name, Member: vtr, Permits: permits})
		}
	}
	sortAllotments(next)
	return next
}

// spread divides a total, which may be negative, into n parts that differ by
// at most one.
func spread(total, n int) []int {
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

// Settle returns the allotments after some voters left. net gives, for each
// team and remaining voter, the permits that it received from the departed
// less those that it sent to them. What the departed held goes first to the
// remaining voters that run more than their permits allow, as debts says, and
// the rest is spread evenly.
func (cfg *Config) Settle(departed []string, net, debts []Allotment) []Allotment {
	nets, owed := byTeamMember(net), byTeamMember(debts)
	remaining := slices.DeleteFunc(cfg.VoterIDs(), func(id string) bool { return slices.Contains(departed, id) })
	next := make([]Allotment, 0, len(cfg.Tables.Teams)*len(remaining))
	for _, tea := range cfg.Tables.Teams {
		permits := make([]int, len(remaining))
		left := tea.Limit
		for i, id := range remaining {
			permits[i] = cfg.Allotment(tea.Name, id) + nets[teamMember{tea.Name, id}]
			left -= permits[i]
		}
		for i, id := range remaining {
			paid := max(0, min(left, owed[teamMember{tea.Name, id}]))
			permits[i] += paid
			left -= paid
		}
		for i, part := range spread(left, len(remaining)) {
			next = append(next, Allotment{Team: tea.Name, Member: remaining[i], Permits: permits[i] + part})
		}
	}
	sortAllotments(next)
	return next
}

func byTeamMember(alms []Allotment) map[teamMember]int {
	sums := make(map[teamMember]int, len(alms))
	for _, alm := range alms {
		sums[teamMember{alm.Team, alm.Member}] += alm.Permits
	}
	return sums
}

func sortAllotments(alms []Allotment) {
	slices.SortFunc(alms, func(a, b Allotment) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Member, b.Member))
	})
}
