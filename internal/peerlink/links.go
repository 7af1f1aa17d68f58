package peerlink

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"github.com/sirupsen/logrus"
)

// Timeouts, intervals and limits of the links.
const (
	dialTimeout    = time.Second
	redialInterval = 200 * time.Millisecond
	pingInterval   = 500 * time.Millisecond
	// pongTimeout is the time a peer has to acknowledge a ping before its
	// connection is closed. It also bounds each write.
	pongTimeout = 1500 * time.Millisecond
	// queueLength is the number of messages that can be queued for a connection.
	queueLength = 4096
	// idleTimeout is the time after which an accepted connection that receives
	// no frame is closed.
	idleTimeout = 5 * time.Second
	// maxAccepted is the largest number of accepted connections open at a time.
	maxAccepted = 1024
)

// Links maintains a connection to each peer. It is safe for concurrent use.
type Links struct {
	self  Hello
	clock *timeline.Clock
	log   *logrus.Entry
	// post queues an event for the reducer; it may block.
	post func(event.Event)

	// mu protects the fields below.
	mu sync.Mutex
	// ctx is the parent context of all dialers. It is nil until the first call of
	// SetAddresses.
	ctx context.Context
	// configured is the set of addresses given to SetAddresses.
	configured map[string]bool
	// learned maps each member with an accepted connection to the address from
	// its handshake.
	learned map[string]string
	// dialing maps each address with a running dialer to the dialer's cancel
	// function.
	dialing map[string]context.CancelFunc
	// outgoing maps a member to the dialed connection to it.
	outgoing map[string]*outgoing
	// incoming maps a member to the newest connection accepted from it.
	incoming map[string]net.Conn
	// accepted is the number of accepted connections that are open.
	accepted int
}

// New returns links that pass received messages and changes of connections to
// post.
func New(self Hello, clock *timeline.Clock, log *logrus.Entry, post func(event.Event)) *Links {
	return &Links{
		self: self, clock: clock, log: log, post: post,
		configured: map[string]bool{},
		learned:    map[string]string{},
		dialing:    map[string]context.CancelFunc{},
		outgoing:   map[string]*outgoing{},
		incoming:   map[string]net.Conn{},
	}
}

// SetAddresses replaces the set of peer addresses to stay connected to. In
// addition, Links dials back every peer from which it has accepted a
// connection. All dialers end with ctx.
func (lks *Links) SetAddresses(ctx context.Context, addresses []string) {
	lks.mu.Lock()
	defer lks.mu.Unlock()
	lks.ctx = ctx
	lks.configured = map[string]bool{}
	for _, address := range addresses {
		lks.configured[address] = true
	}
	lks.updateDialers()
}

// updateDialers starts dialers for new addresses, configured or learned, and
// stops those of removed ones. The caller holds the lock.
func (lks *Links) updateDialers() {
	addresses := maps.Clone(lks.configured)
	for _, address := range lks.learned {
		addresses[address] = true
	}
	for address := range addresses {
		if _, ok := lks.dialing[address]; !ok && lks.ctx != nil {
			dialCtx, cancel := context.WithCancel(lks.ctx)
			lks.dialing[address] = cancel
			go lks.maintainConnection(dialCtx, address)
		}
	}
	for address, cancel := range lks.dialing {
		if !addresses[address] {
			cancel()
			delete(lks.dialing, address)
		}
	}
}

// Send queues a message for a member. Without a connection the message is
// dropped: event.PeerDown has reported the lost connection to the reducer. If
// the queue is full, the message is dropped and the connection is closed.
func (lks *Links) Send(to string, msg message.Message) {
	payload, err := message.Encode(msg)
	if err != nil {
		lks.log.WithError(err).Error("Failed to encode a message.")
		return
	}
	lks.mu.Lock()
	out := lks.outgoing[to]
	lks.mu.Unlock()
	if out == nil {
		return
	}
	select {
	case out.queue <- payload:
	default:
		lks.log.WithField("peer", to).Warn("The send queue of a peer is full; closing the connection.")
		_ = out.conn.Close()
	}
}

// handshake exchanges hello messages on a new connection and returns the
// peer's.
func (lks *Links) handshake(conn net.Conn) (peer Hello, err error) {
	now := time.Now()
	if err := conn.SetDeadline(now.Add(dialTimeout)); err != nil {
		return Hello{}, err
	}
	if err := writeHello(conn, lks.clock.Now(now), lks.self); err != nil {
		return Hello{}, err
	}
	stm, peer, err := readHello(conn, lks.self.Region)
	if err != nil {
		return Hello{}, err
	}
	lks.clock.Observe(time.Now(), stm)
	return peer, conn.SetDeadline(time.Time{})
}
