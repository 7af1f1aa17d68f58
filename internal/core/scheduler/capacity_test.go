package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestShrunkenCapacity guards against starting tasks beyond the capacity of a VM
// that has shrunk while it runs others. It gets tasks again once it has grown.
func TestShrunkenCapacity(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term = now, 10, 1
	sta := New(opt)
	vm := testVM("vm-1")
	starts := 0
	reduce := func(events ...Event) {
		now = now.Add(100 * time.Millisecond)
		for _, eff := range sta.Reduce(now, append(events, JobWatchProgressed{At: now})) {
			if _, ok := eff.(Start); ok {
				starts++
			}
		}
	}
	accept := func(n int) JobAccepted {
		spe := fanOut(n, "large", 1, 8000, time.Minute)
		spe.Accepted = now
		return JobAccepted{Spec: spe, Revision: 11}
	}
	reduce(CatalogChanged{testCatalog()}, VMRegistered{vm}, accept(1), JobsLoaded{})
	reduce(PollAnswered{VM: vm, Sent: now, Report: worker.Report{StartedAtMS: vm.StartedAtMS, Clock: time.Second}})
	assert.Equal(t, starts, 1)
	for _, tst := range []struct {
		cpu  int64
		want int
	}{{12_000, 1}, {4000, 1}, {16_000, 2}, {24_000, 3}} {
		vm.Capacity = job.Size{CPU: tst.cpu, Memory: 32_768}
		reduce(VMRegistered{vm}, accept(int(tst.cpu)))
		reduce(Tick{})
		assert.Equal(t, starts, tst.want, "capacity %d", tst.cpu)
	}
}
