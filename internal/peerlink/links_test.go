package peerlink_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/peerlink"
	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// endpoint is one entry's links with the events that they posted.
type endpoint struct {
	links   *peerlink.Links
	address string

	mu     sync.Mutex
	events []event.Event
}

func newEndpoint(t *testing.T, id, region string) *endpoint {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lsn.Close() })
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ept := &endpoint{address: lsn.Addr().String()}
	hello := peerlink.Hello{Version: peerlink.Version, Region: region, ID: id, AZ: "az", Address: ept.address}
	ept.links = peerlink.New(hello, &timeline.Clock{}, logger.WithField("id", id), func(evt event.Event) {
		ept.mu.Lock()
		defer ept.mu.Unlock()
		ept.events = append(ept.events, evt)
	})
	go func() { _ = ept.links.Serve(lsn) }()
	return ept
}

// connect sets the addresses to dial until the test ends.
func (ept *endpoint) connect(t *testing.T, addresses ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ept.links.SetAddresses(ctx, addresses)
}

// count returns the number of events that satisfy a condition.
func (ept *endpoint) count(condition func(event.Event) bool) int {
	ept.mu.Lock()
	defer ept.mu.Unlock()
	count := 0
	for _, evt := range ept.events {
		if condition(evt) {
			count++
		}
	}
	return count
}

func (ept *endpoint) await(t *testing.T, count int, condition func(event.Event) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ept.count(condition) >= count {
			return
		}
	}
	t.Fatalf("timed out, got events %v", ept.events)
}

func isUp(evt event.Event) bool      { _, ok := evt.(event.PeerUp); return ok }
func isDown(evt event.Event) bool    { _, ok := evt.(event.PeerDown); return ok }
func isMessage(evt event.Event) bool { _, ok := evt.(event.MessageReceived); return ok }

// TestMessagesFlowBothWaysWhenOneSideDials checks that an entry dials back a
// peer whose address it learns only from an accepted connection.
func TestMessagesFlowBothWaysWhenOneSideDials(t *testing.T) {
	a, b := newEndpoint(t, "a", "r"), newEndpoint(t, "b", "r")
	a.connect(t, b.address)
	b.connect(t)
	a.await(t, 1, isUp)
	b.await(t, 1, isUp)
	a.links.Send("b", message.ReleaseKey{Hash: "from a"})
	b.links.Send("a", message.ReleaseKey{Hash: "from b"})
	a.await(t, 1, isMessage)
	b.await(t, 1, isMessage)
}

func TestPeerOfAnotherRegionIsRefused(t *testing.T) {
	a, b := newEndpoint(t, "a", "r"), newEndpoint(t, "b", "elsewhere")
	a.connect(t, b.address)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, a.count(isUp)+b.count(isUp), 0)
}

// relay is a TCP proxy that can discard the traffic of its open connections.
type relay struct {
	address string
	mu      sync.Mutex
	silent  map[net.Conn]bool
	open    []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lsn.Close() })
	rly := &relay{address: lsn.Addr().String(), silent: map[net.Conn]bool{}}
	go func() {
		for {
			in, err := lsn.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			rly.mu.Lock()
			rly.open = append(rly.open, in, out)
			rly.mu.Unlock()
			go rly.pass(in, out)
			go rly.pass(out, in)
		}
	}()
	return rly
}

func (rly *relay) pass(from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		count, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		rly.mu.Lock()
		silent := rly.silent[from]
		rly.mu.Unlock()
		if !silent {
			_, _ = to.Write(buf[:count])
		}
	}
}

// silence discards all further traffic on the open connections without closing
// them. New connections work.
func (rly *relay) silence() {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	for _, conn := range rly.open {
		rly.silent[conn] = true
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newEndpoint(t, "a", "r"), newEndpoint(t, "b", "r")
	rly := newRelay(t, b.address)
	a.connect(t, rly.address)
	a.await(t, 1, isUp)
	rly.silence()
	a.await(t, 1, isDown)
	a.await(t, 2, isUp)
	a.links.Send("b", message.ReleaseKey{Hash: "h"})
	b.await(t, 1, isMessage)
}

// TestMalformedFramesEndOnlyTheirConnection sends an oversized frame, an
// invalid frame and an HTTP request. Each connection must be closed, and the
// connection of another peer must stay up.
func TestMalformedFramesEndOnlyTheirConnection(t *testing.T) {
	a, b := newEndpoint(t, "a", "r"), newEndpoint(t, "b", "r")
	a.connect(t, b.address)
	a.await(t, 1, isUp)
	tooLong := make([]byte, 12)
	binary.BigEndian.PutUint32(tooLong, 1<<31)
	for _, bytes := range [][]byte{tooLong, make([]byte, 64), []byte("GET / HTTP/1.1\r\n\r\n")} {
		conn, err := net.Dial("tcp", b.address)
		assert.NilError(t, err)
		_, err = conn.Write(bytes)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.Copy(io.Discard, conn)
		_ = conn.Close()
		if nerr, ok := err.(net.Error); ok {
			assert.Assert(t, !nerr.Timeout(), "the connection was not closed")
		}
	}
	a.links.Send("b", message.ReleaseKey{Hash: "h"})
	b.await(t, 1, isMessage)
	assert.Equal(t, a.count(isDown), 0)
}
