package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

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

// TestEndlessList guards against a list that fills the memory.
func TestEndlessList(t *testing.T) {
	address, sent := endless(t, `{"vms":["`, 100<<20)
	_, err := New("http://" + address).List(context.Background())
	assert.ErrorContains(t, err, "too long")
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes were taken", sent.Load())
}
