// Package etcd is a client of the JSON gateway of etcd version 3. Its API is
// described at https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/.
//
// Keys and values are encoded in base64, and 64-bit integers as strings.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/netfail"
	"github.com/balsamgauge/balsamgauge/internal/transport"
	"github.com/rcrowley/go-metrics"
)

// maxResponseBytes is the largest part of a response that is read. A longer one
// is truncated and fails to decode.
const maxResponseBytes = 64 << 20

// Client is a client of one etcd endpoint. It is safe for concurrent use.
type Client struct {
	endpoint string
	prefix   string
	http     *http.Client
	registry metrics.Registry
}

// New returns a client for a store's address, such as http://127.0.0.1:2379.
// The client adds the prefix to all keys. The registry counts the calls by
// kind.
func New(endpoint, prefix string, registry metrics.Registry) *Client {
	return &Client{
		endpoint: strings.TrimSuffix(endpoint, "/"),
		prefix:   prefix,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}},
		registry: registry,
	}
}

// Call executes a store operation and returns its result, which is never nil.
// Errors are returned as store.Failed; its field Refused is set if no byte of
// the request can have reached the store.
func (cli *Client) Call(ctx context.Context, op store.Op) store.Result {
	res, err := cli.call(ctx, op)
	if err != nil {
		return store.Failed{Reason: err.Error(), NotSent: netfail.IsDialError(err)}
	}
	return res
}

func (cli *Client) call(ctx context.Context, op store.Op) (res store.Result, err error) {
	switch op := op.(type) {
	case store.Get:
		return cli.getRange(ctx, rangeRequest{Key: []byte(cli.prefix + op.Key)})
	case store.List:
		prefix := cli.prefix + op.Prefix
		return cli.getRange(ctx, rangeRequest{
			Key: []byte(prefix), RangeEnd: prefixEnd(prefix), KeysOnly: op.KeysOnly,
		})
	case store.Write:
		return cli.write(ctx, op)
	case store.LeaseGrant:
		var rsp leaseResponse
		req := leaseGrantRequest{TTL: int64(op.TTL / time.Second)}
		err := cli.post(ctx, "lease_grant", "/v3/lease/grant", req, &rsp)
		return rsp.result(), err
	case store.LeaseRefresh:
		var rsp struct {
			Result leaseResponse `json:"result"`
		}
		err := cli.post(ctx, "lease_refresh", "/v3/lease/keepalive", leaseRequest{ID: op.Lease}, &rsp)
		return rsp.Result.result(), err
	case store.LeaseRevoke:
		var rsp leaseResponse
		err := cli.post(ctx, "lease_revoke", "/v3/lease/revoke", leaseRequest{ID: op.Lease}, &rsp)
		return store.Leased{Lease: op.Lease}, err
	default:
		return nil, fmt.Errorf("unsupported store operation %T", op)
	}
}

// getRange reads a key or a range of keys.
func (cli *Client) getRange(ctx context.Context, req rangeRequest) (res store.Result, err error) {
	var rsp rangeResponse
	if err := cli.post(ctx, "range", "/v3/kv/range", req, &rsp); err != nil {
		return nil, err
	}
	vls := store.Values{}
	for _, kvl := range rsp.Kvs {
		vls.Values = append(vls.Values, store.KeyValue{
			Key:         strings.TrimPrefix(string(kvl.Key), cli.prefix),
			Value:       kvl.Value,
			ModRevision: kvl.ModRevision,
		})
	}
	return vls, nil
}

// write makes a conditional write as one transaction.
func (cli *Client) write(ctx context.Context, op store.Write) (res store.Result, err error) {
	var req txnRequest
	for _, cnd := range op.Conditions {
		req.Compare = append(req.Compare, compare{
			Result: "EQUAL", Target: "MOD", Key: []byte(cli.prefix + cnd.Key), ModRevision: cnd.ModRevision,
		})
	}
	for _, put := range op.Puts {
		req.Success = append(req.Success, requestOp{Put: &putRequest{
			Key: []byte(cli.prefix + put.Key), Value: put.Value, Lease: put.Lease,
		}})
	}
	for _, key := range op.Deletes {
		req.Success = append(req.Success, requestOp{Delete: &deleteRequest{Key: []byte(cli.prefix + key)}})
	}
	for _, rng := range op.DeleteRanges {
		req.Success = append(req.Success, requestOp{Delete: &deleteRequest{
			Key: []byte(cli.prefix + rng.From), RangeEnd: []byte(cli.prefix + rng.To),
		}})
	}
	for _, prefix := range op.DeletePrefixes {
		full := cli.prefix + prefix
		req.Success = append(req.Success, requestOp{Delete: &deleteRequest{Key: []byte(full), RangeEnd: prefixEnd(full)}})
	}
	var rsp txnResponse
	if err := cli.post(ctx, "txn", "/v3/kv/txn", req, &rsp); err != nil {
		return nil, err
	}
	return store.Written{Succeeded: rsp.Succeeded, Revision: rsp.Header.Revision}, nil
}

// post counts a call, sends its request and decodes its response.
func (cli *Client) post(ctx context.Context, kind, path string, req, rsp any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("store call %s: %w", kind, err)
		}
	}()
	metrics.GetOrRegisterCounter("store_calls."+kind, cli.registry).Inc(1)
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	hrq, err := http.NewRequestWithContext(ctx, http.MethodPost, cli.endpoint+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	hrq.Header.Set("Content-Type", "application/json")
	hrs, err := cli.http.Do(hrq)
	if err != nil {
		return err
	}
	defer func() { _ = hrs.Body.Close() }()
	data, err := transport.ReadBody(hrs.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	if hrs.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", hrs.StatusCode, truncate(data))
	}
	return json.Unmarshal(data, rsp)
}

// Watch calls changed whenever a key changes. It returns when the context ends
// or the store closes the watch.
func (cli *Client) Watch(ctx context.Context, key string, changed func()) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("watch %s: %w", key, err)
		}
	}()
	metrics.GetOrRegisterCounter("store_calls.watch", cli.registry).Inc(1)
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: []byte(cli.prefix + key)}})
	if err != nil {
		return err
	}
	hrq, err := http.NewRequestWithContext(ctx, http.MethodPost, cli.endpoint+"/v3/watch", bytes.NewReader(body))
	if err != nil {
		return err
	}
	hrs, err := cli.http.Do(hrq)
	if err != nil {
		return err
	}
	defer func() { _ = hrs.Body.Close() }()
	message := &io.LimitedReader{R: hrs.Body}
	dec := json.NewDecoder(message)
	for {
		var rsp watchResponse
		message.N = maxResponseBytes
		if err := dec.Decode(&rsp); err != nil {
			return err
		}
		if len(rsp.Result.Events) > 0 {
			changed()
		}
	}
}

// truncate returns the start of a response body for an error message.
func truncate(data []byte) string {
	const maxShownBytes = 200
	return string(data[:min(len(data), maxShownBytes)])
}

// prefixEnd returns the exclusive end of the range of all keys with a prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
