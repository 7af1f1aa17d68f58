package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Limits of the retries of a request.
const (
	// baseRetryBackoff is the shortest wait before the first retry, and half of
	// the longest. Both double with each retry.
	baseRetryBackoff = 20 * time.Millisecond
	// maxRetryBackoff bounds the wait before a retry.
	maxRetryBackoff = time.Second
	// recentAnswerWindow is the time for which an answer counts as recent.
	// answerRecordInterval is the resolution at which the answers of a VM are
	// recorded.
	recentAnswerWindow   = 3 * time.Second
	answerRecordInterval = time.Second
)

func (stp *step) handleRequest(evt event.RequestArrived) {
	rou, ok := stp.st.config.RouteFor(evt.Path)
	if !ok {
		stp.refuseUnrouted(evt.Request)
		return
	}
	team, refusal := stp.authorize(rou, evt.KeyHash)
	if refusal != nil {
		stp.refuse(evt.Request, *refusal)
		return
	}
	if evt.BodyBytes > rou.MaxBodyBytes {
		stp.refuseNotRun(evt.Request, outcome.CodeBodyTooLarge, "The body is larger than the route allows.")
		return
	}
	if stp.isPoolFull(rou.Pool) {
		stp.refuseNotRun(evt.Request, outcome.CodePoolFull, "Too much work waits for the pool.")
		return
	}
	wrk := stp.newWork(rou, team, evt.KeyHash)
	wrk.Repeatable = rou.Repeatable || evt.Idempotent
	wrk.Deadline = stp.now.Add(shorterTimeout(time.Duration(rou.Deadline), evt.Timeout))
	if stp.cannotStartInTime(wrk) {
		stp.refuseNotRun(evt.Request, outcome.CodePoolFull, "At the present rate the work could not start before its deadline.")
		return
	}
	stp.st.requests = stp.st.requests.Set(evt.Request, wrk.ID)
	stp.setRequest(wrk.ID, evt.Request)
	if evt.IdempotencyKey != "" && !wrk.Repeatable {
		stp.reserve(wrk, evt.IdempotencyKey)
		return
	}
	stp.enqueue(wrk)
}

func (stp *step) refuseUnrouted(request uint64) {
	if stp.st.config.Revision == 0 {
		stp.refuseNotRun(request, outcome.CodeNoFreshConfig, "The entry has no configuration yet.")
		return
	}
	stp.refuseNotRun(request, outcome.CodeUnknownRoute, "No route matches.")
}

// authorize returns the team that work on a route counts for, or the refusal.
func (stp *step) authorize(rou table.Route, keyHash string) (team string, refusal *outcome.Refusal) {
	if keyHash == "" && rou.OpenTeam != "" {
		return rou.OpenTeam, nil
	}
	team, ok := key.TeamOf(stp.st.config, keyHash)
	if !ok {
		return "", notRun(outcome.CodeUnauthorized, "The key is missing, unknown or withdrawn.")
	}
	if !rou.Allows(team) {
		return "", notRun(outcome.CodeWrongTeam, "The key's team may not use the route.")
	}
	return team, nil
}

func (stp *step) newWork(rou table.Route, team, keyHash string) work.Work {
	stp.st.lastWorkID++
	return work.Work{
		ID:      stp.st.lastWorkID,
		Kind:    rou.Kind,
		KeyHash: keyHash,
		Team:    team,
		Route:   rou.Name,
		Pool:    rou.Pool,
		Urgency: rou.Urgency,
		Arrived: stp.now,
	}
}

// cannotStartInTime reports whether the work of the same team ahead of a
// request would take until after its deadline, at the rate at which the team's
// work has recently started at this entry. Queueing would only delay the
// refusal.
func (stp *step) cannotStartInTime(wrk work.Work) bool {
	ahead := 0
	for _, cnt := range stp.pool(wrk.Pool).queue.Backlog() {
		if cnt.Lane.Team == wrk.Team && cnt.Lane.Urgency.Rank() <= wrk.Urgency.Rank() {
			ahead += cnt.Waiting
		}
	}
	rate, _ := stp.st.rates.Get(rateKey(wrk))
	wait, known := rate.EstimateWait(stp.now, ahead)
	return known && wait > wrk.Deadline.Sub(stp.now)
}

// rateKey returns the key for the start rate of a team in a pool.
func rateKey(wrk work.Work) slotKey {
	return slotKey{pool: wrk.Pool, team: wrk.Team}
}

// isPoolFull reports whether a pool is unknown or its queue is at its limit.
func (stp *step) isPoolFull(pool string) bool {
	poo, ok := stp.st.config.Pool(pool)
	own := stp.pool(pool)
	return !ok || own.queue.Len() >= poo.MaxWaiting
}

func (stp *step) handleRequestCancelled(evt event.RequestCancelled) {
	id, ok := stp.st.requests.Get(evt.Request)
	if !ok {
		return
	}
	wrk, _ := stp.st.works.Get(id)
	if wrk.Phase == work.PhaseRunning {
		stp.putWork(wrk.WithCancelled())
		stp.emit(effect.AbortAttempt{Work: wrk.ID, Attempt: wrk.Attempt})
		return
	}
	stp.forget(wrk)
}

func (stp *step) handleAttemptEnded(evt event.AttemptEnded) {
	wrk, ok := stp.st.works.Get(evt.Work)
	if !ok || wrk.Phase != work.PhaseRunning || wrk.Attempt != evt.Attempt {
		return
	}
	if evt.UpstreamLeaving {
		stp.markVMLeaving(wrk.VM)
	}
	stp.release(wrk)
	switch {
	case evt.Result == event.AttemptAnswered:
		stp.recordAnswer(wrk.VM)
		stp.emit(effect.RelayResponse{Request: stp.requestOf(wrk.ID), Work: wrk.ID, Attempt: wrk.Attempt})
		stp.forget(wrk)
		stp.reuseSlot(wrk)
	case wrk.Cancelled:
		stp.forget(wrk)
	case evt.Result == event.AttemptNotRun:
		stp.suspect(wrk.VM)
		stp.retryOrRefuse(wrk, outcome.NotRun, evt.Reason)
	default:
		stp.retryOrRefuse(wrk.WithMayHaveRun(), outcome.Unknown, evt.Reason)
	}
}

// refuseWork replies to a request without an upstream's answer. If an attempt
// may have run, the outcome is never NotRun.
func (stp *step) refuseWork(wrk work.Work, ref outcome.Refusal) {
	if wrk.MayHaveRun {
		ref.Outcome, ref.Code = outcome.Unknown, outcome.CodeUpstreamLost
	}
	stp.refuse(stp.requestOf(wrk.ID), ref)
	stp.forget(wrk)
}

// retryOrRefuse schedules a retry if that is safe, a VM and time are left, and
// either the pool's retry budget allows it or the last attempt reached no VM
// and an untried one has answered recently. Otherwise it refuses the request.
// out is the outcome of the last attempt.
func (stp *step) retryOrRefuse(wrk work.Work, out outcome.Outcome, reason string) {
	// A shift of 6 already exceeds maxRetryBackoff.
	backoff := stp.jitter(min(maxRetryBackoff, baseRetryBackoff<<min(wrk.Attempt, 6)))
	at := stp.now.Add(backoff)
	safe := out == outcome.NotRun || wrk.Repeatable
	budgetExempt := out == outcome.NotRun && stp.hasUntriedVM(wrk, stp.answeredRecently)
	inTime := at.Before(wrk.Deadline) && stp.hasUntriedVM(wrk, anyVM)
	if !safe || !inTime || (!budgetExempt && !stp.spendRetryBudget(wrk.Pool)) {
		stp.refuseWork(wrk, *notRun(outcome.CodeUpstreamFailed, reason))
		return
	}
	stp.record("retry", "retry_planned", wrk.VM, reason)
	wrk = wrk.WithRetry(at)
	stp.putWork(wrk)
	stp.st.delayed = stp.st.delayed.Set(timer{at, wrk.ID}, struct{}{})
	stp.st.expiry = stp.st.expiry.Set(timer{wrk.Deadline, wrk.ID}, struct{}{})
}

// hasUntriedVM reports whether the pool has a matching VM that the work has not
// been tried on.
func (stp *step) hasUntriedVM(wrk work.Work, matches func(vmID string) bool) bool {
	for _, one := range stp.st.fleet.Usable(stp.st.config, wrk.Pool) {
		if one.ID != wrk.VM && !wrk.HasTried(one.ID) && matches(one.ID) {
			return true
		}
	}
	return false
}

func anyVM(string) bool { return true }

// answeredRecently reports whether a VM has answered within recentAnswerWindow
// and has not been suspected since. A suspicion counts even after it expired;
// the VM's next answer clears it. Work that reached no VM may go to such a VM
// without the retry budget, because it has cost no VM anything. In an outage of
// the whole pool no VM answers, so the budget applies.
func (stp *step) answeredRecently(vmID string) bool {
	_, suspected := stp.st.suspects.Get(vmID)
	at, answered := stp.st.answeredAt.Get(vmID)
	return answered && !suspected && stp.now.Sub(at) <= recentAnswerWindow
}

// recordAnswer records that a VM answered.
func (stp *step) recordAnswer(vmID string) {
	stp.clearSuspicion(vmID)
	at, ok := stp.st.answeredAt.Get(vmID)
	if !ok || stp.now.Sub(at) >= answerRecordInterval {
		stp.st.answeredAt = stp.st.answeredAt.Set(vmID, stp.now)
	}
}

// spendRetryBudget takes one retry from the pool's budget, and reports whether
// there was one.
func (stp *step) spendRetryBudget(pool string) bool {
	own := stp.pool(pool)
	budget, ok := own.budget.WithRetry()
	if ok {
		own.budget = budget
		stp.putPool(pool, own)
	}
	return ok
}

func (stp *step) refuse(request uint64, ref outcome.Refusal) {
	if ref.Outcome == outcome.NotRun {
		stp.releaseReservation(request)
	}
	stp.emit(effect.Refuse{Request: request, Refusal: ref})
}

func (stp *step) refuseNotRun(request uint64, cod outcome.Code, msg string) {
	stp.refuse(request, *notRun(cod, msg))
}

func notRun(cod outcome.Code, msg string) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.NotRun, Code: cod, Message: msg}
}

// shorterTimeout returns the requested timeout if it is positive and below the
// limit, and otherwise the limit.
func shorterTimeout(limit, requested time.Duration) time.Duration {
	if requested > 0 && requested < limit {
		return requested
	}
	return limit
}
