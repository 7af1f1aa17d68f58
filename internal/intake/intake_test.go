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

// scriptedStore answers commits with errors in turn, then with success. Reads
// find nothing.
type scriptedStore struct {
	kv.Store
	errs    []error
	commits []kv.Txn
	page    kv.Page
}

func (sto *scriptedStore) Commit(_ context.Context, txn kv.Txn) (kv.Revision, error) {
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

func (sto *scriptedStore) Get(context.Context, string) (kv.Item, error) {
	return kv.Item{}, kv.ErrNotFound
}

func newDesk(sto *scriptedStore, age time.Duration) *JobService {
	cat := catalog.New(catalog.Catalog{
		Revision: 7,
		Queues:   []catalog.Queue{{Name: "gate", Host: "h", Prefix: "/g/"}, {Name: "open", Host: "h", Prefix: "/o/", Public: true}},
		Accounts: []catalog.Account{{Name: "city", Keys: []string{"k"}}},
	})
	return &JobService{
		Store: sto, ConfigKey: "config",
		Freshness: func() Freshness {
			return Freshness{Keyed: 3 * time.Second, Denied: 1500 * time.Millisecond, Write: 1300 * time.Millisecond}
		},
		View: func() View { return View{Catalog: cat, Confirmed: noon.Add(-age), LastContact: noon.Add(-age)} },
	}
}

func oneStep() job.Spec {
	return job.Spec{ID: "1", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1}}}}
}

// TestSubmitVerdicts tells what became of a job for each answer of the store.
func TestSubmitVerdicts(t *testing.T) {
	accepted := &kv.ConflictError{Current: []kv.Item{{Key: job.LiveKey("1"), Revision: 5}}}
	changed := &kv.ConflictError{Current: []kv.Item{{Key: "config", Revision: 8}}}
	for name, tst := range map[string]struct {
		errs    []error
		want    Verdict
		commits int
	}{
		"stored":                         {nil, VerdictOK, 1},
		"stored before":                  {[]error{accepted}, VerdictOK, 1},
		"configuration changed":          {[]error{changed}, VerdictOK, 2},
		"configuration changed for ever": {[]error{changed, changed, changed}, VerdictUnavailable, 3},
		"refused by the store":           {[]error{kv.ErrNotDone}, VerdictUnavailable, 1},
		"no answer, then stored":         {[]error{kv.ErrUnknown}, VerdictOK, 2},
		"no answer, but stored":          {[]error{kv.ErrUnknown, accepted}, VerdictOK, 2},
		"no answer, then refused":        {[]error{kv.ErrUnknown, kv.ErrNotDone}, VerdictUnknown, 2},
		"no answer, then changed":        {[]error{kv.ErrUnknown, changed}, VerdictOK, 3},
		"never an answer":                {[]error{kv.ErrUnknown, kv.ErrUnknown, kv.ErrUnknown}, VerdictUnknown, 3},
	} {
		sto := &scriptedStore{errs: tst.errs}
		ans := newDesk(sto, 0).Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStep())
		assert.Equal(t, ans.Verdict, tst.want, name)
		assert.Equal(t, len(sto.commits), tst.commits, name)
		assert.DeepEqual(t, sto.commits[0].Conditions[2], kv.Condition{Key: "config", Revision: 7})
	}
}

// TestAgeOfTheConfiguration refuses what an old configuration can't decide. A
// write that the store can't take is refused unsent.
func TestAgeOfTheConfiguration(t *testing.T) {
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
		ans := newDesk(sto, tst.age).Submit(context.Background(), noon, Call{Host: "h", Path: tst.path, Key: tst.key}, oneStep())
		assert.Equal(t, ans.Verdict, tst.want, "%s %s %s", tst.age, tst.path, tst.key)
		assert.Equal(t, len(sto.commits) > 0, tst.want == VerdictOK)
		if tst.want == VerdictUnavailable {
			assert.Assert(t, ans.RetryAfter > 0)
		}
	}
}

// TestRefusalIsTrue refuses by load only what no store knows.
func TestRefusalIsTrue(t *testing.T) {
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
		des := newDesk(&scriptedStore{page: tst.page}, 0)
		des.Admit = refuse
		ans := des.Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStep())
		assert.Equal(t, ans.Verdict, tst.want)
	}
}

// TestWatchThatWaits accepts jobs while the store has answered of late, however
// long its watch has waited.
func TestWatchThatWaits(t *testing.T) {
	des := newDesk(&scriptedStore{}, 1400*time.Millisecond)
	vie := des.View()
	vie.LastContact = noon.Add(-700 * time.Millisecond)
	des.View = func() View { return vie }
	ans := des.Submit(context.Background(), noon, Call{Host: "h", Path: "/g/1", Key: "k"}, oneStep())
	assert.Equal(t, ans.Verdict, VerdictOK)
}

// silentStore answers nothing on its first connections.
type silentStore struct {
	scriptedStore
	silent int
}

func (sto *silentStore) Range(ctx context.Context, prefix, after string) (kv.Page, error) {
	if sto.silent > 0 {
		sto.silent--
		<-ctx.Done()
		return kv.Page{}, errors.Join(kv.ErrUnknown, ctx.Err())
	}
	return sto.scriptedStore.Range(ctx, prefix, after)
}

// TestSilentConnection asks the store again when a connection to it has gone
// silent, long before the caller gives up.
func TestSilentConnection(t *testing.T) {
	raw, err := job.Marshal(job.Spec{ID: "1", Queue: "gate", Account: "city"})
	assert.NilError(t, err)
	sto := &silentStore{silent: 1, scriptedStore: scriptedStore{page: kv.Page{Items: []kv.Item{{Key: job.LiveKey("1"), Value: raw, Revision: 3}}}}}
	des := newDesk(&sto.scriptedStore, 0)
	des.Store = sto
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	ans := des.State(ctx, noon, Call{Host: "h", Path: "/g/1", Key: "k"}, "1")
	assert.Equal(t, ans.Verdict, VerdictOK)
	assert.NilError(t, ctx.Err())
}
