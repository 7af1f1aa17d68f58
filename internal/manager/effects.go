package manager

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/advisory"
	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/follow"
	"github.com/balsamgauge/balsamgauge/internal/hedge"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/internal/record"
	"github.com/balsamgauge/balsamgauge/internal/transport"
	"github.com/balsamgauge/balsamgauge/platform"
	"github.com/vmihailenco/msgpack/v5"
)

// Timeouts of the dispatcher's calls.
const (
	// orderTimeout is how long an order waits for its response; a VM responds
	// within milliseconds.
	orderTimeout  = 900 * time.Millisecond
	commitTimeout = 1500 * time.Millisecond
	// machinesTimeout bounds an order for a machine, listTimeout all pages of a
	// list of machines.
	machinesTimeout = 2 * time.Second
	listTimeout     = 6 * time.Second
)

// perform carries out an effect. Effects that wait for a response run in a
// goroutine of their own and send the outcome as an event.
func (dis *dispatcher) perform(ctx context.Context, now time.Time, eff scheduler.Effect) {
	switch eff := eff.(type) {
	case scheduler.Poll:
		go dis.poll(ctx, now, eff)
	case scheduler.Start:
		if eff.Recorded {
			go dis.start(ctx, dis.pendingStart(eff), 0)
		} else {
			dis.unrecorded = append(dis.unrecorded, dis.pendingStart(eff))
		}
	case scheduler.RecordStarts:
		go dis.recordStarts(ctx, now, eff.Txn, dis.unrecorded)
		dis.unrecorded = nil
	case scheduler.Stop:
		go dis.stop(ctx, eff)
	case scheduler.Pace:
		go dis.pace(ctx, eff)
	case scheduler.Commit:
		go func() {
			rev, err := dis.commit(ctx, eff.Txn)
			dis.send(ctx, scheduler.Committed{Revision: rev, Err: err, Lane: eff.Lane})
		}()
	case scheduler.QueryAdvisor:
		go dis.queryAdvisor(ctx, eff)
	case scheduler.ListMachines:
		go dis.listMachines(ctx, now)
	case scheduler.Upkeep:
		go dis.machineOrder(ctx, eff.Machine, eff.Wave, func(ctx context.Context, iss platform.OrderIssuer) (worker.MachineResult, error) {
			return dis.nod.machines.Upkeep(ctx, iss, eff.Machine, eff.Wave)
		})
	case scheduler.Move:
		go dis.machineOrder(ctx, eff.Machine, 0, func(ctx context.Context, iss platform.OrderIssuer) (worker.MachineResult, error) {
			return dis.nod.machines.Move(ctx, iss, eff.Machine, eff.Pool)
		})
	case scheduler.SaveWave:
		dis.saveWave(ctx, eff)
	case scheduler.Forget:
		dis.nod.executors.Forget(eff.VM.Address)
		dis.nod.repeats.Forget(eff.VM.Address)
		dis.nod.calls.Forget(eff.VM.ID)
	case scheduler.StepDown:
		dis.nod.log.Event("duty_given_up", decisionlog.Fields{"reason": eff.Reason})
		dis.ten.End()
	case scheduler.LogDecision:
		dis.logDecision(eff)
	default:
		panic(fmt.Sprintf("manager: unknown effect %T", eff))
	}
}

func (dis *dispatcher) logDecision(dec scheduler.LogDecision) {
	fields := decisionlog.Fields{}
	for key, value := range dec.Fields {
		fields[key] = value
	}
	if dec.Job != "" {
		fields["job"] = string(dec.Job)
	}
	dis.nod.log.Event(dec.Name, fields)
}

// logRepeats logs a call that was repeated.
func (nod *Node) logRepeats(rep hedge.Report) {
	ages := make([]int64, len(rep.Ages))
	for i, age := range rep.Ages {
		ages[i] = age.Milliseconds()
	}
	fields := decisionlog.Fields{
		"call": rep.Kind, "vm": rep.Callee, "ages_ms": ages, "deadline_ms": rep.Deadline.Milliseconds(), "decided_by": rep.Won,
	}
	if rep.Subject != "" {
		fields["task"] = rep.Subject
	}
	if rep.Err != nil {
		fields["error"] = rep.Err.Error()
	}
	if rep.Disagreeing >= 0 {
		fields["disagreeing"] = rep.Disagreeing
		nod.log.Event("answers_disagree", fields)
		return
	}
	nod.log.Event("call_repeated", fields)
}

func (dis *dispatcher) logFailure(call, vm string, err error) {
	if err != nil {
		dis.nod.log.Event("call_failed", decisionlog.Fields{"call": call, "vm": vm, "error": err.Error()})
	}
}

// pollReport is the answer to a poll. The report is valid if the result is ResultOK.
type pollReport struct {
	report worker.Report
	result worker.Result
}

func (dis *dispatcher) poll(ctx context.Context, now time.Time, eff scheduler.Poll) {
	pol := platform.Poll{Token: eff.Token, Acked: eff.Acked, Deadline: eff.Deadline, Wait: eff.Wait}
	out := hedge.Do(ctx, dis.nod.calls, hedge.Call[pollReport]{
		Kind: "poll", Callee: eff.VM.ID, Wait: eff.Wait, Timeout: eff.Wait + eff.Slack,
		Send: func(ctx context.Context, try int) (ans pollReport, err error) {
			pol := pol
			if try > 0 {
				pol.Wait = 0
			}
			ans.report, ans.result, err = dis.executors(eff.VM, try).Poll(ctx, eff.VM, pol)
			return ans, err
		},
		Decides: func(ans pollReport) bool { return ans.result != worker.ResultUnknown },
	})
	// The log's name of a poll is "look".
	dis.logFailure("look", eff.VM.ID, out.Err)
	dis.send(ctx, scheduler.PollAnswered{VM: eff.VM, Token: eff.Token, Sent: now, Report: out.Answer.report, Result: out.Answer.result})
}

// executors returns the client for a try of a call to a VM.
func (dis *dispatcher) executors(one worker.VM, try int) *platform.Executors {
	if try == 0 {
		return dis.nod.executors
	}
	dis.nod.repeats.Redial(one.Address)
	return dis.nod.repeats
}

// order makes an order to a VM that names a run and is idempotent. No try leaves the process
// unless the duty is guaranteed to be held: a late one may reach an incarnation of the VM that
// knows of no later term.
func (dis *dispatcher) order(ctx context.Context, kind string, one worker.VM, task job.Task, run int, settled func(), send func(context.Context, *platform.Executors) (worker.Result, error)) hedge.Outcome[worker.Result] {
	out := hedge.Do(ctx, dis.nod.calls, hedge.Call[worker.Result]{
		Kind: kind, Callee: one.ID, Subject: fmt.Sprintf("%s/%d", task, run), Timeout: orderTimeout,
		Send: func(ctx context.Context, try int) (worker.Result, error) {
			return send(transport.WithPermit(ctx, dis.checkHeld), dis.executors(one, try))
		},
		Decides: func(res worker.Result) bool { return res != worker.ResultUnknown },
		Agrees:  sameOutcome, Settled: settled,
	})
	dis.logFailure(kind, one.ID, out.Err)
	return out
}

// sameOutcome reports whether two answers to tries of an order mean the same: a run that
// was carried out may have ended since.
func sameOutcome(one, oth worker.Result) bool {
	return one == oth || one == worker.ResultOK && oth == worker.ResultOldRun
}

// start orders a VM to start a run, whose record took a time to be written.
func (dis *dispatcher) start(ctx context.Context, pen pendingStart, recordTime time.Duration) {
	eff := pen.Start
	if pen.known.Err() != nil {
		dis.send(ctx, scheduler.StartAnswered{VM: eff.VM, Token: eff.Token, Task: eff.Task, Run: eff.Run, Result: worker.ResultUnhealthy, RecordTime: recordTime})
		return
	}
	ord := platform.StartOrder{
		Task: eff.Task, Run: eff.Run, Payload: eff.Payload, Deadline: eff.Deadline, Token: eff.Token,
		Checkpoint: eff.Checkpoint, Ticket: eff.Ticket,
	}
	var out hedge.Outcome[worker.Result]
	answered := make(chan struct{})
	defer close(answered)
	settled := func() {
		<-answered
		dis.send(ctx, scheduler.StartSettled{VM: eff.VM, Token: eff.Token, Task: eff.Task, Run: eff.Run, Result: out.Answer})
	}
	out = dis.order(ctx, "start", eff.VM, eff.Task, eff.Run, settled, func(ctx context.Context, exe *platform.Executors) (worker.Result, error) {
		return exe.Start(ctx, eff.VM, ord)
	})
	dis.send(ctx, scheduler.StartAnswered{VM: eff.VM, Token: eff.Token, Task: eff.Task, Run: eff.Run, Result: out.Answer, RecordTime: recordTime, Unanswered: out.Unanswered})
}

func (dis *dispatcher) stop(ctx context.Context, eff scheduler.Stop) {
	out := dis.order(ctx, "stop", eff.VM, eff.Task, eff.Run, nil, func(ctx context.Context, exe *platform.Executors) (worker.Result, error) {
		return exe.Stop(ctx, eff.VM, eff.Task, eff.Run, eff.Token)
	})
	dis.send(ctx, scheduler.StopAnswered{VM: eff.VM, Token: eff.Token, Task: eff.Task, Run: eff.Run, Result: out.Answer})
}

func (dis *dispatcher) pace(ctx context.Context, eff scheduler.Pace) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := dis.nod.executors.Pace(callCtx, eff.VM, eff.Task, eff.Run, eff.Percent, eff.Token)
	dis.logFailure("pace", eff.VM.ID, err)
	dis.send(ctx, scheduler.PaceAnswered{VM: eff.VM, Token: eff.Token, Task: eff.Task, Percent: eff.Percent, Result: res})
}

func (dis *dispatcher) queryAdvisor(ctx context.Context, eff scheduler.QueryAdvisor) {
	evt := scheduler.AdvisorAnswered{Job: eff.Job, Occurrence: eff.Occurrence, Step: eff.Step, VMs: eff.VMs}
	callCtx, cancel := context.WithTimeout(ctx, advisory.QueryTimeout(eff.Latency))
	defer cancel()
	ans, err := dis.ticketSources.RequestTickets(callCtx, advisory.Query{Job: eff.Job, Occurrence: eff.Occurrence, Step: eff.Step, VMs: eff.VMs})
	if err != nil {
		dis.nod.log.Event("no_advice", decisionlog.Fields{"job": string(eff.Job), "step": eff.Step, "error": err.Error()})
	} else {
		evt.Sent, evt.Tickets, evt.Valid = ans.Sent, ans.Tickets.ByVM, ans.Tickets.Valid
	}
	dis.send(ctx, evt)
}

func (dis *dispatcher) listMachines(ctx context.Context, now time.Time) {
	callCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, err := dis.nod.machines.List(callCtx)
	if err != nil {
		dis.nod.log.Event("machines_not_listed", decisionlog.Fields{"error": err.Error()})
		all = nil
	}
	dis.send(ctx, scheduler.MachinesListed{RequestedAt: now, Machines: all})
}

// errNotHeld means that an order was not sent because the duty may have been
// lost.
var errNotHeld = errors.New("the duty is not guaranteed to be held")

// machineOrder sends an order for a machine. Unlike a VM, the machines API
// doesn't reject an order with an old term, so the duty must be guaranteed to
// be held when the order leaves the process. Until then it may wait for a
// connection behind others.
func (dis *dispatcher) machineOrder(ctx context.Context, machine string, wave int64, order func(context.Context, platform.OrderIssuer) (worker.MachineResult, error)) {
	callCtx, cancel := context.WithTimeout(ctx, machinesTimeout)
	defer cancel()
	hol := dis.ten.Current().Holder
	res, err := order(callCtx, platform.OrderIssuer{Holder: hol.Name, Term: hol.Term, Permit: dis.permitMachineOrder})
	if err != nil {
		dis.nod.log.Event("machine_order_failed", decisionlog.Fields{"machine": machine, "wave": wave, "error": err.Error()})
	}
	dis.send(ctx, scheduler.MachineAnswered{Machine: machine, Wave: wave, Result: res})
}

// errEnding means that an order was not sent because the tenure is about to end.
var errEnding = errors.New("the duty is about to be given up")

// permitMachineOrder fails if an order for a machine must not be sent.
func (dis *dispatcher) permitMachineOrder() error {
	if dis.ending.Load() {
		return errEnding
	}
	return dis.checkHeld()
}

// checkHeld fails unless the duty is guaranteed to be held.
func (dis *dispatcher) checkHeld() error {
	if !dis.ten.Holds(dis.nod.now()) {
		return errNotHeld
	}
	return nil
}

// wavePrefix is the prefix of the keys that hold, for each wave, the names of
// the machines whose upkeep has begun.
const wavePrefix = "upkeep/"

func waveKey(number int64) string { return fmt.Sprintf("%s%d", wavePrefix, number) }

// waveRequest is the record of the request that the progress of a wave belongs to, and of
// the time from which the wave's duration counts.
type waveRequest struct {
	// Revision is that of the request, which may be replaced by another one of the same
	// number.
	Revision int64 `msgpack:"r"`
	AtMS     int64 `msgpack:"t"`
	// Changed is the revision of the last change. Records of earlier versions have none.
	Changed int64 `msgpack:"c,omitempty"`
	// Former holds machines that may be down by orders of the same number.
	Former []string `msgpack:"f,omitempty"`
}

func waveRequestKey(number int64) string { return waveKey(number) + "/requested" }

// saveWave stores a wave's progress for the operator and for the next
// dispatcher.
func (dis *dispatcher) saveWave(ctx context.Context, eff scheduler.SaveWave) {
	number := eff.Wave.Number
	notSaved := func(err error) {
		dis.nod.log.Event("wave_not_saved", decisionlog.Fields{"wave": number, "error": err.Error()})
	}
	raw, err := msgpack.Marshal(eff.Begun)
	if err != nil {
		notSaved(err)
		return
	}
	lat := dis.waveRecords[number]
	if lat == nil {
		lat = record.NewLatest(waveKey(number), dis.commit, notSaved)
		dis.waveRecords[number] = lat
	}
	request, err := msgpack.Marshal(&waveRequest{Revision: eff.Wave.Revision, AtMS: eff.RequestedAt.UnixMilli(), Changed: eff.Wave.Changed, Former: eff.Former})
	if err != nil {
		notSaved(err)
		return
	}
	lat.Put(ctx, record.Value{
		Puts:   []kv.Put{{Key: waveKey(number), Value: raw}, {Key: waveRequestKey(number), Value: request}},
		Claims: []kv.Put{{Key: platform.WaveStatusKey(number), Value: platform.EncodeWaveStatus(eff.Completed)}},
		Source: kv.Condition{Key: platform.WaveKey(number), Revision: kv.Revision(eff.Wave.Changed)},
		Outdated: func() {
			dis.nod.log.Event("wave_status_outdated", decisionlog.Fields{"wave": number, "revision": eff.Wave.Changed, "completed": eff.Completed})
		},
	})
}

// readWave reads what earlier dispatchers stored of a wave: the machines whose upkeep has
// begun by the same request, and the time from which its duration counts if they received
// its last change.
func (dis *dispatcher) readWave(ctx context.Context, wav upkeep.Wave) (evt scheduler.WaveRequested, ok bool) {
	evt.Wave = wav
	if !dis.readRecord(ctx, waveKey(wav.Number), &evt.Begun) {
		return evt, false
	}
	var request waveRequest
	if !dis.readRecord(ctx, waveRequestKey(wav.Number), &request) {
		return evt, false
	}
	evt.Former = request.Former
	if request.Revision != wav.Revision {
		evt.Begun, evt.Former = nil, append(evt.Former, evt.Begun...)
		return evt, true
	}
	if request.AtMS != 0 && (request.Changed == 0 || request.Changed == wav.Changed) {
		evt.RequestedAt = time.UnixMilli(request.AtMS)
	}
	return evt, true
}

// readRecord reads a record into val, which stays as it is if there is no valid one. It
// repeats the call until the store answers or the context is done.
func (dis *dispatcher) readRecord(ctx context.Context, key string, val any) (ok bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, follow.ReadTimeout)
		itm, err := dis.nod.store.Get(callCtx, key)
		cancel()
		switch {
		case errors.Is(err, kv.ErrNotFound):
			return true
		case err == nil:
			if err := packed.Unmarshal(itm.Value, val); err != nil {
				dis.logIgnored(itm, err)
			}
			return true
		}
		dis.nod.log.Event("store_read_failed", decisionlog.Fields{"prefix": wavePrefix, "error": err.Error()})
		clock.Pause(ctx, follow.RetryDelay)
	}
	return false
}
