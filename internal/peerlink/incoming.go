package peerlink

import (
	"errors"
	"net"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
)

// Serve accepts connections from peers until the listener is closed. Beyond
// maxAccepted it closes new ones immediately.
func (lks *Links) Serve(lsn net.Listener) error {
	for {
		conn, err := lsn.Accept()
		if err != nil {
			return err
		}
		lks.mu.Lock()
		full := lks.accepted >= maxAccepted
		if !full {
			lks.accepted++
		}
		lks.mu.Unlock()
		if full {
			_ = conn.Close()
			continue
		}
		go lks.serveIncoming(conn)
	}
}

// serveIncoming receives from one accepted connection until it ends. It
// replaces an older connection from the same peer.
func (lks *Links) serveIncoming(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		lks.mu.Lock()
		lks.accepted--
		lks.mu.Unlock()
	}()
	peer, err := lks.handshake(conn)
	if err != nil {
		lks.log.WithError(err).WithField("address", conn.RemoteAddr()).Warn("The handshake of an accepted connection failed.")
		return
	}
	lks.mu.Lock()
	if old := lks.incoming[peer.ID]; old != nil {
		_ = old.Close()
	}
	lks.incoming[peer.ID] = conn
	lks.learned[peer.ID] = peer.Address
	lks.updateDialers()
	lks.mu.Unlock()
	err = lks.readMessages(conn, peer.ID)
	lks.mu.Lock()
	if lks.incoming[peer.ID] == conn {
		delete(lks.incoming, peer.ID)
		delete(lks.learned, peer.ID)
		lks.updateDialers()
	}
	lks.mu.Unlock()
	lks.log.WithError(err).WithField("peer", peer.ID).Debug("An accepted connection ended.")
}

// readMessages posts received messages and acknowledges pings until the
// connection ends or is replaced.
func (lks *Links) readMessages(conn net.Conn, from string) error {
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		stm, payload, err := readFrame(conn, MaxPayloadBytes)
		if err != nil {
			return err
		}
		now := time.Now()
		lks.clock.Observe(now, stm)
		if len(payload) == 0 {
			if err := conn.SetWriteDeadline(now.Add(pongTimeout)); err != nil {
				return err
			}
			if err := writeFrame(conn, lks.clock.Now(now), nil); err != nil {
				return err
			}
			continue
		}
		msg, err := message.Decode(payload)
		if err != nil {
			return err
		}
		lks.mu.Lock()
		current := lks.incoming[from] == conn
		lks.mu.Unlock()
		if !current {
			return errors.New("replaced by a newer connection from the same peer")
		}
		lks.post(event.MessageReceived{Member: from, Message: msg})
	}
}
