package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// oddEvents draws events whose fields are as odd as package platform lets them
// pass: sizes and numbers at their limits, names that don't exist, lists that
// contradict each other.
type oddEvents struct {
	rng  *rand.Rand
	now  time.Time
	sent int
	// started holds the runs that were ordered and have not ended, by VM, and ended
	// the number of the last end.
	started map[string][]Start
	ended   map[string]int64
}

func pick[T any](odd *oddEvents, all ...T) T { return all[odd.rng.IntN(len(all))] }

func (odd *oddEvents) number() int64 {
	return pick[int64](odd, 0, 1, 2, 7, 1000, 1<<31, 1<<40, 1<<53)
}

func (odd *oddEvents) span() time.Duration {
	return pick[time.Duration](odd, 0, time.Millisecond, time.Second, time.Hour, job.MaxDuration, 100*366*24*time.Hour)
}

func (odd *oddEvents) machineSize() job.Size {
	return job.Size{CPU: pick[int64](odd, 0, 1, 16_000, 10_000_000), Memory: pick[int64](odd, 0, 32_768, 1_000_000_000), Accelerators: pick[int64](odd, 0, 1, 10_000)}
}

// chance reports true in a share of the draws, in percent.
func (odd *oddEvents) chance(percent int) bool { return odd.rng.IntN(100) < percent }

func (odd *oddEvents) vm() worker.VM {
	if odd.chance(80) {
		return goodVM(odd.rng.IntN(3))
	}
	return worker.VM{
		ID: pick(odd, "vm-0", "vm-1", "vm-2", "vm-3"), StartedAtMS: pick[int64](odd, 0, 0, 5, 1<<53), Pool: pick(odd, "lots", "lots", "none"),
		Address: pick(odd, "a:1", "a:1", "b:1"), AZ: pick(odd, "az0", "az1"), Labels: pick(odd, nil, []string{"a"}, []string{"a", "r1"}),
		Rack: pick(odd, "", "r1"), Capacity: odd.machineSize(), Leaving: odd.rng.IntN(8) == 0, ColdRemaining: odd.span(),
	}
}

// goodVM returns one of the VMs that run tasks.
func goodVM(num int) worker.VM {
	return worker.VM{
		ID: fmt.Sprintf("vm-%d", num), Pool: "lots", Address: fmt.Sprintf("a:%d", num+1), AZ: "az0", Labels: []string{"a", "r1"}, Rack: "r1",
		Capacity: job.Size{CPU: 16_000, Memory: 32_768},
	}
}

func (odd *oddEvents) task() job.Task {
	return job.Task{Job: jobName(odd.rng.IntN(6)), Occurrence: pick(odd, 0, 0, 0, 1, 1<<50), Step: pick(odd, 0, 0, 1, 2, 1<<50), Index: pick(odd, 0, 0, 1, 1, 1<<50)}
}

func (odd *oddEvents) spec() job.Spec {
	odd.sent++
	if odd.chance(60) {
		spe := fanOut(odd.rng.IntN(40), pick(odd, "small", "large"), 1+odd.rng.IntN(3), 500, time.Second)
		spe.Accepted = odd.now
		spe.Queue = pick(odd, "gate", "advised")
		spe.Steps[0].LongRunning, spe.Steps[0].Gang, spe.Steps[0].Speculative = odd.chance(10), odd.chance(20), odd.chance(20)
		return spe
	}
	spe := job.Spec{ID: jobName(odd.rng.IntN(6)), Queue: pick(odd, "gate", "settle", "advised", "none"), Account: pick(odd, "small", "large", "none"), Accepted: odd.now.Add(-pick(odd, time.Duration(0), odd.span()))}
	for i := range 1 + odd.rng.IntN(3) {
		ste := job.Step{
			Count: pick(odd, 1, 2, 5), Size: job.Size{CPU: pick[int64](odd, 0, 1000, 16_000, job.MaxAmount), Memory: pick[int64](odd, 0, 100, job.MaxAmount), Accelerators: pick[int64](odd, 0, 0, 1, job.MaxAmount)},
			Estimate: pick(odd, 0, time.Millisecond, time.Second, job.MaxDuration), Checkpointing: odd.rng.IntN(2) == 0, Gang: odd.rng.IntN(4) == 0, SameRack: odd.rng.IntN(4) == 0,
			Label: pick(odd, "", "", "a", "none"), DataRack: pick(odd, "", "r1", "none"), MaxPerVM: pick(odd, 0, 0, 1, 1<<50), Speculative: odd.rng.IntN(4) == 0,
			LongRunning: odd.rng.IntN(5) == 0, Image: pick(odd, "", "i", "k"), TailTarget: pick(odd, 0, 0, time.Millisecond, job.MaxDuration), BestEffort: odd.rng.IntN(4) == 0, MaxUnavailable: pick(odd, 0, 1, 1<<50),
		}
		for dep := range i {
			if odd.rng.IntN(2) == 0 {
				ste.After = append(ste.After, dep, dep)
			}
		}
		spe.Steps = append(spe.Steps, ste)
	}
	if odd.rng.IntN(4) == 0 {
		spe.Occurrences, spe.FirstDue, spe.Interval = 3, odd.now.Add(-odd.span()), pick(odd, 0, time.Second, time.Hour)
	}
	return spe
}

func (odd *oddEvents) report(id string) (rep worker.Report) {
	rep.Clock = odd.span()
	if odd.chance(1) {
		rep.StartedAtMS = pick[int64](odd, 5, 1<<53)
	}
	for _, ord := range odd.started[id] {
		if odd.chance(80) {
			rep.Running = append(rep.Running, worker.Running{Task: ord.Task, Run: ord.Run, Percent: pick(odd, 50, 100)})
		} else {
			odd.ended[id]++
			rep.Ends = append(rep.Ends, worker.End{Number: odd.ended[id], Task: ord.Task, Run: ord.Run, Kind: pick(odd, worker.EndDone, worker.EndDone, worker.EndFailed)})
		}
	}
	odd.started[id] = nil
	for _, row := range rep.Running {
		odd.started[id] = append(odd.started[id], Start{Task: row.Task, Run: row.Run})
	}
	if odd.chance(70) {
		return rep
	}
	for range odd.rng.IntN(5) {
		rep.Running = append(rep.Running, worker.Running{Task: odd.task(), Run: int(odd.number()), Checkpoint: pick(odd, "", "c"), Percent: pick(odd, 0, 50, 100), Load: odd.number()})
	}
	number := pick[int64](odd, 1, 1, 2, 1<<53-10)
	for range odd.rng.IntN(5) {
		rep.Ends = append(rep.Ends, worker.End{Number: number, Task: odd.task(), Run: int(odd.number()), Kind: pick[worker.EndKind](odd, worker.EndDone, worker.EndFailed, worker.EndStopped, worker.EndLeaseExpired, worker.EndGangBroken, worker.EndGangIncomplete, "odd", ""), Checkpoint: pick(odd, "", "c")})
		number += pick[int64](odd, 0, 1, 3)
	}
	return rep
}

func (odd *oddEvents) machines() (all []worker.Machine) {
	for i := range 3 {
		all = append(all, worker.Machine{Name: fmt.Sprintf("m-%d", i), Pool: "lots", State: worker.MachineUp, AZ: "az0", Labels: []string{"a", "r1"}, Capacity: goodVM(i).Capacity, VM: goodVM(i).ID})
	}
	if odd.chance(95) {
		return all
	}
	for i := range odd.rng.IntN(6) {
		all = append(all, worker.Machine{
			Name: pick(odd, "m-0", "m-1", "m-2", fmt.Sprint(i), ""), Pool: pick(odd, "lots", "none", ""), State: pick[worker.MachineState](odd, worker.MachineUp, worker.MachineUp, worker.MachineMoving, worker.MachineUpkeep, worker.MachineDown, "odd"),
			AZ: pick(odd, "az0", ""), Labels: pick(odd, nil, []string{"a", "r1"}), Capacity: odd.machineSize(), VM: pick(odd, "vm-0", "vm-1", "vm-2", ""),
		})
	}
	return all
}

// goodAnswer returns the answer to an effect that was carried out.
func (odd *oddEvents) goodAnswer(eff Effect) Event {
	switch eff := eff.(type) {
	case Poll:
		return PollAnswered{VM: eff.VM, Sent: odd.now, Report: odd.report(eff.VM.ID)}
	case Start:
		odd.started[eff.VM.ID] = append(odd.started[eff.VM.ID], eff)
		return StartAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run}
	case Stop:
		return StopAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run}
	case Pace:
		return PaceAnswered{VM: eff.VM, Task: eff.Task, Percent: eff.Percent}
	case Commit:
		odd.sent++
		return Committed{Revision: kv.Revision(1000 + odd.sent)}
	case ListMachines:
		return MachinesListed{RequestedAt: odd.now, Machines: odd.machines()}
	case QueryAdvisor:
		return AdvisorAnswered{
			Job: eff.Job, Occurrence: eff.Occurrence, Step: eff.Step, VMs: eff.VMs, Sent: odd.now,
			Tickets: map[string]string{"vm-0": "t", "vm-1": pick(odd, "t", ""), "": "", "none": "t"}, Valid: odd.span(),
		}
	case Upkeep:
		return MachineAnswered{Machine: eff.Machine, Wave: eff.Wave, Result: worker.MachineOK}
	case Move:
		return MachineAnswered{Machine: eff.Machine, Result: worker.MachineOK}
	default:
		return Tick{}
	}
}

// answer returns an answer that may belong to an effect or to none.
func (odd *oddEvents) answer(eff Effect) Event {
	if odd.chance(97) {
		return odd.goodAnswer(eff)
	}
	res := worker.Result(odd.rng.IntN(int(worker.ResultInvalid) + 1))
	if res == worker.ResultFenced {
		res = worker.ResultOK
	}
	switch eff := eff.(type) {
	case Poll:
		return PollAnswered{VM: eff.VM, Sent: odd.now.Add(-time.Second), Report: odd.report(eff.VM.ID), Result: pick(odd, worker.ResultOK, worker.ResultOK, res)}
	case Start:
		return StartAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run, Result: res}
	case Stop:
		return StopAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run, Result: res}
	case Pace:
		return PaceAnswered{VM: eff.VM, Task: eff.Task, Percent: eff.Percent, Result: res}
	case Commit:
		odd.sent++
		return Committed{Revision: kv.Revision(1000 + odd.sent), Err: pick[error](odd, nil, nil, kv.ErrNotDone, kv.ErrUnknown)}
	case ListMachines:
		return MachinesListed{RequestedAt: odd.now, Machines: odd.machines()}
	case Upkeep:
		return MachineAnswered{Machine: eff.Machine, Wave: eff.Wave, Result: worker.MachineResult(odd.rng.IntN(int(worker.MachineFenced)))}
	case Move:
		return MachineAnswered{Machine: eff.Machine, Result: worker.MachineResult(odd.rng.IntN(int(worker.MachineFenced)))}
	default:
		return Tick{}
	}
}

func (odd *oddEvents) event() Event {
	switch odd.rng.IntN(9) {
	case 0:
		return VMRegistered{VM: odd.vm()}
	case 1:
		return VMUnregistered{ID: pick(odd, "vm-0", "vm-1", "", "none")}
	case 2:
		return JobAccepted{Spec: odd.spec(), Revision: kv.Revision(10 + odd.sent), Progress: job.Progress{Tasks: []job.TaskRecord{
			{Occurrence: pick(odd, 0, 1<<50), Step: pick(odd, 0, 1, 1<<50), Index: pick(odd, 0, 1, 1<<50), Done: odd.rng.IntN(2) == 0, Run: int(odd.number()), Crashes: pick(odd, 0, 1, 1<<50), FailedRuns: []int{1, 1, -1}},
		}}}
	case 3:
		return JobCancelled{ID: jobName(odd.rng.IntN(8))}
	case 4:
		return MachinesListed{RequestedAt: odd.now, Machines: odd.machines()}
	case 5:
		return PollAnswered{VM: odd.vm(), Sent: odd.now.Add(-time.Second), Report: odd.report("none")}
	case 6:
		return WaveRequested{Wave: upkeep.Wave{Number: odd.number(), Machines: []string{"m-0", "m-0", "none", ""}, Duration: odd.span(), Cap: pick(odd, 1, 2, 1_000_000), Revision: odd.number(), Changed: odd.number()}, Begun: pick(odd, nil, []string{"m-0", "x"}), Former: []string{"m-1", "x"}}
	case 7:
		return WaveWithdrawn{Number: odd.number()}
	default:
		return ZonesChanged{Out: pick(odd, nil, nil, map[string]bool{"az0": true, "none": true, "": true})}
	}
}

// TestOddEventsDontEndDispatcher guards against a reducer that panics, or takes
// ever more effects for a step, by what others register and report.
func TestOddEventsDontEndDispatcher(t *testing.T) {
	cat := testCatalog()
	advised := cat.Queues[0]
	advised.Name, advised.Advice = "advised", &job.Advice{BaseLatency: time.Millisecond, LatencyPerVM: time.Millisecond, Valid: time.Second}
	cat.Queues = append(cat.Queues, advised)
	cat = catalog.New(cat)
	starts := 0
	for seed := range uint64(150) {
		odd := &oddEvents{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0), started: map[string][]Start{}, ended: map[string]int64{}}
		opt := testOptions()
		opt.Since, opt.Term, opt.Revision, opt.KeepEnded = odd.now, pick[int64](odd, 1, 2, 1<<40), 5, time.Minute
		sta := New(opt)
		batch := []Event{JobWatchProgressed{At: odd.now}, CatalogChanged{Catalog: cat}, JobsLoaded{}, AdvisorSlotsChanged{Count: 2}}
		for i := range 3 {
			batch = append(batch, VMRegistered{VM: goodVM(i)})
		}
		for range 200 {
			odd.now = odd.now.Add(pick(odd, 0, 40*time.Millisecond, 400*time.Millisecond, 5*time.Second))
			effects := sta.Reduce(odd.now, batch)
			assert.Assert(t, len(effects) < 2000, "seed %d: %d effects", seed, len(effects))
			batch = append(batch[:0], JobWatchProgressed{At: odd.now})
			for _, eff := range effects {
				if _, ok := eff.(Start); ok {
					starts++
				}
				if odd.chance(98) {
					batch = append(batch, odd.answer(eff))
				}
			}
			for range odd.rng.IntN(3) {
				batch = append(batch, odd.event())
			}
			if loa, ok := sta.Load(); ok {
				_, _ = loa.Admit(&testCatalog().Queues[0], odd.spec())
				for _, waits := range loa.Backlog {
					for _, wait := range waits {
						assert.Assert(t, wait >= 0, "seed %d: backlog of %s", seed, wait)
					}
				}
			}
		}
	}
	assert.Assert(t, starts > 1000, "%d runs were started", starts)
}
