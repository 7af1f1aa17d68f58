package etcd

import (
	"context"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/standin/endless"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// TestEndlessWatch guards against a message of a watch that fills the memory.
func TestEndlessWatch(t *testing.T) {
	address, sent := endless.New(t, `{"result":{"events":[{}]}}{"result":{"events":[{}],"x":"`, 300<<20)
	changes := 0
	err := New("http://"+address, "p/", metrics.NewRegistry()).Watch(context.Background(), "k", func() { changes++ })
	assert.Assert(t, err != nil)
	assert.Equal(t, changes, 1)
	assert.Assert(t, sent.Load() < 200<<20, "%d bytes were taken", sent.Load())
}
