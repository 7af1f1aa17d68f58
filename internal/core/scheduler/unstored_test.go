package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestMachineWithUnstoredEnd guards against done tasks that start again after a
// takeover: their VM was moved or went down for upkeep before the ends that it
// had reported were stored.
func TestMachineWithUnstoredEnd(t *testing.T) {
	sta, reduce := newTenure()
	one, oth := testVM("vm-1"), testVM("vm-2")
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 2, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: time.Minute},
	}}
	running := func(vm worker.VM, index int) PollAnswered {
		return PollAnswered{VM: vm, Sent: sta.now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: time.Second, Running: []worker.Running{
			{Task: job.Task{Job: spe.ID, Index: index}, Run: 3},
		}}}
	}
	list := func() MachinesListed {
		return MachinesListed{RequestedAt: sta.now, Machines: []worker.Machine{
			{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}, {Name: "m-2", Pool: "lots", State: worker.MachineUp, VM: oth.ID},
		}}
	}
	movable := func() (names []string) {
		for _, idl := range sta.rebalancePools()[0].Idle {
			names = append(names, idl.Machine)
		}
		return names
	}
	for range 10 {
		reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, VMRegistered{oth}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{}, running(one, 0), running(oth, 1), list())
	}
	done := reportedEnd(one, sta.now, worker.End{Number: 1, Task: job.Task{Job: spe.ID}, Run: 3, Kind: worker.EndDone})
	reduce(done, running(oth, 1))
	for range 3 {
		reduce(running(oth, 1), list())
		assert.Equal(t, len(movable()), 0, "the end is not stored")
	}
	reduce(WaveRequested{Wave: upkeep.Wave{Number: 1, Machines: []string{"m-1"}, Duration: 2 * time.Second, Cap: 1}})
	for range 30 {
		reduce(running(oth, 1), list())
		assert.Assert(t, !sta.hosts[one.ID].goingDown, "the end is not stored")
	}
	assert.Assert(t, sta.commit.inFlight)
	assert.Assert(t, sta.hosts[one.ID].cordoned, "no new tasks start on the machine")
	reduce(Committed{Revision: 20}, running(oth, 1), list())
	assert.Assert(t, sta.hosts[one.ID].ackableUpTo == 1)
	assert.Assert(t, sta.hosts[one.ID].goingDown, "the end is stored")
}
