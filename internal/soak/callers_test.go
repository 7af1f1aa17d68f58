package soak

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMayHaveBeenRead guards against a refused connection that counts as a request cut
// by its process, because the caller itself had to wait for a processor.
func TestMayHaveBeenRead(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, lis.Close())
	_, refused := http.Get("http://" + lis.Addr().String())
	for _, tst := range []struct {
		name string
		err  error
		took time.Duration
		want bool
	}{
		{"cut", io.EOF, unreadWindow + time.Millisecond, true},
		{"reset", &net.OpError{Op: "read", Err: errors.New("connection reset by peer")}, time.Second, true},
		{"cut at once", io.EOF, unreadWindow / 2, false},
		{"given up", errors.New("timeout"), callTimeout, false},
		{"refused", refused, time.Second, false},
	} {
		assert.Equal(t, mayHaveBeenRead(tst.err, tst.took), tst.want, "%s: %v", tst.name, tst.err)
	}
}
