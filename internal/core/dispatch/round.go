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

// round is the working state of one call of Decide.
type round struct {
	// lanes is ordered by team, urgency and age.
	lanes []laneState
	teams []share.Team
	slots []slotState
	// totalSlots is the number of slots of the usable VMs.
	totalSlots int
	// unreserved counts the slots in use outside the reserve for urgent work;
	// unreservedLimit is the number of slots outside it.
	unreserved      int
	unreservedLimit int
	totalWeight     int
}

// laneState is the work of one lane at one member that has no grant yet.
type laneState struct {
	member  string
	team    string
	urgency table.Urgency
	waiting int
	oldest  time.Time
	retry   bool
	// avoid lists the VMs of earlier attempts.
	avoid []string
}

// slotState counts the slots of one VM.
type slotState struct {
	vm   string
	size int
	used int
}

func newRound(dsp Dispatcher, inp Input) *round {
	rnd := &round{}
	for _, one := range dsp.unsuspected(inp.Usable) {
		rnd.slots = append(rnd.slots, slotState{vm: one.ID, size: one.Slots})
		rnd.totalSlots += one.Slots
	}
	rnd.unreservedLimit = rnd.totalSlots - rnd.totalSlots*inp.Pool.UrgentReserve/100
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, rep, _ := itr.Next()
		rnd.addRunning(inp.Config, rep)
		rnd.addLanes(inp.Config, id, rep)
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
			rnd.totalWeight += tea.Weight
		}
	}
	return rnd
}

// unsuspected returns the VMs that no member suspects. When members suspect
// every VM it returns all of them, because the fault is then more likely at the
// members.
func (dsp Dispatcher) unsuspected(usable []vm.VM) []vm.VM {
	var suspects []string
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		_, rep, _ := itr.Next()
		suspects = append(suspects, rep.suspects...)
	}
	if len(suspects) == 0 {
		return usable
	}
	unsuspected := slices.DeleteFunc(slices.Clone(usable), func(one vm.VM) bool {
		return slices.Contains(suspects, one.ID)
	})
	if len(unsuspected) == 0 {
		return usable
	}
	return unsuspected
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
		rnd.unreserved += count
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

// team returns the state of a team, adding it if necessary. The pointer is
// valid until the next call.
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

// grantOne grants one slot. It skips work for which every VM with a free slot
// was already tried.
func (rnd *round) grantOne() (dec Decision, ok bool) {
	for {
		at := rnd.pickLane()
		if at < 0 {
			return Decision{}, false
		}
		slot := rnd.leastLoaded(rnd.lanes[at].avoid)
		if slot >= 0 {
			return rnd.grantSlot(at, slot), true
		}
		if len(rnd.lanes[at].avoid) == 0 {
			return Decision{}, false
		}
		rnd.skipLane(at)
	}
}

func (rnd *round) grantSlot(at, slot int) Decision {
	lan := &rnd.lanes[at]
	lan.waiting--
	rnd.slots[slot].used++
	reserve := rnd.unreserved >= rnd.unreservedLimit
	if !reserve {
		rnd.unreserved++
	}
	rnd.updateTeam(lan.team, 1, 1)
	grt := message.Grant{VM: rnd.slots[slot].vm, Team: lan.team, Urgency: lan.urgency, Retry: lan.retry, Reserve: reserve}
	return Decision{Member: lan.member, Grant: grt}
}

func (rnd *round) skipLane(at int) {
	rnd.updateTeam(rnd.lanes[at].team, 0, rnd.lanes[at].waiting)
	rnd.lanes[at].waiting = 0
}

// updateTeam adds to the team's running work and subtracts from its waiting
// work.
func (rnd *round) updateTeam(team string, running, waiting int) {
	for i := range rnd.teams {
		if rnd.teams[i].Name == team {
			rnd.teams[i].Running += running
			rnd.teams[i].Waiting -= waiting
		}
	}
}

// leastLoaded returns the index of the VM with the largest fraction of its
// slots free, excluding those to avoid, or -1.
func (rnd *round) leastLoaded(avoid []string) int {
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

// urgentWithinShare returns the teams with only their urgent work as waiting,
// and none for teams that already use their share of the pool.
func (rnd *round) urgentWithinShare() []share.Team {
	teams := rnd.teamsWaiting(func(lan laneState) bool { return lan.urgency == table.UrgencyUrgent })
	for i, tea := range teams {
		if tea.Running*rnd.totalWeight >= rnd.totalSlots*tea.Weight {
			teams[i].Waiting = 0
		}
	}
	return teams
}

// startable returns the teams with the waiting work that may start without
// using the reserve for anything but urgent work.
func (rnd *round) startable() []share.Team {
	return rnd.teamsWaiting(rnd.mayStart)
}

// teamsWaiting returns the teams with only the work of matching lanes as
// waiting.
func (rnd *round) teamsWaiting(matches func(laneState) bool) []share.Team {
	teams := slices.Clone(rnd.teams)
	for i := range teams {
		teams[i].Waiting = 0
		for _, lan := range rnd.lanes {
			if lan.team == teams[i].Name && matches(lan) {
				teams[i].Waiting += lan.waiting
			}
		}
	}
	return teams
}

// mayStart reports whether work of a lane may use one more slot. Once the slots
// outside the reserve are in use, only urgent work may.
func (rnd *round) mayStart(lan laneState) bool {
	return lan.urgency == table.UrgencyUrgent || rnd.unreserved < rnd.unreservedLimit
}
