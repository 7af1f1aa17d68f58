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

var capacityRun = flag.Bool("capacity", false, "print the slopes that docs/CAPACITY.md is worked out from")

// sized returns a shape with the given numbers.
func sized(members, pools, vmsPerPool, teams int) shape {
	shp := shape{entries: members, azs: 4, services: pools, executors: vmsPerPool, deadline: 2 * time.Second}
	for i := range teams {
		shp.teams = append(shp.teams, table.Team{Name: fmt.Sprintf("team%03d", i), Share: 1 + i%4, Limit: 100})
	}
	return shp
}

// figures are what a node costs while nothing is asked of it.
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

// atRest measures a deployment at rest, for each node and second.
func atRest(t *testing.T, shp shape) figures {
	t.Helper()
	const span = 10
	before := heapNow()
	drv := deploy(t, 1, shp)
	drv.run(5 * time.Second)
	var fig figures
	fig.heap = (heapNow() - before) / shp.entries
	drv.messages, drv.bytes, drv.reducing, drv.kv.calls = 0, 0, 0, 0
	drv.run(span * time.Second)
	nodeSeconds := float64(span * shp.entries)
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

// TestCapacity prints the slopes. Its figures are of this machine, so it checks
// nothing and runs only when asked.
func TestCapacity(t *testing.T) {
	if !*capacityRun {
		t.Skip("run with -capacity -v")
	}
	t.Logf("%8s %6s %6s %6s | %8s %9s %7s %11s %10s %9s", "members", "pools", "VMs", "teams", "msgs/s", "bytes/s", "calls/s", "processor/s", "heap", "config")
	for _, shp := range []shape{
		sized(3, 8, 12, 6), sized(9, 8, 12, 6), sized(18, 8, 12, 6),
		sized(9, 80, 12, 6), sized(9, 269, 4, 6),
		sized(9, 8, 120, 6), sized(9, 8, 480, 6),
		sized(9, 8, 12, 80), sized(9, 8, 12, 320),
		sized(9, 269, 108, 320),
	} {
		fig := atRest(t, shp)
		t.Logf("%8d %6d %6d %6d | %8.1f %9.0f %7.2f %11s %10d %9d", shp.entries, shp.services, shp.services*shp.executors,
			len(shp.teams), fig.messages, fig.bytes, fig.storeCalls, fig.processor, fig.heap, fig.config)
	}
	t.Log(underLoad(t))
	t.Log(editCost(t))
	t.Log(targetCosts(t))
}

// targetCosts measures what is done once for an edit or a new list of VMs, at
// the target size.
func targetCosts(t *testing.T) string {
	drv := deploy(t, 1, sized(1, 269, 108, 320))
	cfg := drv.nodes[0].state.config
	began := time.Now()
	_, err := cfg.Apply(table.KeyGranted{Key: table.Key{Hash: "h", Name: "n", Team: "team000"}}, "nonce")
	assert.NilError(t, err)
	applied := time.Since(began)
	began = time.Now()
	fle := drv.nodes[0].state.fleet.WithList(drv.fleet, drv.now)
	listed := time.Since(began)
	began = time.Now()
	moves := plan.Assign(table.Empty(), fle)
	moves = append(moves, plan.Assign(cfg, fle)...)
	planned := time.Since(began)
	return fmt.Sprintf("at the target size: an edit %s, a list of VMs %s, a plan %s (%d moves)", applied, listed, planned, len(moves))
}

// underLoad measures a request at nine entries.
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

// editCost measures what an edit costs on the links.
func editCost(t *testing.T) string {
	drv := deploy(t, 1, deployed)
	cfg := drv.nodes[0].state.config
	edi := table.NewEdit(cfg.Revision+1, "n1/100", table.AZSet{AZ: "az0", Out: true})
	small, err := message.Encode(message.Edits{Edits: []table.Edit{edi}})
	assert.NilError(t, err)
	edi = table.NewEdit(cfg.Revision+1, "n1/100", table.TablesReplaced{Tables: cfg.Tables})
	large, err := message.Encode(message.Edits{Edits: []table.Edit{edi}})
	assert.NilError(t, err)
	return fmt.Sprintf("an edit to each member: availability zone %d bytes, whole tables of today %d bytes", len(small), len(large))
}

// Bounds of what a node spends at rest, from the users' target: 7 KB a second
// for control. The number of messages is exact: a heartbeat to each peer every
// 200 ms.
const (
	maxBytesAtRest    = 7 << 10
	messagesPerPeer   = 5
	maxCallsPerSecond = 3
)

// TestCostAtRest bounds messages, bytes and calls with as many teams and pools
// as the target names.
func TestCostAtRest(t *testing.T) {
	fig := atRest(t, sized(9, 269, 1, 320))
	assert.Equal(t, fig.messages, float64(messagesPerPeer*8))
	assert.Assert(t, fig.bytes <= maxBytesAtRest, "%.0f bytes a second", fig.bytes)
	assert.Assert(t, fig.storeCalls <= maxCallsPerSecond, "%.2f calls a second", fig.storeCalls)
}

// Budgets of a request at nine entries under load, at all of them together.
const (
	maxEventsPerRequest   = 5
	maxMessagesPerRequest = 3
	maxBytesPerRequest    = 300
	// maxAllocsPerRequest is for what a single entry reduces of a request from
	// its arrival to its answer.
	maxAllocsPerRequest = 250
)

// TestCostOfARequest bounds what is exact: the load and the faults are seeded.
func TestCostOfARequest(t *testing.T) {
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

// oneRequest reduces a request at a single entry, from arrival to answer.
func oneRequest(now time.Time, sta State, request uint64) State {
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

// alone returns the state of a single entry with a deployment's tables.
func alone(tb testing.TB) (now time.Time, sta State) {
	shp := deployed
	shp.entries = 1
	drv := deploy(tb, 1, shp)
	return drv.now, drv.nodes[0].state
}

func TestAllocationsOfARequest(t *testing.T) {
	now, sta := alone(t)
	allocs := testing.AllocsPerRun(200, func() { oneRequest(now.Add(time.Second), sta, 1) })
	assert.Equal(t, oneRequest(now.Add(time.Second), sta, 1).nextWork, sta.nextWork+1)
	assert.Assert(t, allocs <= maxAllocsPerRequest, "%.0f allocations", allocs)
}

// BenchmarkRequest compares a request at a single entry with the naive version:
// one counter for each team and VM, no fairness, no failures.
func BenchmarkRequest(b *testing.B) {
	now, sta := alone(b)
	b.Run("reducer", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			oneRequest(now.Add(time.Second), sta, 1)
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
