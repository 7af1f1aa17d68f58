package site

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is a stand-in for the platform's store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	// changed is closed and replaced at each change.
	changed chan struct{}
	down    bool
	// loseAnswers is how many transactions yet are done and not answered.
	loseAnswers int
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// SetDown makes the store refuse every call, or serve again.
func (sto *Store) SetDown(down bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.down = down
}

// DropResponses lets a number of transactions be done and not answered.
func (sto *Store) DropResponses(count int) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.loseAnswers = count
}

// Compact drops the history, as a watch that is behind notices.
func (sto *Store) Compact() {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.history = nil
}

// Put writes a value as the operator or a VM does, and returns its revision.
func (sto *Store) Put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	sto.put(key, raw, 0)
	return sto.revision
}

// Delete removes a key.
func (sto *Store) Delete(key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	sto.remove(key)
}

// Value returns a key's value, or nil.
func (sto *Store) Value(key string) []byte {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.items[key].Value
}

// put writes a value at the present revision.
func (sto *Store) put(key string, value []byte, lea int64) {
	itm := sto.items[key]
	if itm.Revision == 0 {
		itm.Created = sto.revision
	}
	itm.Key, itm.Value, itm.Revision, itm.Lease = key, value, sto.revision, lea
	sto.items[key] = itm
	sto.announce(itm)
}

func (sto *Store) remove(key string) {
	if _, ok := sto.items[key]; !ok {
		return
	}
	delete(sto.items, key)
	sto.announce(item{Key: key, Revision: sto.revision, Deleted: true})
}

func (sto *Store) announce(itm item) {
	sto.history = append(sto.history, itm)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (sto *Store) expire(now time.Time) {
	for id, lea := range sto.leases {
		if now.After(lea.ends) {
			sto.endLease(id)
		}
	}
}

func (sto *Store) endLease(id int64) {
	delete(sto.leases, id)
	sto.revision++
	for _, key := range slices.Sorted(maps.Keys(sto.items)) {
		if sto.items[key].Lease == id {
			sto.remove(key)
		}
	}
}

// ServeHTTP serves the store's calls.
func (sto *Store) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	down := sto.down
	sto.expire(time.Now())
	sto.mu.Unlock()
	if down {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := req.URL.Query()
	switch {
	case req.URL.Path == "/kv-key":
		sto.serveKey(wri, query.Get("key"))
	case req.URL.Path == "/kv-range":
		sto.serveRange(wri, query.Get("prefix"), query.Get("after"))
	case req.URL.Path == "/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
		sto.serveWatch(wri, req, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case req.URL.Path == "/kv-txn":
		sto.serveTxn(wri, req)
	case strings.HasPrefix(req.URL.Path, "/kv-"):
		sto.serveLease(wri, req)
	default:
		wri.WriteHeader(http.StatusNotFound)
	}
}

func answer(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// The caller may have left.
	_ = json.NewEncoder(wri).Encode(body)
}

func (sto *Store) serveKey(wri http.ResponseWriter, key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	itm, ok := sto.items[key]
	if !ok {
		answer(wri, http.StatusNotFound, map[string]int64{"current-rev": sto.revision})
		return
	}
	answer(wri, http.StatusOK, itm)
}

// pageItems is how many items a page holds.
const pageItems = 50

func (sto *Store) serveRange(wri http.ResponseWriter, prefix, after string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	page := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(sto.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page) == pageItems {
			more = true
			break
		}
		page = append(page, sto.items[key])
	}
	answer(wri, http.StatusOK, map[string]any{"items": page, "has-more": more, "current-rev": sto.revision})
}

func (sto *Store) serveWatch(wri http.ResponseWriter, req *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		sto.mu.Lock()
		sto.expire(time.Now())
		events, gone := sto.since(prefix, after)
		revision, changed := sto.revision, sto.changed
		sto.mu.Unlock()
		if gone {
			wri.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(wri, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(wri, http.StatusOK, map[string]any{"events": []item{}, "current-rev": revision})
			return
		case <-time.After(50 * time.Millisecond):
			// Leases may have ended.
		case <-req.Context().Done():
			return
		}
	}
}

func (sto *Store) since(prefix string, after int64) (events []item, gone bool) {
	if after < sto.revision && (len(sto.history) == 0 || sto.history[0].Revision > after+1) {
		return nil, true
	}
	for _, itm := range sto.history {
		if itm.Revision > after && strings.HasPrefix(itm.Key, prefix) {
			events = append(events, itm)
		}
	}
	return events, false
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

func (sto *Store) serveTxn(wri http.ResponseWriter, req *http.Request) {
	var ask txn
	if json.NewDecoder(req.Body).Decode(&ask) != nil || len(ask.Expected)+len(ask.Puts)+len(ask.Deletes) > 32 {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	current := []item{}
	failed := false
	for _, exp := range ask.Expected {
		itm := sto.items[exp.Key]
		failed = failed || itm.Revision != exp.Revision
		if itm.Revision != 0 {
			current = append(current, itm)
		}
	}
	if failed {
		answer(wri, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range ask.Puts {
		if put.Lease != 0 && sto.leases[put.Lease] == nil {
			wri.WriteHeader(http.StatusNotFound)
			return
		}
	}
	sto.revision++
	for _, put := range ask.Puts {
		sto.put(put.Key, put.Value, put.Lease)
	}
	for _, key := range ask.Deletes {
		sto.remove(key)
	}
	if sto.loseAnswers > 0 {
		sto.loseAnswers--
		panic(http.ErrAbortHandler)
	}
	answer(wri, http.StatusOK, map[string]int64{"revision": sto.revision})
}

func (sto *Store) serveLease(wri http.ResponseWriter, req *http.Request) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	id, _ := strconv.ParseInt(req.URL.Path[strings.LastIndexByte(req.URL.Path, '/')+1:], 10, 64)
	lea := sto.leases[id]
	switch {
	case req.URL.Path == "/kv-lease":
		var ask struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(req.Body).Decode(&ask) != nil {
			wri.WriteHeader(http.StatusBadRequest)
			return
		}
		sto.revision++
		id = sto.revision
		ttl := time.Duration(ask.TTL) * time.Millisecond
		sto.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		sto.announce(item{Key: "", Revision: sto.revision})
		answer(wri, http.StatusOK, map[string]int64{"lease": id, "ttl-ms": ask.TTL})
	case lea == nil:
		wri.WriteHeader(http.StatusNotFound)
	case req.Method == http.MethodDelete:
		sto.endLease(id)
		answer(wri, http.StatusOK, struct{}{})
	default:
		lea.ends = time.Now().Add(lea.ttl)
		answer(wri, http.StatusOK, map[string]int64{"ttl-ms": lea.ttl.Milliseconds()})
	}
}
