// Package proxy forwards TCP connections and injects faults into them: delays,
// cuts in one or both directions, silence and resets.
package proxy

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to an address and injects faults into them. It
// is safe for concurrent use.
type Proxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	links map[*link]bool
	delay time.Duration
	// cutUp blocks data to the target, cutDown data from it.
	cutUp, cutDown bool
	// cutChanged is closed and replaced when cutUp or cutDown changes.
	cutChanged chan struct{}
}

// link is one connection through the proxy.
type link struct {
	client, server net.Conn
	// silent is closed when the connection stops forwarding for good.
	silent chan struct{}
}

// chunkSize is the size of the forwarding buffer, in bytes.
const chunkSize = 16 << 10

// New listens on loopback for connections to a target.
func New(target string) (pro *Proxy, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy for %s: %w", target, err)
	}
	pro = &Proxy{lis: lis, target: target, links: map[*link]bool{}, cutChanged: make(chan struct{})}
	go pro.accept()
	return pro, nil
}

// Address returns the address on which the proxy listens.
func (pro *Proxy) Address() string { return pro.lis.Addr().String() }

// Close stops the listener and resets all connections.
func (pro *Proxy) Close() {
	_ = pro.lis.Close()
	pro.Reset()
}

func (pro *Proxy) accept() {
	for {
		client, err := pro.lis.Accept()
		if err != nil {
			return
		}
		go pro.serve(client)
	}
}

func (pro *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", pro.target)
	if err != nil {
		reset(client)
		return
	}
	lin := &link{client: client, server: server, silent: make(chan struct{})}
	pro.mu.Lock()
	pro.links[lin] = true
	pro.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { pro.forward(lin, client, server, func() bool { return pro.cutUp }) })
	directions.Go(func() { pro.forward(lin, server, client, func() bool { return pro.cutDown }) })
	directions.Wait()
	pro.mu.Lock()
	delete(pro.links, lin)
	pro.mu.Unlock()
}

// forward copies data in one direction until the connection ends.
func (pro *Proxy) forward(lin *link, from, to net.Conn, cut func() bool) {
	buf := make([]byte, chunkSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !pro.awaitForward(lin, cut) {
			// A silent connection drops its data and leaves both ends open.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// awaitForward waits for the delay and for the end of a cut. It reports whether
// the connection still forwards data.
func (pro *Proxy) awaitForward(lin *link, cut func() bool) bool {
	pro.mu.Lock()
	delay := pro.delay
	pro.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		pro.mu.Lock()
		blocked, cutChanged := cut(), pro.cutChanged
		pro.mu.Unlock()
		select {
		case <-lin.silent:
			return false
		default:
		}
		if !blocked {
			return true
		}
		select {
		case <-cutChanged:
		case <-lin.silent:
			return false
		}
	}
}

// SetDelay sets the delay of each forwarded chunk, in both directions.
func (pro *Proxy) SetDelay(delay time.Duration) {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	pro.delay = delay
}

// SetCut blocks or unblocks data to the target (up) and from it (down). Blocked
// data is delivered after the cut.
func (pro *Proxy) SetCut(up, down bool) {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	pro.cutUp, pro.cutDown = up, down
	close(pro.cutChanged)
	pro.cutChanged = make(chan struct{})
}

// Silence makes all open connections drop their data for good, without closing
// them. New connections work.
func (pro *Proxy) Silence() {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	for lin := range pro.links {
		close(lin.silent)
		delete(pro.links, lin)
	}
}

// Reset resets all open connections.
func (pro *Proxy) Reset() {
	pro.mu.Lock()
	defer pro.mu.Unlock()
	for lin := range pro.links {
		reset(lin.client)
		reset(lin.server)
	}
}

// reset closes a connection with a TCP reset.
func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}
