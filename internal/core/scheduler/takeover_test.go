package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"gotest.tools/v3/assert"
)

// TestTakeoverWithLateRegistrations checks that a new dispatcher that receives
// the registrations of VMs after the jobs and the list of machines, as from a
// slow store, does not take machines for empty and order their upkeep: no more
// tasks of a long-running step are away than allowed.
func TestTakeoverWithLateRegistrations(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 8, 2, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	emu.submit(job.Spec{ID: jobName(1), Queue: "settle", Account: "large", Payload: "x", Steps: []job.Step{{
		Count: 8, Size: job.Size{CPU: 1500, Memory: 4096}, LongRunning: true, MaxUnavailable: 1,
	}}})
	emu.run(2 * time.Second)
	fewest := 8
	for at := 2 * time.Second; at < 25*time.Second; at += 5 * time.Millisecond {
		emu.after(at-2*time.Second, func() {
			running := 0
			for _, vm := range emu.vms {
				running += len(vm.runs)
			}
			fewest = min(fewest, running)
		})
	}
	emu.wave = &upkeep.Wave{Number: 1, Machines: emu.names, Duration: 60 * time.Second, Cap: 3}
	emu.vmLoadTime = 1500 * time.Millisecond
	emu.takeOver(testOptions())
	emu.run(25 * time.Second)
	assert.Assert(t, emu.decisions["upkeep_ordered"] > 0)
	assert.Assert(t, fewest >= 7, "only %d of 8 tasks were running at one time", fewest)
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}
