package peerlink

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
)

type outgoing struct {
	conn  net.Conn
	queue chan []byte
}

func (lks *Links) keepDialed(ctx context.Context, address string) {
	for ctx.Err() == nil {
		err := lks.dialOnce(ctx, address)
		if err != nil && ctx.Err() == nil {
			lks.log.WithError(err).WithField("address", address).Debug("A link ended.")
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialEvery):
		}
	}
}

// errSelf ends the dialing of the entry's own address.
var errSelf = errors.New("the address is the entry's own")

// dialOnce connects to a peer and sends to it until the connection ends.
func (lks *Links) dialOnce(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	peer, err := lks.greet(conn)
	if err != nil {
		return err
	}
	if peer.ID == lks.self.ID {
		<-ctx.Done()
		return errSelf
	}
	out := &outgoing{conn: conn, queue: make(chan []byte, queueLength)}
	lks.mu.Lock()
	_, taken := lks.outgoing[peer.ID]
	if !taken {
		lks.outgoing[peer.ID] = out
	}
	lks.mu.Unlock()
	if taken {
		return errors.New("the peer is connected under another address")
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
// goes unanswered.
func (lks *Links) serveOutgoing(out *outgoing) error {
	dead := make(chan error, 1)
	go func() { dead <- lks.readPongs(out.conn) }()
	ping := time.NewTicker(pingEvery)
	defer ping.Stop()
	for {
		var payload []byte
		select {
		case err := <-dead:
			return err
		case payload = <-out.queue:
		case <-ping.C:
		}
		now := time.Now()
		if err := out.conn.SetWriteDeadline(now.Add(silentAfter)); err != nil {
			return err
		}
		if err := writeFrame(out.conn, lks.clock.Now(now), payload); err != nil {
			return err
		}
	}
}

func (lks *Links) readPongs(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	for {
		if err := conn.SetReadDeadline(time.Now().Add(silentAfter)); err != nil {
			return err
		}
		stm, _, err := readFrame(conn, 0)
		if err != nil {
			return err
		}
		lks.clock.Observe(time.Now(), stm)
	}
}
