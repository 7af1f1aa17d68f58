// Package duty holds the right to dispatch: one process has it at a time, by a
// key in the store that a lease removes. Each holder has a higher term.
//
// A Tenure is pure: the time is an argument of each method.
package duty

import (
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/vmihailenco/msgpack/v5"
)

// Keys of the duty in the store.
const (
	// HolderKey exists while a process holds the duty.
	HolderKey = "duty/holder"
	// TermKey holds the latest term. It is never removed.
	TermKey = "duty/term"
)

// Times of the lease.
const (
	// TTL is how long a holder that vanished keeps the duty. The store grants
	// no less than a second.
	TTL = 1500 * time.Millisecond
	// RenewInterval is the time between two renewals.
	RenewInterval = 350 * time.Millisecond
	// safety is how much sooner than the store a holder considers its lease
	// ended, for clocks that differ by some percent.
	safety = 100 * time.Millisecond
)

// Holder is what the store says of a holder.
type Holder struct {
	Name    string `msgpack:"n"`
	Term    int64  `msgpack:"t"`
	Address string `msgpack:"a"`
}

// Encode returns the value for the store.
func (hol Holder) Encode() (raw []byte, err error) {
	raw, err = msgpack.Marshal(&hol)
	if err != nil {
		return nil, fmt.Errorf("encode holder %s: %w", hol.Name, err)
	}
	return raw, nil
}

// DecodeHolder decodes a holder.
func DecodeHolder(raw []byte) (hol Holder, err error) {
	if err = msgpack.Unmarshal(raw, &hol); err != nil {
		return Holder{}, fmt.Errorf("decode holder: %w", err)
	}
	return hol, nil
}

// Tenure is the time for which a process holds the duty. It is immutable.
type Tenure struct {
	Holder Holder
	Lease  kv.LeaseID
	// Since is when the duty was taken; Revision is that of the holder's key,
	// the condition of all writes of the holder.
	Since    time.Time
	Revision kv.Revision
	// until is when the lease ends unless it is renewed, counted from before the
	// last renewal was sent.
	until time.Time
}

// NewTenure returns the tenure of a holder whose lease was asked for at a time.
func NewTenure(hol Holder, lea kv.LeaseID, rev kv.Revision, leaseSent, now time.Time) Tenure {
	return Tenure{Holder: hol, Lease: lea, Since: now, Revision: rev, until: leaseSent.Add(TTL - safety)}
}

// Holds reports whether the process surely holds the duty.
func (ten Tenure) Holds(now time.Time) bool { return now.Before(ten.until) }

// WithRenewal returns the tenure after a renewal that was sent at a time.
func (ten Tenure) WithRenewal(sent time.Time) Tenure {
	if until := sent.Add(TTL - safety); until.After(ten.until) {
		ten.until = until
	}
	return ten
}

// Claim returns the transaction by which a process takes the duty. prior is the
// term's item as read.
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

// NextTerm returns the term after the one that is stored.
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
