package permit

import (
	"cmp"
	"slices"

	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/benbjohnson/immutable"
)

// Ledger records the permits that one entry sent and received. It is immutable.
type Ledger struct {
	// self is the ID of the entry.
	self string
	// accounts maps a team to its counters.
	accounts *immutable.Map[string, account]
	// frozen is sorted and lists the members with which transfers have ended.
	frozen []string
}

// account holds the counters of one team, sorted by member.
type account []counter

// counter counts the permits of one team exchanged with one member.
type counter struct {
	member string
	// sent and received are cumulative and never decrease.
	sent     int64
	received int64
}

// NewLedger returns the ledger of an entry without transfers.
func NewLedger(self string) Ledger {
	return Ledger{self: self, accounts: immutable.NewMap[string, account](nil)}
}

// Permits returns how many pieces of a team's work the entry may run. It is
// negative while the entry is in debt, and zero for an entry that is not a
// voter: only permits of members listed in the configuration can be reclaimed.
func (led Ledger) Permits(cfg *table.Config, team string) int {
	if _, votes := cfg.Voter(led.self); !votes {
		return 0
	}
	permits := int64(cfg.Allotment(team, led.self))
	acc, _ := led.accounts.Get(team)
	for _, ctr := range acc {
		permits += ctr.received - ctr.sent
	}
	return int(permits)
}

// IsFrozen reports whether transfers with a member have ended.
func (led Ledger) IsFrozen(member string) bool {
	_, found := slices.BinarySearch(led.frozen, member)
	return found
}

// WithSent returns the ledger after sending permits to a member, and the
// cumulative count to report to it. The caller must check that the entry has
// enough permits.
func (led Ledger) WithSent(team, to string, permits int) (next Ledger, total int64) {
	ctr := led.counter(team, to)
	if led.IsFrozen(to) {
		return led, ctr.sent
	}
	ctr.sent += int64(permits)
	return led.withCounter(team, ctr), ctr.sent
}

// WithReceived returns the ledger after receiving a member's cumulative count.
// A count that is not higher than an earlier one, or that comes from a frozen
// member, changes nothing.
func (led Ledger) WithReceived(team, from string, total int64) Ledger {
	ctr := led.counter(team, from)
	if led.IsFrozen(from) || total <= ctr.received {
		return led
	}
	ctr.received = total
	return led.withCounter(team, ctr)
}

// WithFrozen returns the ledger after ending transfers with members that are
// about to be removed.
func (led Ledger) WithFrozen(members []string) Ledger {
	if len(members) == 0 {
		return led
	}
	frozen := append(slices.Clone(led.frozen), members...)
	slices.Sort(frozen)
	led.frozen = slices.Compact(frozen)
	return led
}

// WithVoters returns the ledger without the counters of members that are not
// voters in a new configuration: their transfers were settled into its
// allotments. They stay frozen, so that a late message from them changes
// nothing.
func (led Ledger) WithVoters(cfg *table.Config) Ledger {
	var gone []string
	itr := led.accounts.Iterator()
	for !itr.Done() {
		team, acc, _ := itr.Next()
		kept := make(account, 0, len(acc))
		for _, ctr := range acc {
			if _, votes := cfg.Voter(ctr.member); votes {
				kept = append(kept, ctr)
			} else {
				gone = append(gone, ctr.member)
			}
		}
		if len(kept) < len(acc) {
			led.accounts = led.accounts.Set(team, kept)
		}
	}
	return led.WithFrozen(gone)
}

// Net returns, for each team, the permits received from the given members less
// those sent to them. The result is final once the members are frozen.
func (led Ledger) Net(members []string) []table.TeamPermits {
	var nets []table.TeamPermits
	itr := led.accounts.Iterator()
	for !itr.Done() {
		team, acc, _ := itr.Next()
		net := int64(0)
		for _, ctr := range acc {
			if slices.Contains(members, ctr.member) {
				net += ctr.received - ctr.sent
			}
		}
		if net != 0 {
			nets = append(nets, table.TeamPermits{Team: team, Permits: int(net)})
		}
	}
	slices.SortFunc(nets, func(a, b table.TeamPermits) int { return cmp.Compare(a.Team, b.Team) })
	return nets
}

// A Total is the cumulative count of permits sent to a member.
type Total struct {
	Team  string
	Count int64
}

// SentTo returns every cumulative count for a member, sorted by team. Sending
// all of them makes up for lost messages.
func (led Ledger) SentTo(member string) []Total {
	var totals []Total
	itr := led.accounts.Iterator()
	for !itr.Done() {
		team, _, _ := itr.Next()
		if ctr := led.counter(team, member); ctr.sent > 0 {
			totals = append(totals, Total{Team: team, Count: ctr.sent})
		}
	}
	slices.SortFunc(totals, func(a, b Total) int { return cmp.Compare(a.Team, b.Team) })
	return totals
}

// Sent returns the cumulative count of a team's permits sent to a member.
func (led Ledger) Sent(team, to string) int64 { return led.counter(team, to).sent }

// Received returns the cumulative count of a team's permits received from a
// member.
func (led Ledger) Received(team, from string) int64 { return led.counter(team, from).received }

func (led Ledger) counter(team, member string) counter {
	acc, _ := led.accounts.Get(team)
	at, found := acc.find(member)
	if !found {
		return counter{member: member}
	}
	return acc[at]
}

func (led Ledger) withCounter(team string, ctr counter) Ledger {
	acc, _ := led.accounts.Get(team)
	at, found := acc.find(ctr.member)
	acc = slices.Clone(acc)
	if found {
		acc[at] = ctr
	} else {
		acc = slices.Insert(acc, at, ctr)
	}
	led.accounts = led.accounts.Set(team, acc)
	return led
}

func (acc account) find(member string) (at int, found bool) {
	return slices.BinarySearchFunc(acc, member, func(ctr counter, id string) int {
		return cmp.Compare(ctr.member, id)
	})
}
