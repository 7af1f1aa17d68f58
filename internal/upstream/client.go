package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/exchange"
)

// Timeouts and limits of an attempt.
const (
	dialTimeout = 500 * time.Millisecond
	// maxResponseBytes is the largest response body that is accepted. A body is
	// held in memory until it is complete.
	maxResponseBytes = 8 << 20
	// idleTimeout is the time after which an idle connection is closed. A
	// connection that has been idle for longer may have become unresponsive.
	idleTimeout = 500 * time.Millisecond
)

// NotRunHeader is the response header by which an upstream states that it
// refused a request without processing any of it.
const NotRunHeader = "Balsamgauge-Not-Run"

// Client sends requests to VMs. It is safe for concurrent use.
type Client struct {
	// connsPerVM is this entry's share of the connections that a VM allows.
	connsPerVM int

	mu  sync.Mutex
	vms map[string]*target
}

// target holds the connections to one VM.
type target struct {
	limit  *connLimit
	pooled *http.Transport
}

// New returns a client that opens at most connsPerVM connections to each VM.
func New(connsPerVM int) *Client {
	return &Client{connsPerVM: connsPerVM, vms: map[string]*target{}}
}

// Attempt is one attempt to send a request to a VM.
type Attempt struct {
	VM      string
	Address string
	Request exchange.Request
	// Repeatable requests may be sent on an idle connection. All others get a
	// new one: the VM may have closed an idle connection already, and then it
	// is unknown whether the request was run.
	Repeatable bool
}

// Result is the result of an attempt.
type Result struct {
	Kind         event.AttemptResult
	HTTPResponse exchange.HTTPResponse
	// Leaving is set if the VM announced its shutdown by "Connection: close".
	Leaving bool
	Reason  string
}

// Do makes an attempt. It returns when the response is complete, the attempt
// has failed, or the context ends.
func (cli *Client) Do(ctx context.Context, att Attempt) Result {
	tgt := cli.target(att.VM)
	if att.Repeatable {
		return tgt.doRepeatable(ctx, att)
	}
	return tgt.doOnNewConn(ctx, att)
}

// doOnNewConn makes an attempt on a new connection that no other request uses.
func (tgt *target) doOnNewConn(ctx context.Context, att Attempt) Result {
	// Idle connections of the pool occupy slots that the new connection needs.
	if tgt.limit.isFull() {
		tgt.pooled.CloseIdleConnections()
	}
	transport := newTransport(tgt.limit)
	defer transport.CloseIdleConnections()
	return roundTrip(ctx, transport, att, nil)
}

// doRepeatable makes an attempt on a pooled connection. If that connection was
// reused and no response has arrived after half of the remaining time, it sends
// the request a second time on a new connection and returns the first complete
// response. A pooled connection can be unresponsive without being closed while
// new connections work. The first request is not cancelled: it may only be slow.
func (tgt *target) doRepeatable(ctx context.Context, att Attempt) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan Result, 2)
	var reused atomic.Bool
	go func() {
		results <- roundTrip(ctx, tgt.pooled, att, func(info httptrace.GotConnInfo) { reused.Store(info.Reused) })
	}()
	select {
	case res := <-results:
		return res
	case <-time.After(halfRemaining(ctx)):
	}
	if !reused.Load() {
		return <-results
	}
	go func() { results <- tgt.doOnNewConn(ctx, att) }()
	first := <-results
	if first.Kind == event.AttemptAnswered {
		// The other pooled connections may be unresponsive too.
		tgt.pooled.CloseIdleConnections()
		return first
	}
	return moreInformative(first, <-results)
}

// moreInformative selects the result to report for a request that was sent
// twice, where only the second result, b, can be a response. A request of which
// either copy may have been run is never reported as not run.
func moreInformative(a, b Result) Result {
	switch {
	case b.Kind == event.AttemptAnswered || a.Kind == event.AttemptNotRun:
		return b
	default:
		return a
	}
}

// halfRemaining returns half of the time until a context's deadline, or
// dialTimeout if it has none.
func halfRemaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return dialTimeout
	}
	return time.Until(deadline) / 2
}

// roundTrip sends a request and reads its response. It calls onConn, if not
// nil, when it has a connection.
func roundTrip(ctx context.Context, transport *http.Transport, att Attempt, onConn func(httptrace.GotConnInfo)) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if onConn != nil {
			onConn(info)
		}
	}}
	hrq, err := newRequest(httptrace.WithClientTrace(ctx, trace), att)
	if err != nil {
		return Result{Kind: event.AttemptNotRun, Reason: err.Error()}
	}
	hrs, err := transport.RoundTrip(hrq)
	if err != nil {
		return failedResult(err, connected.Load())
	}
	defer func() { _ = hrs.Body.Close() }()
	return readResponse(hrs)
}

// failedResult classifies a request that got no response. Without a connection,
// no byte of it can have reached the VM.
func failedResult(err error, connected bool) Result {
	if !connected {
		return Result{Kind: event.AttemptNotRun, Reason: fmt.Sprintf("no connection: %v", err)}
	}
	return Result{Kind: event.AttemptUnknown, Reason: fmt.Sprintf("no answer: %v", err)}
}

// errTooLarge is returned for a response larger than maxResponseBytes.
var errTooLarge = errors.New("the answer is too large")

// readResponse reads a response to its end and classifies it.
func readResponse(hrs *http.Response) Result {
	leaving := hrs.Close
	if hrs.Header.Get(NotRunHeader) != "" {
		return Result{Kind: event.AttemptNotRun, Leaving: leaving, Reason: "the upstream did not process the request"}
	}
	body, err := io.ReadAll(io.LimitReader(hrs.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	if err == nil && isOpenEnded(hrs) {
		err = errors.New("the answer does not say where it ends")
	}
	if err != nil {
		return Result{Kind: event.AttemptUnknown, Leaving: leaving, Reason: fmt.Sprintf("answer not whole: %v", err)}
	}
	return Result{
		Kind:         event.AttemptAnswered,
		HTTPResponse: exchange.HTTPResponse{Status: hrs.StatusCode, Header: hrs.Header.Clone(), Body: body},
		Leaving:      leaving,
	}
}

// isOpenEnded reports whether only the end of the connection marks the end of
// the response body, so that truncation can't be detected.
func isOpenEnded(hrs *http.Response) bool {
	return hrs.ContentLength < 0 && len(hrs.TransferEncoding) == 0 && !hrs.Uncompressed
}

func (cli *Client) target(vmID string) *target {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	tgt, ok := cli.vms[vmID]
	if !ok {
		lim := newConnLimit(cli.connsPerVM)
		tgt = &target{limit: lim, pooled: newTransport(lim)}
		cli.vms[vmID] = tgt
	}
	return tgt
}

// RetainOnly closes the idle connections to all VMs except those given and
// forgets their connection limits.
func (cli *Client) RetainOnly(vms map[string]bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	for vmID, tgt := range cli.vms {
		if !vms[vmID] {
			tgt.pooled.CloseIdleConnections()
			delete(cli.vms, vmID)
		}
	}
}

func newTransport(lim *connLimit) *http.Transport {
	return &http.Transport{
		DialContext:         lim.dial,
		MaxIdleConnsPerHost: max(1, cap(lim.slots)/2),
		MaxConnsPerHost:     cap(lim.slots),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// strippedHeaders are the headers that are not forwarded to an upstream: those
// that concern a single connection (RFC 9110, section 7.6.1) and the caller's
// credential for the entry.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization",
}

func newRequest(ctx context.Context, att Attempt) (hrq *http.Request, err error) {
	target := "http://" + att.Address + att.Request.Target
	hrq, err = http.NewRequestWithContext(ctx, att.Request.Method, target, bytes.NewReader(att.Request.Body))
	if err != nil {
		return nil, fmt.Errorf("build upstream request: %w", err)
	}
	hrq.Header = att.Request.Header.Clone()
	for _, name := range strippedHeaders {
		hrq.Header.Del(name)
	}
	// Only the reducer may decide to retry, but the transport retries by itself
	// if a reused connection fails. Without GetBody it can't send a body again.
	// It still retries a request without a body whose method is safe or which
	// has an Idempotency-Key; only repeatable requests use such connections.
	hrq.GetBody = nil
	return hrq, nil
}
