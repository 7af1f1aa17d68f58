package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
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
	// A dial that is given up may have been accepted; the VM would count the
	// connection and the limit would not.
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), network, address)
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

// lingerFor bounds how long a closed connection keeps its place while the VM has
// not closed its end. A VM whose processors are busy takes over 100 ms.
const lingerFor = time.Second

// Close closes the connection. Its place is free only when the VM has closed
// its end too: until then the VM counts the connection.
func (con *limitedConn) Close() error {
	con.once.Do(func() { go con.linger() })
	return nil
}

func (con *limitedConn) linger() {
	defer func() { <-con.limit.slots }()
	defer func() { _ = con.Conn.Close() }()
	if half, ok := con.Conn.(*net.TCPConn); ok && half.CloseWrite() != nil {
		return
	}
	if con.SetReadDeadline(time.Now().Add(lingerFor)) == nil {
		_, _ = io.Copy(io.Discard, con.Conn)
	}
}
