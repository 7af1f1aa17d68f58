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

// Timing and bounds of the links.
const (
	dialTimeout = time.Second
	redialEvery = 200 * time.Millisecond
	pingEvery   = 500 * time.Millisecond
	// silentAfter is how long a connection may leave a ping unanswered.
	silentAfter = 1500 * time.Millisecond
	// queueLength bounds the messages that wait for a connection.
	queueLength = 4096
	// idleTimeout ends an accepted connection on which nothing comes.
	idleTimeout = 5 * time.Second
	// maxAccepted bounds the connections that are accepted at once.
	maxAccepted = 1024
)

// Links keeps a connection to each peer. It is safe for concurrent use.
type Links struct {
	self  Hello
	clock *timeline.Clock
	log   *logrus.Entry
	// post feeds an event to the entry; it may block.
	post func(event.Event)

	mu sync.Mutex
	// ctx ends all dialing.
	ctx    context.Context
	wanted map[string]bool
	// learned maps a member whose connection was accepted to its address.
	learned map[string]string
	// dialing holds the addresses that are being kept connected.
	dialing map[string]context.CancelFunc
	// outgoing maps a member to its connection for sending.
	outgoing map[string]*outgoing
	// incoming maps a member to its newest accepted connection.
	incoming map[string]net.Conn
	accepted int
}

// New returns links that feed events to post.
func New(self Hello, clock *timeline.Clock, log *logrus.Entry, post func(event.Event)) *Links {
	return &Links{
		self: self, clock: clock, log: log, post: post,
		wanted:   map[string]bool{},
		learned:  map[string]string{},
		dialing:  map[string]context.CancelFunc{},
		outgoing: map[string]*outgoing{},
		incoming: map[string]net.Conn{},
	}
}

// Want replaces the addresses to keep connected. Beside them, the links dial
// back every peer whose connection they have accepted.
func (lks *Links) Want(ctx context.Context, addresses []string) {
	lks.mu.Lock()
	defer lks.mu.Unlock()
	lks.ctx = ctx
	lks.wanted = map[string]bool{}
	for _, address := range addresses {
		lks.wanted[address] = true
	}
	lks.adjustDialing()
}

// adjustDialing begins and ends dialing so that it fits the addresses that are
// wanted or learned. The caller holds the lock.
func (lks *Links) adjustDialing() {
	addresses := maps.Clone(lks.wanted)
	for _, address := range lks.learned {
		addresses[address] = true
	}
	for address := range addresses {
		if _, ok := lks.dialing[address]; !ok && lks.ctx != nil {
			dialCtx, cancel := context.WithCancel(lks.ctx)
			lks.dialing[address] = cancel
			go lks.keepDialed(dialCtx, address)
		}
	}
	for address, cancel := range lks.dialing {
		if !addresses[address] {
			cancel()
			delete(lks.dialing, address)
		}
	}
}

// Send queues a message for a member. Without a connection it is dropped: the
// entry has been told that the peer is down. A full queue ends the connection.
func (lks *Links) Send(to string, msg message.Message) {
	payload, err := message.Encode(msg)
	if err != nil {
		lks.log.WithError(err).Error("A message could not be encoded.")
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
		lks.log.WithField("peer", to).Warn("The queue to a peer is full; its connection is ended.")
		_ = out.conn.Close()
	}
}

func (lks *Links) greet(conn net.Conn) (peer Hello, err error) {
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
