package site

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Advisor is a stand-in for the advisor. It lets every step run on every VM, and
// serves one question at a time for each connection, which stands for a calling
// machine. It is safe for concurrent use.
type Advisor struct {
	// decision is how long an answer takes.
	decision time.Duration

	mu      sync.Mutex
	turns   map[string]chan struct{}
	tickets map[string]bool
}

// adviceValid is how long tickets hold, in milliseconds.
const adviceValid = 3000

// ServeHTTP answers a question.
func (adv *Advisor) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	var ask struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(req.Body).Decode(&ask) != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	turn := adv.turn(req.RemoteAddr)
	turn <- struct{}{}
	time.Sleep(adv.decision)
	<-turn
	rows := [][]string{}
	adv.mu.Lock()
	defer adv.mu.Unlock()
	for _, vm := range ask.Workers {
		ticket := ask.Step + "/" + vm
		adv.tickets[ticket] = true
		rows = append(rows, []string{vm, ticket})
	}
	answer(wri, http.StatusOK, map[string]any{"allowed": rows, "valid-ms": adviceValid})
}

func (adv *Advisor) turn(caller string) chan struct{} {
	adv.mu.Lock()
	defer adv.mu.Unlock()
	if adv.turns[caller] == nil {
		adv.turns[caller] = make(chan struct{}, 1)
	}
	return adv.turns[caller]
}

// Connections returns how many connections have asked.
func (adv *Advisor) Connections() int {
	adv.mu.Lock()
	defer adv.mu.Unlock()
	return len(adv.turns)
}

// admits reports whether a ticket lets a task of a step start on a VM.
func (adv *Advisor) admits(ticket, task, vm string) bool {
	adv.mu.Lock()
	defer adv.mu.Unlock()
	step := task[:strings.LastIndexByte(task, '.')]
	return adv.tickets[ticket] && slices.Equal(strings.Split(ticket, "/"), []string{step, vm})
}
