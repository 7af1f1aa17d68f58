package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// connLimit limits the number of open connections to one VM.
type connLimit struct {
	slots chan struct{}
}

func newConnLimit(conns int) *connLimit {
	return &connLimit{slots: make(chan struct{}, conns)}
}

func (lim *connLimit) isFull() bool {
	return len(lim.slots) == cap(lim.slots)
}

// dial opens a connection. At the limit it waits until another one is closed.
func (lim *connLimit) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case lim.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	// The dial is not cancelled with ctx: the VM may already have accepted the
	// connection and would count it, while its slot here would be free.
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), network, address)
	if err != nil {
		<-lim.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, limit: lim}, nil
}

// limitedConn releases its slot after it is closed.
type limitedConn struct {
	net.Conn
	limit *connLimit
	once  sync.Once
}

// lingerTimeout is the longest time a closed connection keeps its slot while
// the VM has not closed its end. A VM whose CPUs are busy takes more than 100
// ms.
const lingerTimeout = time.Second

// Close closes the connection without waiting. The slot is released when the VM
// has closed its end too, because until then the VM counts the connection.
func (con *limitedConn) Close() error {
	con.once.Do(func() { go con.linger() })
	return nil
}

// linger sends a FIN, waits for that of the VM and then releases the slot.
func (con *limitedConn) linger() {
	defer func() { <-con.limit.slots }()
	defer func() { _ = con.Conn.Close() }()
	if half, ok := con.Conn.(*net.TCPConn); ok && half.CloseWrite() != nil {
		return
	}
	if con.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, con.Conn)
	}
}
