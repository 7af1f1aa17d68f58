package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/blame"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// outageFixture is a dispatcher with VMs that its test answers for.
type outageFixture struct {
	sta *State
	now time.Time
	vms []worker.VM
	// down reports which VMs have crashed. Their machines are listed as down.
	down map[string]bool
	// starts counts the starts by VM.
	starts map[string]int
	// deadly reports whether each start crashes its VM before it is answered.
	deadly bool
	// holdLists reports whether lists of machines are not answered.
	holdLists bool
	// orders lists the machines that were ordered to move or to go down.
	orders []string
}

// newOutageFixture returns a dispatcher that all VMs have answered.
func newOutageFixture(count int) *outageFixture {
	fix := &outageFixture{now: time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC), down: map[string]bool{}, starts: map[string]int{}}
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = fix.now, 10, 1
	fix.sta = New(opt)
	events := []Event{CatalogChanged{testCatalog()}, JobsLoaded{}}
	for i := range count {
		vm := testVM(fmt.Sprintf("vm-%d", i))
		fix.vms = append(fix.vms, vm)
		events = append(events, VMRegistered{vm})
	}
	fix.reduce(events...)
	fix.run(time.Second)
	return fix
}

// add registers a further VM.
func (fix *outageFixture) add(id string) {
	vm := testVM(id)
	fix.vms = append(fix.vms, vm)
	fix.reduce(VMRegistered{vm})
}

// reduce passes events 50 ms later, and then the answers of the VMs and of the
// platform: VMs that are up carry out each order, the others stay silent.
func (fix *outageFixture) reduce(events ...Event) {
	fix.now = fix.now.Add(50 * time.Millisecond)
	effects := fix.sta.Reduce(fix.now, append(events, JobWatchProgressed{At: fix.now}))
	for len(effects) > 0 {
		var answers []Event
		for _, eff := range effects {
			answers = append(answers, fix.answer(eff)...)
		}
		effects = nil
		if len(answers) > 0 {
			fix.now = fix.now.Add(5 * time.Millisecond)
			effects = fix.sta.Reduce(fix.now, answers)
		}
	}
}

func (fix *outageFixture) answer(eff Effect) []Event {
	switch eff := eff.(type) {
	case Start:
		fix.starts[eff.VM.ID]++
		res := worker.ResultOK
		if fix.deadly {
			fix.down[eff.VM.ID] = true
		}
		if fix.down[eff.VM.ID] {
			res = worker.ResultUnknown
		}
		return []Event{StartAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run, Result: res}}
	case Poll:
		if fix.down[eff.VM.ID] {
			return []Event{PollAnswered{VM: eff.VM, Sent: fix.now, Result: worker.ResultUnknown}}
		}
		rep := worker.Report{StartedAtMS: eff.VM.StartedAtMS, Clock: fix.now.Sub(fix.sta.opt.Since)}
		if hos := fix.sta.hosts[eff.VM.ID]; hos != nil {
			for _, pla := range hos.runList {
				rep.Running = append(rep.Running, worker.Running{Task: pla.task, Run: pla.run, Percent: percentWorking})
			}
		}
		return []Event{PollAnswered{VM: eff.VM, Sent: fix.now, Report: rep}}
	case Upkeep:
		fix.orders = append(fix.orders, eff.Machine)
		return nil
	case Move:
		fix.orders = append(fix.orders, eff.Machine)
		return nil
	case ListMachines:
		if fix.holdLists {
			return nil
		}
		var all []worker.Machine
		for _, vm := range fix.vms {
			mac := worker.Machine{Name: "m-" + strings.TrimRight(vm.ID, "+"), Pool: vm.Pool, State: worker.MachineUp, VM: vm.ID, Capacity: vm.Capacity, AZ: vm.AZ}
			if fix.down[vm.ID] {
				mac.State = worker.MachineDown
			}
			all = append(all, mac)
		}
		return []Event{MachinesListed{RequestedAt: fix.now, Machines: all}}
	case Commit:
		return []Event{Committed{Revision: 100}}
	default:
		return nil
	}
}

// run lets time pass without events.
func (fix *outageFixture) run(span time.Duration) {
	for end := fix.now.Add(span); fix.now.Before(end); {
		fix.reduce(Tick{})
	}
}

// submit accepts a job of one step.
func (fix *outageFixture) submit(n, width int) *liveJob {
	spe := job.Spec{ID: jobName(n), Queue: "gate", Pool: "lots", MaxAttempts: 4, Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: width, Size: job.Size{CPU: 2000, Memory: 2400}, Estimate: 20 * time.Second},
	}}
	fix.reduce(JobAccepted{Spec: spe, Revision: 11})
	return fix.sta.jobs[spe.ID]
}

// crash takes down all VMs but the last few.
func (fix *outageFixture) crash(left int) {
	for _, vm := range fix.vms[:len(fix.vms)-left] {
		fix.down[vm.ID] = true
	}
}

// reboot starts new VMs on the machines that are down.
func (fix *outageFixture) reboot() {
	for i := range fix.vms {
		if vm := &fix.vms[i]; fix.down[vm.ID] {
			fix.restart(vm)
		}
	}
}

// restart replaces a VM by the next one on its machine.
func (fix *outageFixture) restart(vm *worker.VM) {
	delete(fix.down, vm.ID)
	vm.ID += "+"
	fix.reduce(VMRegistered{*vm})
}

// TestOutageOfIdleVMsGivesUpNoJob guards against an accepted job that is lost in
// the outage of an availability zone: its tasks are ordered on one idle VM after
// the other that is down as well, and each counted as crashed by them.
func TestOutageOfIdleVMsGivesUpNoJob(t *testing.T) {
	fix := newOutageFixture(8)
	liv := fix.submit(1, 8)
	assert.Equal(t, fix.starts["vm-0"], 8)
	fix.crash(1)
	fix.run(10 * time.Second)
	assert.Equal(t, liv.final, job.State(""))
	assert.Equal(t, fix.starts["vm-7"], 8)
}

// TestNoStartOnDownMachine guards against tasks that wait for the answers of
// idle VMs whose machines are known to be down.
func TestNoStartOnDownMachine(t *testing.T) {
	fix := newOutageFixture(8)
	fix.submit(1, 8)
	fix.crash(1)
	fix.run(10 * time.Second)
	for _, vm := range fix.vms[1:7] {
		assert.Equal(t, fix.starts[vm.ID], 0, vm.ID)
	}
}

// TestRepeatedOutagesGiveUpNoJob guards against giving up a job whose VMs were
// lost in several outages of availability zones, which no task causes.
func TestRepeatedOutagesGiveUpNoJob(t *testing.T) {
	fix := newOutageFixture(5)
	liv := fix.submit(1, 8)
	for range 4 {
		fix.crash(1)
		fix.run(5 * time.Second)
		fix.vms[0], fix.vms[4] = fix.vms[4], fix.vms[0]
		for i := range fix.vms[1:] {
			vm := &fix.vms[i+1]
			delete(fix.down, vm.ID)
			vm.ID += "+"
			fix.reduce(VMRegistered{*vm})
		}
		fix.run(2 * time.Second)
	}
	assert.Equal(t, liv.final, job.State(""))
}

// TestTaskThatCrashesVMsUnanswered guards against a task that crashes VMs for
// ever, as none of them lives to answer its start.
func TestTaskThatCrashesVMsUnanswered(t *testing.T) {
	fix := newOutageFixture(6)
	fix.deadly = true
	liv := fix.submit(1, 1)
	crashes := 0
	for range 10 {
		fix.run(4 * time.Second)
		crashes += len(fix.down)
		fix.reboot()
	}
	assert.Equal(t, liv.final, job.StateFailed)
	assert.Assert(t, crashes <= 2*maxCrashes, "%d VMs crashed", crashes)
}

// TestRackOutagesGiveUpNoJob guards against giving up a job whose VMs were lost
// in several outages of racks, which no task causes.
func TestRackOutagesGiveUpNoJob(t *testing.T) {
	fix := newOutageFixture(0)
	for i := range 12 {
		vm := testVM(fmt.Sprintf("vm-%02d", i))
		vm.Rack = fmt.Sprintf("r%d", i/4)
		fix.vms = append(fix.vms, vm)
		fix.reduce(VMRegistered{vm})
	}
	fix.run(time.Second)
	liv := fix.submit(1, 8)
	first := &liv.occs[0].stages[0].tasks[0]
	for range maxCrashes {
		assert.Assert(t, first.host != nil, "the job ended as %q", liv.final)
		rack := first.host.vm.Rack
		for _, vm := range fix.vms {
			fix.down[vm.ID] = vm.Rack == rack
		}
		fix.run(5 * time.Second)
		fix.reboot()
		fix.run(3 * time.Second)
	}
	assert.Equal(t, liv.final, job.State(""))
}

// TestOutageOfServingZoneIsNoCrash guards against counting the outage of an
// availability zone against the tasks that ran there, as none of its VMs was
// idle: tasks that have served for long are no cause either.
func TestOutageOfServingZoneIsNoCrash(t *testing.T) {
	fix := newOutageFixture(5)
	serving := job.Spec{ID: jobName(2), Queue: "settle", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: 10, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true},
	}}
	fix.reduce(JobAccepted{Spec: serving, Revision: 11})
	fix.run(blame.StartupTime + 2*time.Second)
	liv := fix.submit(1, 4)
	fix.crash(1)
	fix.run(5 * time.Second)
	assert.Equal(t, liv.occs[0].stages[0].tasks[0].blamed.Crashes, 0)
}

// submitSuspects restores a job of long tasks, each of which is a suspect.
func (fix *outageFixture) submitSuspects(count int) {
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: count, Size: job.Size{CPU: 2000, Memory: 2400}, Estimate: 20 * time.Second},
	}}
	var progress job.Progress
	for i := range count {
		progress.Tasks = append(progress.Tasks, job.TaskRecord{Index: i, Crashes: suspectCrashes, Run: 2})
	}
	fix.reduce(JobAccepted{Spec: spe, Revision: 11, Progress: progress})
	fix.run(time.Second)
}

// TestServingTaskStartsBesideSuspects guards against a serving task that waits
// for as long as suspects run, as each of them has a VM of its own.
func TestServingTaskStartsBesideSuspects(t *testing.T) {
	fix := newOutageFixture(6)
	fix.submitSuspects(8)
	serving := job.Spec{ID: jobName(2), Queue: "settle", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 500, Memory: 512}, LongRunning: true},
	}}
	fix.reduce(JobAccepted{Spec: serving, Revision: 12})
	fix.run(3 * time.Second)
	assert.Assert(t, fix.sta.jobs[serving.ID].begun)
}

// TestSuspectsUseFreeVMs guards against an accepted job that is lost as its tasks
// wait for other suspects beside free VMs.
func TestSuspectsUseFreeVMs(t *testing.T) {
	fix := newOutageFixture(8)
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: fix.now, Steps: []job.Step{
		{Count: 7, Size: job.Size{CPU: 2000, Memory: 2400}, Estimate: 20 * time.Second},
	}}
	var progress job.Progress
	for i := range spe.Steps[0].Count {
		progress.Tasks = append(progress.Tasks, job.TaskRecord{Index: i, Crashes: suspectCrashes, Run: 2})
	}
	fix.reduce(JobAccepted{Spec: spe, Revision: 11, Progress: progress})
	fix.run(time.Second)
	assert.Equal(t, len(fix.starts), 7)
}
