// Package endless stands in for servers whose responses do not end.
package endless

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// blockBytes is the size of what the server writes at a time.
const blockBytes = 1 << 20

// New starts a server whose bodies begin as given and end after a limit only. It
// counts the bytes that it sent.
func New(tb testing.TB, begin string, limit int64) (address string, sent *atomic.Int64) {
	sent = &atomic.Int64{}
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat("a", blockBytes))
		_, err := wri.Write([]byte(begin))
		for err == nil && sent.Load() < limit {
			_, err = wri.Write(block)
			sent.Add(int64(len(block)))
		}
	}))
	tb.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://"), sent
}
