package manager

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/advisory"
	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/follow"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/platform"
	"github.com/vmihailenco/msgpack/v5"
)

// Time-outs of the dispatcher's calls.
const (
	// orderTimeout is how long an order waits for its answer; a VM answers
	// within milliseconds.
	orderTimeout = 900 * time.Millisecond
	// lookSlack is how much longer than its wait a look takes at most.
	lookSlack     = 700 * time.Millisecond
	commitTimeout = 1500 * time.Millisecond
	// listTimeout bounds a list of machines, and an order for one.
	listTimeout = 2 * time.Second
)

// perform carries out an effect. Effects that wait for others run in a
// goroutine of their own and report by an event.
func (dis *dispatcher) perform(ctx context.Context, now time.Time, eff scheduler.Effect) {
	switch eff := eff.(type) {
	case scheduler.Poll:
		go dis.look(ctx, now, eff)
	case scheduler.Start:
		go dis.start(ctx, eff)
	case scheduler.Stop:
		go dis.stop(ctx, eff)
	case scheduler.Pace:
		go dis.pace(ctx, eff)
	case scheduler.Commit:
		go func() {
			rev, err := dis.commit(ctx, eff.Txn)
			dis.send(ctx, scheduler.Committed{Revision: rev, Err: err})
		}()
	case scheduler.QueryAdvisor:
		go dis.advise(ctx, eff)
	case scheduler.ListMachines:
		go dis.listMachines(ctx, now)
	case scheduler.Upkeep:
		go dis.machineOrder(ctx, eff.Machine, eff.Wave, func(ctx context.Context, ord platform.OrderIssuer) (worker.MachineResult, error) {
			return dis.nod.machines.Upkeep(ctx, ord, eff.Machine, eff.Wave)
		})
	case scheduler.Move:
		go dis.machineOrder(ctx, eff.Machine, 0, func(ctx context.Context, ord platform.OrderIssuer) (worker.MachineResult, error) {
			return dis.nod.machines.Move(ctx, ord, eff.Machine, eff.Pool)
		})
	case scheduler.SaveWave:
		go dis.saveWave(ctx, eff)
	case scheduler.Forget:
		dis.nod.executors.Forget(eff.VM.Address)
	case scheduler.StepDown:
		dis.nod.log.Event("duty_given_up", decisionlog.Fields{"reason": eff.Reason})
		dis.ten.End()
	case scheduler.LogDecision:
		dis.note(eff)
	default:
		panic(fmt.Sprintf("manager: unknown effect %T", eff))
	}
}

func (dis *dispatcher) note(not scheduler.LogDecision) {
	fields := decisionlog.Fields{}
	for key, value := range not.Fields {
		fields[key] = value
	}
	if not.Job != "" {
		fields["job"] = string(not.Job)
	}
	dis.nod.log.Event(not.Name, fields)
}

func (dis *dispatcher) failed(call, vm string, err error) {
	if err != nil {
		dis.nod.log.Event("call_failed", decisionlog.Fields{"call": call, "vm": vm, "error": err.Error()})
	}
}

// term returns the dispatcher's term.
func (dis *dispatcher) term() int64 { return dis.ten.Current().Holder.Term }

func (dis *dispatcher) look(ctx context.Context, now time.Time, eff scheduler.Poll) {
	ask, cancel := context.WithTimeout(ctx, eff.Wait+lookSlack)
	defer cancel()
	rep, res, err := dis.nod.executors.Poll(ask, eff.VM, platform.Poll{Term: dis.term(), Acked: eff.Acked, Deadline: eff.Deadline, Wait: eff.Wait})
	dis.failed("look", eff.VM.ID, err)
	dis.send(ctx, scheduler.PollAnswered{VM: eff.VM, Sent: now, Report: rep, Result: res})
}

func (dis *dispatcher) start(ctx context.Context, eff scheduler.Start) {
	ask, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := dis.nod.executors.Start(ask, eff.VM, platform.StartOrder{
		Task: eff.Task, Run: eff.Run, Payload: eff.Payload, Deadline: eff.Deadline, Term: dis.term(),
		Checkpoint: eff.Checkpoint, Ticket: eff.Ticket,
	})
	dis.failed("start", eff.VM.ID, err)
	dis.send(ctx, scheduler.StartAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run, Result: res})
}

func (dis *dispatcher) stop(ctx context.Context, eff scheduler.Stop) {
	ask, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := dis.nod.executors.Stop(ask, eff.VM, eff.Task, eff.Run, dis.term())
	dis.failed("stop", eff.VM.ID, err)
	dis.send(ctx, scheduler.StopAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run, Result: res})
}

func (dis *dispatcher) pace(ctx context.Context, eff scheduler.Pace) {
	ask, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := dis.nod.executors.Pace(ask, eff.VM, eff.Task, eff.Run, eff.Percent, dis.term())
	dis.failed("pace", eff.VM.ID, err)
	dis.send(ctx, scheduler.PaceAnswered{VM: eff.VM, Task: eff.Task, Percent: eff.Percent, Result: res})
}

func (dis *dispatcher) advise(ctx context.Context, eff scheduler.QueryAdvisor) {
	evt := scheduler.AdvisorAnswered{Job: eff.Job, Occurrence: eff.Occurrence, Step: eff.Step, VMs: eff.VMs}
	ask, cancel := context.WithTimeout(ctx, advisory.QueryTimeout(eff.Latency))
	defer cancel()
	ans, err := dis.askers.RequestTickets(ask, advisory.Query{Job: eff.Job, Occurrence: eff.Occurrence, Step: eff.Step, VMs: eff.VMs})
	if err != nil {
		dis.nod.log.Event("no_advice", decisionlog.Fields{"job": string(eff.Job), "step": eff.Step, "error": err.Error()})
	} else {
		evt.Sent, evt.Tickets, evt.Valid = ans.Sent, ans.Tickets.ByVM, ans.Tickets.Valid
	}
	dis.send(ctx, evt)
}

func (dis *dispatcher) listMachines(ctx context.Context, now time.Time) {
	ask, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, err := dis.nod.machines.List(ask)
	if err != nil {
		dis.nod.log.Event("machines_not_listed", decisionlog.Fields{"error": err.Error()})
		all = nil
	}
	dis.send(ctx, scheduler.MachinesListed{RequestedAt: now, Machines: all})
}

// errNotHeld means that an order was not sent, for the duty was not sure.
var errNotHeld = errors.New("the duty is not sure to be held")

// machineOrder gives an order for a machine. VMs don't check terms for these,
// so that the duty must be sure at the time of sending.
func (dis *dispatcher) machineOrder(ctx context.Context, machine string, wave int64, order func(context.Context, platform.OrderIssuer) (worker.MachineResult, error)) {
	ask, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	res, err := worker.MachineRefused, errNotHeld
	if cur := dis.ten.Current(); cur.Holds(dis.nod.now()) {
		res, err = order(ask, platform.OrderIssuer{Holder: cur.Holder.Name, Term: cur.Holder.Term})
	}
	if err != nil {
		dis.nod.log.Event("machine_order_failed", decisionlog.Fields{"machine": machine, "wave": wave, "error": err.Error()})
	}
	dis.send(ctx, scheduler.MachineAnswered{Machine: machine, Wave: wave, Result: res})
}

// wavePrefix begins the keys that hold the machines whose upkeep has begun.
const wavePrefix = "upkeep/"

func waveKey(number int64) string { return fmt.Sprintf("%s%d", wavePrefix, number) }

// saveWave stores how a wave goes, for the operator and for the next
// dispatcher, until it succeeds.
func (dis *dispatcher) saveWave(ctx context.Context, eff scheduler.SaveWave) {
	dis.waves.Lock()
	defer dis.waves.Unlock()
	raw, err := msgpack.Marshal(eff.Begun)
	if err != nil {
		dis.nod.log.Event("wave_not_saved", decisionlog.Fields{"wave": eff.Number, "error": err.Error()})
		return
	}
	for ctx.Err() == nil {
		_, err := dis.commit(ctx, kv.Txn{Puts: []kv.Put{
			{Key: waveKey(eff.Number), Value: raw},
			{Key: platform.WaveStatusKey(eff.Number), Value: platform.EncodeWaveStatus(eff.Completed)},
		}})
		if err == nil {
			return
		}
		dis.nod.log.Event("wave_not_saved", decisionlog.Fields{"wave": eff.Number, "error": err.Error()})
		clock.Pause(ctx, follow.RetryDelay)
	}
}

// waveBegun reads the machines whose upkeep a former dispatcher began.
func (dis *dispatcher) waveBegun(ctx context.Context, number int64) (begun []string, ok bool) {
	for ctx.Err() == nil {
		ask, cancel := context.WithTimeout(ctx, follow.ReadTimeout)
		itm, err := dis.nod.store.Get(ask, waveKey(number))
		cancel()
		switch {
		case errors.Is(err, kv.ErrNotFound):
			return nil, true
		case err == nil:
			if err := msgpack.Unmarshal(itm.Value, &begun); err != nil {
				dis.ignored(itm, err)
			}
			return begun, true
		}
		dis.nod.log.Event("store_read_failed", decisionlog.Fields{"prefix": wavePrefix, "error": err.Error()})
		clock.Pause(ctx, follow.RetryDelay)
	}
	return nil, false
}
