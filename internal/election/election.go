// Package election elects the dispatcher. Processes contend for the duty, the
// exclusive right to dispatch, which one of them holds at a time under a lease
// of the store. Each tenure of the duty has a term, its fencing token.
//
// A VM in this package is an entry VM, on which such a process runs. Its size
// is the CPU time that the process may use, in cores. A process whose VM is much
// smaller than the largest one hands the duty back.
package election

import (
	"context"
	"errors"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/follow"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Timing and thresholds of the election.
const (
	// leaseTimeout bounds a call about the lease.
	leaseTimeout = 600 * time.Millisecond
	// maxClaimDelay scales the delay with which a VM claims a released duty: the
	// largest VM claims it at once, one of half its size after half of this
	// delay. So larger VMs get the duty.
	maxClaimDelay = 800 * time.Millisecond
	// minHolderSize is the fraction of the largest VM's size below which a
	// holder hands the duty back: it could not keep up with all pools of VMs at
	// their busiest.
	minHolderSize = 0.6
	// minTenure is how long a holder below that size keeps the duty before it
	// hands it back, so that larger VMs that restart are back.
	minTenure = 4 * time.Second
	// handbackInterval is the shortest time between two handbacks by the same
	// process, which takes the duty again if no larger VM does.
	handbackInterval = 20 * time.Second
	// claimPollInterval is how often a process that doesn't hold the duty
	// checks whether it is free, in case no watch reports it.
	claimPollInterval = 2 * time.Second
	// claimRetryDelay is the pause after a claim that failed, for example
	// because the store didn't answer.
	claimRetryDelay = 300 * time.Millisecond
)

// LargestKey is the store key of the size of the largest VM, in cores.
const LargestKey = "duty/largest"

// Elector contends for the duty, and renews its lease while it is held.
type Elector struct {
	opt Options
	// largest is the size of the largest VM in cores, as float64 bits.
	largest atomic.Uint64
	// handedBackAt is when the duty was last handed back to larger VMs.
	handedBackAt time.Time
	// released is signalled when the process has seen that the holder's key is
	// gone.
	released chan struct{}
}

// Options configure an Elector. All fields must be set.
type Options struct {
	Store kv.Store
	// Name is the process's name, unique among the entries.
	Name string
	// CPUShare is the CPU time that the process may use, in cores.
	CPUShare float64
	Log      *decisionlog.Log
	Now      func() time.Time
	// Dispatch runs the dispatcher until its context is done, or until the tenure is about
	// to end (Tenure.Ending) and nothing is under way that the next holder can't see.
	Dispatch func(ctx context.Context, ten *Tenure)
	// EndTimeout returns how long Dispatch may go on after Tenure.Ending, while the
	// lease is renewed.
	EndTimeout func() time.Duration
}

// New returns an elector that doesn't contend yet.
func New(opt Options) *Elector { return &Elector{opt: opt, released: make(chan struct{}, 1)} }

// NotifyReleased reports that the duty may be free.
func (ele *Elector) NotifyReleased() {
	select {
	case ele.released <- struct{}{}:
	default:
	}
}

// Tenure is a duty.Tenure that is updated at each renewal. It is safe for
// concurrent use.
type Tenure struct {
	mu     sync.Mutex
	ten    duty.Tenure
	cancel context.CancelFunc
	ending chan struct{}
}

// NewTenure returns a tenure that has just begun.
func NewTenure(ten duty.Tenure) *Tenure { return &Tenure{ten: ten, ending: make(chan struct{})} }

// End ends the tenure: it stops the dispatcher and the renewal of the lease,
// which is then revoked. The dispatcher calls it when another process holds the
// duty, or to give the duty up at once.
func (ten *Tenure) End() { ten.cancel() }

// Ending returns a channel that is closed when the tenure is about to end, as the duty is
// handed back or the process shuts down. The dispatcher ends by itself then.
func (ten *Tenure) Ending() <-chan struct{} { return ten.ending }

// Current returns the tenure as of the latest renewal.
func (ten *Tenure) Current() duty.Tenure {
	ten.mu.Lock()
	defer ten.mu.Unlock()
	return ten.ten
}

// Holds reports whether the process is guaranteed to hold the duty.
func (ten *Tenure) Holds(now time.Time) bool { return ten.Current().Holds(now) }

func (ten *Tenure) extend(sent time.Time) {
	ten.mu.Lock()
	defer ten.mu.Unlock()
	ten.ten = ten.ten.WithRenewal(sent)
}

// Run contends for the duty until the context is done.
func (ele *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ten, err := ele.claim(ctx)
		if err != nil {
			ele.opt.Log.Event("duty_not_taken", decisionlog.Fields{"error": err.Error()})
		}
		if err != nil {
			clock.Pause(ctx, claimRetryDelay)
			continue
		}
		if ten == nil {
			ele.awaitRelease(ctx)
			continue
		}
		ele.hold(ctx, ten)
	}
}

// awaitRelease waits until the duty may be free.
func (ele *Elector) awaitRelease(ctx context.Context) {
	tim := time.NewTimer(claimPollInterval)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	case <-ele.released:
		clock.Pause(ctx, time.Duration(float64(maxClaimDelay)*max(0, 1-ele.relativeSize())))
	}
}

// relativeSize returns this VM's size as a fraction of the largest VM's.
func (ele *Elector) relativeSize() float64 {
	largest := math.Float64frombits(ele.largest.Load())
	if largest <= 0 {
		return 1
	}
	return min(1, ele.opt.CPUShare/largest)
}

// ObserveLargest applies the stored size of the largest VM, and stores this
// VM's size if it is larger.
func (ele *Elector) ObserveLargest(itm kv.Item) {
	size, err := strconv.ParseFloat(string(itm.Value), 64)
	if err != nil && itm.Revision != 0 {
		ele.opt.Log.Ignored(itm.Key, int64(itm.Revision), err)
	}
	ele.largest.Store(math.Float64bits(max(size, ele.opt.CPUShare)))
	if size >= ele.opt.CPUShare {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), follow.ReadTimeout)
		defer cancel()
		_, err := ele.opt.Store.Commit(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: LargestKey, Revision: itm.Revision}},
			Puts:       []kv.Put{{Key: LargestKey, Value: strconv.AppendFloat(nil, ele.opt.CPUShare, 'g', -1, 64)}},
		})
		var con *kv.ConflictError
		if err != nil && !errors.As(err, &con) {
			ele.opt.Log.Event("size_not_written", decisionlog.Fields{"error": err.Error()})
		}
	}()
}

// shouldHandBack reports whether a small holder should leave the duty to larger
// VMs.
func (ele *Elector) shouldHandBack(held time.Duration, now time.Time) bool {
	if ele.relativeSize() >= minHolderSize || held < minTenure {
		return false
	}
	return ele.handedBackAt.IsZero() || now.Sub(ele.handedBackAt) > handbackInterval
}

// claim claims the duty. It returns nil if another process holds it. Each call
// to the store has a timeout of its own, as a slow store would otherwise use up
// the time of the last call every time.
func (ele *Elector) claim(ctx context.Context) (ten *Tenure, err error) {
	prior, held, err := ele.readDuty(ctx)
	if err != nil || held {
		return nil, err
	}
	term, err := duty.NextTerm(prior)
	if err != nil {
		return nil, err
	}
	sent := ele.opt.Now()
	lea, err := ele.grantLease(ctx)
	if err != nil {
		return nil, err
	}
	hol := duty.Holder{Name: ele.opt.Name, Term: term}
	txn, err := duty.Claim(hol, lea, prior)
	if err != nil {
		return nil, err
	}
	rev, err := ele.commit(ctx, txn)
	if err != nil {
		ele.revokeLease(lea)
		var con *kv.ConflictError
		if errors.As(err, &con) {
			return nil, nil
		}
		return nil, err
	}
	return NewTenure(duty.NewTenure(hol, lea, rev, sent, ele.opt.Now())), nil
}

// readDuty reads the item with the latest term, and whether a process holds the
// duty, in one call.
func (ele *Elector) readDuty(ctx context.Context) (term kv.Item, held bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, follow.ReadTimeout)
	defer cancel()
	items, _, err := kv.List(callCtx, ele.opt.Store, duty.Prefix)
	if err != nil {
		return kv.Item{}, false, err
	}
	for _, itm := range items {
		switch itm.Key {
		case duty.HolderKey:
			held = true
		case duty.TermKey:
			term = itm
		}
	}
	return term, held, nil
}

func (ele *Elector) grantLease(ctx context.Context) (lea kv.LeaseID, err error) {
	callCtx, cancel := context.WithTimeout(ctx, follow.ReadTimeout)
	defer cancel()
	return ele.opt.Store.Grant(callCtx, duty.TTL)
}

func (ele *Elector) commit(ctx context.Context, txn kv.Txn) (rev kv.Revision, err error) {
	callCtx, cancel := context.WithTimeout(ctx, follow.ReadTimeout)
	defer cancel()
	return ele.opt.Store.Commit(callCtx, txn)
}

// revokeLease revokes a lease, so that other processes needn't wait until it
// expires.
func (ele *Elector) revokeLease(lea kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	if err := ele.opt.Store.Revoke(ctx, lea); err != nil && !errors.Is(err, kv.ErrLeaseGone) {
		ele.opt.Log.Event("lease_not_ended", decisionlog.Fields{"lease": lea, "error": err.Error()})
	}
}

// hold runs the dispatcher and renews the lease until the lease is lost, the
// duty is handed back, the tenure is ended or the context is done. Then it
// revokes the lease. A dispatcher that still holds the duty ends by itself first.
func (ele *Elector) hold(ctx context.Context, ten *Tenure) {
	dutyCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ten.cancel = cancel
	cur := ten.Current()
	ele.opt.Log.Event("duty_taken", decisionlog.Fields{"term": cur.Holder.Term, "revision": cur.Revision})
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		ele.opt.Dispatch(dutyCtx, ten)
	}()
	tenureCtx, leave := context.WithCancel(dutyCtx)
	defer leave()
	defer context.AfterFunc(ctx, leave)()
	held := ele.renew(tenureCtx, ten, ele.shouldHandBack)
	ending := ele.opt.Now()
	if held {
		close(ten.ending)
		endCtx, stop := context.WithTimeout(dutyCtx, ele.opt.EndTimeout())
		defer stop()
		ele.renew(endCtx, ten, func(time.Duration, time.Time) bool { return false })
	}
	cancel()
	<-done
	ele.opt.Log.Event("duty_ended", decisionlog.Fields{
		"term": cur.Holder.Term, "shutdown": ctx.Err() != nil, "ending_ms": ele.opt.Now().Sub(ending).Milliseconds(),
	})
	ele.revokeLease(cur.Lease)
}

// renew renews the lease until it is lost or to be handed back, as reported by
// handsBack, or until the context is done. It reports whether the lease is not lost.
func (ele *Elector) renew(ctx context.Context, ten *Tenure, handsBack func(held time.Duration, now time.Time) bool) (held bool) {
	lease := ten.Current().Lease
	for ctx.Err() == nil {
		clock.Pause(ctx, duty.RenewInterval)
		if ctx.Err() != nil {
			return true
		}
		sent := ele.opt.Now()
		callCtx, cancel := context.WithTimeout(ctx, leaseTimeout)
		err := ele.opt.Store.Renew(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			ten.extend(sent)
			if handsBack(sent.Sub(ten.Current().Since), sent) {
				ele.handedBackAt = sent
				ele.opt.Log.Event("duty_given_back", decisionlog.Fields{"relative_size": ele.relativeSize()})
				return true
			}
		case errors.Is(err, kv.ErrLeaseGone):
			ele.opt.Log.Event("duty_lost", decisionlog.Fields{"lease": lease})
			return false
		case ctx.Err() == nil:
			ele.opt.Log.Event("duty_not_renewed", decisionlog.Fields{"lease": lease, "error": err.Error(), "holds": ten.Holds(ele.opt.Now())})
		}
	}
	return true
}
