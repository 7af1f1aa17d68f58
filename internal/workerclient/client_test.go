package workerclient

import (
	"context"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/standin/endless"
	"gotest.tools/v3/assert"
)

// TestEndlessReport guards against a report of a worker that fills the memory.
func TestEndlessReport(t *testing.T) {
	address, sent := endless.New(t, `{"tasks":["`, 100<<20)
	evt := New().Poll(context.Background(), effect.PollWorker{VM: "vm", Address: address})
	assert.Assert(t, !evt.Reached)
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes were taken", sent.Load())
}
