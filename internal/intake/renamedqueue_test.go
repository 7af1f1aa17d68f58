package intake

import (
	"context"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// TestJobOutlivesNameOfItsQueue guards against an accepted job that its client can neither query nor
// cancel, as another version of the configuration gives its queue another name, and against one that
// is opened to others by a queue that takes the name over.
func TestJobOutlivesNameOfItsQueue(t *testing.T) {
	gate := catalog.Queue{Name: "gate", Host: "h", Prefix: "/g/", Pool: "lots", MaxAttempts: 3}
	with := func(que catalog.Queue, change func(*catalog.Queue)) catalog.Queue {
		change(&que)
		return que
	}
	renamed := with(gate, func(que *catalog.Queue) { que.Name = "gate-2" })
	moved := with(gate, func(que *catalog.Queue) { que.Prefix = "/g2/" })
	taken := with(gate, func(que *catalog.Queue) { que.Prefix, que.Public = "/o/", true })
	upper := with(renamed, func(que *catalog.Queue) { que.Host = "H" })
	other := with(gate, func(que *catalog.Queue) { que.Name, que.Prefix = "other", "/x/" })
	for _, tst := range []struct {
		name      string
		queues    []catalog.Queue
		path, key string
		want      Verdict
	}{
		{"unchanged", []catalog.Queue{gate}, "/g/", "k", VerdictOK},
		{"unchanged, key of another account", []catalog.Queue{gate}, "/g/", "x", VerdictUnknownJob},
		{"renamed", []catalog.Queue{renamed}, "/g/", "k", VerdictOK},
		{"renamed, host in other case", []catalog.Queue{upper}, "/g/", "k", VerdictOK},
		{"renamed, key of another account", []catalog.Queue{renamed}, "/g/", "x", VerdictUnknownJob},
		{"renamed, through another queue", []catalog.Queue{renamed, other}, "/x/", "k", VerdictUnknownJob},
		{"name taken over", []catalog.Queue{renamed, taken}, "/g/", "k", VerdictOK},
		{"name taken over, through its new queue", []catalog.Queue{renamed, taken}, "/o/", "", VerdictUnknownJob},
		{"name taken over, with the key", []catalog.Queue{renamed, taken}, "/o/", "k", VerdictUnknownJob},
		{"moved", []catalog.Queue{moved}, "/g2/", "k", VerdictOK},
		{"moved, key of another account", []catalog.Queue{moved}, "/g2/", "x", VerdictUnknownJob},
		{"moved and public, without a key", []catalog.Queue{taken}, "/o/", "", VerdictUnknownJob},
	} {
		t.Run(tst.name, func(t *testing.T) {
			sto := &scriptedStore{}
			svc := newService(sto, 0)
			vie := svc.View()
			view := func(queues ...catalog.Queue) {
				vie.Catalog = catalog.New(catalog.Catalog{
					Revision: vie.Catalog.Revision + 1, Queues: queues,
					Accounts: []catalog.Account{{Name: "city", Keys: []string{"k"}}, {Name: "port", Keys: []string{"x"}}},
				})
			}
			svc.View = func() View { return vie }
			view(gate)
			ctx, spe := context.Background(), oneStepJob()
			spe.ID = "1"
			assert.Equal(t, svc.Submit(ctx, noon, Call{Host: "h", Path: "/g/1", Key: "k"}, spe).Verdict, VerdictOK)
			put := sto.commits[0].Puts[0]
			sto.commits, sto.page = nil, kv.Page{Items: []kv.Item{{Key: put.Key, Value: put.Value, Revision: 3}}}
			view(tst.queues...)
			cal := Call{Host: "h", Path: tst.path + "1", Key: tst.key}
			assert.Equal(t, svc.State(ctx, noon, cal, spe.ID).Verdict, tst.want)
			assert.Equal(t, svc.Cancel(ctx, noon, cal, spe.ID).Verdict, tst.want)
			assert.Equal(t, len(sto.commits) == 1, tst.want == VerdictOK)
			if tst.want == VerdictOK {
				assert.Equal(t, sto.commits[0].Puts[0].Key, job.CancelKey(spe.ID))
			}
		})
	}
}
