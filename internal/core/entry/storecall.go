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
	// readHeadEvery is the time between reads of the configuration's head.
	readHeadEvery = 500 * time.Millisecond
	// leaseTTL is how long a member's lease lasts without a refresh.
	leaseTTL = 6 * time.Second
	// refreshLeaseEvery is the time between refreshes of the lease.
	refreshLeaseEvery = 2 * time.Second
)

// storeState is the entry's session with the store.
type storeState struct {
	nextCall uint64
	// calls maps a call under way to what it is for.
	calls *immutable.SortedMap[uint64, call]
	// headAt is when the head was last asked for; headBusy says that the
	// answer is awaited.
	headAt   time.Time
	headBusy bool
	// head is the latest head that was read.
	head head
	// lease is 0 while the entry has none.
	lease     int64
	leaseAt   time.Time
	leaseBusy bool
	// leaseProvenAt is when the last refresh that succeeded was sent.
	leaseProvenAt time.Time
	// listed says that the member's key is in the store under the lease.
	listed bool
}

// head is the small key that tells which configuration is current.
type head struct {
	known    bool
	revision int64
	// modRevision is 0 when the store holds no configuration yet.
	modRevision int64
}

type call struct {
	purpose purpose
	sentAt  time.Time
}

// A purpose says what a call to the store is for.
type purpose interface{ isPurpose() }

type headRead struct{}

type configRead struct{ headMod int64 }

type leaseGranted struct{}

type leaseRefreshed struct{}

type memberListed struct{}

type editWritten struct{}

type editConfirmed struct{}

type fenceMade struct{}

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
func (memberListed) isPurpose()     {}
func (editWritten) isPurpose()      {}
func (editConfirmed) isPurpose()    {}
func (fenceMade) isPurpose()        {}
func (segmentWritten) isPurpose()   {}
func (segmentConfirmed) isPurpose() {}
func (membersListed) isPurpose()    {}
func (fencesListed) isPurpose()     {}
func (logFenced) isPurpose()        {}
func (logListed) isPurpose()        {}

func newStoreState() storeState {
	return storeState{calls: immutable.NewSortedMap[uint64, call](nil)}
}

func (stp *step) callStore(why purpose, op store.Op) {
	stp.st.store.nextCall++
	id := stp.st.store.nextCall
	stp.st.store.calls = stp.st.store.calls.Set(id, call{purpose: why, sentAt: stp.now})
	stp.emit(effect.CallStore{Call: id, Op: op})
}

func (stp *step) openStore() {
	stp.readHead()
	stp.refreshLease()
}

func (stp *step) tickStore() {
	if stp.now.Sub(stp.st.store.headAt) >= readHeadEvery {
		stp.readHead()
	}
	if stp.now.Sub(stp.st.store.leaseAt) >= refreshLeaseEvery {
		stp.refreshLease()
	}
}

func (stp *step) readHead() {
	if stp.st.store.headBusy {
		return
	}
	stp.st.store.headBusy = true
	stp.st.store.headAt = stp.now
	stp.callStore(headRead{}, store.Get{Key: store.KeyConfigHead})
}

// refreshLease keeps the member's lease, or gets a new one when there is none.
func (stp *step) refreshLease() {
	if stp.st.store.leaseBusy || stp.st.draining.leaseRevoked {
		return
	}
	stp.st.store.leaseBusy = true
	stp.st.store.leaseAt = stp.now
	if stp.st.store.lease == 0 {
		stp.callStore(leaseGranted{}, store.LeaseGrant{TTL: leaseTTL})
		return
	}
	if !stp.st.store.listed {
		stp.listMember()
	}
	stp.callStore(leaseRefreshed{}, store.LeaseRefresh{Lease: stp.st.store.lease})
}

func (stp *step) listMember() {
	stp.callStore(memberListed{}, store.Write{Puts: []store.Put{{
		Key:   store.MemberKey(stp.st.set.ID),
		Value: []byte(stp.st.set.Address),
		Lease: stp.st.store.lease,
	}}})
}

func (stp *step) storeCallEnded(evt event.StoreCallEnded) {
	cal, ok := stp.st.store.calls.Get(evt.Call)
	if !ok {
		return
	}
	stp.st.store.calls = stp.st.store.calls.Delete(evt.Call)
	switch why := cal.purpose.(type) {
	case headRead:
		stp.headAnswered(cal, evt.Result)
	case configRead:
		stp.configAnswered(cal, why, evt.Result)
	case leaseGranted, leaseRefreshed:
		stp.leaseAnswered(cal, evt.Result)
	case memberListed:
		wrt, ok := evt.Result.(store.Written)
		stp.st.store.listed = ok && wrt.Succeeded
	case editWritten:
		stp.editAnswered(evt.Result)
	case editConfirmed:
		stp.editConfirmed(evt.Result)
	case fenceMade:
		stp.fenceAnswered(evt.Result)
	case segmentWritten:
		stp.segmentAnswered(evt.Result)
	case segmentConfirmed:
		stp.segmentConfirmed(evt.Result)
	case membersListed:
		stp.membersAnswered(evt.Result)
	case fencesListed:
		stp.fencesAnswered(evt.Result)
	case logFenced:
		stp.logFenceAnswered(why.owner, evt.Result)
	case logListed:
		stp.logAnswered(why.owner, evt.Result)
	}
}

// touchStore notes contact with the store, by a read that was sent at a time.
// It counts only while the member's key stands under a lease: whoever sees the
// key gone may then conclude that the entry does not start work by the store.
func (stp *step) touchStore(sentAt time.Time) {
	if stp.st.store.listed && stp.now.Sub(stp.st.store.leaseProvenAt) <= leaseTTL {
		stp.st.view = stp.st.view.WithStoreContact(sentAt)
	}
}

func (stp *step) leaseAnswered(cal call, res store.Result) {
	stp.st.store.leaseBusy = false
	lsd, ok := res.(store.Leased)
	if !ok {
		return
	}
	if lsd.TTL > 0 {
		stp.st.store.leaseProvenAt = cal.sentAt
	}
	if lsd.TTL <= 0 {
		stp.record("store", "lease_lapsed", stp.st.set.ID, "")
		stp.st.store.lease = 0
		stp.st.store.listed = false
		stp.refreshLease()
		return
	}
	fresh := stp.st.store.lease != lsd.Lease
	stp.st.store.lease = lsd.Lease
	if fresh {
		stp.st.store.listed = false
		stp.listMember()
	}
}
