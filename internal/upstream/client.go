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

// Bounds of an attempt.
const (
	dialTimeout = 500 * time.Millisecond
	// maxAnswer bounds an answer, which is held until it is whole, in bytes.
	maxAnswer = 8 << 20
	// idleTimeout is how long a connection may be kept for the next request.
	// One that has been idle for longer may have gone silent.
	idleTimeout = 500 * time.Millisecond
)

// NotRunHeader is set by an upstream that refuses a request without having
// processed any of it.
const NotRunHeader = "Balsamgauge-Not-Run"

// Client sends requests to VMs. It is safe for concurrent use.
type Client struct {
	// connsPerVM is this entry's part of the connections that a VM allows.
	connsPerVM int

	mu  sync.Mutex
	vms map[string]*target
}

// target is what the client keeps for one VM.
type target struct {
	limit  *connLimit
	pooled *http.Transport
}

// New returns a client that opens at most connsPerVM connections to each VM.
func New(connsPerVM int) *Client {
	return &Client{connsPerVM: connsPerVM, vms: map[string]*target{}}
}

// Attempt is one try of a request at a VM.
type Attempt struct {
	VM      string
	Address string
	Request exchange.Request
	// Repeatable requests may go out on a connection that has been idle. The
	// others get a new one: an idle connection can have been closed at its
	// other end, and then nobody could tell whether the request was run.
	Repeatable bool
}

// Result is how an attempt ended.
type Result struct {
	Kind         event.AttemptResult
	HTTPResponse exchange.HTTPResponse
	Leaving      bool
	Reason       string
}

// Do makes an attempt. It returns when the whole answer is there, the attempt
// failed, or the context ended.
func (cli *Client) Do(ctx context.Context, att Attempt) Result {
	tgt := cli.target(att.VM)
	if att.Repeatable {
		return tgt.doRepeatable(ctx, att)
	}
	return tgt.doOnNew(ctx, att)
}

// doOnNew makes an attempt on a connection of its own.
func (tgt *target) doOnNew(ctx context.Context, att Attempt) Result {
	if tgt.limit.isFull() {
		tgt.pooled.CloseIdleConnections()
	}
	transport := newTransport(tgt.limit)
	defer transport.CloseIdleConnections()
	return roundTrip(ctx, transport, att, nil)
}

// doRepeatable makes an attempt on a pooled connection. If it is one that was
// used before and nothing has come on it by half of the time, a second try goes
// out on a new connection, and the first whole answer counts. An open connection
// can have gone silent for good while new ones work. The first try goes on: it
// may be slow and not lost.
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
	case <-time.After(halfOf(ctx)):
	}
	if !reused.Load() {
		return <-results
	}
	go func() { results <- tgt.doOnNew(ctx, att) }()
	first := <-results
	if first.Kind == event.AttemptAnswered {
		tgt.pooled.CloseIdleConnections()
		return first
	}
	return better(first, <-results)
}

// better returns the result that is worth more to the caller. What one of the
// two tries may have run is never said not to have run.
func better(a, b Result) Result {
	switch {
	case b.Kind == event.AttemptAnswered || a.Kind == event.AttemptNotRun:
		return b
	default:
		return a
	}
}

// halfOf returns half of the time that a context has left.
func halfOf(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return dialTimeout
	}
	return time.Until(deadline) / 2
}

func roundTrip(ctx context.Context, transport *http.Transport, att Attempt, got func(httptrace.GotConnInfo)) Result {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if got != nil {
			got(info)
		}
	}}
	hrq, err := newRequest(httptrace.WithClientTrace(ctx, trace), att)
	if err != nil {
		return Result{Kind: event.AttemptNotRun, Reason: err.Error()}
	}
	hrs, err := transport.RoundTrip(hrq)
	if err != nil {
		return failure(err, connected.Load())
	}
	defer func() { _ = hrs.Body.Close() }()
	return readAnswer(hrs)
}

// failure tells what is known of a request without an answer. Before there was
// a connection, no byte of it can have reached the VM.
func failure(err error, connected bool) Result {
	if !connected {
		return Result{Kind: event.AttemptNotRun, Reason: fmt.Sprintf("no connection: %v", err)}
	}
	return Result{Kind: event.AttemptUnknown, Reason: fmt.Sprintf("no answer: %v", err)}
}

var errTooLarge = errors.New("the answer is too large")

func readAnswer(hrs *http.Response) Result {
	leaving := hrs.Close
	if hrs.Header.Get(NotRunHeader) != "" {
		return Result{Kind: event.AttemptNotRun, Leaving: leaving, Reason: "the upstream did not process the request"}
	}
	body, err := io.ReadAll(io.LimitReader(hrs.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
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

// isOpenEnded reports whether an answer ends with its connection, so that a
// truncated one looks like a whole one.
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

// RetainOnly drops what is kept for VMs other than those given.
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

// hopHeaders are those of one connection only (RFC 9110, section 7.6.1), with
// what callers use to speak to the entry itself.
var hopHeaders = []string{
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
	for _, name := range hopHeaders {
		hrq.Header.Del(name)
	}
	// The transport repeats a request by itself when it can get the body again
	// or the method is idempotent. Only the core may decide on a repetition.
	hrq.GetBody = nil
	return hrq, nil
}
