// Package intake takes clients' calls about jobs. It keeps nothing: a job is
// accepted once it is stored, on the condition that the configuration that
// allowed it is still the newest.
package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Verdict is the outcome of a call.
type Verdict int

// The outcomes.
const (
	// VerdictOK means that the call was carried out.
	VerdictOK Verdict = iota
	// VerdictNoQueue means that no queue takes the call.
	VerdictNoQueue
	// VerdictNoKey means that the call's key is missing or not valid.
	VerdictNoKey
	// VerdictUnknownJob means that there is no such job.
	VerdictUnknownJob
	// VerdictInvalid means that the job is malformed; it never runs.
	VerdictInvalid
	// VerdictRefused means that the job was not accepted and never runs.
	VerdictRefused
	// VerdictUnavailable means that the process can't tell now; nothing was
	// done.
	VerdictUnavailable
	// VerdictUnknown means that the job may have been accepted, or may yet be.
	VerdictUnknown
)

// String names the verdict for logs.
func (ver Verdict) String() string {
	return [...]string{"ok", "no_queue", "no_key", "unknown_job", "invalid", "refused", "unavailable", "unknown"}[ver]
}

// Answer is the outcome of a call with what it says.
type Answer struct {
	Verdict Verdict
	State   job.State
	Pending int
	// RetryAfter is when a refused call may come back; 0 if it says nothing.
	RetryAfter time.Duration
	// Reason explains a verdict other than VerdictOK, for logs.
	Reason string
}

// Call is what all calls bring.
type Call struct {
	Host string
	Path string
	Key  string
}

// View is what a process knows of the configuration.
type View struct {
	Catalog catalog.Catalog
	// Confirmed is when the catalog was last known to be the newest; zero if
	// there is none.
	Confirmed time.Time
	// LastContact is when the store last answered about it, which is later than
	// Confirmed by as long as a watch waits.
	LastContact time.Time
}

// Freshness bounds how old a view may be.
type Freshness struct {
	// Keyed bounds it for calls with a key, so that a withdrawn key stops
	// working in time.
	Keyed time.Duration
	// Denied bounds it for answers that deny a queue or a key, which a newer
	// configuration may have added.
	Denied time.Duration
	// Write bounds how long the store may have been silent for writes: beyond it
	// the store is out of reach, and a
	// call that is refused unsent can be sent elsewhere, unlike one whose
	// outcome is unknown.
	Write time.Duration
}

// JobService takes calls. It is safe for concurrent use.
type JobService struct {
	Store kv.Store
	// ConfigKey is the key of the configuration.
	ConfigKey string
	// Freshness returns the present bounds.
	Freshness func() Freshness
	// View returns the present view.
	View func() View
	// Admit decides whether a queue takes another job; nil takes all.
	Admit func(now time.Time, que *catalog.Queue, spe job.Spec) (retryAfter time.Duration, reason string)
	// Pending returns how many jobs of a queue have not begun.
	Pending func(ctx context.Context, queue string) (count int, err error)
}

// retryUnavailable is when a call may come back that this process couldn't
// serve; another process may serve it at once.
const retryUnavailable = time.Second

func unavailable(reason string) Answer {
	return Answer{Verdict: VerdictUnavailable, RetryAfter: retryUnavailable, Reason: reason}
}

// resolve finds the queue of a call and the client account of its key. The
// answer is valid if the queue is nil.
func (des *JobService) resolve(now time.Time, vie View, cal Call) (que *catalog.Queue, account string, ans Answer) {
	if vie.Confirmed.IsZero() {
		return nil, "", unavailable("no configuration yet")
	}
	age, bounds := now.Sub(vie.Confirmed), des.Freshness()
	que = vie.Catalog.Match(cal.Host, cal.Path)
	if que == nil {
		if age > bounds.Denied {
			return nil, "", unavailable("no such queue in a configuration that may be old")
		}
		return nil, "", Answer{Verdict: VerdictNoQueue, Reason: "no such queue"}
	}
	acc := vie.Catalog.AccountOf(cal.Key)
	switch {
	case acc != nil && age > bounds.Keyed:
		return nil, "", unavailable("the configuration may be too old to trust a key")
	case acc != nil:
		return que, acc.Name, Answer{}
	case que.Public:
		return que, "", Answer{}
	case age > bounds.Denied:
		return nil, "", unavailable("no such key in a configuration that may be old")
	default:
		return nil, "", Answer{Verdict: VerdictNoKey, Reason: "no such key"}
	}
}

// maxConflicts is how often an acceptance is tried again because the
// configuration changed meanwhile.
const maxConflicts = 3

// Submit accepts a job.
func (des *JobService) Submit(ctx context.Context, now time.Time, cal Call, spe job.Spec) Answer {
	vie := des.View()
	for range maxConflicts {
		que, account, ans := des.resolve(now, vie, cal)
		if que == nil {
			return ans
		}
		if err := spe.Check(); err != nil {
			return Answer{Verdict: VerdictInvalid, Reason: err.Error()}
		}
		if age := now.Sub(vie.LastContact); age > des.Freshness().Write {
			return unavailable("the store is out of reach")
		}
		spe.Queue, spe.Account, spe.Accepted = que.Name, account, now
		ans, conflict := des.store(ctx, now, que, vie, spe)
		if !conflict {
			return ans
		}
		vie = des.View()
	}
	return unavailable("the configuration changed again and again")
}

// store writes a job. The configuration's revision is a condition, so that no
// job is accepted under a configuration that is no longer in force.
func (des *JobService) store(ctx context.Context, now time.Time, que *catalog.Queue, vie View, spe job.Spec) (ans Answer, conflict bool) {
	if des.Admit != nil {
		if after, reason := des.Admit(now, que, spe); reason != "" {
			return des.refuse(ctx, spe, after, reason), false
		}
	}
	raw, err := job.Marshal(spe)
	if err != nil {
		return Answer{Verdict: VerdictInvalid, Reason: err.Error()}, false
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{
			{Key: job.LiveKey(spe.ID)}, {Key: job.EndedKey(spe.ID)},
			{Key: des.ConfigKey, Revision: kv.Revision(vie.Catalog.Revision)},
		},
		Puts: []kv.Put{{Key: job.LiveKey(spe.ID), Value: raw}},
	}
	err = des.commit(ctx, txn)
	var con *kv.ConflictError
	switch {
	case err == nil:
		return Answer{Verdict: VerdictOK, State: job.StateQueued}, false
	case errors.As(err, &con):
		if con.Item(job.LiveKey(spe.ID)).Revision != 0 || con.Item(job.EndedKey(spe.ID)).Revision != 0 {
			return Answer{Verdict: VerdictOK, State: job.StateQueued, Reason: "accepted before"}, false
		}
		return Answer{}, true
	case errors.Is(err, kv.ErrUnknown):
		return Answer{Verdict: VerdictUnknown, Reason: err.Error()}, false
	default:
		return unavailable(err.Error()), false
	}
}

// commit applies a transaction that has the same effect if it is applied twice.
func (des *JobService) commit(ctx context.Context, txn kv.Txn) error {
	return attempt(ctx, func(ctx context.Context) error {
		_, err := des.Store.Commit(ctx, txn)
		return err
	})
}

// refuse answers that a job is not accepted, unless it was accepted before.
func (des *JobService) refuse(ctx context.Context, spe job.Spec, after time.Duration, reason string) Answer {
	rec, err := des.find(ctx, spe.ID)
	switch {
	case errors.Is(err, kv.ErrNotFound):
		return Answer{Verdict: VerdictRefused, RetryAfter: after, Reason: reason}
	case err != nil:
		return Answer{Verdict: VerdictUnknown, Reason: err.Error()}
	default:
		return Answer{Verdict: VerdictOK, State: rec.state, Reason: "accepted before"}
	}
}

// record is what the store holds of a job.
type record struct {
	state job.State
	queue string
	// account names the client account of a job; empty on queues open to all.
	account string
	// live is the job's item while it hasn't ended.
	live kv.Item
}

// find reads a job. A job that ends is removed from the live ones in the same
// transaction that stores its end, so that this order of reading finds it.
func (des *JobService) find(ctx context.Context, id job.ID) (rec record, err error) {
	defer func() {
		if err != nil && !errors.Is(err, kv.ErrNotFound) {
			err = fmt.Errorf("find job %s: %w", id, err)
		}
	}()
	var pag kv.Page
	err = attempt(ctx, func(ctx context.Context) (err error) {
		pag, err = des.Store.Range(ctx, job.LiveKey(id), "")
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
		rec.queue, rec.account, rec.live = spe.Queue, spe.Account, itm
	}
	if rec.live.Revision != 0 {
		if rec.state == "" {
			rec.state = job.StateRunning
		}
		return rec, nil
	}
	var itm kv.Item
	err = attempt(ctx, func(ctx context.Context) (err error) {
		itm, err = des.Store.Get(ctx, job.EndedKey(id))
		return err
	})
	if err != nil {
		return record{}, err
	}
	out, err := job.Unmarshal[job.Outcome](itm.Value)
	if err != nil {
		return record{}, err
	}
	return record{state: out.State, queue: out.Queue, account: out.Account}, nil
}

// owned reports whether a call may see a job.
func (rec record) owned(que *catalog.Queue, account string) bool {
	return rec.queue == que.Name && (que.Public || rec.account == account)
}

// State tells a job's state.
func (des *JobService) State(ctx context.Context, now time.Time, cal Call, id job.ID) Answer {
	que, account, ans := des.resolve(now, des.View(), cal)
	if que == nil {
		return ans
	}
	rec, err := des.find(ctx, id)
	switch {
	case errors.Is(err, kv.ErrNotFound) || err == nil && !rec.owned(que, account):
		return Answer{Verdict: VerdictUnknownJob, Reason: "no such job"}
	case err != nil:
		return unavailable(err.Error())
	default:
		return Answer{Verdict: VerdictOK, State: rec.state}
	}
}

// Cancel cancels a job.
func (des *JobService) Cancel(ctx context.Context, now time.Time, cal Call, id job.ID) Answer {
	que, account, ans := des.resolve(now, des.View(), cal)
	if que == nil {
		return ans
	}
	for range maxConflicts {
		rec, err := des.find(ctx, id)
		switch {
		case errors.Is(err, kv.ErrNotFound) || err == nil && !rec.owned(que, account):
			return Answer{Verdict: VerdictUnknownJob, Reason: "no such job"}
		case err != nil:
			return unavailable(err.Error())
		case rec.live.Revision == 0 || rec.state == job.StateCancelled:
			return Answer{Verdict: VerdictOK, State: rec.state}
		}
		err = des.commit(ctx, kv.Txn{
			Conditions: []kv.Condition{{Key: job.LiveKey(id), Revision: rec.live.Revision}},
			Puts:       []kv.Put{{Key: job.CancelKey(id), Value: []byte{}}},
		})
		var con *kv.ConflictError
		switch {
		case err == nil:
			return Answer{Verdict: VerdictOK, State: job.StateCancelled}
		case errors.As(err, &con):
			continue
		case errors.Is(err, kv.ErrUnknown):
			return Answer{Verdict: VerdictUnknown, Reason: err.Error()}
		default:
			return unavailable(err.Error())
		}
	}
	return unavailable("the job changed again and again")
}

// CountPending tells how many jobs of a queue have not begun.
func (des *JobService) CountPending(ctx context.Context, now time.Time, cal Call) Answer {
	que, _, ans := des.resolve(now, des.View(), cal)
	if que == nil {
		return ans
	}
	count, err := des.Pending(ctx, que.Name)
	if err != nil {
		return unavailable(err.Error())
	}
	return Answer{Verdict: VerdictOK, Pending: count}
}
