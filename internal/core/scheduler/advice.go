package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/priority"
)

// Limits of queries to the advisor.
const (
	// queryInterval is the minimum time between two queries about a step.
	queryInterval = 300 * time.Millisecond
	// maxQueryVMs is the maximum number of VMs in a query. The advisor takes
	// time for each of them, and the latency objectives of jobs allow for queries
	// of about 30 VMs.
	maxQueryVMs = 30
	// ticketSlack is how long before its expiry a ticket is no longer used, to
	// cover the transit time of an order.
	ticketSlack = 100 * time.Millisecond
)

// advice holds the advisor's answers about a stage.
type advice struct {
	// inFlight reports whether a query is unanswered; queriedAt is when the last
	// one was sent.
	inFlight  bool
	queriedAt time.Time
	// tickets holds the permissions to run the step, by VM. denied holds the VMs
	// on which the step may not run, which does not change.
	tickets map[string]ticket
	denied  map[string]bool
}

// ticket permits the start of a step's tasks on a VM until a given time.
type ticket struct {
	token string
	until time.Time
}

// ticketFor returns the token of the valid ticket for a VM, or an empty string
// without one.
func (adv *advice) ticketFor(vm string, now time.Time) string {
	tic, ok := adv.tickets[vm]
	if !ok || !now.Before(tic.until.Add(-ticketSlack)) {
		return ""
	}
	return tic.token
}

// NeedsAdvice reports whether a job has needed advice in this tenure, also one whose
// queue has been removed.
func (sta *State) NeedsAdvice() bool { return sta.adviceNeeded }

// advisorLatency returns the time that the advisor takes for the longest query
// about a step of a job; 0 if its steps need no advice.
func (sta *State) advisorLatency(liv *liveJob) time.Duration {
	adv := sta.queueOf(liv).Advice
	if adv == nil {
		return 0
	}
	return adv.BaseLatency + maxQueryVMs*adv.LatencyPerVM
}

// prerequisitesStarted reports whether all tasks that a stage depends on are
// running or done. Its advice is then queried in advance.
func (stg *stage) prerequisitesStarted() bool {
	occ := stg.liveJob.occs[stg.occ]
	for _, dep := range stg.step.After {
		if occ.stages[dep].waiting > 0 || occ.stages[dep].blockers > 0 {
			return false
		}
	}
	return true
}

// enqueueAdvisorQuery queues a query for a stage that needs advice on more VMs,
// those with free capacity for a task first. sendAdvisorQueries sends the queries
// in order of priority.
func (sta *State) enqueueAdvisorQuery(stg *stage, hosts []*host) {
	adv := &stg.advice
	// Without a free slot nothing is sent, so the VMs need not be walked.
	if sta.advisorInFlight >= sta.advisorSlots || !sta.needsAdvice(stg.liveJob) || adv.inFlight || sta.now.Sub(adv.queriedAt) < queryInterval {
		return
	}
	reservation := stg.step.Reservation()
	var withCapacity, withoutCapacity []string
	for _, hos := range hosts {
		switch {
		case adv.denied[hos.vm.ID] || adv.ticketFor(hos.vm.ID, sta.now) != "":
		case stg.step.Label != "" && !hos.vm.HasLabel(stg.step.Label):
		case reservation.Fits(hos.vm.Capacity.Minus(hos.used)):
			withCapacity = append(withCapacity, hos.vm.ID)
		default:
			withoutCapacity = append(withoutCapacity, hos.vm.ID)
		}
	}
	vms := append(withCapacity, withoutCapacity...)
	if len(vms) == 0 {
		return
	}
	sta.advisorQueue = append(sta.advisorQueue, advisorQuery{
		priorityKey: sta.priorityKey(stg), stage: stg, vms: vms[:min(len(vms), maxQueryVMs)], prefetch: len(withCapacity) == 0 || stg.blockers > 0,
	})
}

// advisorQuery is a query that has not been sent.
type advisorQuery struct {
	priorityKey priority.Key
	stage       *stage
	vms         []string
	// prefetch reports whether no task of the stage could start yet, for lack of
	// capacity or because of unfinished dependencies.
	prefetch bool
}

// boolOrder returns the sort order of a boolean relative to its negation: false
// comes before true.
func boolOrder(val bool) int {
	if val {
		return 1
	}
	return -1
}

// sendAdvisorQueries sends as many queued queries as there are free slots.
// Half of the slots are reserved for queries that are not prefetches.
func (sta *State) sendAdvisorQueries() {
	slices.SortStableFunc(sta.advisorQueue, func(one, oth advisorQuery) int {
		if one.prefetch != oth.prefetch {
			return boolOrder(one.prefetch)
		}
		return priority.Compare(sta.now, one.priorityKey, oth.priorityKey)
	})
	for _, qry := range sta.advisorQueue {
		if sta.advisorInFlight >= sta.advisorSlots || qry.prefetch && sta.advisorInFlight >= (sta.advisorSlots+1)/2 {
			break
		}
		sta.advisorInFlight++
		adv := &qry.stage.advice
		adv.inFlight, adv.queriedAt = true, sta.now
		liv := qry.stage.liveJob
		sta.emit(QueryAdvisor{Job: liv.spec.ID, Occurrence: qry.stage.occ, Step: qry.stage.index, VMs: qry.vms, Latency: sta.advisorLatency(liv)})
	}
	sta.advisorQueue = nil
}

// advisorAnswered applies an answer of the advisor.
func (sta *State) advisorAnswered(evt AdvisorAnswered) {
	sta.advisorInFlight--
	stg := sta.stageOf(job.Task{Job: evt.Job, Occurrence: evt.Occurrence, Step: evt.Step})
	if stg == nil {
		return
	}
	adv := &stg.advice
	adv.inFlight = false
	if evt.Tickets == nil {
		return
	}
	if adv.tickets == nil {
		adv.tickets, adv.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, vm := range evt.VMs {
		if token, ok := evt.Tickets[vm]; ok {
			// A ticket's validity is counted from the sending of the query, which is
			// no later than its issue.
			adv.tickets[vm] = ticket{token: token, until: evt.Sent.Add(evt.Valid)}
		} else {
			adv.denied[vm] = true
		}
	}
}
