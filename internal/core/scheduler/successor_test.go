package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// cutAndKill cuts the first VM off, kills the dispatcher and heals the second VM.
func (fix *restartFixture) cutAndKill() {
	fix.first.partitioned = true
	fix.emu.heal(fix.oth)
	fix.emu.killDispatcher()
}

// TestLongLeaseOfRestartedVMOutlastsTakeover: a late poll for the former incarnation of a VM
// gives the next one its longest lease, 10 s. The dispatcher knows that, and is killed as the
// VM is cut off. Its successor takes all leases of former dispatchers for over after 4.2 s.
func TestLongLeaseOfRestartedVMOutlastsTakeover(t *testing.T) {
	for _, tst := range []struct {
		// cut is when the VM is cut off, counted from the late poll.
		delay, cut time.Duration
	}{
		{2 * time.Second, 100 * time.Millisecond},
		{5 * time.Second, 100 * time.Millisecond},
		{11900 * time.Millisecond, 100 * time.Millisecond},
		{5 * time.Second, -3 * time.Second},
		{11900 * time.Millisecond, -3 * time.Second},
	} {
		t.Run(tst.delay.String()+" "+tst.cut.String(), func(t *testing.T) {
			fix := newRestartFixture(t)
			fix.emu.submit(fanOut(1, "large", 1, 500, 2*time.Second))
			fix.delay = tst.delay
			fix.holds = func(eff Effect) bool {
				pol, ok := eff.(Poll)
				return ok && pol.VM.Address == fix.first.vm.Address && len(fix.first.runs) > 0
			}
			fix.pass(time.Second)
			assert.Assert(t, !fix.heldAt.IsZero())
			fix.at(1100*time.Millisecond, func() { fix.emu.crash(fix.first, 300*time.Millisecond) })
			fix.at(tst.delay+tst.cut-400*time.Millisecond, func() { fix.emu.submit(fanOut(2, "large", 1, 500, 20*time.Second)) })
			fix.at(tst.delay+tst.cut, func() {
				assert.Assert(t, fix.first.runs[job.Task{Job: jobName(2)}] != nil, "the task doesn't run")
				fix.cutAndKill()
			})
			fix.at(tst.delay+20*time.Second, func() { fix.emu.heal(fix.first) })
			fix.pass(120 * time.Second)
			fix.check(2)
		})
	}
}

// TestStartOnUnseenIncarnationOutlastsTakeover: no order is late. An idle VM restarts under its
// ID while registrations are silent; a start with a deadline on its former clock gives
// it the longest lease. The dispatcher is killed as the VM is cut off.
func TestStartOnUnseenIncarnationOutlastsTakeover(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
		fix := newRestartFixture(t)
		fix.pass(270 * time.Millisecond)
		fix.emu.registrationsSilent = true
		fix.emu.crash(fix.first, 20*time.Millisecond)
		fix.pass(100 * time.Millisecond)
		fix.emu.submit(fanOut(1, "large", 1, 500, 20*time.Second))
		fix.pass(after)
		assert.Assert(t, fix.first.runs[job.Task{Job: jobName(1)}] != nil, "the task doesn't run")
		fix.emu.registrationsSilent = false
		fix.cutAndKill()
		fix.pass(20 * time.Second)
		fix.emu.heal(fix.first)
		fix.pass(90 * time.Second)
		fix.check(1)
	}
}

// TestLongLeaseOutlastsSecondTakeover: the late poll of the first dispatcher reaches the VM before
// the second one, which knows that the lease may be long (vmclock.Leases.Accepted). It is killed
// as the VM is cut off, and the third one doesn't know it.
func TestLongLeaseOutlastsSecondTakeover(t *testing.T) {
	for _, delay := range []time.Duration{3 * time.Second, 8 * time.Second, 11900 * time.Millisecond} {
		fix := newRestartFixture(t)
		fix.emu.submit(fanOut(1, "large", 1, 500, 200*time.Millisecond))
		fix.delay = delay
		fix.holds = func(eff Effect) bool {
			pol, ok := eff.(Poll)
			return ok && pol.VM.Address == fix.first.vm.Address && len(fix.first.runs) > 0
		}
		fix.pass(100 * time.Millisecond)
		assert.Assert(t, !fix.heldAt.IsZero())
		fix.at(120*time.Millisecond, fix.emu.killDispatcher)
		const crashAt = 150 * time.Millisecond
		fix.at(crashAt, func() { fix.emu.crash(fix.first, delay-crashAt-time.Millisecond) })
		fix.at(delay, func() {
			assert.Equal(t, duty.TokenTerm(fix.first.fence), int64(1), "delay %v", delay)
			fix.emu.submit(fanOut(2, "large", 1, 500, 20*time.Second))
		})
		fix.at(delay+300*time.Millisecond, func() {
			assert.Assert(t, fix.first.runs[job.Task{Job: jobName(2)}] != nil, "delay %v: the task doesn't run", delay)
			fix.cutAndKill()
		})
		fix.at(delay+20*time.Second, func() { fix.emu.heal(fix.first) })
		fix.pass(120 * time.Second)
		assert.Equal(t, len(fix.emu.violations), 0, "delay %v: %s", delay, strings.Join(fix.emu.violations, "\n"))
		assert.Equal(t, len(fix.emu.finished), 2)
	}
}

// emulatedEndTimeout bounds how long a dispatcher that hands the duty back goes on.
const emulatedEndTimeout = 1800 * time.Millisecond

// handBack ends the dispatcher's tenure as a handback or a SIGTERM does (election.hold): once
// the dispatcher may end, or after a timeout, the lease is ended, so the next tenure begins
// after a moment.
func (emu *emulator) handBack() {
	if emu.dispatcherDown || emu.sched == nil || emu.ending {
		return
	}
	emu.ending = true
	emu.deliver(TenureEnding{})
	term := emu.term
	emu.after(emulatedEndTimeout, func() {
		if term == emu.term {
			emu.releaseDuty()
		}
	})
}

// releaseDuty stops the dispatcher and ends its lease.
func (emu *emulator) releaseDuty() {
	if emu.dispatcherDown {
		return
	}
	opt := emu.opt
	emu.dispatcherDown = true
	emu.after(20*time.Millisecond, func() { emu.takeOver(opt) })
}

// TestMachineOrderUnderWayAtHandback: the platform takes 0.9 s to carry out an order for a
// machine. The dispatcher hands the duty back just after two orders. Its successor waits
// for 0.6 s only and sees both machines up, with tasks that it has started there itself.
func TestMachineOrderUnderWayAtHandback(t *testing.T) {
	for _, slow := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
		for _, handBack := range []bool{false, true} {
			emu := newEmulator(1, testCatalog())
			emu.addVMs("lots", 8, 2, job.Size{CPU: 16_000, Memory: 32_768})
			emu.takeOver(testOptions())
			emu.run(2 * time.Second)
			emu.slowMachineOrder = slow
			once := false
			emu.onDecision = func(name string) {
				if name != "upkeep_ordered" || once {
					return
				}
				once = true
				emu.after(5*time.Millisecond, func() {
					if handBack {
						emu.handBack()
					}
					emu.after(100*time.Millisecond, func() { emu.submit(fanOut(1, "large", 2, 9_000, 20*time.Second)) })
				})
			}
			emu.requestWave(upkeep.Wave{Number: 1, Machines: emu.names, Duration: 60 * time.Second, Cap: 2})
			emu.run(50 * time.Second)
			assert.Check(t, len(emu.violations) == 0, "slow %v, handback %v: %s", slow, handBack, strings.Join(emu.violations, "\n"))
		}
	}
}

// TestStopUnderWayAtHandback: a task that serves is stopped to relocate it, which takes as long
// as stop-ms, and the dispatcher hands the duty back. Its successor finds the run listed and takes
// it for one at work, and stops another task of the step, as it knows the runs of a VM in another
// order.
func TestStopUnderWayAtHandback(t *testing.T) {
	for _, stop := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		for _, handBack := range []bool{false, true} {
			emu := newEmulator(1, testCatalog())
			emu.stopTime, emu.startup = stop, 800*time.Millisecond
			emu.addVMs("lots", 6, 2, job.Size{CPU: 16_000, Memory: 32_768})
			opt := testOptions()
			opt.StopTime = stop
			emu.takeOver(opt)
			emu.submit(job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{{
				Count: 8, Size: job.Size{CPU: 1500, Memory: 4096}, LongRunning: true, MaxUnavailable: 1,
			}}})
			emu.run(4 * time.Second)
			once := false
			emu.onDecision = func(name string) {
				if name == "task_relocated" && !once && handBack {
					once = true
					emu.after(6*time.Millisecond, emu.handBack)
				}
			}
			fewest := 8
			for at := time.Duration(0); at < 56*time.Second; at += 5 * time.Millisecond {
				emu.after(at, func() {
					working := 0
					for _, vm := range emu.vms {
						for _, run := range vm.runs {
							if emu.now.Sub(run.since) >= emu.startup {
								working++
							}
						}
					}
					fewest = min(fewest, working)
				})
			}
			// The task of lots-2 goes to lots-3, whose runs are then known in another order than
			// that of a report.
			emu.requestWave(upkeep.Wave{Number: 1, Machines: []string{"lots-2"}, Duration: 60 * time.Second, Cap: 3})
			emu.run(12 * time.Second)
			emu.requestWave(upkeep.Wave{Number: 2, Machines: []string{"lots-3"}, Duration: 60 * time.Second, Cap: 3})
			emu.run(60 * time.Second)
			assert.Check(t, emu.decisions["task_relocated"] > 0)
			assert.Check(t, fewest >= 7, "stop %v, handback %v: only %d of 8 tasks were at work at one time, decisions %v", stop, handBack, fewest, emu.decisions)
			assert.Check(t, len(emu.violations) == 0, "stop %v, handback %v: %s", stop, handBack, strings.Join(emu.violations, "\n"))
		}
	}
}

// TestPausedTaskOfFormerDispatcherGoesOn: a former dispatcher has paused a best-effort task beside a
// serving one. Its successor takes it for one at full pace and gives no order, however far
// the serving task is below its target.
func TestPausedTaskOfFormerDispatcherGoesOn(t *testing.T) {
	for _, beside := range []bool{true, false} {
		now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
		sta, vm, serving, filling := servingBesideFilling(now)
		// The pace that the former dispatcher has ordered; the VM doesn't report it.
		pace := 0
		reduce := func(events ...Event) {
			now = reduceAnswered(sta, now, events, func(eff Effect) []Event {
				switch eff := eff.(type) {
				case Pace:
					pace = eff.Percent
					return []Event{PaceAnswered{VM: eff.VM, Task: eff.Task, Percent: eff.Percent}}
				case Poll:
					rep := worker.Report{StartedAtMS: vm.StartedAtMS, Clock: now.Sub(sta.opt.Since) + time.Minute, Running: []worker.Running{
						{Task: job.Task{Job: filling.ID}, Run: 1, Percent: 10},
					}}
					if beside {
						rep.Running = append(rep.Running, worker.Running{Task: job.Task{Job: serving.ID}, Run: 1, Percent: 100, Load: 10})
					}
					return []Event{PollAnswered{VM: vm, Sent: now, Report: rep}}
				}
				return nil
			})
		}
		reduce(CatalogChanged{testCatalog()}, VMRegistered{vm}, JobAccepted{Spec: serving, Revision: 5}, JobAccepted{Spec: filling, Revision: 6}, JobsLoaded{})
		for end := now.Add(30 * time.Second); now.Before(end); {
			reduce(Tick{})
		}
		assert.Check(t, pace == 100, "beside a serving task: %v: the task is at a pace of %d%% after 30 s", beside, pace)
	}
}

// TestOrphansOfEndedJobCountAgainstCap: runs of a job that ended as cancelled outlast the takeover,
// as their stops are held up. The successor doesn't know their account, and stops to count
// them once leases of former dispatchers are over, though its own polls extend theirs.
func TestOrphansOfEndedJobCountAgainstCap(t *testing.T) {
	for _, held := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 8 * time.Second} {
		emu := newEmulator(1, testCatalog())
		emu.addVMs("lots", 4, 2, job.Size{CPU: 16_000, Memory: 32_768})
		emu.takeOver(testOptions())
		emu.submit(fanOut(1, "small", 3, 8_000, 60*time.Second))
		emu.run(2 * time.Second)
		until := emu.now.Add(held)
		emu.late = func(eff Effect) time.Duration {
			if _, ok := eff.(Stop); ok && emu.now.Before(until) {
				return 11 * time.Second
			}
			return 0
		}
		emu.cancel(jobName(1))
		emu.run(2300 * time.Millisecond)
		emu.killDispatcher()
		emu.submit(fanOut(2, "small", 3, 8_000, 3*time.Second))
		emu.run(60 * time.Second)
		assert.Check(t, len(emu.violations) == 0, "held up for %v: %s", held, strings.Join(emu.violations, "\n"))
		assert.Check(t, len(emu.finished) == 2)
	}
}

// TestFormerEndOfGangStopsNoLaterRun: a gang has started again after one of its members ended, and that
// end is reported once more: to a successor, as the former dispatcher was killed before it
// acknowledged it, or first of all by a VM that was cut off. It ended a former run.
func TestFormerEndOfGangStopsNoLaterRun(t *testing.T) {
	for _, takeover := range []bool{true, false} {
		now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
		opt := testOptions()
		opt.Since, opt.Revision, opt.Term = now, 10, 2
		sta := New(opt)
		vms := []worker.VM{testVM("vm-1"), testVM("vm-2"), testVM("vm-3")}
		spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: now, Steps: []job.Step{
			{Count: 2, Size: job.Size{CPU: 500, Memory: 512}, Gang: true, Estimate: 10 * time.Second},
		}}
		stops := 0
		reported := takeover
		reduce := func(events ...Event) {
			now = reduceAnswered(sta, now, events, func(eff Effect) []Event {
				switch eff := eff.(type) {
				case Stop:
					stops++
				case Poll:
					rep := worker.Report{StartedAtMS: 1, Clock: now.Sub(sta.opt.Since) + time.Minute}
					switch eff.VM.ID {
					case "vm-1", "vm-2":
						index := int(eff.VM.ID[3] - '1')
						rep.Running = []worker.Running{{Task: job.Task{Job: spe.ID, Index: index}, Run: 2, Percent: 10}}
					case "vm-3":
						if reported && eff.Acked == 0 {
							rep.Ends = []worker.End{{Number: 1, Task: job.Task{Job: spe.ID}, Run: 1, Kind: worker.EndLeaseExpired}}
						}
					}
					return []Event{PollAnswered{VM: eff.VM, Sent: now, Report: rep}}
				}
				return nil
			})
		}
		reduce(CatalogChanged{testCatalog()}, VMRegistered{vms[0]}, VMRegistered{vms[1]}, VMRegistered{vms[2]}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{})
		for range 100 {
			reduce(Tick{})
		}
		if !takeover {
			reported = true
			sta.hosts["vm-3"].reportDue = true
		}
		for range 100 {
			reduce(Tick{})
		}
		assert.Check(t, stops == 0, "takeover %v: %d stops of the present run", takeover, stops)
	}
}

// TestHoldersDontOrderOneMachineInTurn: a dispatcher hands the duty back between an order for
// upkeep and the record of it. Its successor orders the same machine again as it is
// back, within lease-ms (3 s) of the first order, and both processes are in touch.
func TestHoldersDontOrderOneMachineInTurn(t *testing.T) {
	const leaseTime = 3 * time.Second
	emu := newEmulator(1, testCatalog())
	emu.upkeepTime = 2 * time.Second
	emu.addVMs("lots", 4, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.run(2 * time.Second)
	type order struct {
		term int64
		at   time.Time
	}
	last := map[string]order{}
	emu.onUpkeep = func(machine string) {
		if len(last) == 0 {
			emu.after(time.Millisecond, emu.handBack)
		}
		if old, ok := last[machine]; ok && old.term != emu.term && emu.now.Sub(old.at) < leaseTime {
			emu.fail("%s is ordered with term %d, %v after an order with term %d", machine, emu.term, emu.now.Sub(old.at), old.term)
		}
		last[machine] = order{emu.term, emu.now}
	}
	emu.requestWave(upkeep.Wave{Number: 1, Machines: emu.names, Duration: 60 * time.Second, Cap: 1})
	emu.run(40 * time.Second)
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestWaveKeepsItsTimeAfterTakeover: a wave's time counts from the request. The successor counts it
// anew, so a machine whose task doesn't end has its upkeep late.
func TestWaveKeepsItsTimeAfterTakeover(t *testing.T) {
	const duration = 20 * time.Second
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 2, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.submit(fanOut(1, "large", 2, 12_000, 100*time.Second))
	emu.run(2 * time.Second)
	requested := emu.now
	ordered := map[string]time.Time{}
	emu.onUpkeep = func(machine string) { ordered[machine] = emu.now }
	emu.requestWave(upkeep.Wave{Number: 1, Machines: emu.names, Duration: duration, Cap: 2})
	emu.after(duration/2, emu.killDispatcher)
	emu.run(60 * time.Second)
	for _, name := range emu.names {
		assert.Check(t, ordered[name].Sub(requested) < duration, "upkeep of %s is ordered after %v of %v", name, ordered[name].Sub(requested), duration)
	}
}

// TestSuccessorRaisesNoPaceBesideLateTask: a former dispatcher has slowed a best-effort task down to 10%, and
// the serving task beside it is near its target. The successor's first cut, to half of a full
// pace that isn't there, makes the best-effort task faster.
func TestSuccessorRaisesNoPaceBesideLateTask(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	sta, vm, serving, filling := servingBesideFilling(now)
	pace := 10
	reduce := func(events ...Event) {
		now = reduceAnswered(sta, now, events, func(eff Effect) []Event {
			switch eff := eff.(type) {
			case Pace:
				assert.Check(t, eff.Percent <= pace, "the pace rises from %d%% to %d%%", pace, eff.Percent)
				pace = eff.Percent
				return []Event{PaceAnswered{VM: eff.VM, Task: eff.Task, Percent: eff.Percent}}
			case Poll:
				return []Event{PollAnswered{VM: vm, Sent: now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: now.Sub(sta.opt.Since) + time.Minute, Running: []worker.Running{
					{Task: job.Task{Job: filling.ID}, Run: 1, Percent: 10},
					{Task: job.Task{Job: serving.ID}, Run: 1, Percent: 100, Load: 95},
				}}}}
			}
			return nil
		})
	}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{vm}, JobAccepted{Spec: serving, Revision: 5}, JobAccepted{Spec: filling, Revision: 6}, JobsLoaded{})
	for end := now.Add(5 * time.Second); now.Before(end); {
		reduce(Tick{})
	}
}

// TestRecordedOccurrenceNotYetDue: a former dispatcher whose clock was ahead has started an occurrence and
// recorded one of its tasks. By the successor's clock it isn't due; the other tasks must wait
// as they do beside a run that is reported (stageOfRun).
func TestRecordedOccurrenceNotYetDue(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 2
	sta := New(opt)
	spe := job.Spec{
		ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: now.Add(-time.Minute), Occurrences: 1, Interval: time.Minute, FirstDue: now.Add(10 * time.Second),
		Steps: []job.Step{{Count: 2, Size: job.Size{CPU: 500, Memory: 512}, Estimate: time.Second}},
	}
	vm, machines := testVM("vm-1"), []worker.Machine{{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: "vm-1"}}
	var running []worker.Running
	reduce := func(events ...Event) {
		now = reduceAnswered(sta, now, events, func(eff Effect) []Event {
			switch eff := eff.(type) {
			case Start:
				assert.Check(t, !now.Before(spe.FirstDue), "%s starts %v before it is due", eff.Task, spe.FirstDue.Sub(now))
				running = append(running, worker.Running{Task: eff.Task, Run: eff.Run})
				return []Event{StartAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run}}
			case Poll:
				return []Event{PollAnswered{VM: vm, Sent: now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: now.Sub(sta.opt.Since) + time.Minute, Running: running}}}
			case ListMachines:
				return []Event{MachinesListed{RequestedAt: now, Machines: machines}}
			}
			return nil
		})
	}
	stored := job.Progress{Tasks: []job.TaskRecord{{Index: 0, Done: true, Run: 1}}}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{vm}, JobAccepted{Spec: spe, Revision: 5, Progress: stored, ProgressRevision: 6}, JobsLoaded{})
	for end := now.Add(2 * time.Second); now.Before(end); {
		reduce(Tick{})
	}
}

// TestSuccessorKeepsRunAtWork: two VMs list a run of one serving task, as a late start has begun on a
// VM that restarted under its ID (start-for-former-incarnation.md). The successor keeps the run that is
// reported first and stops the other one, which has the higher number and is at work, whatever its
// step's budget allows.
func TestSuccessorKeepsRunAtWork(t *testing.T) {
	for _, late := range []string{"vm-1", "vm-2"} {
		now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
		opt := testOptions()
		opt.Since, opt.Revision, opt.Term = now, 10, 2
		sta := New(opt)
		spe := job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Accepted: now, Steps: []job.Step{
			{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
		}}
		reduce := func(events ...Event) {
			now = reduceAnswered(sta, now, events, func(eff Effect) []Event {
				switch eff := eff.(type) {
				case Stop:
					assert.Check(t, eff.VM.ID == late, "late start on %s: run %d on %s is stopped, which is at work", late, eff.Run, eff.VM.ID)
				case Poll:
					row := worker.Running{Task: job.Task{Job: spe.ID}, Run: 2, Percent: 100}
					if eff.VM.ID == late {
						row.Run, row.Percent = 1, 0
					}
					return []Event{PollAnswered{VM: eff.VM, Sent: now, Report: worker.Report{StartedAtMS: 1, Clock: now.Sub(sta.opt.Since) + time.Minute, Running: []worker.Running{row}}}}
				}
				return nil
			})
		}
		reduce(CatalogChanged{testCatalog()}, VMRegistered{testVM("vm-1")}, VMRegistered{testVM("vm-2")}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{})
		for range 20 {
			reduce(Tick{})
		}
	}
}

// TestFaultInjectionWithHandbacks checks the invariants while the duty is handed back often. Each of
// them begins a tenure at once, while starts and polls of the last one are under way.
func TestFaultInjectionWithHandbacks(t *testing.T) {
	for seed := range uint64(20) {
		checkFaultScenario(t, 20000+seed, faultOptions{handBacks: 8, repeats: int(seed % 4)})
	}
}

// TestFaultInjectionWithSlowMachineOrders does the same while the platform takes 0.9 s for an order
// for a machine.
func TestFaultInjectionWithSlowMachineOrders(t *testing.T) {
	for _, seed := range []uint64{20019, 20065, 20079, 20097, 20169, 20179} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			checkFaultScenario(t, seed, faultOptions{handBacks: 8, slowMachineOrder: 900 * time.Millisecond})
		})
	}
}
