package advisory

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/follow"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Prefix begins the keys under which entries register as askers.
const Prefix = "asker/"

// Times of registrations.
const (
	// registrationTTL is how long an entry that vanished stays registered.
	registrationTTL = 10 * time.Second
	// renewEvery is the time between two renewals.
	renewEvery = 3 * time.Second
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// idlePause is the time between two checks whether advice is needed.
	idlePause = 500 * time.Millisecond
)

// Registration keeps an entry registered while advice is needed.
type Registration struct {
	Store kv.Store
	// Name is the entry's, Address where its relay listens.
	Name    string
	Address string
	// Needed reports whether some queue needs advice.
	Needed func() bool
	Log    *decisionlog.Log
}

// Run keeps the entry registered until the context is done.
func (reg *Registration) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !reg.Needed() {
			clock.Pause(ctx, idlePause)
			continue
		}
		if err := reg.hold(ctx); err != nil && ctx.Err() == nil {
			reg.Log.Event("asker_not_registered", decisionlog.Fields{"error": err.Error()})
			clock.Pause(ctx, renewEvery)
		}
	}
}

// hold registers the entry and renews the registration until it is lost or no
// longer needed.
func (reg *Registration) hold(ctx context.Context) (err error) {
	var lea kv.LeaseID
	call := func(ctx context.Context, call func(context.Context) error) error {
		ask, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return call(ask)
	}
	err = call(ctx, func(ctx context.Context) (err error) { lea, err = reg.Store.Grant(ctx, registrationTTL); return err })
	if err != nil {
		return err
	}
	defer func() {
		end := call(context.WithoutCancel(ctx), func(ctx context.Context) error { return reg.Store.EndLease(ctx, lea) })
		if end != nil && !errors.Is(end, kv.ErrLeaseGone) {
			reg.Log.Event("lease_not_ended", decisionlog.Fields{"lease": lea, "error": end.Error()})
		}
	}()
	txn := kv.Txn{Puts: []kv.Put{{Key: Prefix + reg.Name, Value: []byte(reg.Address), Lease: lea}}}
	if err := call(ctx, func(ctx context.Context) error { _, err := reg.Store.Commit(ctx, txn); return err }); err != nil {
		return err
	}
	reg.Log.Event("asker_registered", decisionlog.Fields{"address": reg.Address, "lease": lea})
	for reg.Needed() {
		clock.Pause(ctx, renewEvery)
		if ctx.Err() != nil {
			return nil
		}
		err := call(ctx, func(ctx context.Context) error { return reg.Store.Renew(ctx, lea) })
		if errors.Is(err, kv.ErrLeaseGone) {
			return err
		}
		if err != nil {
			reg.Log.Event("asker_not_renewed", decisionlog.Fields{"lease": lea, "error": err.Error()})
		}
	}
	return nil
}

// Watcher keeps a pool's askers up to date: those that are registered, and the
// entry's own.
type Watcher struct {
	Store kv.Store
	Pool  *Pool
	// Name is the entry's own, Own its asker.
	Name  string
	Local TicketSource
	// Wait is how long a watch of the registrations waits.
	Wait time.Duration
	Log  *decisionlog.Log
	Now  func() time.Time

	mu        sync.Mutex
	addresses map[string]string
}

// Run follows the registrations until the context is done.
func (wat *Watcher) Run(ctx context.Context) {
	wat.reset(nil)
	fol := &follow.Follower{Store: wat.Store, Prefix: Prefix, Wait: wat.Wait, Log: wat.Log, Now: wat.Now, Reset: wat.reset, Change: wat.change}
	fol.Run(ctx)
}

func (wat *Watcher) reset(items []kv.Item) {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	wat.addresses = map[string]string{}
	for _, itm := range items {
		wat.addresses[strings.TrimPrefix(itm.Key, Prefix)] = string(itm.Value)
	}
	wat.apply()
}

func (wat *Watcher) change(cha kv.Change) {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	name := strings.TrimPrefix(cha.Item.Key, Prefix)
	if cha.Deleted {
		delete(wat.addresses, name)
	} else {
		wat.addresses[name] = string(cha.Item.Value)
	}
	wat.apply()
}

// apply sets the pool's askers, named by address so that an entry that came back
// elsewhere is a new one.
func (wat *Watcher) apply() {
	own := wat.Name
	names := []string{own}
	for name, address := range wat.addresses {
		if name != own {
			names = append(names, address)
		}
	}
	wat.Pool.Set(names, func(name string) TicketSource {
		if name == own {
			return wat.Local
		}
		return dialRemote(name)
	})
}
