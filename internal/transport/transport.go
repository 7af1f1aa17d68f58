// Package transport creates HTTP transports that detect connections whose other
// end has stopped responding.
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of connections within a region.
const (
	// dialTimeout is far above the longest round-trip time within a region,
	// which is 2 ms.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is the time that sent bytes may stay unacknowledged before
	// the kernel closes the connection.
	unackedTimeout = 1500 * time.Millisecond
	// idleTimeout is the time after which unused connections are closed, because
	// VMs allow only few.
	idleTimeout = 20 * time.Second
)

// ErrNotSent is returned for a call of which no byte can have reached the other
// end.
var ErrNotSent = errors.New("call was not sent")

// New returns a transport that opens at most the given number of connections to
// each address and keeps them for reuse. Failed dials return ErrNotSent.
func New(connections int) *http.Transport { return NewWithin(connections, unackedTimeout) }

// NewWithin returns a transport like New that closes a connection once sent bytes
// have been unacknowledged for unacked. Bytes that have not arrived by then are not sent
// again.
func NewWithin(connections int, unacked time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}, Control: setUnackedTimeout(unacked)}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			con, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Join(ErrNotSent, err)
			}
			return &guardedConn{Conn: con}, nil
		},
		MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

// setUnackedTimeout returns a function that sets the TCP_USER_TIMEOUT option of a
// socket before it connects.
func setUnackedTimeout(unacked time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked/time.Millisecond))
		})
		return errors.Join(err, sockErr)
	}
}
