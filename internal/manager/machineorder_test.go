package manager

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/election"
	"github.com/balsamgauge/balsamgauge/platform"
	"gotest.tools/v3/assert"
)

// TestQueuedMachineOrderAfterTenure guards against orders for machines of a former
// dispatcher that arrive after those of the next one: they waited for a connection
// after the check that the duty is held.
func TestQueuedMachineOrderAfterTenure(t *testing.T) {
	const orders = 24
	arrived, release := make(chan struct{}, orders), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		// An order whose body doesn't arrive can't be carried out.
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		arrived <- struct{}{}
		<-release
	}))
	defer srv.Close()
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	var passed atomic.Int64
	now := func() time.Time { return start.Add(time.Duration(passed.Load())) }
	dis := &dispatcher{
		nod: &Node{
			log: decisionlog.New(io.Discard, "test", now), now: now,
			machines: platform.NewMachines(strings.TrimPrefix(srv.URL, "http://"), scheduler.MaxOrderTransit),
		},
		ten:    election.NewTenure(duty.NewTenure(duty.Holder{Name: "entry-0", Term: 1}, 1, 1, start, start)),
		events: make(chan arrival, orders),
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i := range orders {
		if i%2 == 0 {
			dis.perform(ctx, now(), scheduler.Upkeep{Machine: fmt.Sprintf("m-%d", i), Wave: 1})
		} else {
			dis.perform(ctx, now(), scheduler.Move{Machine: fmt.Sprintf("m-%d", i), Pool: "lots"})
		}
	}
	// The orders that have a connection are being carried out, the others wait.
	<-arrived
	time.Sleep(200 * time.Millisecond)
	before := len(arrived) + 1
	assert.Assert(t, before < orders)
	passed.Store(int64(duty.TTL))
	close(release)
	results := map[worker.MachineResult]int{}
	for range orders {
		results[(<-dis.events).event.(scheduler.MachineAnswered).Result]++
	}
	assert.Equal(t, len(arrived)+1, before, "orders arrived after the tenure")
	assert.DeepEqual(t, results, map[worker.MachineResult]int{worker.MachineOK: before, worker.MachineRefused: orders - before})
}

// TestNextDispatcherAwaitsOrdersOfFormerOne guards against orders for machines of a former
// dispatcher that arrive after those of the next one: the process may stand still for a
// while between the permit of an order and its first byte, and the network may hold it
// up.
func TestNextDispatcherAwaitsOrdersOfFormerOne(t *testing.T) {
	const (
		standstill = 150 * time.Millisecond
		// storePercent is the rate of the fastest clock of a store.
		storePercent = 103
	)
	start := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	former := duty.NewTenure(duty.Holder{Name: "entry-0", Term: 1}, 1, 1, start, start)
	permitted := start
	for former.Holds(permitted.Add(time.Millisecond)) {
		permitted = permitted.Add(time.Millisecond)
	}
	next := start.Add(duty.TTL * 100 / storePercent)
	sta := scheduler.New(scheduler.Options{Since: next, Revision: 2, Term: 2, Lease: 4 * time.Second, UpkeepTime: 2 * time.Second, MachineOrdersPerSecond: 64})
	machines := []worker.Machine{{Name: "m-0", Pool: "lots", State: worker.MachineUp}}
	events := []scheduler.Event{
		scheduler.CatalogChanged{Catalog: catalog.New(catalog.Catalog{Version: 1, Revision: 1, Pools: []catalog.Pool{{Name: "lots"}}})}, scheduler.JobsLoaded{},
		scheduler.WaveRequested{Wave: upkeep.Wave{Number: 1, Machines: []string{"m-0"}, Duration: time.Minute, Cap: 1}},
	}
	var ordered time.Time
	for now := next; ordered.IsZero(); now = now.Add(time.Millisecond) {
		assert.Assert(t, now.Before(next.Add(time.Minute)), "no order in a minute")
		effects := sta.Reduce(now, events)
		events = []scheduler.Event{scheduler.JobWatchProgressed{At: now}}
		for _, eff := range effects {
			switch eff.(type) {
			case scheduler.ListMachines:
				events = append(events, scheduler.MachinesListed{RequestedAt: now, Machines: machines})
			case scheduler.Upkeep:
				ordered = now
			}
		}
	}
	assert.Assert(t, ordered.Sub(permitted) >= standstill+scheduler.MaxOrderTransit, "the next dispatcher's order follows %v after the permit", ordered.Sub(permitted))
}
