package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestJobFollowsQueueByAddress guards against a job that loses its queue as the queue gets another
// name, and against one that gets the pool of a queue that takes the name over: its tasks would start on
// VMs that no configuration assigns to it. The next dispatcher finds the same queue.
func TestJobFollowsQueueByAddress(t *testing.T) {
	gate := catalog.Queue{Name: "gate", Host: "h", Prefix: "/g/", Pool: "lots", Priority: 2, MaxAttempts: 4, SlackFactor: 1.6, Target: time.Second}
	renamed, taken, moved, replaced := gate, gate, gate, gate
	renamed.Name, renamed.Pool, renamed.Priority = "gate-2", "bays", 1
	taken.Prefix, taken.Pool, taken.Priority = "/o/", "docks", 5
	moved.Prefix, moved.Priority = "/o/", 3
	replaced.Prefix, replaced.Pool = "/o/", "docks"
	for _, tst := range []struct {
		name     string
		queues   []catalog.Queue
		queue    string
		pool     string
		priority int
	}{
		{"unchanged", []catalog.Queue{gate}, "gate", "lots", 2},
		{"renamed", []catalog.Queue{renamed}, "gate-2", "bays", 1},
		{"name taken over", []catalog.Queue{taken, renamed}, "gate-2", "bays", 1},
		{"moved", []catalog.Queue{moved}, "gate", "lots", 3},
		{"replaced", []catalog.Queue{replaced}, "gate", "lots", 2},
		{"removed", nil, "gate", "lots", 2},
	} {
		for _, takeover := range []bool{false, true} {
			now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
			opt := testOptions()
			opt.Since, opt.Revision, opt.Term = now, 10, 1
			sta := New(opt)
			spe := gate.Record(fanOut(1, "large", 1, 500, time.Second))
			spe.Accepted = now
			accepted := JobAccepted{Spec: spe, Revision: 11}
			changed := CatalogChanged{catalog.New(catalog.Catalog{Version: 2, Queues: tst.queues})}
			if !takeover {
				sta.Reduce(now, []Event{CatalogChanged{catalog.New(catalog.Catalog{Version: 1, Queues: []catalog.Queue{gate}})}, JobsLoaded{}, accepted})
				sta.runtimeRatios.Add(sta.queueKeyOf(sta.jobs[spe.ID]), 3)
				sta.Reduce(now, []Event{changed})
			} else {
				sta.Reduce(now, []Event{changed, JobsLoaded{}, accepted})
			}
			liv := sta.jobs[spe.ID]
			que := sta.queueOf(liv)
			assert.Equal(t, que.Name, tst.queue, tst.name)
			assert.Equal(t, que.Pool, tst.pool, tst.name)
			assert.Equal(t, que.Priority, tst.priority, tst.name)
			loa, _ := sta.Load()
			assert.DeepEqual(t, loa.Pending, map[string]int{tst.queue: 1})
			if tst.name == "renamed" && !takeover {
				assert.Equal(t, sta.runTimeFactor(liv), 3.0, "the run times that were learned")
			}
		}
	}
}

// TestOutcomeKeepsAddress guards against an ended job that its client can't query, as its queue has
// another name since.
func TestOutcomeKeepsAddress(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 1, 1, job.Size{CPU: 16_000, Memory: 32_768})
	opt := testOptions()
	opt.KeepEnded = time.Minute
	emu.takeOver(opt)
	spe := testCatalog().Queue("gate").Record(fanOut(1, "large", 1, 500, time.Second))
	spe.Host, spe.Prefix = "h", "/g/"
	emu.submit(spe)
	emu.run(10 * time.Second)
	out, err := job.Unmarshal[job.Outcome](emu.store.items[job.EndedKey(spe.ID)].Value)
	assert.NilError(t, err)
	assert.Equal(t, out.Host+out.Prefix, "h/g/")
}
