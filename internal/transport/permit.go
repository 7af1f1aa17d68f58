package transport

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// guardedConn is a connection of which the first write of a request may need a permit.
type guardedConn struct {
	net.Conn
	// permit is called before the next write; nil if none is needed.
	permit atomic.Pointer[func() error]
}

// Write asks for the permit, and writes nothing if it fails.
func (con *guardedConn) Write(raw []byte) (n int, err error) {
	if permit := con.permit.Swap(nil); permit != nil {
		if err = (*permit)(); err != nil {
			return 0, errors.Join(ErrNotSent, err)
		}
	}
	return con.Conn.Write(raw)
}

// WithPermit returns a context for a request over a transport of this package. Right
// before the first byte of the request is written, after all waiting for a connection,
// it calls permit. If that fails, the request isn't sent and fails with ErrNotSent.
func WithPermit(ctx context.Context, permit func() error) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if con, ok := info.Conn.(*guardedConn); ok {
			con.permit.Store(&permit)
		}
	}})
}

// WithConnected returns a context for a request that calls connected once the request has
// a connection, after all dialling and waiting for one.
func WithConnected(ctx context.Context, connected func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected() }})
}
