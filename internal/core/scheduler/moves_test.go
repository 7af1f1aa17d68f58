package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// machinesPerRack is the number of the machines of poolsOfMachines on each rack.
const machinesPerRack = 4

// poolsOfMachines returns a dispatcher with idle machines in one pool, and the
// time.
func poolsOfMachines(machines int) (sta *State, now time.Time) {
	now = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Term = now, 1
	sta = New(opt)
	events := []Event{CatalogChanged{Catalog: catalog.New(catalog.Catalog{
		Version: 1, Revision: 1,
		Queues: []catalog.Queue{{Name: "gate", Pool: "busy", MaxAttempts: 4, SlackFactor: 1.6, Target: 600 * time.Millisecond}},
		Pools:  []catalog.Pool{{Name: "busy"}, {Name: "idle"}},
	})}, JobsLoaded{}}
	var list []worker.Machine
	for i := range machines {
		name := fmt.Sprintf("m-%03d", i)
		vm := worker.VM{
			ID: "vm-" + name, Address: name, Pool: "idle", Capacity: job.Size{CPU: 16_000, Memory: 32_768},
			Labels: []string{"a", fmt.Sprintf("r%d", i/machinesPerRack)},
		}
		events = append(events, VMRegistered{VM: vm})
		list = append(list, worker.Machine{Name: name, Pool: "idle", State: worker.MachineUp, VM: vm.ID, Capacity: vm.Capacity, Labels: vm.Labels})
	}
	for _, eff := range sta.Reduce(now, append(events, MachinesListed{RequestedAt: now, Machines: list})) {
		if pol, ok := eff.(Poll); ok {
			sta.Reduce(now, []Event{PollAnswered{VM: pol.VM, Sent: now, Report: worker.Report{Clock: time.Second}}})
		}
	}
	return sta, now
}

// advance calls Reduce for a time with jobs that need many machines, and passes
// the effects to a function that returns answers.
func advance(sta *State, now time.Time, span time.Duration, answer func(now time.Time, eff Effect) []Event) time.Time {
	var events []Event
	for i := range 20 {
		spe := fanOut(i+1, "", 20, 4000, time.Second)
		spe.Accepted = now
		events = append(events, JobAccepted{Spec: spe, Revision: 2})
	}
	for end := now.Add(span); now.Before(end); now = now.Add(10 * time.Millisecond) {
		effects := sta.Reduce(now, append(events, JobWatchProgressed{At: now}))
		events = nil
		for _, eff := range effects {
			events = append(events, answer(now, eff)...)
		}
	}
	return now
}

// TestUnansweredMovesAreFew guards against orders to move machines that wait for
// the answers of others until they time out, which leaves the machines without
// tasks.
func TestUnansweredMovesAreFew(t *testing.T) {
	sta, now := poolsOfMachines(200)
	moves := 0
	advance(sta, now.Add(3*time.Second), 3*time.Second, func(_ time.Time, eff Effect) []Event {
		if _, ok := eff.(Move); ok {
			moves++
		}
		return nil
	})
	assert.Assert(t, moves > 0)
	assert.Assert(t, moves <= 32, "%d orders are unanswered", moves)
}

// TestMovedMachineIsNotPolled guards against polls of VMs whose machines have
// been moved: each is a refused connection.
func TestMovedMachineIsNotPolled(t *testing.T) {
	sta, now := poolsOfMachines(40)
	moved := map[string]bool{}
	advance(sta, now.Add(3*time.Second), 2*time.Second, func(now time.Time, eff Effect) []Event {
		switch eff := eff.(type) {
		case Move:
			moved["vm-"+eff.Machine] = true
			// The machine's last end is unacknowledged.
			sta.hosts["vm-"+eff.Machine].ackDue = true
			return []Event{MachineAnswered{Machine: eff.Machine, Result: worker.MachineOK}}
		case Poll:
			assert.Assert(t, !moved[eff.VM.ID], "%v after the start, %s is polled", now, eff.VM.ID)
			return []Event{PollAnswered{VM: eff.VM, Sent: now, Report: worker.Report{Clock: time.Minute}}}
		}
		return nil
	})
	assert.Assert(t, len(moved) > 0)
}

// TestMoveOfMachineWithUnlistedVM guards against a move that ends tasks unseen: the
// idle VM that the last list of machines shows has ended, and its machine runs one
// that the list doesn't show yet.
func TestMoveOfMachineWithUnlistedVM(t *testing.T) {
	sta, now := poolsOfMachines(12)
	next := worker.VM{ID: "vm-m-004+", Address: "m-004", Pool: "idle", Capacity: job.Size{CPU: 16_000, Memory: 32_768}, Labels: []string{"a", "r1"}}
	moved := map[string]bool{}
	answer := func(now time.Time, eff Effect) []Event {
		switch eff := eff.(type) {
		case Move:
			moved[eff.Machine] = true
		case Poll:
			if eff.VM.ID == "vm-m-004" {
				return []Event{PollAnswered{VM: eff.VM, Sent: now, Result: worker.ResultUnknown}}
			}
			return []Event{PollAnswered{VM: eff.VM, Sent: now, Report: worker.Report{Clock: time.Minute}}}
		}
		return nil
	}
	now = now.Add(3 * time.Second)
	var answers []Event
	for _, eff := range sta.Reduce(now, []Event{VMRegistered{VM: next}}) {
		answers = append(answers, answer(now, eff)...)
	}
	now = now.Add(10 * time.Millisecond)
	sta.Reduce(now, answers)
	advance(sta, now.Add(10*time.Millisecond), 2*time.Second, answer)
	assert.Assert(t, len(moved) > 0)
	assert.Assert(t, !moved["m-004"])
	assert.Assert(t, sta.confirmListedVM(sta.machines.byName["m-005"]), "the VM of m-005 has answered since")
}
