package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestFencedMachineOrder checks that a dispatcher whose machine order is refused
// for its term gives up the duty and orders nothing more with that term.
func TestFencedMachineOrder(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	for _, wave := range []int64{0, 1} {
		opt := testOptions()
		opt.Since, opt.Term = now, 3
		sta := New(opt)
		effects := sta.Reduce(now, []Event{CatalogChanged{Catalog: testCatalog()}, JobsLoaded{}, MachineAnswered{Machine: "m", Wave: wave, Result: worker.MachineFenced}})
		steppedDown := false
		for _, eff := range effects {
			_, ok := eff.(StepDown)
			steppedDown = steppedDown || ok
		}
		assert.Assert(t, steppedDown, "wave %d", wave)
		for later := range 3 {
			assert.Equal(t, len(sta.Reduce(now.Add(time.Duration(later+4)*time.Second), []Event{Tick{}})), 0, "wave %d", wave)
		}
	}
}
