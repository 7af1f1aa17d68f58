// Package transport makes HTTP transports that notice connections that went
// silent.
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

// Limits of connections within a region.
const (
	// dialTimeout is far above the longest round trip within a region, 2 ms.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives the connection up.
	unackedTimeout = 1500 * time.Millisecond
	// idleTimeout closes connections that weren't used for a while; VMs allow
	// few.
	idleTimeout = 20 * time.Second
)

// ErrNotSent means that no byte of a call can have reached the other side.
var ErrNotSent = errors.New("call was not sent")

// New returns a transport that keeps a number of connections to each address.
// Dials that fail are ErrNotSent.
func New(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
	}, Control: setUnackedTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			con, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Join(ErrNotSent, err)
			}
			return con, nil
		},
		MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	return errors.Join(err, failed)
}
