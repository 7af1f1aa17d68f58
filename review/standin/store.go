package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// storeLink is the way of one process to the store. It can be cut. On demand it also
// leaves one write unanswered and passes it on later, as the page says of the store:
// "A call that receives no response may have been executed, or may be executed
// seconds later if its condition still holds."
type storeLink struct {
	wld *world
	// name is that of the process.
	name string

	mu  sync.Mutex
	cut bool
	// renewed is when the store last answered a renewal of a lease.
	renewed time.Time
}

// lateWrite is a write that gets no answer and is done later, by any process.
type lateWrite struct {
	mu sync.Mutex
	// key is that of the write to delay; empty if there is none.
	key string
	// writes counts the writes since the key was set, until the late one is done.
	writes int
	done   chan struct{}
}

// delay makes the next write of a key late.
func (lat *lateWrite) delay(key string) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	lat.key, lat.writes = key, 0
}

// lateness is how much later the write is done; the pages say 1 to 6 s.
const lateness = 4 * time.Second

// setCut cuts the process off from the store, or ends that.
func (lin *storeLink) setCut(cut bool) {
	lin.mu.Lock()
	defer lin.mu.Unlock()
	lin.cut = cut
	lin.wld.rec.note("%s is cut off from the store: %v", lin.name, cut)
}

// silent reports whether the link is cut; then it waits until the caller leaves.
func (lin *storeLink) silent(req *http.Request) bool {
	lin.mu.Lock()
	cut := lin.cut
	lin.mu.Unlock()
	if cut {
		<-req.Context().Done()
	}
	return cut
}

// ServeHTTP passes a call on.
func (lin *storeLink) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil || lin.silent(req) {
		panic(http.ErrAbortHandler)
	}
	if req.URL.Path == "/kv-txn" && lin.wld.late.isLate(lin.wld, raw) {
		lin.wld.rec.note("the store leaves a write of %s unanswered and does it %v later", lin.name, lateness)
		time.AfterFunc(lateness, func() { lin.wld.late.send(lin.wld, raw) })
		panic(http.ErrAbortHandler)
	}
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+lin.wld.sit.StoreAddress+req.URL.RequestURI(), bytes.NewReader(raw))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rsp, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	if err != nil || lin.silent(req) {
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(req.URL.Path, "/kv-keep/") {
		lin.noteRenewal()
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(rsp.StatusCode)
	// An error means that the caller has left.
	_, _ = wri.Write(body)
}

func (lin *storeLink) noteRenewal() {
	lin.mu.Lock()
	defer lin.mu.Unlock()
	lin.renewed = time.Now()
}

// renewedSince reports whether a lease has been renewed since a time.
func (lin *storeLink) renewedSince(since time.Time) bool {
	lin.mu.Lock()
	defer lin.mu.Unlock()
	return lin.renewed.After(since)
}

// isLate reports whether a write is the one to delay, and counts it.
func (lat *lateWrite) isLate(wld *world, raw []byte) bool {
	type put struct {
		Key string `json:"key"`
	}
	var txn struct {
		Puts []put `json:"puts"`
	}
	if err := json.Unmarshal(raw, &txn); err != nil {
		return false
	}
	lat.mu.Lock()
	defer lat.mu.Unlock()
	lat.writes++
	for _, one := range txn.Puts {
		wld.rec.note("a process writes %s", one.Key)
	}
	if lat.key == "" || !slices.ContainsFunc(txn.Puts, func(one put) bool { return one.Key == lat.key }) {
		return false
	}
	lat.key = ""
	return true
}

// send does a late write.
func (lat *lateWrite) send(wld *world, raw []byte) {
	defer close(lat.done)
	rsp, err := http.Post("http://"+wld.sit.StoreAddress+"/kv-txn", "application/json", bytes.NewReader(raw))
	if err != nil {
		wld.rec.note("late write: %v", err)
		return
	}
	_ = rsp.Body.Close()
	lat.mu.Lock()
	defer lat.mu.Unlock()
	wld.rec.note("the store does the late write: status %d; 1 of %d writes since then was late", rsp.StatusCode, lat.writes)
}
