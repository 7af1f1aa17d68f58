package intake

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// scriptedStore fails commits with the given errors in order, and then
// succeeds. Get finds nothing; Range returns page, whose items are conditions'
// current ones. Leases are always granted.
type scriptedStore struct {
	kv.Store
	errs    []error
	commits []kv.Txn
	page    kv.Page
}

func (sto *scriptedStore) Commit(_ context.Context, txn kv.Txn) (kv.Revision, error) {
	for _, itm := range sto.page.Items {
		for _, cnd := range txn.Conditions {
			if cnd.Key == itm.Key && cnd.Revision != itm.Revision {
				return 0, &kv.ConflictError{Current: []kv.Item{itm}}
			}
		}
	}
	sto.commits = append(sto.commits, txn)
	if len(sto.errs) == 0 {
		return 9, nil
	}
	err := sto.errs[0]
	sto.errs = sto.errs[1:]
	return 0, err
}

func (sto *scriptedStore) Range(context.Context, string, string) (kv.Page, error) {
	return sto.page, nil
}

func (sto *scriptedStore) Grant(context.Context, time.Duration) (kv.LeaseID, error) { return 1, nil }

func (sto *scriptedStore) Get(context.Context, string) (kv.Item, error) {
	return kv.Item{}, kv.ErrNotFound
}

func newService(sto *scriptedStore, age time.Duration) *JobService {
	cat := catalog.New(catalog.Catalog{
		Revision: 7,
		Queues:   []catalog.Queue{{Name: "gate", Host: "h", Prefix: "/g/", Pool: "lots", MaxAttempts: 3}, {Name: "open", Host: "h", Prefix: "/o/", Public: true}},
		Accounts: []catalog.Account{{Name: "city", Keys: []string{"k"}}},
	})
	return &JobService{
		Store: sto, ConfigKey: "config",
		Freshness: func() Freshness {
			return Freshness{Allowed: 1800 * time.Millisecond, Keyed: 3 * time.Second, Denied: 1500 * time.Millisecond, Write: 1300 * time.Millisecond}
		},
		View: func() View { return View{Catalog: cat, Confirmed: noon.Add(-age), LastContact: noon.Add(-age)} },
	}
}

func oneStepJob() job.Spec {
	return job.Spec{ID: "1", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1}}}}
}

// TestStoredJobOutlivesItsQueue guards against accepted jobs that are never started
// because their queue was removed: the pool and the attempts are stored with the
// job.
func TestStoredJobOutlivesItsQueue(t *testing.T) {
	sto := &scriptedStore{}
	ans := newService(sto, 0).Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStepJob())
	assert.Equal(t, ans.Verdict, VerdictOK)
	spe, err := job.Unmarshal[job.Spec](sto.commits[0].Puts[0].Value)
	assert.NilError(t, err)
	assert.Equal(t, spe.Pool, "lots")
	assert.Equal(t, spe.MaxAttempts, 3)
}

// TestSubmitVerdicts checks the verdict of a submission for each sequence of
// store errors.
func TestSubmitVerdicts(t *testing.T) {
	accepted := &kv.ConflictError{Current: []kv.Item{{Key: job.LiveKey("1"), Revision: 5}}}
	changed := &kv.ConflictError{Current: []kv.Item{{Key: "config", Revision: 8}}}
	for name, tst := range map[string]struct {
		errs    []error
		want    Verdict
		commits int
	}{
		"stored":                       {nil, VerdictOK, 1},
		"stored before":                {[]error{accepted}, VerdictOK, 1},
		"configuration changed":        {[]error{changed}, VerdictOK, 2},
		"configuration keeps changing": {[]error{changed, changed, changed}, VerdictUnavailable, 3},
		"refused by the store":         {[]error{kv.ErrNotDone}, VerdictUnavailable, 1},
		"no answer, then stored":       {[]error{kv.ErrUnknown}, VerdictOK, 2},
		"no answer, but stored":        {[]error{kv.ErrUnknown, accepted}, VerdictOK, 2},
		"no answer, then refused":      {[]error{kv.ErrUnknown, kv.ErrNotDone}, VerdictUnknown, 2},
		"no answer, then changed":      {[]error{kv.ErrUnknown, changed}, VerdictOK, 3},
		"never answered":               {[]error{kv.ErrUnknown, kv.ErrUnknown, kv.ErrUnknown}, VerdictUnknown, 3},
	} {
		sto := &scriptedStore{errs: tst.errs}
		ans := newService(sto, 0).Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStepJob())
		assert.Equal(t, ans.Verdict, tst.want, name)
		assert.Equal(t, len(sto.commits), tst.commits, name)
		assert.DeepEqual(t, sto.commits[0].Conditions[2], kv.Condition{Key: "config", Revision: 7})
	}
}

// TestStaleConfiguration checks that a stale configuration makes calls
// unavailable instead of allowing or denying them, and that nothing is written
// while the store is unreachable.
func TestStaleConfiguration(t *testing.T) {
	for _, tst := range []struct {
		age       time.Duration
		path, key string
		want      Verdict
	}{
		{0, "/g/1", "k", VerdictOK},
		{0, "/g/1", "x", VerdictNoKey},
		{0, "/x/1", "k", VerdictNoQueue},
		{0, "/o/1", "", VerdictOK},
		{1400 * time.Millisecond, "/g/1", "k", VerdictUnavailable},
		{1400 * time.Millisecond, "/o/1", "", VerdictUnavailable},
		{1400 * time.Millisecond, "/x/1", "k", VerdictNoQueue},
		{1600 * time.Millisecond, "/x/1", "k", VerdictUnavailable},
		{1600 * time.Millisecond, "/g/1", "x", VerdictUnavailable},
		{3100 * time.Millisecond, "/g/1", "k", VerdictUnavailable},
	} {
		sto := &scriptedStore{}
		ans := newService(sto, tst.age).Submit(context.Background(), noon, Call{Host: "h", Path: tst.path, Key: tst.key}, oneStepJob())
		assert.Equal(t, ans.Verdict, tst.want, "%s %s %s", tst.age, tst.path, tst.key)
		assert.Equal(t, len(sto.commits) > 0, tst.want == VerdictOK)
		if tst.want == VerdictUnavailable {
			assert.Assert(t, ans.RetryAfter > 0)
		}
	}
}

// TestRemovedQueueIsNotServed guards against serving a queue or a key that an
// old view still has, after the time within which a change must be applied.
func TestRemovedQueueIsNotServed(t *testing.T) {
	raw, err := job.Marshal(job.Spec{ID: "1", Queue: "open"})
	assert.NilError(t, err)
	for _, tst := range []struct {
		age       time.Duration
		path, key string
		want      Verdict
	}{
		{1700 * time.Millisecond, "/o/", "", VerdictOK},
		{1700 * time.Millisecond, "/g/", "k", VerdictOK},
		{1900 * time.Millisecond, "/o/", "", VerdictUnavailable},
		{1900 * time.Millisecond, "/g/", "k", VerdictUnavailable},
		{time.Minute, "/o/", "", VerdictUnavailable},
	} {
		svc := newService(&scriptedStore{page: kv.Page{Items: []kv.Item{{Key: job.LiveKey("1"), Value: raw, Revision: 3}}}}, tst.age)
		svc.Pending = func(context.Context, string) (int, error) { return 0, nil }
		cal := Call{Host: "h", Path: tst.path, Key: tst.key}
		assert.Equal(t, svc.CountPending(context.Background(), noon, cal).Verdict, tst.want, "count %s %s", tst.age, tst.path)
		if tst.path == "/o/" {
			assert.Equal(t, svc.State(context.Background(), noon, cal, "1").Verdict, tst.want, "state %s", tst.age)
			assert.Equal(t, svc.Cancel(context.Background(), noon, cal, "1").Verdict, tst.want, "cancel %s", tst.age)
		}
	}
}

// TestRefusalOnlyOfUnknownJobs checks that a job that was accepted before is
// never refused because of load.
func TestRefusalOnlyOfUnknownJobs(t *testing.T) {
	raw, err := job.Marshal(job.Spec{ID: "1", Queue: "gate", Account: "city"})
	assert.NilError(t, err)
	refuse := func(time.Time, *catalog.Queue, job.Spec) (time.Duration, string) { return time.Second, "full" }
	for _, tst := range []struct {
		page kv.Page
		want Verdict
	}{
		{kv.Page{}, VerdictRefused},
		{kv.Page{Items: []kv.Item{{Key: job.LiveKey("1"), Value: raw, Revision: 3}}}, VerdictOK},
	} {
		svc := newService(&scriptedStore{page: tst.page}, 0)
		svc.Admit = refuse
		ans := svc.Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStepJob())
		assert.Equal(t, ans.Verdict, tst.want)
	}
}

// TestSubmitDuringWatch accepts a job while a watch is pending: the
// configuration was confirmed longer ago than the write bound, but the store
// has answered within it.
func TestSubmitDuringWatch(t *testing.T) {
	svc := newService(&scriptedStore{}, 1400*time.Millisecond)
	vie := svc.View()
	vie.LastContact = noon.Add(-700 * time.Millisecond)
	svc.View = func() View { return vie }
	ans := svc.Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStepJob())
	assert.Equal(t, ans.Verdict, VerdictOK)
}

// TestConflictBringsConfiguration guards against conflicts that repeat until a
// watch has brought the newest configuration: the conflict itself holds it.
func TestConflictBringsConfiguration(t *testing.T) {
	sto := &scriptedStore{errs: []error{&kv.ConflictError{Current: []kv.Item{{Key: "config", Revision: 8}}}}}
	svc := newService(sto, 0)
	vie := svc.View()
	svc.View = func() View { return vie }
	svc.Learn = func(itm kv.Item) { vie.Catalog.Revision = int64(itm.Revision) }
	ans := svc.Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStepJob())
	assert.Equal(t, ans.Verdict, VerdictOK)
	assert.Equal(t, len(sto.commits), 2)
	assert.DeepEqual(t, sto.commits[1].Conditions[2], kv.Condition{Key: "config", Revision: 8})
}

// silentStore leaves its first reads unanswered, as on a connection that went
// silent.
type silentStore struct {
	scriptedStore
	silent int
}

func (sto *silentStore) Range(ctx context.Context, prefix, after string) (kv.Page, error) {
	if sto.silent > 0 {
		sto.silent--
		select {
		case <-ctx.Done():
		case <-time.After(AnswerTimeout):
		}
		return kv.Page{}, errors.Join(kv.ErrUnknown, context.DeadlineExceeded)
	}
	return sto.scriptedStore.Range(ctx, prefix, after)
}

// TestRetryOnSilentConnection repeats a read whose connection has gone silent,
// long before the caller's own timeout.
func TestRetryOnSilentConnection(t *testing.T) {
	raw, err := job.Marshal(job.Spec{ID: "1", Queue: "gate", Account: "city"})
	assert.NilError(t, err)
	sto := &silentStore{silent: 1, scriptedStore: scriptedStore{page: kv.Page{Items: []kv.Item{{Key: job.LiveKey("1"), Value: raw, Revision: 3}}}}}
	svc := newService(&sto.scriptedStore, 0)
	svc.Store = sto
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	ans := svc.State(ctx, noon, Call{Host: "h", Path: "/g/1", Key: "k"}, "1")
	assert.Equal(t, ans.Verdict, VerdictOK)
	assert.NilError(t, ctx.Err())
}
