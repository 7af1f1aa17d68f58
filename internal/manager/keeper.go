package manager

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Times of contending for the duty.
const (
	// leaseTimeout bounds a call about the lease.
	leaseTimeout = 600 * time.Millisecond
	// smallDelay is how much later a VM without processors would claim the duty
	// than one with a whole core, so that larger VMs get it.
	smallDelay = 120 * time.Millisecond
	// claimCheck is how often a process that doesn't hold the duty checks
	// whether it is free, if no watch tells.
	claimCheck = 2 * time.Second
)

// keeper contends for the duty and keeps it.
type keeper struct {
	store    kv.Store
	name     string
	cpuShare float64
	log      *decisionlog.Log
	now      func() time.Time
	// dispatch runs the dispatcher until its context is done.
	dispatch func(ctx context.Context, ten *tenure)
	// freed is signalled when the holder's key has been seen to be gone.
	freed chan struct{}
}

// tenure is a duty.Tenure that is renewed meanwhile. It is safe for concurrent
// use.
type tenure struct {
	mu  sync.Mutex
	ten duty.Tenure
	// lose ends the dispatcher.
	lose context.CancelFunc
}

func (ten *tenure) current() duty.Tenure {
	ten.mu.Lock()
	defer ten.mu.Unlock()
	return ten.ten
}

func (ten *tenure) holds(now time.Time) bool { return ten.current().Holds(now) }

func (ten *tenure) renewed(sent time.Time) {
	ten.mu.Lock()
	defer ten.mu.Unlock()
	ten.ten = ten.ten.WithRenewal(sent)
}

// run contends until the context is done.
func (kee *keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		ten, err := kee.claim(ctx)
		if err != nil {
			kee.log.Event("duty_not_taken", decisionlog.Fields{"error": err.Error()})
		}
		if ten == nil {
			kee.await(ctx)
			continue
		}
		kee.serve(ctx, ten)
	}
}

// await waits until the duty may be free.
func (kee *keeper) await(ctx context.Context) {
	tim := time.NewTimer(claimCheck)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	case <-kee.freed:
		pause(ctx, time.Duration(float64(smallDelay)*max(0, 1-kee.cpuShare)))
	}
}

// claim takes the duty. It returns nil if another process holds it.
func (kee *keeper) claim(ctx context.Context) (ten *tenure, err error) {
	ask, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err = kee.store.Get(ask, duty.HolderKey)
	if err == nil {
		return nil, nil
	}
	if !errors.Is(err, kv.ErrNotFound) {
		return nil, err
	}
	prior, err := kee.store.Get(ask, duty.TermKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return nil, err
	}
	term, err := duty.NextTerm(prior)
	if err != nil {
		return nil, err
	}
	sent := kee.now()
	lea, err := kee.store.Grant(ask, duty.TTL)
	if err != nil {
		return nil, err
	}
	hol := duty.Holder{Name: kee.name, Term: term}
	txn, err := duty.Claim(hol, lea, prior)
	if err != nil {
		return nil, err
	}
	rev, err := kee.store.Commit(ask, txn)
	if err != nil {
		kee.release(lea)
		var con *kv.ConflictError
		if errors.As(err, &con) {
			return nil, nil
		}
		return nil, err
	}
	return &tenure{ten: duty.NewTenure(hol, lea, rev, sent, kee.now())}, nil
}

// release ends a lease, so that others needn't wait for its end.
func (kee *keeper) release(lea kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	if err := kee.store.EndLease(ctx, lea); err != nil && !errors.Is(err, kv.ErrLeaseGone) {
		kee.log.Event("lease_not_ended", decisionlog.Fields{"lease": lea, "error": err.Error()})
	}
}

// serve runs the dispatcher and renews the lease until it is lost, or until the
// context is done.
func (kee *keeper) serve(ctx context.Context, ten *tenure) {
	work, lose := context.WithCancel(ctx)
	defer lose()
	ten.lose = lose
	cur := ten.current()
	kee.log.Event("duty_taken", decisionlog.Fields{"term": cur.Holder.Term, "revision": cur.Revision})
	done := make(chan struct{})
	go func() {
		defer close(done)
		kee.dispatch(work, ten)
	}()
	kee.renew(work, ten)
	lose()
	<-done
	kee.log.Event("duty_ended", decisionlog.Fields{"term": cur.Holder.Term, "shutdown": ctx.Err() != nil})
	kee.release(cur.Lease)
}

func (kee *keeper) renew(ctx context.Context, ten *tenure) {
	lease := ten.current().Lease
	for ctx.Err() == nil {
		pause(ctx, duty.RenewEvery)
		if ctx.Err() != nil {
			return
		}
		sent := kee.now()
		ask, cancel := context.WithTimeout(ctx, leaseTimeout)
		err := kee.store.Renew(ask, lease)
		cancel()
		switch {
		case err == nil:
			ten.renewed(sent)
		case errors.Is(err, kv.ErrLeaseGone):
			kee.log.Event("duty_lost", decisionlog.Fields{"lease": lease})
			return
		case ctx.Err() == nil:
			kee.log.Event("duty_not_renewed", decisionlog.Fields{"lease": lease, "error": err.Error(), "holds": ten.holds(kee.now())})
		}
	}
}
