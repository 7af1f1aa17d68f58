package peerlink

import (
	"context"
	"errors"
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

type outgoing struct {
	conn  net.Conn
	queue chan []byte
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
	lks.clock.Heard(time.Now(), stm)
	return peer, conn.SetDeadline(time.Time{})
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
		lks.clock.Heard(time.Now(), stm)
	}
}

// Serve accepts peers until the listener is closed.
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

func (lks *Links) serveIncoming(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		lks.mu.Lock()
		lks.accepted--
		lks.mu.Unlock()
	}()
	peer, err := lks.greet(conn)
	if err != nil {
		lks.log.WithError(err).WithField("address", conn.RemoteAddr()).Warn("A greeting was refused.")
		return
	}
	lks.mu.Lock()
	if old := lks.incoming[peer.ID]; old != nil {
		_ = old.Close()
	}
	lks.incoming[peer.ID] = conn
	lks.learned[peer.ID] = peer.Address
	lks.adjustDialing()
	lks.mu.Unlock()
	err = lks.readMessages(conn, peer.ID)
	lks.mu.Lock()
	if lks.incoming[peer.ID] == conn {
		delete(lks.incoming, peer.ID)
		delete(lks.learned, peer.ID)
		lks.adjustDialing()
	}
	lks.mu.Unlock()
	lks.log.WithError(err).WithField("peer", peer.ID).Debug("An accepted link ended.")
}

func (lks *Links) readMessages(conn net.Conn, from string) error {
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		stm, payload, err := readFrame(conn, MaxPayload)
		if err != nil {
			return err
		}
		now := time.Now()
		lks.clock.Heard(now, stm)
		if len(payload) == 0 {
			if err := conn.SetWriteDeadline(now.Add(silentAfter)); err != nil {
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
			return errors.New("a newer connection took this one's place")
		}
		lks.post(event.PeerSaid{Member: from, Message: msg})
	}
}
