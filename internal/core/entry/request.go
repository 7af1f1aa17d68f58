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

// Bounds of the retries of a request.
const (
	// retryBase is the wait before the first retry; it doubles with each.
	retryBase = 20 * time.Millisecond
	// retryMax bounds the wait before a retry.
	retryMax = time.Second
	// goodFor is how long after an answer a VM counts as good, and
	// noteAnswerEvery how often an answer is noted.
	goodFor         = 3 * time.Second
	noteAnswerEvery = time.Second
)

func (stp *step) requestArrived(evt event.RequestArrived) {
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
	if stp.isFull(rou.Pool) {
		stp.refuseNotRun(evt.Request, outcome.CodePoolFull, "Too much work waits for the pool.")
		return
	}
	wrk := stp.newWork(rou, team, evt.KeyHash)
	wrk.Repeatable = rou.Repeatable || evt.Idempotent
	wrk.Deadline = stp.now.Add(shorter(time.Duration(rou.Deadline), evt.Timeout))
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

// authorize returns the team that work on a route counts for, or why it is
// refused.
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
	stp.st.nextWork++
	return work.Work{
		ID:      stp.st.nextWork,
		Kind:    rou.Kind,
		KeyHash: keyHash,
		Team:    team,
		Route:   rou.Name,
		Pool:    rou.Pool,
		Urgency: rou.Urgency,
		Arrived: stp.now,
	}
}

// cannotStartInTime reports whether the work of its team that is ahead of a
// request takes longer than the request's deadline, at the rate at which the
// team's work has started here of late. Waiting would only make its caller's
// refusal late.
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

// rateKey is what the rate of a team's starts in a pool is kept under.
func rateKey(wrk work.Work) slotKey {
	return slotKey{pool: wrk.Pool, team: wrk.Team}
}

func (stp *step) isFull(pool string) bool {
	poo, ok := stp.st.config.Pool(pool)
	own := stp.pool(pool)
	return !ok || own.queue.Len() >= poo.MaxWaiting
}

func (stp *step) requestCancelled(evt event.RequestCancelled) {
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

func (stp *step) attemptEnded(evt event.AttemptEnded) {
	wrk, ok := stp.st.works.Get(evt.Work)
	if !ok || wrk.Phase != work.PhaseRunning || wrk.Attempt != evt.Attempt {
		return
	}
	if evt.UpstreamLeaving {
		stp.seeLeaving(wrk.VM)
	}
	stp.release(wrk)
	switch {
	case evt.Result == event.AttemptAnswered:
		stp.noteAnswer(wrk.VM)
		stp.emit(effect.RelayResponse{Request: stp.requestOf(wrk.ID), Work: wrk.ID, Attempt: wrk.Attempt})
		stp.forget(wrk)
		stp.reuseSlot(wrk)
	case wrk.Cancelled:
		stp.forget(wrk)
	case evt.Result == event.AttemptNotRun:
		stp.suspect(wrk.VM)
		stp.retryOr(wrk, outcome.NotRun, evt.Reason)
	default:
		stp.retryOr(wrk.WithMayHaveRun(), outcome.Unknown, evt.Reason)
	}
}

// refuseWork tells the caller of a request that it has no answer. A request of
// which some attempt may have run is never said not to have run.
func (stp *step) refuseWork(wrk work.Work, ref outcome.Refusal) {
	if wrk.MayHaveRun {
		ref.Outcome, ref.Code = outcome.Unknown, outcome.CodeUpstreamLost
	}
	stp.refuse(stp.requestOf(wrk.ID), ref)
	stp.forget(wrk)
}

// retryOr tries work again if that can do no harm, there is time and a VM left,
// and either the pool's retry budget allows it or no VM has been bothered yet.
// Otherwise it tells the caller. The outcome is that of the last attempt.
func (stp *step) retryOr(wrk work.Work, out outcome.Outcome, reason string) {
	backoff := stp.jitter(min(retryMax, retryBase<<min(wrk.Attempt, 6)))
	at := stp.now.Add(backoff)
	harmless := out == outcome.NotRun || wrk.Repeatable
	free := out == outcome.NotRun && stp.hasVMLeft(wrk, stp.isGood)
	inTime := at.Before(wrk.Deadline) && stp.hasVMLeft(wrk, isAny)
	if !harmless || !inTime || (!free && !stp.spendRetry(wrk.Pool)) {
		stp.refuseWork(wrk, *notRun(outcome.CodeUpstreamFailed, reason))
		return
	}
	stp.record("retry", "retry_planned", wrk.VM, reason)
	wrk = wrk.WithRetry(at)
	stp.putWork(wrk)
	stp.st.delayed = stp.st.delayed.Set(timer{at, wrk.ID}, struct{}{})
	stp.st.expiry = stp.st.expiry.Set(timer{wrk.Deadline, wrk.ID}, struct{}{})
}

// hasVMLeft reports whether the pool has a VM that the work has not been tried
// on and of which a condition holds.
func (stp *step) hasVMLeft(wrk work.Work, holds func(vmID string) bool) bool {
	for _, one := range stp.st.fleet.Usable(stp.st.config, wrk.Pool) {
		if one.ID != wrk.VM && !wrk.HasTried(one.ID) && holds(one.ID) {
			return true
		}
	}
	return false
}

func isAny(string) bool { return true }

// isGood reports whether a VM answered a moment ago. Work that reached no VM may
// go to a good one without the retry budget: it has cost no VM anything. In an
// outage of the whole pool no VM answers, and the budget binds.
func (stp *step) isGood(vmID string) bool {
	_, suspected := stp.st.suspects.Get(vmID)
	at, answered := stp.st.answeredAt.Get(vmID)
	return answered && !suspected && stp.now.Sub(at) <= goodFor
}

// noteAnswer remembers that a VM answered.
func (stp *step) noteAnswer(vmID string) {
	stp.clearSuspicion(vmID)
	at, ok := stp.st.answeredAt.Get(vmID)
	if !ok || stp.now.Sub(at) >= noteAnswerEvery {
		stp.st.answeredAt = stp.st.answeredAt.Set(vmID, stp.now)
	}
}

func (stp *step) spendRetry(pool string) bool {
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

// shorter returns the shorter of a span and a wish, which counts if positive.
func shorter(span, wish time.Duration) time.Duration {
	if wish > 0 && wish < span {
		return wish
	}
	return span
}
