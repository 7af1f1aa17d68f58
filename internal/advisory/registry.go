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
	"github.com/balsamgauge/balsamgauge/internal/transport"
)

// Prefix is the prefix of the keys under which entries register the addresses
// of their relays.
const Prefix = "asker/"

// Timing of registrations.
const (
	// registrationTTL is how long an entry that vanished stays registered.
	registrationTTL = 10 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 3 * time.Second
	// callTimeout bounds a call to the store.
	callTimeout = time.Second
	// neededPollInterval is the time between two checks whether advice is
	// needed.
	neededPollInterval = 500 * time.Millisecond
)

var errNoAddress = errors.New("not a host with a port")

// Registration keeps an entry registered while advice is needed.
type Registration struct {
	Store kv.Store
	// Name is the entry's name, Address the address of its relay.
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
			clock.Pause(ctx, neededPollInterval)
			continue
		}
		if err := reg.keepRegistered(ctx); err != nil && ctx.Err() == nil {
			reg.Log.Event("asker_not_registered", decisionlog.Fields{"error": err.Error()})
			clock.Pause(ctx, renewInterval)
		}
	}
}

// keepRegistered registers the entry and renews the registration until it is
// lost or no longer needed, or until the context is done. Then it revokes the
// lease, which removes the registration.
func (reg *Registration) keepRegistered(ctx context.Context) (err error) {
	var lea kv.LeaseID
	withTimeout := func(ctx context.Context, call func(context.Context) error) error {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return call(callCtx)
	}
	err = withTimeout(ctx, func(ctx context.Context) (err error) { lea, err = reg.Store.Grant(ctx, registrationTTL); return err })
	if err != nil {
		return err
	}
	defer func() {
		end := withTimeout(context.WithoutCancel(ctx), func(ctx context.Context) error { return reg.Store.Revoke(ctx, lea) })
		if end != nil && !errors.Is(end, kv.ErrLeaseGone) {
			reg.Log.Event("lease_not_ended", decisionlog.Fields{"lease": lea, "error": end.Error()})
		}
	}()
	txn := kv.Txn{Puts: []kv.Put{{Key: Prefix + reg.Name, Value: []byte(reg.Address), Lease: lea}}}
	if err := withTimeout(ctx, func(ctx context.Context) error { _, err := reg.Store.Commit(ctx, txn); return err }); err != nil {
		return err
	}
	reg.Log.Event("asker_registered", decisionlog.Fields{"address": reg.Address, "lease": lea})
	for reg.Needed() {
		clock.Pause(ctx, renewInterval)
		if ctx.Err() != nil {
			return nil
		}
		err := withTimeout(ctx, func(ctx context.Context) error { return reg.Store.Renew(ctx, lea) })
		if errors.Is(err, kv.ErrLeaseGone) {
			return err
		}
		if err != nil {
			reg.Log.Event("asker_not_renewed", decisionlog.Fields{"lease": lea, "error": err.Error()})
		}
	}
	return nil
}

// Watcher keeps a pool's sources up to date: the entry's own, and the relays of
// the registered entries.
type Watcher struct {
	Store kv.Store
	Pool  *Pool
	// Name is the name of the entry itself, Local its source.
	Name  string
	Local TicketSource
	// Wait is how long one watch of the registrations may last.
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
		wat.register(itm)
	}
	wat.updatePool()
}

func (wat *Watcher) change(cha kv.Change) {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	name := strings.TrimPrefix(cha.Item.Key, Prefix)
	if cha.Deleted {
		delete(wat.addresses, name)
	} else {
		wat.register(cha.Item)
	}
	wat.updatePool()
}

// register keeps the address of a relay. A value that is no address names none.
func (wat *Watcher) register(itm kv.Item) {
	name, address := strings.TrimPrefix(itm.Key, Prefix), string(itm.Value)
	delete(wat.addresses, name)
	if !transport.IsAddress(address) {
		wat.Log.Ignored(itm.Key, int64(itm.Revision), errNoAddress)
		return
	}
	wat.addresses[name] = address
}

// updatePool sets the pool's sources. Those of other entries are named by
// address, so that an entry that returns at another address is a new source.
func (wat *Watcher) updatePool() {
	local := wat.Name
	names := []string{local}
	for name, address := range wat.addresses {
		if name != local {
			names = append(names, address)
		}
	}
	wat.Pool.Set(names, func(name string) TicketSource {
		if name == local {
			return wat.Local
		}
		return dialRemote(name)
	})
}
