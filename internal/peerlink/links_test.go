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

// end is one side of the links, with the events that it was fed.
type end struct {
	links   *peerlink.Links
	address string

	mu     sync.Mutex
	events []event.Event
}

func newEnd(t *testing.T, id, region string) *end {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lsn.Close() })
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	side := &end{address: lsn.Addr().String()}
	hello := peerlink.Hello{Version: peerlink.Version, Region: region, ID: id, AZ: "az", Address: side.address}
	side.links = peerlink.New(hello, &timeline.Clock{}, logger.WithField("id", id), func(evt event.Event) {
		side.mu.Lock()
		defer side.mu.Unlock()
		side.events = append(side.events, evt)
	})
	go func() { _ = side.links.Serve(lsn) }()
	return side
}

// want keeps a link to an address until the test ends.
func (side *end) want(t *testing.T, addresses ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	side.links.Want(ctx, addresses)
}

// count returns how many events a condition holds of.
func (side *end) count(holds func(event.Event) bool) int {
	side.mu.Lock()
	defer side.mu.Unlock()
	count := 0
	for _, evt := range side.events {
		if holds(evt) {
			count++
		}
	}
	return count
}

func (side *end) await(t *testing.T, count int, holds func(event.Event) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if side.count(holds) >= count {
			return
		}
	}
	t.Fatalf("waited too long, got %v", side.events)
}

func isUp(evt event.Event) bool   { _, ok := evt.(event.PeerUp); return ok }
func isDown(evt event.Event) bool { _, ok := evt.(event.PeerDown); return ok }
func isSaid(evt event.Event) bool { _, ok := evt.(event.MessageReceived); return ok }

func TestMessagesTravelBothWaysThoughOneSideDials(t *testing.T) {
	a, b := newEnd(t, "a", "r"), newEnd(t, "b", "r")
	a.want(t, b.address)
	b.want(t)
	a.await(t, 1, isUp)
	b.await(t, 1, isUp)
	a.links.Send("b", message.ReleaseKey{Hash: "from a"})
	b.links.Send("a", message.ReleaseKey{Hash: "from b"})
	a.await(t, 1, isSaid)
	b.await(t, 1, isSaid)
}

func TestPeerOfAnotherRegionIsRefused(t *testing.T) {
	a, b := newEnd(t, "a", "r"), newEnd(t, "b", "elsewhere")
	a.want(t, b.address)
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, a.count(isUp)+b.count(isUp), 0)
}

// relay passes bytes between two ends until it is told to swallow them.
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

// silence makes the open connections silent for good. New ones work.
func (rly *relay) silence() {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	for _, conn := range rly.open {
		rly.silent[conn] = true
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newEnd(t, "a", "r"), newEnd(t, "b", "r")
	rly := newRelay(t, b.address)
	a.want(t, rly.address)
	a.await(t, 1, isUp)
	rly.silence()
	a.await(t, 1, isDown)
	a.await(t, 2, isUp)
	a.links.Send("b", message.ReleaseKey{Hash: "h"})
	b.await(t, 1, isSaid)
}

// TestBrokenBytesEndOnlyTheirConnection sends frames that are too long, or no
// frames at all, while another peer goes on.
func TestBrokenBytesEndOnlyTheirConnection(t *testing.T) {
	a, b := newEnd(t, "a", "r"), newEnd(t, "b", "r")
	a.want(t, b.address)
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
			assert.Assert(t, !nerr.Timeout(), "the connection was not ended")
		}
	}
	a.links.Send("b", message.ReleaseKey{Hash: "h"})
	b.await(t, 1, isSaid)
	assert.Equal(t, a.count(isDown), 0)
}
