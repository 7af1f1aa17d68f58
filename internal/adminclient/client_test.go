package adminclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/transport"
	"gotest.tools/v3/assert"
)

// TestEndlessAnswer guards against an answer that fills the memory.
func TestEndlessAnswer(t *testing.T) {
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat("a", 1<<20))
		_, err := wri.Write([]byte(`{"x":"`))
		for err == nil && sent.Load() < 100<<20 {
			_, err = wri.Write(block)
			sent.Add(int64(len(block)))
		}
	}))
	defer srv.Close()
	_, err := New(strings.TrimPrefix(srv.URL, "http://"), "c").Status(context.Background())
	assert.ErrorIs(t, err, transport.ErrTooLong)
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes were taken", sent.Load())
}
