package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Advisor is a stand-in for the platform's advisor. It allows every step on
// every VM, and serves one query at a time per connection, where a connection
// stands for a calling machine. It is safe for concurrent use.
type Advisor struct {
	// decisionTime is the duration of a query.
	decisionTime time.Duration

	mu sync.Mutex
	// semaphores limits each connection, by remote address, to one query at a
	// time.
	semaphores map[string]chan struct{}
	// tickets holds the tickets that were issued.
	tickets map[string]bool
}

// ticketValidMS is the lifetime of a ticket, in milliseconds.
const ticketValidMS = 3000

// ServeHTTP answers a query with a ticket for each VM in it.
func (adv *Advisor) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	var query struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(req.Body).Decode(&query) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	semaphore := adv.semaphore(req.RemoteAddr)
	semaphore <- struct{}{}
	time.Sleep(adv.decisionTime)
	<-semaphore
	rows := [][]string{}
	adv.mu.Lock()
	defer adv.mu.Unlock()
	for _, vm := range query.Workers {
		ticket := query.Step + "/" + vm
		adv.tickets[ticket] = true
		rows = append(rows, []string{vm, ticket})
	}
	writeJSON(wri, http.StatusOK, map[string]any{"allowed": rows, "valid-ms": ticketValidMS})
}

// semaphore returns the semaphore of a caller's connection.
func (adv *Advisor) semaphore(caller string) chan struct{} {
	adv.mu.Lock()
	defer adv.mu.Unlock()
	if adv.semaphores[caller] == nil {
		adv.semaphores[caller] = make(chan struct{}, 1)
	}
	return adv.semaphores[caller]
}

// Connections returns the number of connections that have sent a query.
func (adv *Advisor) Connections() int {
	adv.mu.Lock()
	defer adv.mu.Unlock()
	return len(adv.semaphores)
}

// admits reports whether a ticket allows a task to start on a VM: it must have
// been issued for this VM and the step of the task.
func (adv *Advisor) admits(ticket, task, vm string) bool {
	adv.mu.Lock()
	defer adv.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return adv.tickets[ticket] && slices.Equal(strings.Split(ticket, "/"), []string{step, vm})
}
