package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestLeaseAfterIdlenessRunsNoTaskTwice guards against a task that runs twice: a VM
// with a slow clock that was idle for long and is then cut off keeps its first task
// beyond the time after which the task starts elsewhere.
func TestLeaseAfterIdlenessRunsNoTaskTwice(t *testing.T) {
	for _, idle := range []time.Duration{0, 5 * time.Second, 15 * time.Second, 70 * time.Second, 10 * time.Minute} {
		emu := newEmulator(1, testCatalog())
		emu.addVMs("lots", 6, 3, job.Size{CPU: 16_000, Memory: 32_768})
		emu.takeOver(testOptions())
		emu.run(2*time.Second + idle)
		emu.submit(fanOut(1, "large", 1, 500, 12*time.Second))
		emu.run(2400*time.Millisecond + idle)
		cutOff := 0
		for _, vm := range emu.vms {
			vm.partitioned = len(vm.runs) > 0
			cutOff += len(vm.runs)
		}
		assert.Equal(t, cutOff, 1, "idle for %v", idle)
		emu.run(7900*time.Millisecond + idle)
		for _, vm := range emu.vms {
			vm.partitioned = false
		}
		emu.run(60*time.Second + idle)
		assert.Equal(t, len(emu.violations), 0, "idle for %v: %s", idle, strings.Join(emu.violations, "\n"))
		assert.Equal(t, len(emu.finished), 1, "idle for %v", idle)
	}
}
