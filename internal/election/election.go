// Package election contends for the duty and keeps it for one process.
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

// Times of contending for the duty.
const (
	// leaseTimeout bounds a call about the lease.
	leaseTimeout = 600 * time.Millisecond
	// smallDelay is how much later a VM without processors would claim the duty
	// than the largest one, so that larger VMs get it.
	smallDelay = 800 * time.Millisecond
	// smallShare is the part of the largest VM's processors below which a holder
	// gives the duty back: it could not keep up with all pools at their busiest.
	smallShare = 0.6
	// smallTenure is how long such a holder keeps the duty, so that larger VMs
	// that restart are back.
	smallTenure = 4 * time.Second
	// smallRetry is how long it keeps the duty if no larger VM took it.
	smallRetry = 20 * time.Second
	// claimCheck is how often a process that doesn't hold the duty checks
	// whether it is free, if no watch tells.
	claimCheck = 2 * time.Second
	// claimRetry is the pause after a claim that the store didn't answer.
	claimRetry = 300 * time.Millisecond
)

// LargestKey holds the processors of the largest VM, in cores.
const LargestKey = "duty/largest"

// Elector contends for the duty and keeps it.
type Elector struct {
	opt Options
	// largest holds the processors of the largest VM, as float64 bits.
	largest atomic.Uint64
	// gaveBack is when the duty was last given back to larger VMs.
	gaveBack time.Time
	// freed is signalled when the holder's key has been seen to be gone.
	freed chan struct{}
}

// Options are what a Keeper needs. All fields must be set.
type Options struct {
	Store kv.Store
	// Name is the process's, unique among the entries.
	Name string
	// CPUShare is how much of a core the process may use.
	CPUShare float64
	Log      *decisionlog.Log
	Now      func() time.Time
	// Dispatch runs the dispatcher until its context is done.
	Dispatch func(ctx context.Context, ten *Tenure)
}

// New returns a keeper that doesn't contend yet.
func New(opt Options) *Elector { return &Elector{opt: opt, freed: make(chan struct{}, 1)} }

// NotifyReleased says that the duty may be free.
func (kee *Elector) NotifyReleased() {
	select {
	case kee.freed <- struct{}{}:
	default:
	}
}

// Tenure is a duty.Tenure that is renewed meanwhile. It is safe for concurrent
// use.
type Tenure struct {
	mu   sync.Mutex
	ten  duty.Tenure
	lose context.CancelFunc
}

// End ends the dispatcher: another process has the duty.
func (ten *Tenure) End() { ten.lose() }

// Current returns the tenure as it stands.
func (ten *Tenure) Current() duty.Tenure {
	ten.mu.Lock()
	defer ten.mu.Unlock()
	return ten.ten
}

// Holds reports whether the process surely holds the duty.
func (ten *Tenure) Holds(now time.Time) bool { return ten.Current().Holds(now) }

func (ten *Tenure) renewed(sent time.Time) {
	ten.mu.Lock()
	defer ten.mu.Unlock()
	ten.ten = ten.ten.WithRenewal(sent)
}

// Run contends until the context is done.
func (kee *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ten, err := kee.claim(ctx)
		if err != nil {
			kee.opt.Log.Event("duty_not_taken", decisionlog.Fields{"error": err.Error()})
		}
		if err != nil {
			clock.Pause(ctx, claimRetry)
			continue
		}
		if ten == nil {
			kee.await(ctx)
			continue
		}
		kee.serve(ctx, ten)
	}
}

// await waits until the duty may be free.
func (kee *Elector) await(ctx context.Context) {
	tim := time.NewTimer(claimCheck)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	case <-kee.freed:
		clock.Pause(ctx, time.Duration(float64(smallDelay)*max(0, 1-kee.relativeSize())))
	}
}

// relativeSize returns this VM's processors as a part of the largest VM's.
func (kee *Elector) relativeSize() float64 {
	largest := math.Float64frombits(kee.largest.Load())
	if largest <= 0 {
		return 1
	}
	return min(1, kee.opt.CPUShare/largest)
}

// ObserveLargest takes in the largest VM that the store knows, and writes this one
// if it is larger.
func (kee *Elector) ObserveLargest(itm kv.Item) {
	size, err := strconv.ParseFloat(string(itm.Value), 64)
	if err != nil && itm.Revision != 0 {
		kee.opt.Log.Event("entry_ignored", decisionlog.Fields{"key": itm.Key, "revision": itm.Revision, "error": err.Error()})
	}
	kee.largest.Store(math.Float64bits(max(size, kee.opt.CPUShare)))
	if size >= kee.opt.CPUShare {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), follow.ReadTimeout)
		defer cancel()
		_, err := kee.opt.Store.Commit(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: LargestKey, Revision: itm.Revision}},
			Puts:       []kv.Put{{Key: LargestKey, Value: strconv.AppendFloat(nil, kee.opt.CPUShare, 'g', -1, 64)}},
		})
		var con *kv.ConflictError
		if err != nil && !errors.As(err, &con) {
			kee.opt.Log.Event("size_not_written", decisionlog.Fields{"error": err.Error()})
		}
	}()
}

// shouldGiveBack reports whether a small holder leaves the duty to larger VMs.
func (kee *Elector) shouldGiveBack(held time.Duration, now time.Time) bool {
	if kee.relativeSize() >= smallShare || held < smallTenure {
		return false
	}
	return kee.gaveBack.IsZero() || now.Sub(kee.gaveBack) > smallRetry
}

// claim takes the duty. It returns nil if another process holds it.
func (kee *Elector) claim(ctx context.Context) (ten *Tenure, err error) {
	ask, cancel := context.WithTimeout(ctx, follow.ReadTimeout)
	defer cancel()
	_, err = kee.opt.Store.Get(ask, duty.HolderKey)
	if err == nil {
		return nil, nil
	}
	if !errors.Is(err, kv.ErrNotFound) {
		return nil, err
	}
	prior, err := kee.opt.Store.Get(ask, duty.TermKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return nil, err
	}
	term, err := duty.NextTerm(prior)
	if err != nil {
		return nil, err
	}
	sent := kee.opt.Now()
	lea, err := kee.opt.Store.Grant(ask, duty.TTL)
	if err != nil {
		return nil, err
	}
	hol := duty.Holder{Name: kee.opt.Name, Term: term}
	txn, err := duty.Claim(hol, lea, prior)
	if err != nil {
		return nil, err
	}
	rev, err := kee.opt.Store.Commit(ask, txn)
	if err != nil {
		kee.release(lea)
		var con *kv.ConflictError
		if errors.As(err, &con) {
			return nil, nil
		}
		return nil, err
	}
	return &Tenure{ten: duty.NewTenure(hol, lea, rev, sent, kee.opt.Now())}, nil
}

// release ends a lease, so that others needn't wait for its end.
func (kee *Elector) release(lea kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	if err := kee.opt.Store.EndLease(ctx, lea); err != nil && !errors.Is(err, kv.ErrLeaseGone) {
		kee.opt.Log.Event("lease_not_ended", decisionlog.Fields{"lease": lea, "error": err.Error()})
	}
}

// serve runs the dispatcher and renews the lease until it is lost, or until the
// context is done.
func (kee *Elector) serve(ctx context.Context, ten *Tenure) {
	work, lose := context.WithCancel(ctx)
	defer lose()
	ten.lose = lose
	cur := ten.Current()
	kee.opt.Log.Event("duty_taken", decisionlog.Fields{"term": cur.Holder.Term, "revision": cur.Revision})
	done := make(chan struct{})
	go func() {
		defer close(done)
		kee.opt.Dispatch(work, ten)
	}()
	kee.renew(work, ten)
	lose()
	<-done
	kee.opt.Log.Event("duty_ended", decisionlog.Fields{"term": cur.Holder.Term, "shutdown": ctx.Err() != nil})
	kee.release(cur.Lease)
}

func (kee *Elector) renew(ctx context.Context, ten *Tenure) {
	lease := ten.Current().Lease
	for ctx.Err() == nil {
		clock.Pause(ctx, duty.RenewInterval)
		if ctx.Err() != nil {
			return
		}
		sent := kee.opt.Now()
		ask, cancel := context.WithTimeout(ctx, leaseTimeout)
		err := kee.opt.Store.Renew(ask, lease)
		cancel()
		switch {
		case err == nil:
			ten.renewed(sent)
			if kee.shouldGiveBack(sent.Sub(ten.Current().Since), sent) {
				kee.gaveBack = sent
				kee.opt.Log.Event("duty_given_back", decisionlog.Fields{"relative_size": kee.relativeSize()})
				return
			}
		case errors.Is(err, kv.ErrLeaseGone):
			kee.opt.Log.Event("duty_lost", decisionlog.Fields{"lease": lease})
			return
		case ctx.Err() == nil:
			kee.opt.Log.Event("duty_not_renewed", decisionlog.Fields{"lease": lease, "error": err.Error(), "holds": ten.Holds(kee.opt.Now())})
		}
	}
}
