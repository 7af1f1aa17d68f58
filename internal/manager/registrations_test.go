package manager

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"gotest.tools/v3/assert"
)

// TestVMGoneWithHistory guards against a VM that stays registered because its
// registration was found by a watch and went away while the history was lost.
func TestVMGoneWithHistory(t *testing.T) {
	ctx := context.Background()
	dis := &dispatcher{nod: &Node{log: decisionlog.New(io.Discard, "test", time.Now), now: time.Now}, events: make(chan arrival, 100)}
	reg := newRegistrations(dis)
	item := func(id string, revision kv.Revision) kv.Item {
		return kv.Item{
			Key: "servers/" + id, Revision: revision,
			Value: site.Registration("10.0.0.1:80"),
		}
	}
	sent := func() (all []string) {
		for len(dis.events) > 0 {
			switch evt := (<-dis.events).event.(type) {
			case scheduler.VMRegistered:
				all = append(all, "+"+evt.VM.ID)
			case scheduler.VMUnregistered:
				all = append(all, "-"+evt.ID)
			default:
				t.Fatalf("event %T", evt)
			}
		}
		return all
	}
	reg.reset(ctx, []kv.Item{item("listed", 1)})
	reg.change(ctx, kv.Change{Item: item("watched", 2)})
	odd := kv.Item{Key: "servers/odd", Revision: 3, Value: []byte("[[[")}
	reg.change(ctx, kv.Change{Item: odd})
	assert.DeepEqual(t, sent(), []string{"+listed", "+watched", "-odd"})
	reg.reset(ctx, []kv.Item{item("listed", 1), odd})
	assert.DeepEqual(t, sent(), []string{"+listed", "-odd", "-watched"})
	reg.change(ctx, kv.Change{Item: item("odd", 5)})
	reg.change(ctx, kv.Change{Item: kv.Item{Key: "servers/listed", Revision: 6}, Deleted: true})
	reg.reset(ctx, nil)
	assert.DeepEqual(t, sent(), []string{"+odd", "-listed", "-odd"})
}

// TestOlderRegistrationAfterList guards against a VM that is taken for its former
// life, or for gone, by a change that its listed registration already includes.
// The pages of a list are not a snapshot, and the watch begins at the first.
func TestOlderRegistrationAfterList(t *testing.T) {
	ctx := context.Background()
	dis := &dispatcher{nod: &Node{log: decisionlog.New(io.Discard, "test", time.Now), now: time.Now}, events: make(chan arrival, 100)}
	reg := newRegistrations(dis)
	item := func(port int, revision kv.Revision) kv.Item {
		return kv.Item{
			Key: "servers/vm", Revision: revision,
			Value: site.Registration(fmt.Sprintf("10.0.0.1:%d", port)),
		}
	}
	addresses := func() (all []string) {
		for len(dis.events) > 0 {
			if evt, ok := (<-dis.events).event.(scheduler.VMRegistered); ok {
				all = append(all, evt.VM.Address)
			} else {
				all = append(all, "gone")
			}
		}
		return all
	}
	reg.reset(ctx, []kv.Item{item(3, 30)})
	reg.change(ctx, kv.Change{Item: item(1, 10)})
	reg.change(ctx, kv.Change{Item: kv.Item{Key: "servers/vm", Revision: 20}, Deleted: true})
	reg.change(ctx, kv.Change{Item: item(3, 30)})
	assert.DeepEqual(t, addresses(), []string{"10.0.0.1:3"})
	reg.change(ctx, kv.Change{Item: kv.Item{Key: "servers/vm", Revision: 40}, Deleted: true})
	reg.change(ctx, kv.Change{Item: item(4, 50)})
	reg.reset(ctx, []kv.Item{item(4, 50)})
	reg.reset(ctx, nil)
	assert.DeepEqual(t, addresses(), []string{"gone", "10.0.0.1:4", "10.0.0.1:4", "gone"})
}
