package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/share"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// round is the working state of one Decide.
type round struct {
	// lanes is ordered by team, urgency and age.
	lanes []laneState
	teams []share.Team
	slots []slotState
	// total is the number of slots of the usable VMs.
	total int
	// plain counts the slots in use that are not of the reserve for urgent
	// work; plainLimit is how many there are.
	plain      int
	plainLimit int
	weights    int
}

type laneState struct {
	member  string
	team    string
	urgency table.Urgency
	waiting int
	oldest  time.Time
	retry   bool
	// avoid lists the VMs that the work was tried on.
	avoid []string
}

type slotState struct {
	vm   string
	size int
	used int
}

func newRound(dsp Dispatcher, rul Input) *round {
	rnd := &round{}
	for _, one := range dsp.trusted(rul.Usable) {
		rnd.slots = append(rnd.slots, slotState{vm: one.ID, size: one.Slots})
		rnd.total += one.Slots
	}
	rnd.plainLimit = rnd.total - rnd.total*rul.Pool.UrgentReserve/100
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, rep, _ := itr.Next()
		rnd.addRunning(rul.Config, rep)
		rnd.addLanes(rul.Config, id, rep)
	}
	slices.SortStableFunc(rnd.lanes, func(a, b laneState) int {
		return cmp.Or(
			cmp.Compare(a.team, b.team),
			cmp.Compare(a.urgency.Rank(), b.urgency.Rank()),
			a.oldest.Compare(b.oldest),
			cmp.Compare(a.member, b.member),
		)
	})
	for _, tea := range rnd.teams {
		if tea.Waiting > 0 || tea.Running > 0 {
			rnd.weights += tea.Weight
		}
	}
	return rnd
}

// trusted returns the VMs that no member suspects, or all of them when none is
// left: a suspicion that fits every VM says more about the member.
func (dsp Dispatcher) trusted(usable []vm.VM) []vm.VM {
	var suspects []string
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		_, rep, _ := itr.Next()
		suspects = append(suspects, rep.suspects...)
	}
	if len(suspects) == 0 {
		return usable
	}
	trusted := slices.DeleteFunc(slices.Clone(usable), func(one vm.VM) bool {
		return slices.Contains(suspects, one.ID)
	})
	if len(trusted) == 0 {
		return usable
	}
	return trusted
}

func (rnd *round) addRunning(cfg *table.Config, rep report) {
	for _, run := range rep.running {
		rnd.occupy(cfg, run.VM, run.Team, run.Reserve, run.Count)
	}
	for _, grt := range rep.outstanding {
		rnd.occupy(cfg, grt.VM, grt.Team, grt.Reserve, 1)
	}
}

func (rnd *round) occupy(cfg *table.Config, vmID, team string, reserve bool, count int) {
	rnd.team(cfg, team).Running += count
	if !reserve {
		rnd.plain += count
	}
	for i := range rnd.slots {
		if rnd.slots[i].vm == vmID {
			rnd.slots[i].used += count
		}
	}
}

func (rnd *round) addLanes(cfg *table.Config, member string, rep report) {
	for _, lan := range rep.lanes {
		waiting := lan.Waiting
		for _, grt := range rep.outstanding {
			if grt.Team == lan.Team && grt.Urgency == lan.Urgency && grt.Retry == lan.Retry {
				waiting--
			}
		}
		if waiting <= 0 {
			continue
		}
		rnd.lanes = append(rnd.lanes, laneState{
			member: member, team: lan.Team, urgency: lan.Urgency, waiting: waiting,
			retry: lan.Retry, avoid: lan.Avoid,
			oldest: rep.at.Add(-time.Duration(lan.AgeMillis) * time.Millisecond),
		})
		rnd.team(cfg, lan.Team).Waiting += waiting
	}
}

// team returns the state of a team, adding it if need be. The pointer holds
// until the next call.
func (rnd *round) team(cfg *table.Config, name string) *share.Team {
	for i := range rnd.teams {
		if rnd.teams[i].Name == name {
			return &rnd.teams[i]
		}
	}
	weight := 1
	if tea, ok := cfg.Team(name); ok {
		weight = tea.Share
	}
	rnd.teams = append(rnd.teams, share.Team{Name: name, Weight: weight})
	return &rnd.teams[len(rnd.teams)-1]
}

// grantOne gives one slot away. Work that was tried on every VM with a free slot
// sits this round out.
func (rnd *round) grantOne() (dec Decision, ok bool) {
	for {
		at := rnd.pickLane()
		if at < 0 {
			return Decision{}, false
		}
		slot := rnd.freest(rnd.lanes[at].avoid)
		if slot >= 0 {
			return rnd.give(at, slot), true
		}
		if len(rnd.lanes[at].avoid) == 0 {
			return Decision{}, false
		}
		rnd.sitOut(at)
	}
}

func (rnd *round) give(at, slot int) Decision {
	lan := &rnd.lanes[at]
	lan.waiting--
	rnd.slots[slot].used++
	reserve := rnd.plain >= rnd.plainLimit
	if !reserve {
		rnd.plain++
	}
	rnd.take(lan.team, 1, 1)
	grt := message.Grant{VM: rnd.slots[slot].vm, Team: lan.team, Urgency: lan.urgency, Retry: lan.retry, Reserve: reserve}
	return Decision{Member: lan.member, Grant: grt}
}

func (rnd *round) sitOut(at int) {
	rnd.take(rnd.lanes[at].team, 0, rnd.lanes[at].waiting)
	rnd.lanes[at].waiting = 0
}

// take moves work of a team from waiting to running.
func (rnd *round) take(team string, running, waiting int) {
	for i := range rnd.teams {
		if rnd.teams[i].Name == team {
			rnd.teams[i].Running += running
			rnd.teams[i].Waiting -= waiting
		}
	}
}

// freest returns the VM with the largest part of its slots free, other than
// those to avoid, or -1.
func (rnd *round) freest(avoid []string) int {
	best := -1
	for i, slt := range rnd.slots {
		if slt.used >= slt.size || slices.Contains(avoid, slt.vm) {
			continue
		}
		if best < 0 || slt.used*rnd.slots[best].size < rnd.slots[best].used*slt.size {
			best = i
		}
	}
	return best
}

func (rnd *round) pickLane() int {
	if at := rnd.pickLaneAmong(rnd.urgentWithinShare()); at >= 0 {
		return at
	}
	return rnd.pickLaneAmong(rnd.startable())
}

func (rnd *round) pickLaneAmong(teams []share.Team) int {
	picked := share.Pick(teams)
	if picked < 0 {
		return -1
	}
	for i, lan := range rnd.lanes {
		if lan.team == teams[picked].Name && lan.waiting > 0 && rnd.mayStart(lan) {
			return i
		}
	}
	return -1
}

// urgentWithinShare returns the teams with their urgent work as what waits,
// less those that hold their share of the pool already.
func (rnd *round) urgentWithinShare() []share.Team {
	teams := rnd.withWaiting(func(lan laneState) bool { return lan.urgency == table.UrgencyUrgent })
	for i, tea := range teams {
		if tea.Running*rnd.weights >= rnd.total*tea.Weight {
			teams[i].Waiting = 0
		}
	}
	return teams
}

// startable returns the teams with all the work that the reserve for urgent
// work leaves room for.
func (rnd *round) startable() []share.Team {
	return rnd.withWaiting(rnd.mayStart)
}

func (rnd *round) withWaiting(counts func(laneState) bool) []share.Team {
	teams := slices.Clone(rnd.teams)
	for i := range teams {
		teams[i].Waiting = 0
		for _, lan := range rnd.lanes {
			if lan.team == teams[i].Name && counts(lan) {
				teams[i].Waiting += lan.waiting
			}
		}
	}
	return teams
}

func (rnd *round) mayStart(lan laneState) bool {
	return lan.urgency == table.UrgencyUrgent || rnd.plain < rnd.plainLimit
}
