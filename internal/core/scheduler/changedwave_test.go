package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestAnswerToOrderOfFormerRequest guards against upkeep that counts for a wave that was
// requested after it, as the answer arrives late.
func TestAnswerToOrderOfFormerRequest(t *testing.T) {
	fix := newOutageFixture(4)
	fix.run(5 * time.Second)
	wav := upkeep.Wave{Number: 1, Machines: []string{"m-vm-0"}, Duration: 40 * time.Second, Cap: 1, Revision: 7, Changed: 7}
	fix.reduce(WaveRequested{Wave: wav})
	fix.run(300 * time.Millisecond)
	assert.DeepEqual(t, fix.orders, []string{"m-vm-0"})
	wav.Revision, wav.Changed = 9, 9
	fix.reduce(WaveRequested{Wave: wav})
	fix.reduce(MachineAnswered{Machine: "m-vm-0", Wave: 1, Result: worker.MachineOK})
	fix.run(200 * time.Millisecond)
	assert.Equal(t, len(fix.sta.waves[1].plan.Begun), 0)
	assert.Assert(t, !fix.sta.waves[1].completed)
}
