package manager

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShutdownAwaitsMachineOrders shuts the dispatcher down while the platform takes a second
// for each order for a machine. The process must hold the duty until they are answered, and give
// no further ones: the next dispatcher sees the machines up until then.
func TestShutdownAwaitsMachineOrders(t *testing.T) {
	clu := newCluster(t, 0, 6, time.Hour)
	clu.grace = 6 * time.Second
	holder := func() string { return string(clu.sit.Store.Value("duty/holder")) }
	for i := range 2 {
		clu.nodes = append(clu.nodes, clu.startNode(fmt.Sprintf("entry-%d", i)))
		clu.await("holder", func() bool { return strings.Contains(holder(), "entry-0") })
	}
	clu.sit.SetMachineOrderDelay(time.Second)
	var machines []string
	for _, wor := range clu.sit.Workers {
		machines = append(machines, wor.MachineName())
	}
	clu.sit.RequestWave(1, machines, time.Minute, 2)
	clu.await("orders", func() bool { return clu.sit.MachineOrdersUnderWay() == 2 })
	stopped := time.Now()
	clu.nodes[0].stop()
	for clu.sit.MachineOrdersUnderWay() > 0 {
		assert.Assert(t, strings.Contains(holder(), "entry-0"), "the duty is released %v after the shutdown, with %d orders under way", time.Since(stopped), clu.sit.MachineOrdersUnderWay())
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, time.Since(stopped) >= 500*time.Millisecond, "the orders took only %v", time.Since(stopped))
	assert.NilError(t, <-clu.nodes[0].done)
	clu.nodes = clu.nodes[1:]
	clu.await("takeover", func() bool { return strings.Contains(holder(), "entry-1") })
	assert.Equal(t, len(clu.out.lines(`"upkeep_ordered"`)), 2)
	// The next dispatcher knows of these two from the record of the wave.
	clu.await("wave", func() bool { return len(clu.out.lines(`"wave_asked"`)) == 2 })
	asked := clu.out.lines(`"wave_asked"`)
	assert.Assert(t, strings.Contains(asked[1], `"begun":2`), "%v", asked)
	// It counts the wave's time from the request.
	assert.Assert(t, strings.Contains(asked[0], `"age_ms":0`) && !strings.Contains(asked[1], `"age_ms":0`), "%v", asked)
	assert.DeepEqual(t, clu.sit.Violations(), []string(nil))
}
