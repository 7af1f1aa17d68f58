package workerclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"gotest.tools/v3/assert"
)

// endless is a server whose bodies begin as given and end after a limit only. It
// counts the bytes that it sent.
func endless(t *testing.T, begin string, limit int64) (address string, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat("a", 1<<20))
		_, err := wri.Write([]byte(begin))
		for err == nil && sent.Load() < limit {
			_, err = wri.Write(block)
			sent.Add(int64(len(block)))
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), sent
}

// TestEndlessReport guards against a report of a worker that fills the memory.
func TestEndlessReport(t *testing.T) {
	address, sent := endless(t, `{"tasks":["`, 100<<20)
	evt := New().Poll(context.Background(), effect.PollWorker{VM: "vm", Address: address})
	assert.Assert(t, !evt.Reached)
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes were taken", sent.Load())
}
