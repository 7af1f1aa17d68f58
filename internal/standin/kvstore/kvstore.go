// Package kvstore is a stand-in for the platform's key-value store. It serves
// the part of etcd's JSON gateway that the entries use, from memory, and can
// inject outages, latency and lost responses.
package kvstore

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	revision    int64
	keys        map[string]item
	leases      map[int64]lease
	lastLeaseID int64
	watchers    map[chan change]string
	calls       map[string]int

	down  bool
	delay time.Duration
	// dropResponses is the number of further transactions that take effect but get
	// no response.
	dropResponses int
}

type item struct {
	value       []byte
	modRevision int64
	lease       int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type change struct {
	key string
	mod int64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		keys:     map[string]item{},
		leases:   map[int64]lease{},
		watchers: map[chan change]string{},
		calls:    map[string]int{},
	}
}

// SetDown starts or ends an outage. During an outage calls neither take effect
// nor get a response. Its start closes all watches.
func (sto *Store) SetDown(down bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.down = down
	if down {
		for wch := range sto.watchers {
			close(wch)
			delete(sto.watchers, wch)
		}
	}
}

// SetDelay sets the latency that is added to every call.
func (sto *Store) SetDelay(delay time.Duration) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.delay = delay
}

// DropResponses makes the next count transactions take effect but close the
// connection without a response.
func (sto *Store) DropResponses(count int) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.dropResponses = count
}

// Calls returns the number of calls by path.
func (sto *Store) Calls() map[string]int {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	copied := make(map[string]int, len(sto.calls))
	for path, count := range sto.calls {
		copied[path] = count
	}
	return copied
}

// Keys returns the keys, sorted.
func (sto *Store) Keys() []string {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.sortedKeys()
}

func (sto *Store) sortedKeys() []string {
	keys := make([]string, 0, len(sto.keys))
	for key := range sto.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Handler returns the handler of the gateway.
func (sto *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", handle(sto, sto.rangeKeys))
	mux.HandleFunc("POST /v3/kv/txn", handle(sto, sto.txn))
	mux.HandleFunc("POST /v3/lease/grant", handle(sto, sto.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", handle(sto, sto.keepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", handle(sto, sto.revoke))
	mux.HandleFunc("POST /v3/watch", sto.watch)
	return mux
}

// handle returns a handler that decodes a request, makes the call under the lock
// with the injected faults, and encodes the response.
func handle[Q, S any](sto *Store, call func(now time.Time, req Q) S) http.HandlerFunc {
	return func(wrt http.ResponseWriter, hrq *http.Request) {
		var req Q
		if err := json.NewDecoder(hrq.Body).Decode(&req); err != nil {
			http.Error(wrt, err.Error(), http.StatusBadRequest)
			return
		}
		if !sto.admit(hrq) {
			<-hrq.Context().Done()
			return
		}
		sto.mu.Lock()
		now := time.Now()
		sto.expire(now)
		rsp := call(now, req)
		drop := sto.dropResponses > 0 && hrq.URL.Path == "/v3/kv/txn"
		if drop {
			sto.dropResponses--
		}
		sto.mu.Unlock()
		if drop {
			panic(http.ErrAbortHandler)
		}
		wrt.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wrt).Encode(rsp)
	}
}

// admit counts a call, waits for the injected latency, and reports whether the
// call may proceed, which it may not during an outage.
func (sto *Store) admit(hrq *http.Request) bool {
	sto.mu.Lock()
	sto.calls[hrq.URL.Path]++
	down, delay := sto.down, sto.delay
	sto.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-hrq.Context().Done():
		}
	}
	return !down
}

// expire drops the leases that have expired, with their keys.
func (sto *Store) expire(now time.Time) {
	for id, lse := range sto.leases {
		if now.After(lse.expires) {
			sto.dropLease(id)
		}
	}
}

func (sto *Store) dropLease(id int64) {
	delete(sto.leases, id)
	for key, itm := range sto.keys {
		if itm.lease == id {
			sto.revision++
			delete(sto.keys, key)
			sto.notify(key)
		}
	}
}

// notify sends a change of a key to its watchers. A watcher whose buffer is full
// misses it.
func (sto *Store) notify(key string) {
	for wch, watched := range sto.watchers {
		if watched != key {
			continue
		}
		select {
		case wch <- change{key, sto.revision}:
		default:
		}
	}
}

// Dump returns all values, sorted by key.
func (sto *Store) Dump() []string {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	var values []string
	for _, key := range sto.sortedKeys() {
		values = append(values, string(sto.keys[key].value))
	}
	return values
}
