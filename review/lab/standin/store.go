package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as it is encoded on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// fate is what happens to a transaction.
type fate struct {
	// unanswered transactions get no answer, and are carried out after the delay if
	// their conditions still hold.
	unanswered bool
	delay      time.Duration
}

// store is a stand-in for the platform's store. Its answers are linearizable, and its
// revision counts the changes.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
	// latency is how long each answer takes.
	latency time.Duration
	// decide returns the fate of a transaction; nil answers all.
	decide func(request txn) fate
	// writes and lost count the transactions and those without an answer.
	writes, lost int
}

const storeLatency = 4 * time.Millisecond

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), latency: storeLatency}
}

func (sto *store) publish(itm item) {
	sto.history = append(sto.history, itm)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) put(key string, value []byte, lea int64) {
	itm := sto.items[key]
	if itm.Revision == 0 {
		itm.Created = sto.revision
	}
	itm.Key, itm.Value, itm.Revision, itm.Lease = key, value, sto.revision, lea
	sto.items[key] = itm
	sto.publish(itm)
}

func (sto *store) remove(key string) {
	if _, ok := sto.items[key]; ok {
		delete(sto.items, key)
		sto.publish(item{Key: key, Revision: sto.revision, Deleted: true})
	}
}

// write writes a value as the operator or an executor does.
func (sto *store) write(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	sto.put(key, raw, 0)
}

// erase removes a key as an executor does that has left.
func (sto *store) erase(key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	sto.remove(key)
}

// value returns a key's value, or nil.
func (sto *store) value(key string) []byte {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.items[key].Value
}

func (sto *store) expire(now time.Time) {
	for id, lea := range sto.leases {
		if now.After(lea.expires) {
			sto.endLease(id)
		}
	}
}

func (sto *store) endLease(id int64) {
	delete(sto.leases, id)
	sto.revision++
	for _, key := range sto.keys("") {
		if sto.items[key].Lease == id {
			sto.remove(key)
		}
	}
}

func (sto *store) keys(prefix string) (keys []string) {
	for key := range sto.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// ServeHTTP serves the calls of the store.
func (sto *store) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	sto.expire(time.Now())
	latency := sto.latency
	sto.mu.Unlock()
	time.Sleep(latency)
	query := req.URL.Query()
	switch {
	case req.URL.Path == "/kv-key":
		sto.serveKey(wri, query.Get("key"))
	case req.URL.Path == "/kv-range":
		sto.serveRange(wri, query.Get("prefix"), query.Get("after"))
	case req.URL.Path == "/kv-watch":
		sto.serveWatch(wri, req)
	case req.URL.Path == "/kv-txn":
		sto.serveTxn(wri, req)
	case strings.HasPrefix(req.URL.Path, "/kv-"):
		sto.serveLease(wri, req)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(wri).Encode(body)
}

func (sto *store) serveKey(wri http.ResponseWriter, key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	itm, ok := sto.items[key]
	if !ok {
		writeJSON(wri, http.StatusNotFound, map[string]int64{"current-rev": sto.revision})
		return
	}
	writeJSON(wri, http.StatusOK, itm)
}

const pageSize = 500

func (sto *store) serveRange(wri http.ResponseWriter, prefix, after string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	page, more := []item{}, false
	for _, key := range sto.keys(prefix) {
		if key <= after {
			continue
		}
		if len(page) == pageSize {
			more = true
			break
		}
		page = append(page, sto.items[key])
	}
	writeJSON(wri, http.StatusOK, map[string]any{"items": page, "has-more": more, "current-rev": sto.revision})
}

func (sto *store) serveWatch(wri http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for expired := false; ; {
		sto.mu.Lock()
		sto.expire(time.Now())
		events := []item{}
		for _, itm := range sto.history {
			if itm.Revision > after && strings.HasPrefix(itm.Key, query.Get("prefix")) {
				events = append(events, itm)
			}
		}
		revision, changed := sto.revision, sto.changed
		sto.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(wri, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			expired = true
		case <-time.After(50 * time.Millisecond):
			// Leases are only removed when the store is called.
		case <-req.Context().Done():
			return
		}
	}
}

type txn struct {
	Expected []item `json:"expected"`
	Puts     []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

const maxTxnEntries = 32

func (sto *store) serveTxn(wri http.ResponseWriter, req *http.Request) {
	var request txn
	if json.NewDecoder(req.Body).Decode(&request) != nil || len(request.Expected)+len(request.Puts)+len(request.Deletes) > maxTxnEntries {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	sto.writes++
	fat := fate{}
	if sto.decide != nil {
		fat = sto.decide(request)
	}
	if fat.unanswered {
		sto.lost++
		time.AfterFunc(fat.delay, func() {
			sto.mu.Lock()
			defer sto.mu.Unlock()
			sto.expire(time.Now())
			sto.apply(request)
		})
		sto.mu.Unlock()
		// The connection returns nothing further.
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, body := sto.apply(request)
	sto.mu.Unlock()
	writeJSON(wri, status, body)
}

// apply carries out a transaction. The lock must be held.
func (sto *store) apply(request txn) (status int, body any) {
	current, failed := []item{}, false
	for _, exp := range request.Expected {
		itm := sto.items[exp.Key]
		failed = failed || itm.Revision != exp.Revision
		if itm.Revision != 0 {
			current = append(current, itm)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, put := range request.Puts {
		if put.Lease != 0 && sto.leases[put.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	sto.revision++
	for _, put := range request.Puts {
		sto.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range request.Deletes {
		sto.remove(key)
	}
	return http.StatusOK, map[string]int64{"revision": sto.revision}
}

func (sto *store) serveLease(wri http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	id, _ := strconv.ParseInt(req.URL.Path[strings.LastIndexByte(req.URL.Path, '/')+1:], 10, 64)
	lea := sto.leases[id]
	switch {
	case req.URL.Path == "/kv-lease":
		var request struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(req.Body).Decode(&request) != nil {
			wri.WriteHeader(http.StatusBadRequest)
			return
		}
		sto.revision++
		ttl := time.Duration(request.TTL) * time.Millisecond
		sto.leases[sto.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		writeJSON(wri, http.StatusOK, map[string]int64{"lease": sto.revision, "ttl-ms": request.TTL})
	case lea == nil:
		wri.WriteHeader(http.StatusNotFound)
	case req.Method == http.MethodDelete:
		sto.endLease(id)
		writeJSON(wri, http.StatusOK, struct{}{})
	default:
		lea.expires = time.Now().Add(lea.ttl)
		writeJSON(wri, http.StatusOK, map[string]int64{"ttl-ms": lea.ttl.Milliseconds()})
	}
}
