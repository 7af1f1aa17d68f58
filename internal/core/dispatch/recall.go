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
	// recallEvery is how long a member has to answer a recall before it is
	// asked again. It is no shorter than the entry honours the recall.
	recallEvery = 200 * time.Millisecond
	// maxRecalls bounds the slots recalled in one decision.
	maxRecalls = 32
)

// recall asks for slots back for the teams that have work waiting and run less
// for their weight than others do. Entries use a slot for their next work
// without asking, so that without a recall it would not come back soon.
func (dsp Dispatcher) recall(now time.Time, rnd *round) (next Dispatcher, rcs []Recall) {
	if rnd.freest(nil) >= 0 && rnd.plain < rnd.plainLimit {
		return dsp, nil
	}
	holds := dsp.recallable(now)
	for _, slt := range dsp.underRecall(now) {
		for i := range rnd.teams {
			if rnd.teams[i].Name == slt.Team {
				rnd.teams[i].Running -= slt.Count
			}
		}
	}
	rnd.recallForUrgent(holds)
	for range maxRecalls {
		to, from := rnd.mostUnfair()
		if to < 0 {
			break
		}
		at := slices.IndexFunc(holds, func(hld hold) bool { return hld.team == rnd.teams[from].Name && hld.count > 0 })
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

// recallForUrgent asks each team for slots of its own less urgent work when its
// urgent work waits.
func (rnd *round) recallForUrgent(holds []hold) {
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

// underRecall lists the slots that members were asked for and still hold.
func (dsp Dispatcher) underRecall(now time.Time) []message.RecallSlot {
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

// hold is what a member holds for a team and could give back.
type hold struct {
	member   string
	team     string
	reserve  bool
	count    int
	recalled int
}

// recallable lists what the members hold, those with the most first, less what
// they have been asked for.
func (dsp Dispatcher) recallable(now time.Time) []hold {
	var holds []hold
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, rep, _ := itr.Next()
		for _, run := range rep.running {
			at := slices.IndexFunc(holds, func(hld hold) bool {
				return hld.member == id && hld.team == run.Team && hld.reserve == run.Reserve
			})
			if at < 0 {
				holds = append(holds, hold{member: id, team: run.Team, reserve: run.Reserve})
				at = len(holds) - 1
			}
			holds[at].count += run.Count
		}
		if now.Before(rep.recalledUntil) {
			for i := range holds {
				holds[i].count -= asked(rep.recalled, id, holds[i])
			}
		}
	}
	slices.SortStableFunc(holds, func(a, b hold) int { return b.count - a.count })
	return holds
}

// unanswered returns what is left of a member's recalls once its new report
// shows fewer slots held.
func unanswered(rep report, running []message.Running) []message.RecallSlot {
	var left []message.RecallSlot
	for _, slt := range rep.recalled {
		slt.Count -= max(0, heldFor(rep.running, slt)-heldFor(running, slt))
		if slt.Count > 0 {
			left = append(left, slt)
		}
	}
	return left
}

func heldFor(running []message.Running, slt message.RecallSlot) int {
	held := 0
	for _, run := range running {
		if run.Team == slt.Team && run.Reserve == slt.Reserve {
			held += run.Count
		}
	}
	return held
}

// merge returns the old recalls with the new ones in place of those for the
// same work.
func merge(old, next []message.RecallSlot) []message.RecallSlot {
	merged := slices.Clone(next)
	for _, slt := range old {
		same := func(other message.RecallSlot) bool { return other.Team == slt.Team && other.Reserve == slt.Reserve }
		if !slices.ContainsFunc(next, same) {
			merged = append(merged, slt)
		}
	}
	return merged
}

func asked(slots []message.RecallSlot, member string, hld hold) int {
	for _, slt := range slots {
		if hld.member == member && slt.Team == hld.team && slt.Reserve == hld.reserve {
			return slt.Count
		}
	}
	return 0
}

// mostUnfair returns the team that a slot should go to next and the one that
// should give it, or -1 when moving a slot would not bring them nearer.
func (rnd *round) mostUnfair() (to, from int) {
	to = share.Pick(rnd.withWaiting(func(laneState) bool { return true }))
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
	taker, giver := rnd.teams[to], rnd.teams[from]
	if (taker.Running+1)*giver.Weight > (giver.Running-1)*taker.Weight {
		return -1, -1
	}
	return to, from
}

func (dsp Dispatcher) withRecalls(now time.Time, holds []hold) (next Dispatcher, rcs []Recall) {
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, rep, _ := itr.Next()
		var slots []message.RecallSlot
		for _, hld := range holds {
			if hld.member == id && hld.recalled > 0 {
				count := hld.recalled
				if now.Before(rep.recalledUntil) {
					count += asked(rep.recalled, id, hld)
				}
				slots = append(slots, message.RecallSlot{Team: hld.team, Reserve: hld.reserve, Count: count})
			}
		}
		if len(slots) == 0 {
			continue
		}
		rep.recalled = merge(rep.recalled, slots)
		rep.recalledUntil = now.Add(recallEvery)
		dsp.reports = dsp.reports.Set(id, rep)
		rcs = append(rcs, Recall{Member: id, Slots: slots})
	}
	return dsp, rcs
}
