package vmlist

import (
	"context"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/standin/endless"
	"gotest.tools/v3/assert"
)

// TestEndlessList guards against a list that fills the memory.
func TestEndlessList(t *testing.T) {
	address, sent := endless.New(t, `{"vms":["`, 100<<20)
	_, err := New("http://" + address).List(context.Background())
	assert.ErrorContains(t, err, "too long")
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes were taken", sent.Load())
}
