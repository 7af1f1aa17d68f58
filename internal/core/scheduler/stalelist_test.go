package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestStaleListRunsNoTaskTwice guards against tasks that run twice: a list of
// machines that was read before a VM started removes the VM after one failed poll,
// and all its tasks start elsewhere while they run.
func TestStaleListRunsNoTaskTwice(t *testing.T) {
	for _, tc := range []struct {
		name  string
		stale []worker.Machine
	}{
		{"not listed", []worker.Machine{{Name: "m-vm-0", Pool: "lots", State: worker.MachineUp, VM: "vm-0"}}},
		{"down", []worker.Machine{{Name: "m-vm-0", Pool: "lots", State: worker.MachineUp, VM: "vm-0"}, {Name: "m-vm-1", Pool: "lots", State: worker.MachineDown, VM: "vm-1"}}},
		{"in upkeep", []worker.Machine{{Name: "m-vm-0", Pool: "lots", State: worker.MachineUp, VM: "vm-0"}, {Name: "m-vm-1", Pool: "lots", State: worker.MachineUpkeep, VM: "vm-1"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fix := newOutageFixture(1)
			fix.submit(1, 8)
			requestedAt := fix.now
			fix.add("vm-1")
			fix.run(time.Second)
			liv := fix.submit(2, 8)
			assert.Equal(t, fix.starts["vm-1"], 8)
			fix.add("vm-2")
			fix.reduce(PollAnswered{VM: fix.vms[1], Sent: fix.now, Result: worker.ResultUnknown}, MachinesListed{RequestedAt: requestedAt, Machines: tc.stale})
			fix.run(5 * time.Second)
			assert.Equal(t, fix.starts["vm-2"], 0, "tasks that run on vm-1 started again")
			assert.Equal(t, liv.final, job.State(""))
			fix.submit(3, 16)
			assert.Assert(t, fix.starts["vm-2"] > 0)
			assert.Assert(t, fix.sta.hosts["vm-1"].usable(fix.now), "vm-1 gets no tasks any more")
		})
	}
}

// TestUpkeepOfMachineWithUnlistedVM guards against upkeep that ends tasks unseen:
// the last list of machines shows the machine with a former VM, and tasks run on a
// VM that the list doesn't show yet.
func TestUpkeepOfMachineWithUnlistedVM(t *testing.T) {
	for _, known := range []bool{true, false} {
		fix := newOutageFixture(2)
		fix.run(5 * time.Second)
		fix.holdLists = true
		if known {
			fix.reduce(PollAnswered{VM: fix.vms[0], Sent: fix.now, Result: worker.ResultOtherIncarnation})
		}
		fix.restart(&fix.vms[0])
		fix.down["vm-0"] = true
		fix.submit(1, 8)
		fix.submit(2, 8)
		fix.submit(3, 8)
		assert.Assert(t, fix.starts["vm-0+"] > 0)
		fix.reduce(WaveRequested{Wave: upkeep.Wave{Number: 1, Machines: []string{"m-vm-0"}, Duration: 40 * time.Second, Cap: 1}})
		fix.run(time.Second)
		assert.Equal(t, len(fix.orders), 0, "the loss of vm-0 is known: %v; orders for %v", known, fix.orders)
		fix.holdLists = false
		fix.reduce(MachinesListed{RequestedAt: fix.now})
		fix.run(60 * time.Second)
		assert.DeepEqual(t, fix.orders, []string{"m-vm-0"})
	}
}
