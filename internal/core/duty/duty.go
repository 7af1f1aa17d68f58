// Package duty defines the records and transactions by which processes elect the
// dispatcher.
//
// The duty is the exclusive right to dispatch. It is held by one process at a
// time, by means of a key in the store that is attached to a lease and removed
// when the lease expires. The term is the fencing token of the duty: each holder
// has a higher term than the one before. A tenure is the time for which one
// process holds the duty. The package does no I/O and reads no clock: the current
// time is passed to each method.
package duty

import (
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/vmihailenco/msgpack/v5"
)

// Store keys of the duty.
const (
	// Prefix is the prefix of all keys of the duty.
	Prefix = "duty/"
	// HolderKey exists while a process holds the duty.
	HolderKey = "duty/holder"
	// TermKey holds the latest term. It is never deleted, so that terms only
	// increase.
	TermKey = "duty/term"
)

// Lease times.
const (
	// TTL is the time to live of the lease, after which a holder that vanished
	// loses the duty. The store grants no lease shorter than a second.
	TTL = 1500 * time.Millisecond
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval = 350 * time.Millisecond
	// expiryMargin is the time by which a holder considers its lease expired
	// before the store does. It allows for clocks whose rates differ by a few
	// percent.
	expiryMargin = 100 * time.Millisecond
)

// Holder is the stored record of the duty's holder.
type Holder struct {
	Name    string `msgpack:"n"`
	Term    int64  `msgpack:"t"`
	Address string `msgpack:"a"`
}

// Encode returns the record as it is stored.
func (hol Holder) Encode() (raw []byte, err error) {
	raw, err = msgpack.Marshal(&hol)
	if err != nil {
		return nil, fmt.Errorf("encode holder %s: %w", hol.Name, err)
	}
	return raw, nil
}

// DecodeHolder decodes a record that was encoded by Holder.Encode.
func DecodeHolder(raw []byte) (hol Holder, err error) {
	if err = packed.Unmarshal(raw, &hol); err != nil {
		return Holder{}, fmt.Errorf("decode holder: %w", err)
	}
	return hol, nil
}

// Tenure is the time for which one process holds the duty. It is immutable.
type Tenure struct {
	Holder Holder
	Lease  kv.LeaseID
	// Since is the time at which the process acquired the duty.
	Since time.Time
	// Revision is the revision of HolderKey. All writes of the holder are
	// conditional on it.
	Revision kv.Revision
	// expires is the time at which the lease expires unless it is renewed. It is
	// computed from the time at which the last renewal was sent, as the store may
	// have received it at any time after that.
	expires time.Time
}

// NewTenure returns the tenure that starts now, of a holder whose request for the
// lease was sent at leaseSent.
func NewTenure(hol Holder, lea kv.LeaseID, rev kv.Revision, leaseSent, now time.Time) Tenure {
	return Tenure{Holder: hol, Lease: lea, Since: now, Revision: rev, expires: leaseSent.Add(TTL - expiryMargin)}
}

// Holds reports whether the process is guaranteed to hold the duty.
func (ten Tenure) Holds(now time.Time) bool { return now.Before(ten.expires) }

// WithRenewal returns the tenure after a successful renewal that was sent at the
// given time.
func (ten Tenure) WithRenewal(sent time.Time) Tenure {
	if expires := sent.Add(TTL - expiryMargin); expires.After(ten.expires) {
		ten.expires = expires
	}
	return ten
}

// Claim returns the transaction by which a process acquires the duty. It fails
// if another process holds the duty or if TermKey has changed since prior was
// read from it.
func Claim(hol Holder, lea kv.LeaseID, prior kv.Item) (txn kv.Txn, err error) {
	value, err := hol.Encode()
	if err != nil {
		return kv.Txn{}, err
	}
	return kv.Txn{
		Conditions: []kv.Condition{{Key: HolderKey}, {Key: TermKey, Revision: prior.Revision}},
		Puts:       []kv.Put{{Key: HolderKey, Value: value, Lease: lea}, {Key: TermKey, Value: value}},
	}, nil
}

// NextTerm returns the term that follows the stored one. prior is the item read
// from TermKey.
func NextTerm(prior kv.Item) (term int64, err error) {
	if prior.Revision == 0 {
		return 1, nil
	}
	hol, err := DecodeHolder(prior.Value)
	if err != nil {
		return 0, err
	}
	return hol.Term + 1, nil
}
