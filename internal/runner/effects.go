package runner

import (
	"context"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/exchange"
	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"github.com/balsamgauge/balsamgauge/internal/upstream"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/rcrowley/go-metrics"
)

// carryOut does what an effect asks for. Whatever takes time runs beside the
// loop and comes back as an event.
func (rnr *Runner) carryOut(eff effect.Effect) {
	switch eff := eff.(type) {
	case effect.Send:
		rnr.links.Send(eff.To, eff.Message)
	case effect.CallStore:
		go rnr.callStore(eff)
	case effect.StartAttempt:
		rnr.startAttempt(eff)
	case effect.AbortAttempt:
		rnr.abort(attemptKey{eff.Work, eff.Attempt})
	case effect.RelayResponse:
		rnr.relay(eff)
	case effect.StartTask:
		go func() { rnr.Post(rnr.workers.Start(rnr.calls, eff)) }()
	case effect.PollWorker:
		go func() { rnr.Post(rnr.workers.Poll(rnr.calls, eff)) }()
	case effect.StopTask:
		go rnr.workers.Stop(rnr.calls, eff)
	case effect.Connect:
		rnr.connect(eff.Voters)
	case effect.PublishConfig:
		rnr.config.Store(eff.Config)
	case effect.SetReady:
		rnr.setReady(eff.Ready)
	case effect.StopAccepting:
		go rnr.stopAccepting()
	case effect.Exit:
		rnr.exit()
	case effect.Record:
		rnr.recordEvent(eff)
	default:
		rnr.reply(eff)
	}
}

// reply ends the exchange that an effect answers.
func (rnr *Runner) reply(eff effect.Effect) {
	switch eff := eff.(type) {
	case effect.Refuse:
		rnr.exchanges.Finish(eff.Request, exchange.Refusal{Refusal: eff.Refusal})
	case effect.AcceptTask:
		rnr.exchanges.Finish(eff.Request, exchange.Accepted{TaskID: eff.TaskID})
	case effect.ReplyTaskStatus:
		rnr.exchanges.Finish(eff.Request, exchange.Told{Status: eff.Status})
	case effect.ReplyChange:
		rnr.exchanges.Finish(eff.Request, exchange.Changed{Answer: eff})
	case effect.ReplyStatus:
		rnr.exchanges.Finish(eff.Request, exchange.Reported{Status: eff.Status})
	}
}

func (rnr *Runner) callStore(eff effect.CallStore) {
	ctx, cancel := context.WithTimeout(rnr.calls, effect.StoreTimeout)
	defer cancel()
	rnr.Post(event.StoreAnswered{Call: eff.Call, Result: rnr.store.Call(ctx, eff.Op)})
}

func (rnr *Runner) startAttempt(eff effect.StartAttempt) {
	exc, ok := rnr.exchanges.Get(eff.Request)
	if !ok {
		rnr.Post(event.AttemptEnded{
			Work: eff.Work, Attempt: eff.Attempt, Result: event.AttemptNotRun, Reason: "the caller went away",
		})
		return
	}
	ctx, cancel := context.WithDeadline(rnr.calls, eff.Deadline)
	key := attemptKey{eff.Work, eff.Attempt}
	rnr.mu.Lock()
	rnr.aborts[key] = cancel
	rnr.mu.Unlock()
	metrics.GetOrRegisterCounter("upstream.attempts", rnr.registry).Inc(1)
	go func() {
		defer rnr.abort(key)
		res := rnr.upstream.Do(ctx, upstream.Attempt{
			VM: eff.VM, Address: eff.Address, Request: exc.Request, Repeatable: eff.Repeatable,
		})
		if res.Kind == event.AttemptAnswered {
			exc.SetAnswer(eff.Attempt, res.Answer)
		}
		rnr.Post(event.AttemptEnded{
			Work: eff.Work, Attempt: eff.Attempt, Result: res.Kind,
			Status: res.Answer.Status, Leaving: res.Leaving, Reason: res.Reason,
		})
	}()
}

func (rnr *Runner) abort(key attemptKey) {
	rnr.mu.Lock()
	cancel := rnr.aborts[key]
	delete(rnr.aborts, key)
	rnr.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (rnr *Runner) relay(eff effect.RelayResponse) {
	exc, ok := rnr.exchanges.Get(eff.Request)
	if !ok {
		return
	}
	if ans, ok := exc.AnswerOf(eff.Attempt); ok {
		rnr.exchanges.Finish(eff.Request, ans)
	}
}

func (rnr *Runner) connect(voters []table.Voter) {
	addresses := append([]string(nil), rnr.set.Peers...)
	for _, vtr := range voters {
		addresses = append(addresses, vtr.Address)
	}
	rnr.links.Want(rnr.calls, addresses)
}

func (rnr *Runner) setReady(ready bool) {
	rnr.ready.Store(ready)
	if ready {
		rnr.part("entry").Info("The entry is ready.")
	} else {
		rnr.part("entry").Warn("The entry is not ready.")
	}
}

// stopAccepting ends the callers' connections once their requests are answered.
// A connection that has sent nothing yet gets five seconds, by net/http's rule.
func (rnr *Runner) stopAccepting() {
	rnr.callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := rnr.callers.Shutdown(ctx); err != nil {
		rnr.part("entry").WithError(err).Warn("Some callers were cut off.")
	}
	rnr.Post(event.AcceptingStopped{})
}

func (rnr *Runner) recordEvent(eff effect.Record) {
	stm := rnr.clock.Now(time.Now())
	rnr.ring.Add(timeline.Event{
		Stamp: stm, Entry: rnr.id, Part: eff.Part, Name: eff.Name, Subject: eff.Subject, Detail: eff.Detail,
	})
	rnr.part(eff.Part).WithFields(map[string]any{"subject": eff.Subject, "detail": eff.Detail}).
		Debug(strings.ReplaceAll(eff.Name, "_", " "))
}
