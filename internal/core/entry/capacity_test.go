package entry

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/plan"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

var capacityRun = flag.Bool("capacity", false, "print the figures that docs/CAPACITY.md is derived from")

// newShape returns a shape of the given size.
func newShape(members, pools, vmsPerPool, teams int) shape {
	shp := shape{entries: members, azs: 4, services: pools, executors: vmsPerPool, deadline: 2 * time.Second}
	for i := range teams {
		shp.teams = append(shp.teams, table.Team{Name: fmt.Sprintf("team%03d", i), Share: 1 + i%4, Limit: 100})
	}
	return shp
}

// figures holds the cost of a node without load, per second where it is a rate.
type figures struct {
	messages, bytes, storeCalls float64
	processor                   time.Duration
	heap                        int
	config                      int
}

func heapNow() int {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return int(mem.HeapAlloc)
}

// measureIdle measures a deployment without load, per node and second.
func measureIdle(t *testing.T, shp shape) figures {
	t.Helper()
	const seconds = 10
	before := heapNow()
	drv := deploy(t, 1, shp)
	drv.run(5 * time.Second)
	var fig figures
	fig.heap = (heapNow() - before) / shp.entries
	drv.messages, drv.bytes, drv.reducing, drv.kv.calls = 0, 0, 0, 0
	drv.run(seconds * time.Second)
	nodeSeconds := float64(seconds * shp.entries)
	fig.messages = float64(drv.messages) / nodeSeconds
	fig.bytes = float64(drv.bytes) / nodeSeconds
	fig.storeCalls = float64(drv.kv.calls) / nodeSeconds
	fig.processor = time.Duration(float64(drv.reducing) / nodeSeconds)
	doc, err := drv.nodes[0].state.config.Encode()
	assert.NilError(t, err)
	fig.config = len(doc)
	runtime.KeepAlive(drv)
	return fig
}

// TestCapacity prints the figures from which the slopes in docs/CAPACITY.md are
// derived. They depend on the computer, so it checks nothing and runs only with
// -capacity.
func TestCapacity(t *testing.T) {
	if !*capacityRun {
		t.Skip("run with -capacity -v")
	}
	t.Logf("%8s %6s %6s %6s | %8s %9s %7s %11s %10s %9s", "members", "pools", "VMs", "teams", "msgs/s", "bytes/s", "calls/s", "processor/s", "heap", "config")
	for _, shp := range []shape{
		newShape(3, 8, 12, 6), newShape(9, 8, 12, 6), newShape(18, 8, 12, 6),
		newShape(9, 80, 12, 6), newShape(9, 269, 4, 6),
		newShape(9, 8, 120, 6), newShape(9, 8, 480, 6),
		newShape(9, 8, 12, 80), newShape(9, 8, 12, 320),
		newShape(9, 269, 108, 320),
	} {
		fig := measureIdle(t, shp)
		t.Logf("%8d %6d %6d %6d | %8.1f %9.0f %7.2f %11s %10d %9d", shp.entries, shp.services, shp.services*shp.executors,
			len(shp.teams), fig.messages, fig.bytes, fig.storeCalls, fig.processor, fig.heap, fig.config)
	}
	t.Log(underLoad(t))
	t.Log(editCost(t))
	t.Log(targetCosts(t))
}

// targetCosts measures the one-time cost of an edit and of a new list of VMs at
// the target size.
func targetCosts(t *testing.T) string {
	drv := deploy(t, 1, newShape(1, 269, 108, 320))
	cfg := drv.nodes[0].state.config
	startedAt := time.Now()
	_, err := cfg.Apply(table.KeyGranted{Key: table.Key{Hash: "h", Name: "n", Team: "team000"}}, "nonce")
	assert.NilError(t, err)
	applied := time.Since(startedAt)
	startedAt = time.Now()
	fle := drv.nodes[0].state.fleet.WithList(drv.fleet, drv.now)
	listed := time.Since(startedAt)
	startedAt = time.Now()
	moves := plan.Assign(table.Empty(), fle)
	moves = append(moves, plan.Assign(cfg, fle)...)
	planned := time.Since(startedAt)
	return fmt.Sprintf("at the target size: an edit %s, a list of VMs %s, a plan %s (%d moves)", applied, listed, planned, len(moves))
}

// underLoad measures the cost of a request in a deployment of nine entries.
func underLoad(t *testing.T) string {
	drv := deploy(t, 1, deployed)
	drv.messages, drv.bytes, drv.events, drv.reducing = 0, 0, 0, 0
	stop := false
	for svc := range 5 {
		for _, tea := range deployed.teams {
			keepBacklog(drv, tea.Name, svc, 10, &stop)
		}
	}
	drv.run(5 * time.Second)
	requests := len(drv.starts)
	return fmt.Sprintf("a request at 9 entries, %d in 5 s: %.2f events, %.2f messages, %.0f bytes, %s of processor",
		requests, float64(drv.events)/float64(requests), float64(drv.messages)/float64(requests),
		float64(drv.bytes)/float64(requests), drv.reducing/time.Duration(requests))
}

// editCost measures the bytes that an edit takes on a link.
func editCost(t *testing.T) string {
	drv := deploy(t, 1, deployed)
	cfg := drv.nodes[0].state.config
	edi := table.NewEdit(cfg.Revision+1, "n1/100", table.AZSet{AZ: "az0", Out: true})
	small, err := message.Encode(message.Edits{Edits: []table.Edit{edi}})
	assert.NilError(t, err)
	edi = table.NewEdit(cfg.Revision+1, "n1/100", table.TablesReplaced{Tables: cfg.Tables})
	large, err := message.Encode(message.Edits{Edits: []table.Edit{edi}})
	assert.NilError(t, err)
	return fmt.Sprintf("an edit to each member: availability zone %d bytes, whole current tables %d bytes", len(small), len(large))
}

// Limits of what a node spends without load. The users' target allows 7 KB per
// second for control traffic. The number of messages is exact: one heartbeat to
// each peer every 200 ms.
const (
	maxIdleBytesPerSecond    = 7 << 10
	messagesPerPeerPerSecond = 5
	maxCallsPerSecond        = 3
)

// TestIdleCost bounds messages, bytes and store calls at the target number of
// teams and pools.
func TestIdleCost(t *testing.T) {
	fig := measureIdle(t, newShape(9, 269, 1, 320))
	assert.Equal(t, fig.messages, float64(messagesPerPeerPerSecond*8))
	assert.Assert(t, fig.bytes <= maxIdleBytesPerSecond, "%.0f bytes a second", fig.bytes)
	assert.Assert(t, fig.storeCalls <= maxCallsPerSecond, "%.2f calls a second", fig.storeCalls)
}

// Limits of the cost of a request in a deployment of nine entries under load,
// summed over all entries.
const (
	maxEventsPerRequest   = 5
	maxMessagesPerRequest = 3
	maxBytesPerRequest    = 300
	// maxAllocsPerRequest covers the reductions of a single entry from the
	// arrival of a request to its answer.
	maxAllocsPerRequest = 250
)

// TestRequestCost bounds the cost of a request. The counts are exact because
// load and faults are seeded.
func TestRequestCost(t *testing.T) {
	drv := deploy(t, 1, deployed)
	drv.messages, drv.bytes, drv.events = 0, 0, 0
	stop := false
	for svc := range 5 {
		for _, tea := range deployed.teams {
			keepBacklog(drv, tea.Name, svc, 10, &stop)
		}
	}
	drv.run(time.Second)
	requests := float64(len(drv.starts))
	assert.Assert(t, float64(drv.events) <= maxEventsPerRequest*requests, "%.2f events", float64(drv.events)/requests)
	assert.Assert(t, float64(drv.messages) <= maxMessagesPerRequest*requests, "%.2f messages", float64(drv.messages)/requests)
	assert.Assert(t, float64(drv.bytes) <= maxBytesPerRequest*requests, "%.0f bytes", float64(drv.bytes)/requests)
}

// reduceRequest reduces a request at a single entry, from arrival to answer.
func reduceRequest(now time.Time, sta State, request uint64) State {
	evt := arrival("t1", 0, table.UrgencyNormal)
	evt.Request = request
	sta, effs := Reduce(now, sta, evt)
	for _, eff := range effs {
		if att, ok := eff.(effect.StartAttempt); ok {
			end := event.AttemptEnded{Work: att.Work, Attempt: att.Attempt, Result: event.AttemptAnswered}
			sta, _ = Reduce(now.Add(50*time.Millisecond), sta, end)
		}
	}
	return sta
}

// singleEntry returns the state of a single entry with the tables of a
// deployment.
func singleEntry(tb testing.TB) (now time.Time, sta State) {
	shp := deployed
	shp.entries = 1
	drv := deploy(tb, 1, shp)
	return drv.now, drv.nodes[0].state
}

func TestRequestAllocations(t *testing.T) {
	now, sta := singleEntry(t)
	allocs := testing.AllocsPerRun(200, func() { reduceRequest(now.Add(time.Second), sta, 1) })
	assert.Equal(t, reduceRequest(now.Add(time.Second), sta, 1).lastWorkID, sta.lastWorkID+1)
	assert.Assert(t, allocs <= maxAllocsPerRequest, "%.0f allocations", allocs)
}

// BenchmarkRequest compares a request at a single entry with a naive
// implementation: one counter for each team and VM, without fairness or failure
// handling.
func BenchmarkRequest(b *testing.B) {
	now, sta := singleEntry(b)
	b.Run("reducer", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			reduceRequest(now.Add(time.Second), sta, 1)
		}
	})
	b.Run("naive", func(b *testing.B) {
		b.ReportAllocs()
		running, used := map[string]int{}, map[string]int{}
		for range b.N {
			if running["t1"] < 200 {
				best := naiveFreest(sta.config.VMsOf("s0"), used)
				running["t1"]++
				used[best]++
				running["t1"]--
				used[best]--
			}
		}
	})
}

func naiveFreest(vms []string, used map[string]int) string {
	best := vms[0]
	for _, id := range vms {
		if used[id] < used[best] {
			best = id
		}
	}
	return best
}
