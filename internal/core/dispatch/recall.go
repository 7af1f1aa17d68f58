package dispatch

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/share"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Bounds of recalls.
const (
	// recallTimeout is the time a member has to answer a recall before it is
	// repeated. It must not be shorter than the time for which an entry honours
	// a recall.
	recallTimeout = 200 * time.Millisecond
	// maxRecalls bounds the slots recalled in one decision.
	maxRecalls = 32
)

// recall recalls slots for teams that have work waiting and run less relative
// to their weight than others. Entries reuse a slot for their next work without
// a request to the dispatcher, so without a recall the slot would not be
// returned soon. While a slot outside the reserve is free it recalls nothing.
// Slots that are being recalled already count as returned.
func (dsp Dispatcher) recall(now time.Time, rnd *round) (next Dispatcher, rcs []Recall) {
	if rnd.leastLoaded(nil) >= 0 && rnd.unreserved < rnd.unreservedLimit {
		return dsp, nil
	}
	holds := dsp.recallable(now)
	for _, slt := range dsp.activeRecalls(now) {
		for i := range rnd.teams {
			if rnd.teams[i].Name == slt.Team {
				rnd.teams[i].Running -= slt.Count
			}
		}
	}
	rnd.recallForUrgent(holds)
	for range maxRecalls {
		to, from := rnd.mostImbalanced()
		if to < 0 {
			break
		}
		at := slices.IndexFunc(holds, func(hld holding) bool { return hld.team == rnd.teams[from].Name && hld.count > 0 })
		if at < 0 {
			break
		}
		holds[at].count--
		holds[at].recalled++
		rnd.teams[from].Running--
		rnd.teams[to].Running++
		rnd.teams[to].Waiting--
	}
	return dsp.withRecalls(now, holds)
}

// recallForUrgent recalls slots outside the reserve from a team whose own urgent
// work waits, because they may run less urgent work of the team. Reports do not
// tell the urgency of running work.
func (rnd *round) recallForUrgent(holds []holding) {
	for _, lan := range rnd.lanes {
		if lan.urgency != table.UrgencyUrgent {
			continue
		}
		for i := range holds {
			taken := min(lan.waiting, holds[i].count)
			if holds[i].team != lan.team || holds[i].reserve || taken <= 0 {
				continue
			}
			holds[i].count -= taken
			holds[i].recalled += taken
			lan.waiting -= taken
		}
	}
}

// activeRecalls returns the slots that are being recalled and are still in use.
func (dsp Dispatcher) activeRecalls(now time.Time) []message.RecallSlot {
	var slots []message.RecallSlot
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		_, rep, _ := itr.Next()
		if now.Before(rep.recalledUntil) {
			slots = append(slots, rep.recalled...)
		}
	}
	return slots
}

// holding is the slots that a member uses for a team and could return.
type holding struct {
	member  string
	team    string
	reserve bool
	// count is the number of slots that are not being recalled yet.
	count int
	// recalled is the number of slots that the current decision recalls.
	recalled int
}

// recallable returns the slots in use at each member, largest first, less those
// that are already being recalled.
func (dsp Dispatcher) recallable(now time.Time) []holding {
	var holds []holding
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, rep, _ := itr.Next()
		for _, run := range rep.running {
			at := slices.IndexFunc(holds, func(hld holding) bool {
				return hld.member == id && hld.team == run.Team && hld.reserve == run.Reserve
			})
			if at < 0 {
				holds = append(holds, holding{member: id, team: run.Team, reserve: run.Reserve})
				at = len(holds) - 1
			}
			holds[at].count += run.Count
		}
		if now.Before(rep.recalledUntil) {
			for i := range holds {
				holds[i].count -= recalledCount(rep.recalled, id, holds[i])
			}
		}
	}
	slices.SortStableFunc(holds, func(a, b holding) int { return b.count - a.count })
	return holds
}

// pendingRecalls returns the recalls that remain after a member's new report
// shows fewer slots in use.
func pendingRecalls(rep report, running []message.Running) []message.RecallSlot {
	var left []message.RecallSlot
	for _, slt := range rep.recalled {
		slt.Count -= max(0, countHeld(rep.running, slt)-countHeld(running, slt))
		if slt.Count > 0 {
			left = append(left, slt)
		}
	}
	return left
}

func countHeld(running []message.Running, slt message.RecallSlot) int {
	held := 0
	for _, run := range running {
		if run.Team == slt.Team && run.Reserve == slt.Reserve {
			held += run.Count
		}
	}
	return held
}

// mergeRecalls returns the new recalls and those old ones that no new recall
// replaces.
func mergeRecalls(old, next []message.RecallSlot) []message.RecallSlot {
	merged := slices.Clone(next)
	for _, slt := range old {
		same := func(other message.RecallSlot) bool { return other.Team == slt.Team && other.Reserve == slt.Reserve }
		if !slices.ContainsFunc(next, same) {
			merged = append(merged, slt)
		}
	}
	return merged
}

func recalledCount(slots []message.RecallSlot, member string, hld holding) int {
	for _, slt := range slots {
		if hld.member == member && slt.Team == hld.team && slt.Reserve == hld.reserve {
			return slt.Count
		}
	}
	return 0
}

// mostImbalanced returns the team that should receive the next slot and the one
// that should return it, or -1 when moving a slot would not reduce the
// imbalance.
func (rnd *round) mostImbalanced() (to, from int) {
	to = share.Pick(rnd.teamsWaiting(func(laneState) bool { return true }))
	if to < 0 {
		return -1, -1
	}
	from = -1
	for i, tea := range rnd.teams {
		if i == to || tea.Running == 0 {
			continue
		}
		if from < 0 || tea.Running*rnd.teams[from].Weight > rnd.teams[from].Running*tea.Weight {
			from = i
		}
	}
	if from < 0 {
		return -1, -1
	}
	receiver, donor := rnd.teams[to], rnd.teams[from]
	if (receiver.Running+1)*donor.Weight > (donor.Running-1)*receiver.Weight {
		return -1, -1
	}
	return to, from
}

// withRecalls returns the dispatcher after recalling the slots that holds marks
// as recalled, and the recalls for the members. A new recall of a team's slots
// includes those of the team that are already being recalled.
func (dsp Dispatcher) withRecalls(now time.Time, holds []holding) (next Dispatcher, rcs []Recall) {
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, rep, _ := itr.Next()
		var slots []message.RecallSlot
		for _, hld := range holds {
			if hld.member == id && hld.recalled > 0 {
				count := hld.recalled
				if now.Before(rep.recalledUntil) {
					count += recalledCount(rep.recalled, id, hld)
				}
				slots = append(slots, message.RecallSlot{Team: hld.team, Reserve: hld.reserve, Count: count})
			}
		}
		if len(slots) == 0 {
			continue
		}
		rep.recalled = mergeRecalls(rep.recalled, slots)
		rep.recalledUntil = now.Add(recallTimeout)
		dsp.reports = dsp.reports.Set(id, rep)
		rcs = append(rcs, Recall{Member: id, Slots: slots})
	}
	return dsp, rcs
}
