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

// execute carries out an effect. Anything that blocks runs in its own goroutine
// and reports its result as an event.
func (rnr *Runner) execute(eff effect.Effect) {
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
		rnr.relayResponse(eff)
	case effect.StartTask:
		go func() { rnr.Post(rnr.workers.Start(rnr.callsCtx, eff)) }()
	case effect.PollWorker:
		go func() { rnr.Post(rnr.workers.Poll(rnr.callsCtx, eff)) }()
	case effect.StopTask:
		go rnr.workers.Stop(rnr.callsCtx, eff)
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

// reply finishes the exchange that an effect replies to.
func (rnr *Runner) reply(eff effect.Effect) {
	switch eff := eff.(type) {
	case effect.Refuse:
		rnr.exchanges.Finish(eff.Request, exchange.Refusal{Refusal: eff.Refusal})
	case effect.AcceptTask:
		rnr.exchanges.Finish(eff.Request, exchange.Accepted{TaskID: eff.TaskID})
	case effect.ReplyTaskStatus:
		rnr.exchanges.Finish(eff.Request, exchange.TaskStatus{Status: eff.Status})
	case effect.ReplyChange:
		rnr.exchanges.Finish(eff.Request, exchange.ChangeResult{Result: eff})
	case effect.ReplyStatus:
		rnr.exchanges.Finish(eff.Request, exchange.EntryStatus{Status: eff.Status})
	}
}

func (rnr *Runner) callStore(eff effect.CallStore) {
	ctx, cancel := context.WithTimeout(rnr.callsCtx, effect.StoreTimeout)
	defer cancel()
	rnr.Post(event.StoreCallEnded{Call: eff.Call, Result: rnr.store.Call(ctx, eff.Op)})
}

func (rnr *Runner) startAttempt(eff effect.StartAttempt) {
	exc, ok := rnr.exchanges.Get(eff.Request)
	if !ok {
		rnr.Post(event.AttemptEnded{
			Work: eff.Work, Attempt: eff.Attempt, Result: event.AttemptNotRun, Reason: "the caller went away",
		})
		return
	}
	ctx, cancel := context.WithDeadline(rnr.callsCtx, eff.Deadline)
	key := attemptKey{eff.Work, eff.Attempt}
	rnr.mu.Lock()
	rnr.attemptCancels[key] = cancel
	rnr.mu.Unlock()
	metrics.GetOrRegisterCounter("upstream.attempts", rnr.registry).Inc(1)
	go func() {
		defer rnr.abort(key)
		res := rnr.upstream.Do(ctx, upstream.Attempt{
			VM: eff.VM, Address: eff.Address, Request: exc.Request, Repeatable: eff.Repeatable,
		})
		if res.Kind == event.AttemptAnswered {
			exc.SetResponse(eff.Attempt, res.HTTPResponse)
		}
		rnr.Post(event.AttemptEnded{
			Work: eff.Work, Attempt: eff.Attempt, Result: res.Kind,
			Status: res.HTTPResponse.Status, UpstreamLeaving: res.Leaving, Reason: res.Reason,
		})
	}()
}

// abort cancels the context of an attempt and forgets it. An attempt that has
// ended already is ignored.
func (rnr *Runner) abort(key attemptKey) {
	rnr.mu.Lock()
	cancel := rnr.attemptCancels[key]
	delete(rnr.attemptCancels, key)
	rnr.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (rnr *Runner) relayResponse(eff effect.RelayResponse) {
	exc, ok := rnr.exchanges.Get(eff.Request)
	if !ok {
		return
	}
	if rsp, ok := exc.ResponseOf(eff.Attempt); ok {
		rnr.exchanges.Finish(eff.Request, rsp)
	}
}

func (rnr *Runner) connect(voters []table.Voter) {
	addresses := append([]string(nil), rnr.set.Peers...)
	for _, vtr := range voters {
		addresses = append(addresses, vtr.Address)
	}
	rnr.links.SetAddresses(rnr.callsCtx, addresses)
}

func (rnr *Runner) setReady(ready bool) {
	rnr.ready.Store(ready)
	if ready {
		rnr.partLogger("entry").Info("The entry is ready.")
	} else {
		rnr.partLogger("entry").Warn("The entry is not ready.")
	}
}

// stopAccepting closes the callers' listener, and their connections once their
// requests are answered. net/http waits up to 5 seconds for a connection that
// has not sent a request yet.
func (rnr *Runner) stopAccepting() {
	rnr.callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := rnr.callers.Shutdown(ctx); err != nil {
		rnr.partLogger("entry").WithError(err).Warn("Some caller connections did not finish within the shutdown timeout.")
	}
	rnr.Post(event.AcceptingStopped{})
}

func (rnr *Runner) recordEvent(eff effect.Record) {
	stm := rnr.clock.Now(time.Now())
	rnr.ring.Add(timeline.Event{
		Stamp: stm, Entry: rnr.id, Part: eff.Part, Name: eff.Name, Subject: eff.Subject, Detail: eff.Detail,
	})
	rnr.partLogger(eff.Part).WithFields(map[string]any{"subject": eff.Subject, "detail": eff.Detail}).
		Debug(strings.ReplaceAll(eff.Name, "_", " "))
}
