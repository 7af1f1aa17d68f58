// Package exchange keeps what the core never sees of a caller's request: the
// method, headers and body, and the answers of its attempts, until one reply
// goes back.
package exchange

import (
	"net/http"
	"sync"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
)

// A Reply ends an exchange. The closed set is Answer, Refusal, Accepted, Told,
// Changed and Reported.
type Reply interface{ isReply() }

// Answer is the whole answer of an upstream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Refusal is an answer of the entry itself.
type Refusal struct{ Refusal outcome.Refusal }

// Accepted means that a task is in the store.
type Accepted struct{ TaskID string }

// Told is the status of a task.
type Told struct{ Status task.Status }

// Changed answers an operator's change.
type Changed struct{ Answer effect.ReplyChange }

// Reported is an entry's status.
type Reported struct{ Status effect.Status }

func (Answer) isReply()   {}
func (Refusal) isReply()  {}
func (Accepted) isReply() {}
func (Told) isReply()     {}
func (Changed) isReply()  {}
func (Reported) isReply() {}

// Request is what an upstream needs of a caller's request.
type Request struct {
	Method string
	// Target is the path with the query.
	Target string
	Header http.Header
	Body   []byte
}

// Exchange is one caller's request until its reply.
type Exchange struct {
	ID      uint64
	Request Request
	reply   chan Reply

	mu      sync.Mutex
	answers map[int]Answer
}

// Reply returns the channel on which the one reply comes.
func (exc *Exchange) Reply() <-chan Reply { return exc.reply }

// SetAnswer keeps the answer of an attempt.
func (exc *Exchange) SetAnswer(attempt int, ans Answer) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.answers[attempt] = ans
}

// AnswerOf returns the answer of an attempt.
func (exc *Exchange) AnswerOf(attempt int) (ans Answer, ok bool) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	ans, ok = exc.answers[attempt]
	return ans, ok
}

// Table holds the exchanges under way. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]*Exchange
}

// NewTable returns a table without exchanges.
func NewTable() *Table {
	return &Table{open: map[uint64]*Exchange{}}
}

// Open begins an exchange.
func (tab *Table) Open(req Request) *Exchange {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	tab.next++
	exc := &Exchange{ID: tab.next, Request: req, reply: make(chan Reply, 1), answers: map[int]Answer{}}
	tab.open[exc.ID] = exc
	return exc
}

// Get returns an exchange that is under way.
func (tab *Table) Get(id uint64) (exc *Exchange, ok bool) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	exc, ok = tab.open[id]
	return exc, ok
}

// Finish sends the reply of an exchange. Only the first one counts.
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

// Drop ends an exchange whose caller went away.
func (tab *Table) Drop(id uint64) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	delete(tab.open, id)
}

// Len returns the number of exchanges under way.
func (tab *Table) Len() int {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	return len(tab.open)
}
