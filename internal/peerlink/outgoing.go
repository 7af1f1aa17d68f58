package peerlink

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
)

// outgoing is a dialed connection with its send queue.
type outgoing struct {
	conn  net.Conn
	queue chan []byte
}

// maintainConnection dials an address, and dials it again after redialInterval
// whenever the connection ends, until ctx ends.
func (lks *Links) maintainConnection(ctx context.Context, address string) {
	for ctx.Err() == nil {
		err := lks.serveDialed(ctx, address)
		if err != nil && ctx.Err() == nil {
			lks.log.WithError(err).WithField("address", address).Debug("A dialed connection ended.")
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
}

// errSelf is returned when a dialed address is the entry's own. It is returned
// only when ctx ends, so that the address is not dialed again.
var errSelf = errors.New("address belongs to this entry")

// serveDialed dials a peer and sends queued messages to it until the connection
// ends. A second connection to the same peer is closed.
func (lks *Links) serveDialed(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	peer, err := lks.handshake(conn)
	if err != nil {
		return err
	}
	if peer.ID == lks.self.ID {
		<-ctx.Done()
		return errSelf
	}
	out := &outgoing{conn: conn, queue: make(chan []byte, queueLength)}
	lks.mu.Lock()
	_, connected := lks.outgoing[peer.ID]
	if !connected {
		lks.outgoing[peer.ID] = out
	}
	lks.mu.Unlock()
	if connected {
		return errors.New("peer is already connected under another address")
	}
	lks.post(event.PeerUp{Member: peer.ID, AZ: peer.AZ})
	err = lks.serveOutgoing(out)
	lks.mu.Lock()
	delete(lks.outgoing, peer.ID)
	lks.mu.Unlock()
	lks.post(event.PeerDown{Member: peer.ID})
	return err
}

// serveOutgoing writes messages and pings until the connection ends or a ping
// is not acknowledged in time.
func (lks *Links) serveOutgoing(out *outgoing) error {
	readErr := make(chan error, 1)
	go func() { readErr <- lks.readPongs(out.conn) }()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		var payload []byte
		select {
		case err := <-readErr:
			return err
		case payload = <-out.queue:
		case <-ping.C:
		}
		now := time.Now()
		if err := out.conn.SetWriteDeadline(now.Add(pongTimeout)); err != nil {
			return err
		}
		if err := writeFrame(out.conn, lks.clock.Now(now), payload); err != nil {
			return err
		}
	}
}

// readPongs reads acknowledgements of pings. It closes the connection when none
// arrives within pongTimeout.
func (lks *Links) readPongs(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	for {
		if err := conn.SetReadDeadline(time.Now().Add(pongTimeout)); err != nil {
			return err
		}
		stm, _, err := readFrame(conn, 0)
		if err != nil {
			return err
		}
		lks.clock.Observe(time.Now(), stm)
	}
}
