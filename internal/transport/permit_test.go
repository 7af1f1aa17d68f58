package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPermitIsAskedOncePerRequest checks that a request without a permit is not sent, and
// that its permit concerns no other request on the same connection.
func TestPermitIsAskedOncePerRequest(t *testing.T) {
	var arrived atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		raw, err := io.ReadAll(req.Body)
		if err == nil && len(raw) == 4 {
			arrived.Add(1)
		}
	}))
	defer srv.Close()
	client := &http.Client{Transport: New(1)}
	asked := 0
	send := func(failure error, guarded bool) error {
		ctx := context.Background()
		if guarded {
			ctx = WithPermit(ctx, func() error { asked++; return failure })
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader("body"))
		assert.NilError(t, err)
		req.GetBody = nil
		rsp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, rsp.Body)
			assert.NilError(t, err)
			assert.NilError(t, rsp.Body.Close())
		}
		return err
	}
	lost := errors.New("the duty is lost")
	assert.NilError(t, send(nil, true))
	assert.NilError(t, send(lost, false))
	err := send(lost, true)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, err, lost)
	assert.NilError(t, send(lost, false))
	assert.NilError(t, send(nil, true))
	assert.Equal(t, asked, 3)
	assert.Equal(t, arrived.Load(), int64(4))
}
