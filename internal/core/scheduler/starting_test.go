package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestUpkeepOfStartingTask guards against upkeep that ends a serving task which
// has begun to work since its VM's last report, beyond the step's availability
// budget.
func TestUpkeepOfStartingTask(t *testing.T) {
	sta, reduce := newTenure()
	one, oth := testVM("vm-1"), testVM("vm-2")
	spe := job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 2, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true, MaxUnavailable: 1},
	}}
	report := func(vm worker.VM, index, percent int) PollAnswered {
		return PollAnswered{VM: vm, Sent: sta.now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: time.Second, Running: []worker.Running{
			{Task: job.Task{Job: spe.ID, Index: index}, Run: 3, Percent: percent},
		}}}
	}
	list := func() MachinesListed {
		return MachinesListed{RequestedAt: sta.now, Machines: []worker.Machine{
			{Name: "m-1", Pool: "lots", State: worker.MachineUp, VM: one.ID}, {Name: "m-2", Pool: "lots", State: worker.MachineUp, VM: oth.ID},
		}}
	}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{one}, VMRegistered{oth}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{}, list())
	reduce(report(one, 0, 50), report(oth, 1, 50))
	reduce(WaveRequested{Wave: upkeep.Wave{Number: 1, Machines: []string{"m-1"}, Duration: 20 * time.Second, Cap: 1}})
	for range 10 {
		reduce(report(one, 0, 50), report(oth, 1, 50), list())
	}
	assert.Assert(t, !sta.hosts[one.ID].goingDown, "one task of two is away and one may be")
	reduce(report(one, 0, 50), report(oth, 1, 100), list())
	assert.Assert(t, sta.hosts[one.ID].goingDown, "the other task works")
}
