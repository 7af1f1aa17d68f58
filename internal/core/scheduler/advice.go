package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/priority"
)

// Bounds of questions to the advisor.
const (
	// adviceRetry is the time between two questions about a step.
	adviceRetry = 300 * time.Millisecond
	// maxAdvised is how many VMs a question names. The advisor takes time for
	// each; the users count a question about 30 towards a job's objective.
	maxAdvised = 30
	// ticketSlack is how much sooner a ticket counts as expired, for the time that
	// an order is under way.
	ticketSlack = 100 * time.Millisecond
)

// advice is what the advisor said of a stage.
type advice struct {
	// busy says that an answer is awaited; askedAt is when it was last asked.
	busy    bool
	askedAt time.Time
	// tickets holds, by VM, where the step may run; denied holds the VMs where it
	// may not, which doesn't change.
	tickets map[string]ticket
	denied  map[string]bool
}

type ticket struct {
	text  string
	until time.Time
}

// valid returns the ticket for a VM, or nothing if there is none that holds.
func (adv *advice) valid(vm string, now time.Time) string {
	tic, ok := adv.tickets[vm]
	if !ok || !now.Before(tic.until.Add(-ticketSlack)) {
		return ""
	}
	return tic.text
}

// adviceFor returns how a queue's steps are advised on; nil if they aren't.
func (sta *State) adviceFor(queue string) *catalog.Advice {
	if que := sta.catalog.Queue(queue); que != nil {
		return que.Advice
	}
	return nil
}

// adviceTime returns how long the advisor takes for a step of a queue.
func (sta *State) adviceTime(queue string) time.Duration {
	adv := sta.adviceFor(queue)
	if adv == nil {
		return 0
	}
	return adv.Decision + maxAdvised*adv.PerVM
}

// isNext reports whether a stage waits only for tasks that are all running or
// done, so that it is asked about in time.
func (stg *stage) isNext() bool {
	occ := stg.liveJob.occs[stg.occ]
	for _, dep := range stg.step.After {
		if occ.stages[dep].waiting > 0 || occ.stages[dep].blockers > 0 {
			return false
		}
	}
	return true
}

// wantAdvice notes a stage that needs advice on more VMs. The questions are put
// in the order of priority, as far as askers are free.
func (sta *State) wantAdvice(stg *stage, hosts []*host) {
	adv := &stg.advice
	if sta.adviceFor(stg.liveJob.spec.Queue) == nil || adv.busy || sta.now.Sub(adv.askedAt) < adviceRetry {
		return
	}
	reservation := stg.step.Reservation()
	var first, later []string
	for _, hos := range hosts {
		switch {
		case adv.denied[hos.vm.ID] || adv.valid(hos.vm.ID, sta.now) != "":
		case stg.step.Label != "" && !hos.vm.HasLabel(stg.step.Label):
		case reservation.Fits(hos.vm.Capacity.Minus(hos.used)):
			first = append(first, hos.vm.ID)
		default:
			later = append(later, hos.vm.ID)
		}
	}
	vms := append(first, later...)
	if len(vms) == 0 {
		return
	}
	sta.advisorQueue = append(sta.advisorQueue, advisorQuery{
		priorityKey: sta.priorityKey(stg), stage: stg, vms: vms[:min(len(vms), maxAdvised)], early: len(first) == 0 || stg.blockers > 0,
	})
}

// advisorQuery is one that is to be put to the advisor.
type advisorQuery struct {
	priorityKey priority.Key
	stage       *stage
	vms         []string
	// early says that no task of the stage could start yet, for want of room or
	// because other steps come first.
	early bool
}

// boolOrder orders true after false.
func boolOrder(late bool) int {
	if late {
		return 1
	}
	return -1
}

// ask puts as many of the noted questions as there are free askers. Early ones
// leave half of the askers to those that are urgent.
func (sta *State) ask() {
	slices.SortStableFunc(sta.advisorQueue, func(one, oth advisorQuery) int {
		if one.early != oth.early {
			return boolOrder(one.early)
		}
		return priority.Compare(sta.now, one.priorityKey, oth.priorityKey)
	})
	for _, que := range sta.advisorQueue {
		if sta.advisorInFlight >= sta.advisorSlots || que.early && sta.advisorInFlight >= (sta.advisorSlots+1)/2 {
			break
		}
		sta.advisorInFlight++
		adv := &que.stage.advice
		adv.busy, adv.askedAt = true, sta.now
		liv := que.stage.liveJob
		sta.emit(QueryAdvisor{Job: liv.spec.ID, Occurrence: que.stage.occ, Step: que.stage.index, VMs: que.vms, Latency: sta.adviceTime(liv.spec.Queue)})
	}
	sta.advisorQueue = nil
}

// advised takes in the advisor's answer.
func (sta *State) advised(evt AdvisorAnswered) {
	sta.advisorInFlight--
	stg := sta.stageOf(job.Task{Job: evt.Job, Occurrence: evt.Occurrence, Step: evt.Step})
	if stg == nil {
		return
	}
	adv := &stg.advice
	adv.busy = false
	if evt.Tickets == nil {
		return
	}
	if adv.tickets == nil {
		adv.tickets, adv.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, vm := range evt.VMs {
		if text, ok := evt.Tickets[vm]; ok {
			// The ticket is as old as the question at most.
			adv.tickets[vm] = ticket{text: text, until: evt.Sent.Add(evt.Valid)}
		} else {
			adv.denied[vm] = true
		}
	}
}
