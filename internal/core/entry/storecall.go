package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/benbjohnson/immutable"
)

// Timing of the calls to the store.
const (
	// headReadInterval is the time between two reads of the configuration's
	// head.
	headReadInterval = 500 * time.Millisecond
	// leaseTTL is the time to live of a member's lease.
	leaseTTL = 6 * time.Second
	// leaseRefreshInterval is the time between two refreshes of the lease.
	leaseRefreshInterval = 2 * time.Second
)

// storeState is the state of the entry's session with the store.
type storeState struct {
	lastCallID uint64
	// calls maps a call in progress to its purpose.
	calls *immutable.SortedMap[uint64, call]
	// headReadAt is when the last read of the head was sent. headPending is set
	// until its result arrives.
	headReadAt  time.Time
	headPending bool
	// head is the head as last read.
	head head
	// lease is 0 while the entry has no lease.
	lease         int64
	leaseCalledAt time.Time
	leasePending  bool
	// leaseConfirmedAt is when the last successful refresh was sent.
	leaseConfirmedAt time.Time
	// registered is set while the member's key is in the store under the lease.
	registered bool
}

// head is the content of the small key that identifies the current
// configuration.
type head struct {
	known    bool
	revision int64
	// modRevision is 0 while the store holds no configuration.
	modRevision int64
}

type call struct {
	purpose purpose
	sentAt  time.Time
}

// purpose identifies what a call to the store is for, so that its result can be
// routed. The names of the purposes state what a successful call has done.
type purpose interface{ isPurpose() }

type headRead struct{}

type configRead struct{ headMod int64 }

type leaseGranted struct{}

type leaseRefreshed struct{}

type memberRegistered struct{}

type editWritten struct{}

type editConfirmed struct{}

type fenceCreated struct{}

type segmentWritten struct{}

type segmentConfirmed struct{}

type membersListed struct{}

type fencesListed struct{}

type logFenced struct{ owner string }

type logListed struct{ owner string }

func (headRead) isPurpose()         {}
func (configRead) isPurpose()       {}
func (leaseGranted) isPurpose()     {}
func (leaseRefreshed) isPurpose()   {}
func (memberRegistered) isPurpose() {}
func (editWritten) isPurpose()      {}
func (editConfirmed) isPurpose()    {}
func (fenceCreated) isPurpose()     {}
func (segmentWritten) isPurpose()   {}
func (segmentConfirmed) isPurpose() {}
func (membersListed) isPurpose()    {}
func (fencesListed) isPurpose()     {}
func (logFenced) isPurpose()        {}
func (logListed) isPurpose()        {}

func newStoreState() storeState {
	return storeState{calls: immutable.NewSortedMap[uint64, call](nil)}
}

func (stp *step) callStore(pur purpose, op store.Op) {
	stp.st.store.lastCallID++
	id := stp.st.store.lastCallID
	stp.st.store.calls = stp.st.store.calls.Set(id, call{purpose: pur, sentAt: stp.now})
	stp.emit(effect.CallStore{Call: id, Op: op})
}

func (stp *step) openStore() {
	stp.readHead()
	stp.refreshLease()
}

func (stp *step) tickStore() {
	if stp.now.Sub(stp.st.store.headReadAt) >= headReadInterval {
		stp.readHead()
	}
	if stp.now.Sub(stp.st.store.leaseCalledAt) >= leaseRefreshInterval {
		stp.refreshLease()
	}
}

func (stp *step) readHead() {
	if stp.st.store.headPending {
		return
	}
	stp.st.store.headPending = true
	stp.st.store.headReadAt = stp.now
	stp.callStore(headRead{}, store.Get{Key: store.KeyConfigHead})
}

// refreshLease refreshes the member's lease, or requests a new one if it has
// none.
func (stp *step) refreshLease() {
	if stp.st.store.leasePending || stp.st.draining.leaseRevoked {
		return
	}
	stp.st.store.leasePending = true
	stp.st.store.leaseCalledAt = stp.now
	if stp.st.store.lease == 0 {
		stp.callStore(leaseGranted{}, store.LeaseGrant{TTL: leaseTTL})
		return
	}
	if !stp.st.store.registered {
		stp.registerMember()
	}
	stp.callStore(leaseRefreshed{}, store.LeaseRefresh{Lease: stp.st.store.lease})
}

// registerMember writes the member's key under its lease.
func (stp *step) registerMember() {
	stp.callStore(memberRegistered{}, store.Write{Puts: []store.Put{{
		Key:   store.MemberKey(stp.st.settings.ID),
		Value: []byte(stp.st.settings.Address),
		Lease: stp.st.store.lease,
	}}})
}

func (stp *step) handleStoreResult(evt event.StoreCallEnded) {
	cal, ok := stp.st.store.calls.Get(evt.Call)
	if !ok {
		return
	}
	stp.st.store.calls = stp.st.store.calls.Delete(evt.Call)
	switch pur := cal.purpose.(type) {
	case headRead:
		stp.handleHeadResult(cal, evt.Result)
	case configRead:
		stp.handleConfigResult(cal, pur, evt.Result)
	case leaseGranted, leaseRefreshed:
		stp.handleLeaseResult(cal, evt.Result)
	case memberRegistered:
		wrt, ok := evt.Result.(store.Written)
		stp.st.store.registered = ok && wrt.Succeeded
	case editWritten:
		stp.handleEditResult(evt.Result)
	case editConfirmed:
		stp.handleEditConfirmation(evt.Result)
	case fenceCreated:
		stp.handleFenceResult(evt.Result)
	case segmentWritten:
		stp.handleSegmentResult(evt.Result)
	case segmentConfirmed:
		stp.handleSegmentConfirmation(evt.Result)
	case membersListed:
		stp.handleMembersResult(evt.Result)
	case fencesListed:
		stp.handleFencesResult(evt.Result)
	case logFenced:
		stp.handleLogFenceResult(pur.owner, evt.Result)
	case logListed:
		stp.handleLogResult(pur.owner, evt.Result)
	}
}

// recordStoreContact records a successful read that was sent at a time. It
// counts only while the member's key is registered under a valid lease. A
// member that finds the key gone may therefore conclude that contact with the
// store no longer keeps this entry's configuration fresh.
func (stp *step) recordStoreContact(sentAt time.Time) {
	if stp.st.store.registered && stp.now.Sub(stp.st.store.leaseConfirmedAt) <= leaseTTL {
		stp.st.view = stp.st.view.WithStoreContact(sentAt)
	}
}

func (stp *step) handleLeaseResult(cal call, res store.Result) {
	stp.st.store.leasePending = false
	lsd, ok := res.(store.Leased)
	if !ok {
		return
	}
	if lsd.TTL > 0 {
		stp.st.store.leaseConfirmedAt = cal.sentAt
	}
	if lsd.TTL <= 0 {
		stp.record("store", "lease_lapsed", stp.st.settings.ID, "")
		stp.st.store.lease = 0
		stp.st.store.registered = false
		stp.refreshLease()
		return
	}
	isNew := stp.st.store.lease != lsd.Lease
	stp.st.store.lease = lsd.Lease
	if isNew {
		stp.st.store.registered = false
		stp.registerMember()
	}
}
