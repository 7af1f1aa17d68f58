// Package exchange holds the parts of a caller's request that the entry's
// reducer (package core/entry) does not need: the method, headers and body, and
// the responses of its attempts. It holds them until there is a reply.
//
// A response is what an upstream returned for one attempt to send it the
// request. A reply is the result that the caller or operator receives.
package exchange

import (
	"net/http"
	"sync"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
)

// A Reply ends an exchange. Its types are HTTPResponse, Refusal, Accepted,
// TaskStatus, ChangeResult and EntryStatus.
type Reply interface{ isReply() }

// HTTPResponse is the complete response of an upstream.
type HTTPResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Refusal is an error response of the entry itself.
type Refusal struct{ Refusal outcome.Refusal }

// Accepted confirms that a submitted task has been stored.
type Accepted struct{ TaskID string }

// TaskStatus is the status of a task.
type TaskStatus struct{ Status task.Status }

// ChangeResult is the result of an operator's change of the configuration.
type ChangeResult struct{ Result effect.ReplyChange }

// EntryStatus is the status of the entry.
type EntryStatus struct{ Status effect.Status }

func (HTTPResponse) isReply() {}
func (Refusal) isReply()      {}
func (Accepted) isReply()     {}
func (TaskStatus) isReply()   {}
func (ChangeResult) isReply() {}
func (EntryStatus) isReply()  {}

// Request holds the parts of a caller's request that are forwarded to an
// upstream.
type Request struct {
	Method string
	// Target is the path and query.
	Target string
	Header http.Header
	Body   []byte
}

// Exchange is one request of a caller or an operator that has no reply yet.
type Exchange struct {
	ID      uint64
	Request Request
	reply   chan Reply

	mu sync.Mutex
	// responses maps the number of an attempt to its response.
	responses map[int]HTTPResponse
}

// Reply returns the channel that delivers the single reply.
func (exc *Exchange) Reply() <-chan Reply { return exc.reply }

// SetResponse stores the response of an attempt.
func (exc *Exchange) SetResponse(attempt int, rsp HTTPResponse) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.responses[attempt] = rsp
}

// ResponseOf returns the response of an attempt, if there is one.
func (exc *Exchange) ResponseOf(attempt int) (rsp HTTPResponse, ok bool) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	rsp, ok = exc.responses[attempt]
	return rsp, ok
}

// Table holds the open exchanges. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]*Exchange
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{open: map[uint64]*Exchange{}}
}

// Open opens an exchange for a request.
func (tab *Table) Open(req Request) *Exchange {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	tab.next++
	exc := &Exchange{ID: tab.next, Request: req, reply: make(chan Reply, 1), responses: map[int]HTTPResponse{}}
	tab.open[exc.ID] = exc
	return exc
}

// Get returns an open exchange.
func (tab *Table) Get(id uint64) (exc *Exchange, ok bool) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	exc, ok = tab.open[id]
	return exc, ok
}

// Finish delivers the reply of an exchange and closes it. Further replies are
// ignored.
func (tab *Table) Finish(id uint64, rep Reply) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	exc, ok := tab.open[id]
	if !ok {
		return
	}
	delete(tab.open, id)
	exc.reply <- rep
}

// Drop closes an exchange without a reply, because its caller or operator
// disconnected or the entry exits.
func (tab *Table) Drop(id uint64) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	delete(tab.open, id)
}

// Len returns the number of open exchanges.
func (tab *Table) Len() int {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	return len(tab.open)
}
