package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
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

// recordingConn records what is written to a connection.
type recordingConn struct {
	net.Conn
	written func(raw []byte)
}

func (con recordingConn) Write(raw []byte) (n int, err error) {
	con.written(raw)
	return con.Conn.Write(raw)
}

// TestPermitCoversWholeRequest guards against a request that is sent long after its permit:
// a part of it is written later, or something else is done between the permit and the
// write.
func TestPermitCoversWholeRequest(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
	}))
	defer srv.Close()
	var steps []string
	trans := New(1)
	dial := trans.DialContext
	trans.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		guarded := con.(*guardedConn)
		guarded.Conn = recordingConn{guarded.Conn, func(raw []byte) {
			whole := strings.HasPrefix(string(raw), "POST ") && strings.HasSuffix(string(raw), "the body")
			steps = append(steps, fmt.Sprintf("write, whole: %v", whole))
		}}
		return guarded, nil
	}
	client := &http.Client{Transport: trans}
	for range 3 {
		ctx := WithPermit(context.Background(), func() error { steps = append(steps, "permit"); return nil })
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL, strings.NewReader("the body"))
		assert.NilError(t, err)
		req.GetBody = nil
		rsp, err := client.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, rsp.Body.Close())
	}
	assert.DeepEqual(t, steps, []string{"permit", "write, whole: true", "permit", "write, whole: true", "permit", "write, whole: true"})
}
