package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// TestLoadOfManyQueues guards against a load that grows with the number of
// queues. All entries read it up to four times a second, some over narrow links.
func TestLoadOfManyQueues(t *testing.T) {
	size := func(queues int) int {
		cat := testCatalog()
		for i := range queues {
			que := *cat.Queue("gate")
			que.Name, que.Prefix = fmt.Sprintf("gate-%d", i), fmt.Sprintf("/gate-%d/", i)
			cat.Queues = append(cat.Queues, que)
		}
		emu := newEmulator(1, catalog.New(cat))
		emu.addVMs("lots", 2, 3, job.Size{CPU: 16_000, Memory: 32_768})
		emu.takeOver(testOptions())
		emu.run(time.Second)
		for i := range 400 {
			emu.submit(fanOut(i+1, "large", 4, 1500, 500*time.Millisecond))
		}
		emu.run(1200 * time.Millisecond)
		loa, ok := emu.sched.Load()
		assert.Assert(t, ok)
		raw, err := msgpack.Marshal(&loa)
		assert.NilError(t, err)
		fan := fanOut(9999, "large", 4, 1500, 500*time.Millisecond)
		_, reason := loa.Admit(emu.catalog.Queue("gate"), fan)
		assert.Assert(t, reason != "", "the backlog must be published")
		return len(raw)
	}
	assert.Equal(t, size(1600), size(0))
}
