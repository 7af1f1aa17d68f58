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

// item is an item of the store as it is encoded on the wire.
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
	// dropResponses is the number of further transactions that take effect but get
	// no response.
	dropResponses int
	// loseAnswers decides which transactions get no answer; nil answers all.
	loseAnswers func(puts map[string][]byte) (delay time.Duration, lost bool)
	// waveReported is called with each status of a wave that a transaction has written, and
	// with the wave as it was requested then; it may be nil.
	waveReported func(status []byte, requested item)
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// SetDown starts or ends an outage, during which the store refuses every call.
func (sto *Store) SetDown(down bool) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.down = down
}

// DropResponses makes the next count transactions take effect but close the
// connection without a response.
func (sto *Store) DropResponses(count int) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.dropResponses = count
}

// Compact drops the history. A watch that starts at an earlier revision gets
// status 410.
func (sto *Store) Compact() {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.history = nil
}

// Put writes a value, as the operator or a VM does, and returns its revision.
func (sto *Store) Put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return sto.PutBytes(key, raw)
}

// PutBytes writes any bytes, as another writer may, and returns the revision.
func (sto *Store) PutBytes(key string, raw []byte) int64 {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	sto.put(key, raw, 0)
	return sto.revision
}

// PutRaw writes a value that need not be JSON, as another writer may.
func (sto *Store) PutRaw(key string, raw []byte) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	sto.put(key, raw, 0)
}

// Delete removes a key.
func (sto *Store) Delete(key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.revision++
	sto.remove(key)
}

// Value returns a key's value, or nil if there is none.
func (sto *Store) Value(key string) []byte { return sto.item(key).Value }

// item returns the item of a key, with revision 0 if there is none.
func (sto *Store) item(key string) item {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	return sto.items[key]
}

// withPrefix returns the items whose keys begin with a prefix, by key.
func (sto *Store) withPrefix(prefix string) (items []item) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(sto.items)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, sto.items[key])
		}
	}
	return items
}

// put writes a value at the current revision, bound to a lease unless it is 0.
func (sto *Store) put(key string, value []byte, lea int64) {
	itm := sto.items[key]
	if itm.Revision == 0 {
		itm.Created = sto.revision
	}
	itm.Key, itm.Value, itm.Revision, itm.Lease = key, value, sto.revision, lea
	sto.items[key] = itm
	sto.publish(itm)
}

func (sto *Store) remove(key string) {
	if _, ok := sto.items[key]; !ok {
		return
	}
	delete(sto.items, key)
	sto.publish(item{Key: key, Revision: sto.revision, Deleted: true})
}

// publish appends a change to the history and wakes the watches.
func (sto *Store) publish(itm item) {
	sto.history = append(sto.history, itm)
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// expire ends the leases that have expired.
func (sto *Store) expire(now time.Time) {
	for id, lea := range sto.leases {
		if now.After(lea.expires) {
			sto.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys.
func (sto *Store) endLease(id int64) {
	delete(sto.leases, id)
	sto.revision++
	for _, key := range slices.Sorted(maps.Keys(sto.items)) {
		if sto.items[key].Lease == id {
			sto.remove(key)
		}
	}
}

// ServeHTTP serves the calls of the platform's store.
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

func writeJSON(wri http.ResponseWriter, status int, body any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(wri).Encode(body)
}

func (sto *Store) serveKey(wri http.ResponseWriter, key string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	itm, ok := sto.items[key]
	if !ok {
		writeJSON(wri, http.StatusNotFound, map[string]int64{"current-rev": sto.revision})
		return
	}
	writeJSON(wri, http.StatusOK, itm)
}

// pageSize is the number of items in a page of a range.
const pageSize = 50

func (sto *Store) serveRange(wri http.ResponseWriter, prefix, after string) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	page := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(sto.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
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

func (sto *Store) serveWatch(wri http.ResponseWriter, req *http.Request, prefix string, after int64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		sto.mu.Lock()
		sto.expire(time.Now())
		events, compacted := sto.eventsSince(prefix, after)
		revision, changed := sto.revision, sto.changed
		sto.mu.Unlock()
		if compacted {
			wri.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(wri, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(wri, http.StatusOK, map[string]any{"events": []item{}, "current-rev": revision})
			return
		case <-time.After(50 * time.Millisecond):
			// Retry: expired leases are removed only when the store is called.
		case <-req.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes under a prefix after a revision, or compacted if
// the history no longer holds all of them.
func (sto *Store) eventsSince(prefix string, after int64) (events []item, compacted bool) {
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
	Expected []item   `json:"expected"`
	Puts     []txnPut `json:"puts"`
	Deletes  []string `json:"deletes"`
}

type txnPut struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

// waveReport is a status of a wave, with the wave as it was requested when the status was
// written.
type waveReport struct {
	status    []byte
	requested item
}

// waveReports returns the statuses of waves among the values of a transaction. The lock must
// be held.
func (sto *Store) waveReports(puts []txnPut) (reports []waveReport) {
	for _, put := range puts {
		if key, ok := waveOfStatus(put.Key); ok {
			reports = append(reports, waveReport{put.Value, sto.items[key]})
		}
	}
	return reports
}

// reportWaves calls waveReported. The lock must not be held, as that may call the store.
func (sto *Store) reportWaves(reports []waveReport) {
	if sto.waveReported == nil {
		return
	}
	for _, rep := range reports {
		sto.waveReported(rep.status, rep.requested)
	}
}

// Limits of an item.
const (
	maxKeyBytes   = 200
	maxValueBytes = 1 << 20
)

func (sto *Store) serveTxn(wri http.ResponseWriter, req *http.Request) {
	var request txn
	if json.NewDecoder(req.Body).Decode(&request) != nil || len(request.Expected)+len(request.Puts)+len(request.Deletes) > 32 {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, put := range request.Puts {
		if len(put.Key) > maxKeyBytes || len(put.Value) > maxValueBytes {
			wri.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	sto.mu.Lock()
	delay, lost := sto.lose(request)
	sto.mu.Unlock()
	if lost {
		time.AfterFunc(delay, func() { sto.apply(request) })
		// The connection returns nothing further.
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, body := sto.apply(request)
	sto.mu.Lock()
	dropped := status == http.StatusOK && sto.dropResponses > 0
	if dropped {
		sto.dropResponses--
	}
	sto.mu.Unlock()
	if dropped {
		panic(http.ErrAbortHandler)
	}
	writeJSON(wri, status, body)
}

// LoseAnswers starts a fault in which some transactions get no answer and are carried out
// after a delay, if their conditions still hold; or ends it with nil. The function decides by
// the values that a transaction writes.
func (sto *Store) LoseAnswers(decide func(puts map[string][]byte) (delay time.Duration, lost bool)) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.loseAnswers = decide
}

// lose decides whether a transaction gets no answer. The lock must be held.
func (sto *Store) lose(request txn) (delay time.Duration, lost bool) {
	if sto.loseAnswers == nil {
		return 0, false
	}
	puts := map[string][]byte{}
	for _, put := range request.Puts {
		puts[put.Key] = put.Value
	}
	return sto.loseAnswers(puts)
}

// apply carries out a transaction.
func (sto *Store) apply(request txn) (status int, body any) {
	var reports []waveReport
	defer func() { sto.reportWaves(reports) }()
	sto.mu.Lock()
	defer sto.mu.Unlock()
	sto.expire(time.Now())
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
	reports = sto.waveReports(request.Puts)
	return http.StatusOK, map[string]int64{"revision": sto.revision}
}

func (sto *Store) serveLease(wri http.ResponseWriter, req *http.Request) {
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
		id = sto.revision
		ttl := time.Duration(request.TTL) * time.Millisecond
		sto.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		// A revision that the history lacks could look compacted to a watch.
		sto.publish(item{Key: "", Revision: sto.revision})
		writeJSON(wri, http.StatusOK, map[string]int64{"lease": id, "ttl-ms": request.TTL})
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
