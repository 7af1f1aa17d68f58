package hedge

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/transport"
)

// maxTries is how often a call is sent at most.
const maxTries = 4

// Call is a call that is idempotent: it may be sent more than once, and one try may be
// carried out after another.
type Call[T any] struct {
	// Kind and Callee select the latencies and budgets that apply.
	Kind, Callee string
	// Subject names what the call is about, for logs.
	Subject string
	// Wait is how long the callee may hold back the answer to the first try.
	Wait time.Duration
	// Timeout bounds all tries together. It exceeds Wait.
	Timeout time.Duration
	// Send makes a try, which is numbered from 0.
	Send func(ctx context.Context, try int) (ans T, err error)
	// Decides reports whether an answer is definite. It may be so despite an error.
	Decides func(ans T) bool
	// Agrees reports whether two definite answers are the same; nil if they need not be.
	Agrees func(one, oth T) bool
	// Settled is called if the outcome was Unanswered and all tries have been answered since
	// with the same, or weren't sent; nil if that needn't be known.
	Settled func()
}

// Outcome is how a call ended.
type Outcome[T any] struct {
	Answer T
	Err    error
	// Unanswered reports whether a try may still be carried out that has no answer, so
	// that the answer holds only for the others.
	Unanswered bool
}

// Report describes a call that was repeated.
type Report struct {
	Kind, Callee, Subject string
	// Ages holds how long ago each try was sent as the call ended.
	Ages []time.Duration
	// Won is the number of the try whose answer decided; -1 if none did.
	Won int
	// Deadline is the time after which the first try was repeated.
	Deadline time.Duration
	// Disagreeing is the number of a try whose answer came later and differs; -1 if
	// there is none.
	Disagreeing int
	// Err is why the last try failed.
	Err error
}

// answer is what a try returned.
type answer[T any] struct {
	try int
	ans T
	err error
	// took is the time from when the try had a connection.
	took time.Duration
}

// exchange is a call in progress.
type exchange[T any] struct {
	call    Call[T]
	car     *Caller
	callee  *callee
	metrics *kindMetrics
	answers chan answer[T]
	// sent holds when each try was sent.
	sent []time.Time
	// open is the number of tries that have not returned, and failed the number of those
	// that returned without an answer although they may have been sent.
	open, failed int
	deadline     time.Duration
	// last is the last answer that was not definite, and lastErr the last error.
	last    T
	lastErr error
}

// Do makes a call.
func Do[T any](ctx context.Context, car *Caller, call Call[T]) (out Outcome[T]) {
	ctx, giveUp := context.WithCancelCause(ctx)
	exc := &exchange[T]{call: call, car: car, answers: make(chan answer[T], maxTries)}
	exc.callee, exc.metrics, exc.deadline = car.begin(call.Kind, call.Callee)
	exc.send(ctx)
	due := time.NewTimer(min(call.Wait+exc.deadline, call.Timeout))
	defer due.Stop()
	for exc.open > 0 {
		select {
		case ans := <-exc.answers:
			if exc.decides(ans) {
				if ans.try > 0 && ans.took <= exc.deadline {
					exc.car.lost(exc.callee, len(exc.sent)-1)
				}
				exc.report(ans.try, -1)
				unanswered := exc.open > 0 || exc.failed > 0
				if exc.open > 0 {
					go exc.drain(ans, giveUp)
				} else {
					giveUp(nil)
				}
				return Outcome[T]{Answer: ans.ans, Err: ans.err, Unanswered: unanswered}
			}
			if exc.open == 0 && !isNotSent(ans.err) {
				exc.repeat(ctx)
			}
		case <-due.C:
			left := call.Timeout - car.now().Sub(exc.sent[0])
			if left <= 0 {
				giveUp(context.DeadlineExceeded)
				continue
			}
			// A call without a budget tries again: repeats that are answered refill it.
			exc.repeat(ctx)
			due.Reset(min(exc.deadline<<(len(exc.sent)-1), left))
		}
	}
	if errors.Is(exc.lastErr, context.Canceled) && context.Cause(ctx) == context.DeadlineExceeded {
		exc.lastErr = fmt.Errorf("%w: %w", context.DeadlineExceeded, exc.lastErr)
	}
	giveUp(nil)
	exc.report(-1, -1)
	return Outcome[T]{Answer: exc.last, Err: exc.lastErr, Unanswered: exc.failed > 0}
}

// send starts a try.
func (exc *exchange[T]) send(ctx context.Context) {
	try, sent := len(exc.sent), exc.car.now()
	exc.sent = append(exc.sent, sent)
	exc.open++
	// The time until there is a connection is not the callee's.
	var connected atomic.Pointer[time.Time]
	ctx, cancel := context.WithCancel(transport.WithConnected(ctx, func() {
		now := exc.car.now()
		connected.Store(&now)
	}))
	stop := context.AfterFunc(exc.callee.known, func() {
		if connected.Load() == nil {
			cancel()
		}
	})
	go func() {
		defer cancel()
		defer stop()
		ans, err := exc.call.Send(ctx, try)
		if at := connected.Load(); at != nil {
			sent = *at
		}
		exc.answers <- answer[T]{try: try, ans: ans, err: err, took: exc.car.now().Sub(sent)}
	}()
}

// repeat sends the call again if that is allowed.
func (exc *exchange[T]) repeat(ctx context.Context) {
	if len(exc.sent) < maxTries && ctx.Err() == nil && exc.callee.known.Err() == nil && exc.car.mayRepeat(exc.call.Kind, exc.callee) {
		exc.send(ctx)
	}
}

// decides handles the return of a try, and reports whether it ends the call. A
// repeat that was not sent says nothing of the tries before it.
func (exc *exchange[T]) decides(ans answer[T]) bool {
	exc.open--
	switch {
	case isNotSent(ans.err) && len(exc.sent) > 1:
		// A zero answer could read as a definite one.
		if exc.lastErr = ans.err; exc.failed == 0 {
			exc.last = ans.ans
		}
		return false
	case !exc.call.Decides(ans.ans):
		exc.last, exc.lastErr = ans.ans, ans.err
		exc.failed++
		return false
	}
	exc.observe(ans)
	return true
}

func isNotSent(err error) bool { return errors.Is(err, transport.ErrNotSent) }

// observe records how long a try took to be answered, apart from the time for which the
// callee held it back. An answer before the end of that time doesn't show it.
func (exc *exchange[T]) observe(ans answer[T]) {
	took := ans.took
	if ans.try == 0 {
		took -= exc.call.Wait
	}
	if ans.err != nil || took < 0 {
		return
	}
	if err := exc.car.answered(exc.call.Kind, exc.call.Callee, took); err != nil {
		exc.metrics.oddLatencies.Inc(1)
	}
}

// drain waits for the tries that are open after the call has been decided. It reports
// answers that disagree, and whether the call is settled. They keep connections, so that those without an answer are given up
// after a further deadline, as if their timeout had passed.
func (exc *exchange[T]) drain(won answer[T], giveUp context.CancelCauseFunc) {
	defer giveUp(nil)
	tim := time.AfterFunc(exc.deadline, func() { giveUp(context.DeadlineExceeded) })
	defer tim.Stop()
	settled := exc.failed == 0
	for ; exc.open > 0; exc.open-- {
		ans := <-exc.answers
		if isNotSent(ans.err) {
			continue
		}
		if !exc.call.Decides(ans.ans) {
			settled = false
			continue
		}
		exc.observe(ans)
		if exc.call.Agrees != nil && !exc.call.Agrees(won.ans, ans.ans) {
			exc.report(won.try, ans.try)
			settled = false
		}
	}
	if settled && exc.call.Settled != nil {
		exc.call.Settled()
	}
}

// report counts and logs a call that was repeated.
func (exc *exchange[T]) report(won, disagreeing int) {
	if len(exc.sent) == 1 {
		return
	}
	rep := Report{
		Kind: exc.call.Kind, Callee: exc.call.Callee, Subject: exc.call.Subject,
		Won: won, Disagreeing: disagreeing, Deadline: exc.deadline, Err: exc.lastErr,
	}
	for _, sent := range exc.sent {
		rep.Ages = append(rep.Ages, exc.car.now().Sub(sent))
	}
	if won > 0 && disagreeing < 0 {
		exc.metrics.repeatsWon.Inc(1)
	}
	exc.car.log(rep)
}
