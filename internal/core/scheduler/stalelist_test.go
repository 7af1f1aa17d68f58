package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
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
