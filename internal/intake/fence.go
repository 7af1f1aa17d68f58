package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/recent"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Times of fences.
const (
	// maxWriteDelay is how long after a call the store may still carry out a write of it
	// that got no answer.
	maxWriteDelay = 15 * time.Second
	// fenceTTL is the time to live of the leases of fences, the longest that the store
	// grants. A lease serves for its first half, so that a fence lasts for the other half
	// at least, which is far longer than maxWriteDelay.
	fenceTTL = 10 * time.Minute
)

// unsettled holds the jobs that were submitted through this process and whose submission may
// still be stored. The zero value holds none. It is safe for concurrent use.
type unsettled struct {
	mu sync.Mutex
	// submitted holds the times of the last submissions whose outcome is unknown.
	submitted *recent.Map[job.ID, time.Time]
}

// add records that the outcome of a job's submission is unknown.
func (uns *unsettled) add(now time.Time, id job.ID) {
	uns.mu.Lock()
	defer uns.mu.Unlock()
	if uns.submitted == nil {
		uns.submitted = recent.NewMap[job.ID, time.Time]()
	}
	uns.submitted.Put(now, id, now)
}

// remove records that no earlier submission of a job can be stored any more.
func (uns *unsettled) remove(id job.ID) {
	uns.mu.Lock()
	defer uns.mu.Unlock()
	if uns.submitted != nil {
		uns.submitted.Remove(id)
	}
}

// has reports whether a submission of the job may still be stored.
func (uns *unsettled) has(now time.Time, id job.ID) bool {
	uns.mu.Lock()
	defer uns.mu.Unlock()
	if uns.submitted == nil {
		return false
	}
	at, ok := uns.submitted.Get(id)
	return ok && now.Sub(at) < maxWriteDelay
}

// fenceLease is the lease of the fences that are written now.
type fenceLease struct {
	mu    sync.Mutex
	lease kv.LeaseID
	// until is when the lease ceases to be used.
	until time.Time
}

// get returns the lease, and grants one if there is none to use.
func (fel *fenceLease) get(ctx context.Context, sto kv.Store, now time.Time) (lea kv.LeaseID, err error) {
	fel.mu.Lock()
	lea, until := fel.lease, fel.until
	fel.mu.Unlock()
	if lea != 0 && now.Before(until) {
		return lea, nil
	}
	err = retryUnanswered(ctx, func(ctx context.Context) (err error) {
		// A lease that was granted without an answer ends by itself.
		lea, err = sto.Grant(ctx, fenceTTL)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("grant the lease of fences: %w", err)
	}
	fel.mu.Lock()
	defer fel.mu.Unlock()
	fel.lease, fel.until = lea, now.Add(fenceTTL/2)
	return lea, nil
}

// drop forgets a lease that the store doesn't have any more.
func (fel *fenceLease) drop(lea kv.LeaseID) {
	fel.mu.Lock()
	defer fel.mu.Unlock()
	if fel.lease == lea {
		fel.lease = 0
	}
}

// fence stores a fence of a job that hasn't been accepted. It fails with a ConflictError if
// the job is stored or a further condition doesn't hold.
func (svc *JobService) fence(ctx context.Context, now time.Time, id job.ID, fen job.Fence, conditions ...kv.Condition) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fence job %s: %w", id, err)
		}
	}()
	raw, err := job.Marshal(fen)
	if err != nil {
		return err
	}
	lea, err := svc.fences.get(ctx, svc.Store, now)
	if err != nil {
		return err
	}
	err = svc.commit(ctx, kv.Txn{
		Conditions: append([]kv.Condition{{Key: job.LiveKey(id)}, {Key: job.EndedKey(id)}}, conditions...),
		Puts:       []kv.Put{{Key: job.FenceKey(id), Value: raw, Lease: lea}},
	})
	if errors.Is(err, kv.ErrLeaseGone) {
		svc.fences.drop(lea)
	}
	if err == nil {
		svc.unsettled.remove(id)
	}
	return err
}

// refuseForGood is the answer to a submission of a job that was cancelled before it was
// accepted.
func refuseForGood() Answer {
	return Answer{Verdict: VerdictRefused, Reason: "the job was cancelled before it was accepted"}
}

// readFence returns the fence in an item.
func readFence(itm kv.Item) (fen job.Fence, err error) {
	if itm.Revision == 0 {
		return job.Fence{}, nil
	}
	return job.Unmarshal[job.Fence](itm.Value)
}

// stateOfUnanswered answers a query of a job that isn't stored, and of which a submission may
// still be.
func (svc *JobService) stateOfUnanswered(ctx context.Context, id job.ID) Answer {
	itm, err := svc.Store.Get(ctx, job.FenceKey(id))
	if err == nil {
		var fen job.Fence
		if fen, err = readFence(itm); err == nil && fen.Final {
			return Answer{Verdict: VerdictUnknownJob, Reason: "the job was cancelled before it was accepted"}
		}
	}
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		err = errors.New("a submission that got no answer may still be stored")
	}
	return Answer{Verdict: VerdictUnknown, Reason: err.Error()}
}

// refuse refuses a job, unless it was accepted before. It fences the job, so that no earlier
// submission, through any process, is stored after the refusal.
func (svc *JobService) refuse(ctx context.Context, now time.Time, id job.ID, refusal Answer) Answer {
	known := kv.Revision(0)
	for range maxCommitAttempts {
		err := svc.fence(ctx, now, id, job.Fence{}, kv.Condition{Key: job.FenceKey(id), Revision: known})
		var con *kv.ConflictError
		switch {
		case err == nil:
			return refusal
		case errors.Is(err, kv.ErrLeaseGone):
			continue
		case !errors.As(err, &con):
			// An earlier submission may still be stored.
			return Answer{Verdict: VerdictUnknown, RetryAfter: refusal.RetryAfter, Reason: err.Error()}
		case accepted(con, id):
			return Answer{Verdict: VerdictOK, State: job.StateQueued, Reason: "accepted before"}
		}
		fen, err := readFence(con.Item(job.FenceKey(id)))
		switch {
		case err != nil:
			return Answer{Verdict: VerdictUnknown, Reason: err.Error()}
		case fen.Final:
			return refuseForGood()
		}
		known = con.Item(job.FenceKey(id)).Revision
	}
	return Answer{Verdict: VerdictUnknown, Reason: "too many concurrent submissions of the job"}
}

// accepted reports whether a conflict shows that the job is stored.
func accepted(con *kv.ConflictError, id job.ID) bool {
	return con.Item(job.LiveKey(id)).Revision != 0 || con.Item(job.EndedKey(id)).Revision != 0
}
