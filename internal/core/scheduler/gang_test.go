package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// gangJob returns a job with a gang as its only step.
func gangJob(n, width int, cpu int64) job.Spec {
	return job.Spec{ID: jobName(n), Queue: "gate", Account: "large", Payload: "x", Steps: []job.Step{{
		Count: width, Size: job.Size{CPU: cpu, Memory: 512}, Estimate: time.Second, Gang: true,
	}}}
}

// TestGangWithinVMLimit checks that a gang of which two tasks may run on a VM
// is spread out, although all would fit onto one.
func TestGangWithinVMLimit(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 3, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	spe := gangJob(1, 6, 500)
	spe.Steps[0].MaxPerVM = 2
	emu.after(100*time.Millisecond, func() { emu.submit(spe) })
	emu.run(600 * time.Millisecond)
	for _, name := range emu.names {
		assert.Equal(t, len(emu.vms[name].runs), 2, "tasks on %s", name)
	}
}

// TestGangOnOneRack checks that a gang that is slow across racks is placed on
// one, although the first two VMs with capacity for a member are on different
// racks.
func TestGangOnOneRack(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 6, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	filler := fanOut(1, "large", 1, 8000, 20*time.Second)
	emu.after(100*time.Millisecond, func() { emu.submit(filler) })
	spe := gangJob(2, 2, 9000)
	spe.Steps[0].SameRack = true
	emu.after(200*time.Millisecond, func() { emu.submit(spe) })
	emu.run(600 * time.Millisecond)
	racks := map[string]int{}
	for _, name := range emu.names {
		for tas := range emu.vms[name].runs {
			if tas.Job == spe.ID {
				racks[emu.vms[name].vm.Rack]++
			}
		}
	}
	assert.Equal(t, len(racks), 1, "racks of the gang: %v", racks)
}

// TestGangMemberRefused checks that the other members of a gang do not wait
// alone when a VM refuses one of them: they are stopped, and the gang starts
// again with a higher run number.
func TestGangMemberRefused(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 2, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.run(50 * time.Millisecond)
	// A run that the dispatcher does not know takes up the capacity of one VM.
	emu.vms["lots-0"].runs[job.Task{Job: "other"}] = &emulatedRun{run: 1, since: emu.now, size: job.Size{CPU: 12_000}}
	emu.specs["other"] = job.Spec{}
	spe := gangJob(1, 2, 9000)
	emu.submit(spe)
	members := func() (n int) {
		for _, name := range emu.names {
			for tas := range emu.vms[name].runs {
				if tas.Job == spe.ID {
					n++
				}
			}
		}
		return n
	}
	alone, longest := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < 9*time.Second; at += 10 * time.Millisecond {
		emu.after(at, func() {
			if members() != 1 {
				alone = 0
				return
			}
			alone += 10 * time.Millisecond
			longest = max(longest, alone)
		})
	}
	emu.run(10 * time.Second)
	// VMs time out a member that waits alone for 3 s.
	assert.Assert(t, longest < 3*time.Second, "a member waited alone for %v", longest)
	_, ended := emu.finished[spe.ID]
	assert.Assert(t, ended, "the gang has not run")
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestGangSharesCheckpoint checks that all members of a gang restart from the
// same checkpoint after they reported different ones.
func TestGangSharesCheckpoint(t *testing.T) {
	sta := New(testOptions())
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	sta.opt.Since, sta.opt.Term = now, 1
	spe := gangJob(1, 2, 500)
	spe.Accepted = now
	one := testVM("vm-1")
	var starts []Start
	reduce := func(events ...Event) {
		now = now.Add(10 * time.Millisecond)
		for _, eff := range sta.Reduce(now, append(events, JobWatchProgressed{At: now})) {
			if sta, ok := eff.(Start); ok {
				starts = append(starts, sta)
			}
		}
	}
	name := job.Task{Job: spe.ID}
	oth := name
	oth.Index = 1
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, JobsLoaded{})
	reduce(PollAnswered{VM: one, Sent: now, Report: worker.Report{StartedAtMS: 1, Clock: time.Second}})
	reduce(JobAccepted{Spec: spe, Revision: 5})
	assert.Equal(t, len(starts), 2)
	reduce(PollAnswered{VM: one, Sent: now.Add(time.Millisecond), Report: worker.Report{StartedAtMS: 1, Clock: time.Second, Ends: []worker.End{
		{Number: 1, Task: name, Run: 1, Kind: worker.EndStopped, Checkpoint: "late"},
		{Number: 2, Task: oth, Run: 1, Kind: worker.EndGangBroken, Checkpoint: "early"},
	}}})
	for range 100 {
		reduce(Tick{})
	}
	assert.Equal(t, len(starts), 4)
	assert.Equal(t, starts[2].Run, 2)
	assert.Equal(t, starts[2].Checkpoint, starts[3].Checkpoint)
}
