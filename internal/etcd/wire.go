package etcd

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/store"
)

// The types in this file follow the JSON mapping of etcd's rpc.proto.
// encoding/json encodes byte slices in base64, as the gateway expects.

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs,omitempty"`
}

type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

type compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

type leaseResponse struct {
	Header responseHeader `json:"header"`
	ID     int64          `json:"ID,string"`
	TTL    int64          `json:"TTL,string"`
}

func (rsp leaseResponse) result() store.Leased {
	return store.Leased{Lease: rsp.ID, TTL: time.Duration(rsp.TTL) * time.Second}
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key []byte `json:"key"`
}

type watchResponse struct {
	Result struct {
		Events []watchEvent `json:"events,omitempty"`
	} `json:"result"`
}

type watchEvent struct {
	Kv keyValue `json:"kv"`
}
