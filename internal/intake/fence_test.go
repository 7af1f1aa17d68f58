package intake

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// lossyStore is a store that can leave transactions unanswered and carry them out later.
type lossyStore struct {
	kv.Store
	revision kv.Revision
	items    map[string]kv.Item
	// lose is how many of the next transactions are kept in late instead of carried out.
	lose int
	late []kv.Txn
	// beforeCommit is called before each transaction; nil for nothing.
	beforeCommit func()
	// commits and reads count the calls.
	commits, reads int
	leases         map[kv.LeaseID]bool
}

func newLossyStore() *lossyStore {
	sto := &lossyStore{revision: 10, items: map[string]kv.Item{}, leases: map[kv.LeaseID]bool{}}
	sto.items["config"] = kv.Item{Key: "config", Revision: 7}
	return sto
}

func (sto *lossyStore) Get(_ context.Context, key string) (kv.Item, error) {
	sto.reads++
	if itm, ok := sto.items[key]; ok {
		return itm, nil
	}
	return kv.Item{}, kv.ErrNotFound
}

func (sto *lossyStore) Range(_ context.Context, prefix, _ string) (pag kv.Page, err error) {
	sto.reads++
	for _, itm := range sto.items {
		if strings.HasPrefix(itm.Key, prefix) {
			pag.Items = append(pag.Items, itm)
		}
	}
	return pag, nil
}

func (sto *lossyStore) Grant(_ context.Context, ttl time.Duration) (lea kv.LeaseID, err error) {
	lea = kv.LeaseID(100 + len(sto.leases))
	sto.leases[lea] = ttl >= 10*time.Minute
	return lea, nil
}

func (sto *lossyStore) Commit(_ context.Context, txn kv.Txn) (rev kv.Revision, err error) {
	sto.commits++
	if sto.beforeCommit != nil {
		sto.beforeCommit()
	}
	if sto.lose > 0 {
		sto.lose--
		sto.late = append(sto.late, txn)
		return 0, kv.ErrUnknown
	}
	return sto.apply(txn)
}

func (sto *lossyStore) apply(txn kv.Txn) (rev kv.Revision, err error) {
	con, failed := &kv.ConflictError{}, false
	for _, cnd := range txn.Conditions {
		itm := sto.items[cnd.Key]
		failed = failed || itm.Revision != cnd.Revision
		if itm.Revision != 0 {
			con.Current = append(con.Current, itm)
		}
	}
	if failed {
		return 0, con
	}
	for _, put := range txn.Puts {
		if put.Lease != 0 && !sto.leases[put.Lease] {
			return 0, kv.ErrLeaseGone
		}
	}
	sto.revision++
	for _, put := range txn.Puts {
		sto.items[put.Key] = kv.Item{Key: put.Key, Value: put.Value, Revision: sto.revision, Lease: put.Lease}
	}
	return sto.revision, nil
}

// carryOut carries out the late transactions, and reports whether any took effect.
func (sto *lossyStore) carryOut() (took bool) {
	for _, txn := range sto.late {
		_, err := sto.apply(txn)
		took = took || err == nil
	}
	sto.late = nil
	return took
}

// has reports whether the job is stored as live.
func (sto *lossyStore) has(id job.ID) bool {
	_, ok := sto.items[job.LiveKey(id)]
	return ok
}

// lossyFixture calls the job service with a lossyStore.
type lossyFixture struct {
	t   *testing.T
	sto *lossyStore
	svc *JobService
	now time.Time
	// refuses is the reason for which jobs are refused; empty to admit them.
	refuses string
}

func newLossyFixture(t *testing.T) *lossyFixture {
	fix := &lossyFixture{t: t, sto: newLossyStore(), now: noon}
	fix.svc = newService(&scriptedStore{}, 0)
	vie := fix.svc.View()
	fix.svc.Store = fix.sto
	fix.svc.View = func() View { return View{Catalog: vie.Catalog, Confirmed: fix.now, LastContact: fix.now} }
	fix.svc.Admit = func(time.Time, *catalog.Queue, job.Spec) (time.Duration, string) { return time.Second, fix.refuses }
	return fix
}

var gateCall = Call{Host: "h", Path: "/g/1", Key: "k"}

func (fix *lossyFixture) submit(want Verdict) {
	fix.t.Helper()
	ans := fix.svc.Submit(context.Background(), fix.now, gateCall, oneStepJob())
	assert.Equal(fix.t, ans.Verdict, want, ans.Reason)
}

func (fix *lossyFixture) submitUnanswered() {
	fix.t.Helper()
	fix.sto.lose = maxAttempts
	fix.submit(VerdictUnknown)
}

func (fix *lossyFixture) cancel(want Verdict) {
	fix.t.Helper()
	ans := fix.svc.Cancel(context.Background(), fix.now, gateCall, "1")
	assert.Equal(fix.t, ans.Verdict, want, ans.Reason)
}

func (fix *lossyFixture) state(want Verdict) {
	fix.t.Helper()
	ans := fix.svc.State(context.Background(), fix.now, gateCall, "1")
	assert.Equal(fix.t, ans.Verdict, want, ans.Reason)
}

// TestCancelBeforeAcceptance guards against a job that runs after its cancelling was
// acknowledged: its submission got no answer, the job isn't stored when it is cancelled, and
// the store carries the submission out later.
func TestCancelBeforeAcceptance(t *testing.T) {
	fix := newLossyFixture(t)
	fix.submitUnanswered()
	fix.cancel(VerdictUnknownJob)
	assert.Assert(t, !fix.sto.carryOut())
	assert.Assert(t, !fix.sto.has("1"))
	fix.state(VerdictUnknownJob)
	// The client's retry may arrive later than the cancellation.
	fix.submit(VerdictRefused)
	assert.Assert(t, !fix.sto.has("1"))
	fix.cancel(VerdictUnknownJob)
}

// TestCancelOfUnknownJobThroughOtherProcess is TestCancelBeforeAcceptance with a process that
// knows nothing of the submission, and with one that submits again at the same time.
func TestCancelOfUnknownJobThroughOtherProcess(t *testing.T) {
	fix, oth := newLossyFixture(t), newLossyFixture(t)
	oth.svc.Store = fix.sto
	fix.submitUnanswered()
	fix.sto.beforeCommit = func() {
		fix.sto.beforeCommit = nil
		oth.cancel(VerdictUnknownJob)
	}
	fix.submit(VerdictRefused)
	assert.Assert(t, !fix.sto.carryOut())
	fix.state(VerdictUnknownJob)
}

// TestCancelMeetsLateSubmission checks a submission that is carried out right before the
// job is fenced: the job is cancelled as usual.
func TestCancelMeetsLateSubmission(t *testing.T) {
	fix := newLossyFixture(t)
	fix.submitUnanswered()
	fix.sto.beforeCommit = func() { fix.sto.carryOut() }
	fix.cancel(VerdictOK)
	assert.Assert(t, fix.sto.items[job.CancelKey("1")].Revision != 0)
	fix.state(VerdictOK)
}

// TestUnansweredCancel guards against a cancelling that is acknowledged though its own write
// got no answer.
func TestUnansweredCancel(t *testing.T) {
	fix := newLossyFixture(t)
	fix.sto.lose = maxAttempts
	fix.cancel(VerdictUnknown)
	assert.Assert(t, fix.sto.carryOut())
	fix.submit(VerdictRefused)
}

// TestRefusalBeforeLateSubmission guards against a job that is refused, and runs by an
// earlier submission that got no answer. The client may submit it again later.
func TestRefusalBeforeLateSubmission(t *testing.T) {
	fix := newLossyFixture(t)
	for range 2 {
		fix.submitUnanswered()
		late := fix.sto.late
		fix.sto.late = nil
		fix.refuses = "full"
		fix.submit(VerdictRefused)
		fix.sto.late = late
		assert.Assert(t, !fix.sto.carryOut())
		fix.state(VerdictUnknownJob)
		fix.refuses = ""
	}
	fix.submit(VerdictOK)
	assert.Assert(t, fix.sto.has("1"))
	fix.refuses = "full"
	fix.submit(VerdictOK)
}

// TestRefusalWithUnansweredFence guards against a refusal that says that the job doesn't run
// while its fence isn't known to be stored.
func TestRefusalWithUnansweredFence(t *testing.T) {
	fix := newLossyFixture(t)
	fix.submitUnanswered()
	fix.refuses, fix.sto.lose = "full", maxAttempts
	fix.submit(VerdictUnknown)
}

// TestRefusalTakesOneCall guards against refusals that cost the store more than an acceptance.
func TestRefusalTakesOneCall(t *testing.T) {
	fix := newLossyFixture(t)
	fix.refuses = "full"
	fix.submit(VerdictRefused)
	fix.sto.commits, fix.sto.reads = 0, 0
	other := oneStepJob()
	other.ID = "2"
	assert.Equal(t, fix.svc.Submit(context.Background(), fix.now, gateCall, other).Verdict, VerdictRefused)
	assert.Equal(t, fix.sto.commits, 1)
	assert.Equal(t, fix.sto.reads, 0)
}

// TestAnswersWhileSubmissionMayBeStored guards against answers that a job doesn't exist, or
// never runs, while an earlier submission through the same process may still be stored.
func TestAnswersWhileSubmissionMayBeStored(t *testing.T) {
	fix := newLossyFixture(t)
	fix.submitUnanswered()
	fix.state(VerdictUnknown)
	vie := fix.svc.View()
	fix.svc.View = func() View { return View{Catalog: vie.Catalog, Confirmed: noon, LastContact: noon.Add(-time.Minute)} }
	fix.submit(VerdictUnknown)
	fix.svc.View = func() View {
		return View{Catalog: vie.Catalog, Confirmed: fix.now, LastContact: fix.now.Add(-time.Minute)}
	}
	fix.now = fix.now.Add(maxWriteDelay)
	fix.state(VerdictUnknownJob)
	fix.submit(VerdictUnavailable)
}

// TestLeaseOfFences checks that fences share a lease that lasts long after each of them, and
// that one that the store has lost is replaced.
func TestLeaseOfFences(t *testing.T) {
	fix := newLossyFixture(t)
	for i := range 12 {
		fix.now = noon.Add(time.Duration(i) * time.Minute)
		fix.cancel(VerdictUnknownJob)
		lea := fix.sto.items[job.FenceKey("1")].Lease
		assert.Equal(t, lea, kv.LeaseID(100+i/5), "after %d minutes", i)
	}
	loseLeases := func() {
		for lea := range fix.sto.leases {
			fix.sto.leases[lea] = false
		}
	}
	loseLeases()
	fix.cancel(VerdictUnknownJob)
	assert.Equal(t, fix.sto.items[job.FenceKey("1")].Lease, kv.LeaseID(103))
	loseLeases()
	fix.refuses = "full"
	other := oneStepJob()
	other.ID = "2"
	assert.Equal(t, fix.svc.Submit(context.Background(), fix.now, gateCall, other).Verdict, VerdictRefused)
	assert.Equal(t, fix.sto.items[job.FenceKey("2")].Lease, kv.LeaseID(104))
}

// TestRefusalByOtherProcess guards against a job that is refused and runs, as an earlier
// submission through another process got no answer and is carried out later.
func TestRefusalByOtherProcess(t *testing.T) {
	fix, oth := newLossyFixture(t), newLossyFixture(t)
	oth.svc.Store = fix.sto
	oth.refuses = "full"
	fix.submitUnanswered()
	oth.submit(VerdictRefused)
	assert.Assert(t, !fix.sto.carryOut())
	assert.Assert(t, !fix.sto.has("1"))
}
