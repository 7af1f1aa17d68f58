package upstream

import (
	"context"
	"net"
	"sync"
)

// connLimit bounds the open connections to one VM.
type connLimit struct {
	slots chan struct{}
}

func newConnLimit(conns int) *connLimit {
	return &connLimit{slots: make(chan struct{}, conns)}
}

func (lim *connLimit) isFull() bool {
	return len(lim.slots) == cap(lim.slots)
}

// dial opens a connection once one may be opened.
func (lim *connLimit) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case lim.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		<-lim.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, limit: lim}, nil
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	limit *connLimit
	once  sync.Once
}

// Close closes the connection.
func (con *limitedConn) Close() error {
	err := con.Conn.Close()
	con.once.Do(func() { <-con.limit.slots })
	return err
}
