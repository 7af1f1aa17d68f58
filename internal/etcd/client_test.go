package etcd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rcrowley/go-metrics"
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

// TestEndlessWatch guards against a message of a watch that fills the memory.
func TestEndlessWatch(t *testing.T) {
	address, sent := endless(t, `{"result":{"events":[{}]}}{"result":{"events":[{}],"x":"`, 300<<20)
	changes := 0
	err := New("http://"+address, "p/", metrics.NewRegistry()).Watch(context.Background(), "k", func() { changes++ })
	assert.Assert(t, err != nil)
	assert.Equal(t, changes, 1)
	assert.Assert(t, sent.Load() < 200<<20, "%d bytes were taken", sent.Load())
}
