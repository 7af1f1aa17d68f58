package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// loadInBurst returns the load of a dispatcher that answers within 20 ms, at a
// moment at which a burst of the account "large" has more starts than it sends at
// once, while 20,000 tasks of the account "small" wait.
func loadInBurst(t *testing.T, small catalog.Account) Load {
	t.Helper()
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	cat := testCatalog()
	cat.Accounts[0] = small
	opt := testOptions()
	opt.Since, opt.Term, opt.MachineOrdersPerSecond = now, 1, 0
	sta := New(opt)
	var effects []Effect
	step := func(more ...Event) {
		for _, eff := range effects {
			switch eff := eff.(type) {
			case Poll:
				if eff.Wait == 0 {
					more = append(more, PollAnswered{VM: eff.VM, Sent: now, Report: worker.Report{StartedAtMS: 1, Clock: time.Second}})
				}
			case Start:
				more = append(more, StartAnswered{VM: eff.VM, Task: eff.Task, Run: eff.Run})
			}
		}
		now = now.Add(20 * time.Millisecond)
		effects = sta.Reduce(now, append(more, JobWatchProgressed{At: now}))
	}
	accept := func(number int, account string, width int, span time.Duration) JobAccepted {
		spe := fanOut(number, account, width, 500, span)
		spe.Accepted = now
		return JobAccepted{Spec: spe, Revision: 2}
	}
	vm := testVM("vm-1")
	vm.Capacity = job.Size{CPU: 1_000_000, Memory: 1_000_000}
	step(CatalogChanged{Catalog: catalog.New(cat)}, VMRegistered{VM: vm}, JobsLoaded{})
	var waiting []Event
	for i := range 100 {
		waiting = append(waiting, accept(100+i, "small", 100, 10*time.Second))
	}
	step(waiting...)
	for range 5 {
		step()
	}
	step(accept(1, "large", 400, 5*time.Second))
	loa, ok := sta.Load()
	assert.Assert(t, ok)
	return loa
}

// TestCappedTasksAreNoBacklogOfStarts guards against refusals of an account's jobs
// because tasks of another one wait for its cap: a dispatcher that is behind for a
// moment counts them as starts that all others wait for.
func TestCappedTasksAreNoBacklogOfStarts(t *testing.T) {
	loa := loadInBurst(t, catalog.Account{Name: "small", Cap: job.Size{CPU: 24_000}})
	cat := testCatalog()
	after, reason := loa.Admit(cat.Queue("gate"), fanOut(999, "large", 4, 500, 500*time.Millisecond))
	assert.Equal(t, reason, "", "retry after %v, backlog of starts %v", after, loa.StartBacklog)
}

// TestExcessTasksAreNoBacklogOfStarts guards against refusals of an account's jobs
// because another one exceeds its allowance, whose tasks start after all others.
func TestExcessTasksAreNoBacklogOfStarts(t *testing.T) {
	loa := loadInBurst(t, catalog.Account{Name: "small", JobRate: 0.1})
	cat := testCatalog()
	after, reason := loa.Admit(cat.Queue("gate"), fanOut(999, "large", 4, 500, 500*time.Millisecond))
	assert.Equal(t, reason, "", "retry after %v, backlog of starts %v", after, loa.StartBacklog)
}
