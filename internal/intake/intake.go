// Package intake carries out clients' calls about jobs: submission,
// cancellation and queries of a job's state or a queue's backlog. A job is accepted
// once it is stored, on the condition that the configuration that allowed it is
// still the newest.
//
// A write that got no answer may be carried out seconds later. So that no answer is
// belied by one, a job that is cancelled before it is accepted, or refused, gets a fence,
// which makes earlier submissions fail.
package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/progress"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Verdict is the outcome of a call.
type Verdict int

// Verdicts of calls.
const (
	// VerdictOK means that the call was carried out.
	VerdictOK Verdict = iota
	// VerdictNoQueue means that no queue matches the call.
	VerdictNoQueue
	// VerdictNoKey means that the call's key is missing or not valid.
	VerdictNoKey
	// VerdictUnknownJob means that the job doesn't exist, or that the call may
	// not see it.
	VerdictUnknownJob
	// VerdictInvalid means that the job is malformed; it never runs.
	VerdictInvalid
	// VerdictRefused means that the queue didn't admit the job. It was not
	// accepted and never runs.
	VerdictRefused
	// VerdictUnavailable means that the process can't decide at present;
	// nothing was done.
	VerdictUnavailable
	// VerdictUnknown means that the job may have been accepted, or may still
	// be.
	VerdictUnknown
)

// String returns the verdict's name in logs and replies.
func (ver Verdict) String() string {
	return [...]string{"ok", "no_queue", "no_key", "unknown_job", "invalid", "refused", "unavailable", "unknown"}[ver]
}

// Answer is the outcome of a call with the contents of its reply.
type Answer struct {
	Verdict Verdict
	State   job.State
	Pending int
	// RetryAfter is how long the client should wait before it calls again; 0
	// sets no time.
	RetryAfter time.Duration
	// Reason explains a verdict other than VerdictOK, for logs.
	Reason string
}

// Call holds what selects a call's queue and client account.
type Call struct {
	Host string
	Path string
	Key  string
}

// View is a process's view of the configuration.
type View struct {
	Catalog catalog.Catalog
	// Confirmed is the latest time at which the catalog was known to be the
	// newest; zero if there is none.
	Confirmed time.Time
	// LastContact is when the store last answered a read or a watch of the
	// configuration, which is later than Confirmed by as long as a watch waits.
	LastContact time.Time
}

// Freshness bounds the age of a view, depending on its use.
type Freshness struct {
	// Allowed is the bound for all calls that the view allows, as a newer
	// configuration may have removed the queue or the key.
	Allowed time.Duration
	// Keyed is the bound for calls with a key, so that a withdrawn key stops
	// working in time.
	Keyed time.Duration
	// Denied is the bound for answers that deny a queue or a key, which a newer
	// configuration may have added.
	Denied time.Duration
	// Write is the longest silence of the store for which writes are sent.
	// Beyond it the store counts as unreachable: a call that is refused before
	// anything is sent can be repeated elsewhere, unlike one whose outcome is
	// unknown.
	Write time.Duration
}

// JobService carries out calls about jobs. It is safe for concurrent use.
type JobService struct {
	// Store fails calls that it doesn't begin to answer within AnswerTimeout.
	Store kv.Store
	// ConfigKey is the store key of the configuration.
	ConfigKey string
	// Learn is called with a configuration that conflicted with a transaction,
	// so that the view has it from then on. It may be nil.
	Learn func(itm kv.Item)
	// Freshness returns the current bounds.
	Freshness func() Freshness
	// View returns the current view.
	View func() View
	// Admit decides whether a queue admits another job: it returns an empty
	// reason if so, and otherwise the retry delay and the reason. Nil admits
	// all.
	Admit func(now time.Time, que *catalog.Queue, spe job.Spec) (retryAfter time.Duration, reason string)
	// MaxValueBytes returns the size up to which the store holds a value. Nil stands
	// for kv.MaxValueBytes.
	MaxValueBytes func() int
	// Pending returns the number of a queue's jobs that have not begun.
	Pending func(ctx context.Context, queue string) (count int, err error)

	unsettled unsettled
	fences    fenceLease
}

// unavailableRetryAfter is the retry delay of calls that this process couldn't
// serve. It is short, as another process may serve the call.
const unavailableRetryAfter = time.Second

func unavailable(reason string) Answer {
	return Answer{Verdict: VerdictUnavailable, RetryAfter: unavailableRetryAfter, Reason: reason}
}

// resolve returns the queue of a call and the client account of its key. If the
// queue is nil, the answer says why.
func (svc *JobService) resolve(now time.Time, vie View, cal Call) (que *catalog.Queue, account string, ans Answer) {
	if vie.Confirmed.IsZero() {
		return nil, "", unavailable("no configuration yet")
	}
	age, bounds := now.Sub(vie.Confirmed), svc.Freshness()
	que = vie.Catalog.Match(cal.Host, cal.Path)
	if que == nil {
		if age > bounds.Denied {
			return nil, "", unavailable("no such queue, but the configuration may be stale")
		}
		return nil, "", Answer{Verdict: VerdictNoQueue, Reason: "no such queue"}
	}
	acc := vie.Catalog.AccountOf(cal.Key)
	switch {
	case acc == nil && !que.Public && age > bounds.Denied:
		return nil, "", unavailable("no such key, but the configuration may be stale")
	case acc == nil && !que.Public:
		return nil, "", Answer{Verdict: VerdictNoKey, Reason: "no such key"}
	case acc != nil && age > bounds.Keyed:
		return nil, "", unavailable("the configuration is too stale to authorize a key")
	case age > bounds.Allowed:
		return nil, "", unavailable("the queue may have been removed since the configuration was read")
	case acc != nil:
		return que, acc.Name, Answer{}
	default:
		return que, "", Answer{}
	}
}

// maxCommitAttempts is how often a write is attempted while concurrent changes
// of the configuration or the job conflict with it.
const maxCommitAttempts = 3

// Submit accepts a job.
func (svc *JobService) Submit(ctx context.Context, now time.Time, cal Call, spe job.Spec) (ans Answer) {
	ans = svc.submit(ctx, now, cal, spe)
	switch {
	case ans.Verdict == VerdictUnknown:
		svc.unsettled.add(now, spe.ID)
	case ans.Verdict == VerdictUnavailable && svc.unsettled.has(now, spe.ID):
		// This call did nothing, but an earlier one may still have an effect.
		ans.Verdict = VerdictUnknown
	}
	return ans
}

func (svc *JobService) submit(ctx context.Context, now time.Time, cal Call, spe job.Spec) Answer {
	vie := svc.View()
	fence := kv.Revision(0)
	for range maxCommitAttempts {
		que, account, ans := svc.resolve(now, vie, cal)
		if que == nil {
			return ans
		}
		if err := spe.Check(); err != nil {
			return Answer{Verdict: VerdictInvalid, Reason: err.Error()}
		}
		if age := now.Sub(vie.LastContact); age > svc.Freshness().Write {
			return unavailable("the store is unreachable")
		}
		spe.Account, spe.Accepted = account, now
		spe = que.Record(spe)
		ans, con := svc.store(ctx, now, que, vie, spe, fence)
		if con == nil {
			return ans
		}
		fence = con.Item(job.FenceKey(spe.ID)).Revision
		vie = svc.View()
	}
	return unavailable("too many conflicting changes of the configuration")
}

// store writes a job. The configuration's revision is a condition, so that no
// job is accepted under a superseded configuration, and so is that of the job's
// fence. It returns a conflict if the job is to be submitted again.
func (svc *JobService) store(ctx context.Context, now time.Time, que *catalog.Queue, vie View, spe job.Spec, fence kv.Revision) (ans Answer, again *kv.ConflictError) {
	if svc.Admit != nil {
		if after, reason := svc.Admit(now, que, spe); reason != "" {
			return svc.refuse(ctx, now, spe.ID, Answer{Verdict: VerdictRefused, RetryAfter: after, Reason: reason}), nil
		}
	}
	raw, err := svc.encode(spe)
	if err != nil {
		return Answer{Verdict: VerdictInvalid, Reason: err.Error()}, nil
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{
			{Key: job.LiveKey(spe.ID)}, {Key: job.EndedKey(spe.ID)},
			{Key: svc.ConfigKey, Revision: kv.Revision(vie.Catalog.Revision)},
			{Key: job.FenceKey(spe.ID), Revision: fence},
		},
		Puts: []kv.Put{{Key: job.LiveKey(spe.ID), Value: raw}},
	}
	err = svc.commit(ctx, txn)
	var con *kv.ConflictError
	switch {
	case err == nil:
		return Answer{Verdict: VerdictOK, State: job.StateQueued}, nil
	case errors.As(err, &con):
		return svc.conflicted(con, spe.ID)
	case errors.Is(err, kv.ErrUnknown):
		return Answer{Verdict: VerdictUnknown, Reason: err.Error()}, nil
	case errors.Is(err, kv.ErrRejected):
		return Answer{Verdict: VerdictInvalid, Reason: err.Error()}, nil
	default:
		return unavailable(err.Error()), nil
	}
}

// conflicted answers a submission whose conditions didn't hold, or returns the conflict if
// the job is to be submitted again.
func (svc *JobService) conflicted(con *kv.ConflictError, id job.ID) (ans Answer, again *kv.ConflictError) {
	if accepted(con, id) {
		return Answer{Verdict: VerdictOK, State: job.StateQueued, Reason: "accepted before"}, nil
	}
	fen, err := readFence(con.Item(job.FenceKey(id)))
	switch {
	case err != nil:
		return unavailable(err.Error()), nil
	case fen.Final:
		return refuseForGood(), nil
	}
	if itm := con.Item(svc.ConfigKey); svc.Learn != nil && itm.Revision != 0 {
		svc.Learn(itm)
	}
	return Answer{}, con
}

// encode encodes a job. It fails if the job's own record, or that of its progress at its
// largest, would exceed what the store holds.
func (svc *JobService) encode(spe job.Spec) (raw []byte, err error) {
	limit := kv.MaxValueBytes
	if svc.MaxValueBytes != nil {
		limit = svc.MaxValueBytes()
	}
	raw, err = job.Marshal(spe)
	if err == nil && len(raw) > limit {
		err = fmt.Errorf("job %s could not be recorded: it has %d bytes, the store holds %d", spe.ID, len(raw), limit)
	}
	if err == nil {
		err = progress.Check(spe, limit)
	}
	return raw, err
}

// commit applies an idempotent transaction, with retries.
func (svc *JobService) commit(ctx context.Context, txn kv.Txn) error {
	return retryUnanswered(ctx, func(ctx context.Context) error {
		_, err := svc.Store.Commit(ctx, txn)
		return err
	})
}

// record is the stored state of a job.
type record struct {
	state job.State
	// queue is the queue that accepted the job, as far as its address tells.
	queue catalog.Queue
	// account is the job's client account; empty on public queues.
	account string
	// live is the item of a job that hasn't ended.
	live kv.Item
}

// find reads a job. The transaction that stores a job's outcome also removes it
// from the live jobs, so reading the live key before the ended key finds the
// job at any time.
func (svc *JobService) find(ctx context.Context, id job.ID) (rec record, err error) {
	defer func() {
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			err = fmt.Errorf("find job %s: %w", id, err)
		}
	}()
	var pag kv.Page
	err = retryUnanswered(ctx, func(ctx context.Context) (err error) {
		pag, err = svc.Store.Range(ctx, job.LiveKey(id), "")
		return err
	})
	if err != nil {
		return record{}, err
	}
	for _, itm := range pag.Items {
		if itm.Key == job.CancelKey(id) {
			rec.state = job.StateCancelled
			continue
		}
		if itm.Key != job.LiveKey(id) {
			continue
		}
		spe, err := job.Unmarshal[job.Spec](itm.Value)
		if err != nil {
			return record{}, err
		}
		rec.queue, rec.account, rec.live = *catalog.RecordedQueue(spe), spe.Account, itm
	}
	if rec.live.Revision != 0 {
		if rec.state == "" {
			rec.state = job.StateRunning
		}
		return rec, nil
	}
	var itm kv.Item
	err = retryUnanswered(ctx, func(ctx context.Context) (err error) {
		itm, err = svc.Store.Get(ctx, job.EndedKey(id))
		return err
	})
	if err != nil {
		return record{}, err
	}
	out, err := job.Unmarshal[job.Outcome](itm.Value)
	if err != nil {
		return record{}, err
	}
	return record{state: out.State, queue: catalog.Queue{Name: out.Queue, Host: out.Host, Prefix: out.Prefix}, account: out.Account}, nil
}

// visibleTo reports whether a call with a queue and a client account may see
// the job.
func (rec record) visibleTo(cat catalog.Catalog, que *catalog.Queue, account string) bool {
	return cat.Reaches(que, &rec.queue, account, rec.account)
}

// State returns a job's state.
func (svc *JobService) State(ctx context.Context, now time.Time, cal Call, id job.ID) Answer {
	vie := svc.View()
	que, account, ans := svc.resolve(now, vie, cal)
	if que == nil {
		return ans
	}
	rec, err := svc.find(ctx, id)
	switch {
	case errors.Is(err, kv.ErrNotFound) && svc.unsettled.has(now, id):
		return svc.stateOfUnanswered(ctx, id)
	case errors.Is(err, kv.ErrNotFound) || err == nil && !rec.visibleTo(vie.Catalog, que, account):
		return Answer{Verdict: VerdictUnknownJob, Reason: "no such job"}
	case err != nil:
		return unavailable(err.Error())
	default:
		return Answer{Verdict: VerdictOK, State: rec.state}
	}
}

// Cancel cancels a job. One that isn't stored is fenced, so that no submission of it is stored
// after the answer.
func (svc *JobService) Cancel(ctx context.Context, now time.Time, cal Call, id job.ID) Answer {
	vie := svc.View()
	que, account, ans := svc.resolve(now, vie, cal)
	if que == nil {
		return ans
	}
	for range maxCommitAttempts {
		rec, err := svc.find(ctx, id)
		unknown := errors.Is(err, kv.ErrNotFound)
		switch {
		case unknown:
		case err != nil:
			return unavailable(err.Error())
		case !rec.visibleTo(vie.Catalog, que, account):
			return Answer{Verdict: VerdictUnknownJob, Reason: "no such job"}
		case rec.live.Revision == 0 || rec.state == job.StateCancelled:
			return Answer{Verdict: VerdictOK, State: rec.state}
		}
		if unknown {
			err = svc.fence(ctx, now, id, job.Fence{Final: true})
		} else {
			err = svc.commit(ctx, kv.Txn{
				Conditions: []kv.Condition{{Key: job.LiveKey(id), Revision: rec.live.Revision}},
				Puts:       []kv.Put{{Key: job.CancelKey(id), Value: []byte{}}},
			})
		}
		var con *kv.ConflictError
		switch {
		case err == nil && unknown:
			return Answer{Verdict: VerdictUnknownJob, Reason: "no such job"}
		case err == nil:
			return Answer{Verdict: VerdictOK, State: job.StateCancelled}
		case errors.As(err, &con) || errors.Is(err, kv.ErrLeaseGone):
			continue
		case errors.Is(err, kv.ErrUnknown):
			return Answer{Verdict: VerdictUnknown, Reason: err.Error()}
		default:
			return unavailable(err.Error())
		}
	}
	return unavailable("too many conflicting changes of the job")
}

// CountPending returns the number of a queue's jobs that have not begun.
func (svc *JobService) CountPending(ctx context.Context, now time.Time, cal Call) Answer {
	que, _, ans := svc.resolve(now, svc.View(), cal)
	if que == nil {
		return ans
	}
	count, err := svc.Pending(ctx, que.Name)
	if err != nil {
		return unavailable(err.Error())
	}
	return Answer{Verdict: VerdictOK, Pending: count}
}
