package kvstore

import (
	"encoding/json"
	"net/http"
	"time"
)

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	KeysOnly bool   `json:"keys_only"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
}

func (sto *Store) rangeKeys(_ time.Time, req rangeRequest) rangeResponse {
	rsp := rangeResponse{Header: header{sto.revision}}
	for _, key := range sto.keysInRange(string(req.Key), string(req.RangeEnd)) {
		itm := sto.keys[key]
		kvl := keyValue{Key: []byte(key), ModRevision: itm.modRevision}
		if !req.KeysOnly {
			kvl.Value = itm.value
		}
		rsp.Kvs = append(rsp.Kvs, kvl)
	}
	return rsp
}

// keysInRange returns the keys in [from, end), or only from if end is empty.
func (sto *Store) keysInRange(from, end string) []string {
	var keys []string
	for _, key := range sto.sortedKeys() {
		if key == from || (end != "" && key >= from && key < end) {
			keys = append(keys, key)
		}
	}
	return keys
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put *struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
		Delete *rangeRequest `json:"request_delete_range"`
	} `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// txn applies the operations if every compared key has the expected revision and
// every lease of a put exists.
func (sto *Store) txn(_ time.Time, req txnRequest) txnResponse {
	for _, cmp := range req.Compare {
		if sto.keys[string(cmp.Key)].modRevision != cmp.ModRevision {
			return txnResponse{Header: header{sto.revision}}
		}
	}
	for _, op := range req.Success {
		if op.Put != nil && op.Put.Lease != 0 {
			if _, ok := sto.leases[op.Put.Lease]; !ok {
				return txnResponse{Header: header{sto.revision}}
			}
		}
	}
	sto.revision++
	for _, op := range req.Success {
		if op.Put != nil {
			key := string(op.Put.Key)
			sto.keys[key] = item{value: op.Put.Value, modRevision: sto.revision, lease: op.Put.Lease}
			sto.notify(key)
		}
		if op.Delete != nil {
			for _, key := range sto.keysInRange(string(op.Delete.Key), string(op.Delete.RangeEnd)) {
				delete(sto.keys, key)
				sto.notify(key)
			}
		}
	}
	return txnResponse{Header: header{sto.revision}, Succeeded: true}
}

type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

func (sto *Store) grant(now time.Time, req leaseGrantRequest) leaseResponse {
	sto.lastLeaseID++
	ttl := time.Duration(req.TTL) * time.Second
	sto.leases[sto.lastLeaseID] = lease{ttl: ttl, expires: now.Add(ttl)}
	return leaseResponse{Header: header{sto.revision}, ID: sto.lastLeaseID, TTL: req.TTL}
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

// keepAlive renews a lease. For an unknown lease the response has a TTL of 0, as
// in etcd.
func (sto *Store) keepAlive(now time.Time, req leaseRequest) keepAliveResponse {
	lse, ok := sto.leases[req.ID]
	if !ok {
		return keepAliveResponse{Result: leaseResponse{Header: header{sto.revision}, ID: req.ID}}
	}
	lse.expires = now.Add(lse.ttl)
	sto.leases[req.ID] = lse
	return keepAliveResponse{Result: leaseResponse{
		Header: header{sto.revision}, ID: req.ID, TTL: int64(lse.ttl / time.Second),
	}}
}

func (sto *Store) revoke(_ time.Time, req leaseRequest) leaseResponse {
	sto.dropLease(req.ID)
	return leaseResponse{Header: header{sto.revision}, ID: req.ID}
}

// watchBuffer is the number of changes buffered for a slow watcher.
const watchBuffer = 64

// watch streams the changes of one key until the caller leaves or an outage
// starts.
func (sto *Store) watch(wrt http.ResponseWriter, hrq *http.Request) {
	var req struct {
		Create struct {
			Key []byte `json:"key"`
		} `json:"create_request"`
	}
	if err := json.NewDecoder(hrq.Body).Decode(&req); err != nil {
		http.Error(wrt, err.Error(), http.StatusBadRequest)
		return
	}
	if !sto.admit(hrq) {
		<-hrq.Context().Done()
		return
	}
	changes := make(chan change, watchBuffer)
	sto.mu.Lock()
	sto.watchers[changes] = string(req.Create.Key)
	sto.mu.Unlock()
	defer func() {
		sto.mu.Lock()
		delete(sto.watchers, changes)
		sto.mu.Unlock()
	}()
	flush := http.NewResponseController(wrt)
	enc := json.NewEncoder(wrt)
	_ = enc.Encode(watchResponse{})
	_ = flush.Flush()
	for {
		select {
		case <-hrq.Context().Done():
			return
		case chg, open := <-changes:
			if !open {
				panic(http.ErrAbortHandler)
			}
			rsp := watchResponse{}
			rsp.Result.Events = []watchEvent{{Kv: keyValue{Key: []byte(chg.key), ModRevision: chg.mod}}}
			_ = enc.Encode(rsp)
			_ = flush.Flush()
		}
	}
}

type watchResponse struct {
	Result struct {
		Events []watchEvent `json:"events,omitempty"`
	} `json:"result"`
}

type watchEvent struct {
	Kv keyValue `json:"kv"`
}
