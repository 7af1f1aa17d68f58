package runner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/entry"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/core/work"
	"github.com/balsamgauge/balsamgauge/internal/etcd"
	"github.com/balsamgauge/balsamgauge/internal/exchange"
	"github.com/balsamgauge/balsamgauge/internal/peerlink"
	"github.com/balsamgauge/balsamgauge/internal/settings"
	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"github.com/balsamgauge/balsamgauge/internal/upstream"
	"github.com/balsamgauge/balsamgauge/internal/vmlist"
	"github.com/balsamgauge/balsamgauge/internal/workerclient"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// Timing of the runner.
const (
	// listEvery is the time between two readings of the platform's list.
	listEvery = time.Second
	// shutdownTimeout bounds the end of the callers' connections.
	shutdownTimeout = 10 * time.Second
	// readHeaderTimeout bounds how long a caller may take to send headers.
	readHeaderTimeout = 5 * time.Second
	// eventQueue is the number of events that may wait for the reducer.
	eventQueue = 8192
)

// Runner is one entry process.
type Runner struct {
	set       settings.Settings
	id        string
	log       *logrus.Entry
	events    chan event.Event
	exchanges *exchange.Table
	clock     *timeline.Clock
	ring      *timeline.Ring
	registry  metrics.Registry
	timers    map[reflect.Type]metrics.Timer
	links     *peerlink.Links
	store     *etcd.Client
	upstream  *upstream.Client
	workers   *workerclient.Client
	vmlist    *vmlist.Client
	ready     atomic.Bool
	config    atomic.Pointer[table.Config]

	callers *http.Server
	admin   *http.Server
	// CallersListener, PeerListener and AdminListener are open from New on.
	CallersListener net.Listener
	PeerListener    net.Listener
	AdminListener   net.Listener

	mu     sync.Mutex
	aborts map[attemptKey]context.CancelFunc
	// calls ends when the loop does, and every call with it.
	calls    context.Context
	endCalls context.CancelFunc
	exited   chan struct{}
	exitOnce sync.Once
}

type attemptKey struct {
	work    work.ID
	attempt int
}

// New opens the listeners of an entry. Run must follow.
func New(set settings.Settings, logger *logrus.Logger) (rnr *Runner, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start entry %s: %w", set.Name, err)
		}
	}()
	id, err := newID(set.Name)
	if err != nil {
		return nil, err
	}
	rnr = &Runner{
		set: set, id: id,
		log:       logger.WithField("entry", id),
		events:    make(chan event.Event, eventQueue),
		exchanges: exchange.NewTable(),
		clock:     &timeline.Clock{},
		ring:      timeline.NewRing(set.TimelineEvents),
		registry:  metrics.NewRegistry(),
		timers:    map[reflect.Type]metrics.Timer{},
		upstream:  upstream.New(set.ConnectionsPerVM()),
		workers:   workerclient.New(),
		vmlist:    vmlist.New(set.VMList),
		aborts:    map[attemptKey]context.CancelFunc{},
		exited:    make(chan struct{}),
	}
	rnr.calls, rnr.endCalls = context.WithCancel(context.Background())
	rnr.config.Store(table.Empty())
	rnr.store = etcd.New(set.Store, set.StorePrefix, rnr.registry)
	if err := rnr.listen(); err != nil {
		return nil, err
	}
	hello := peerlink.Hello{
		Version: peerlink.Version, Region: set.Region, ID: id, AZ: set.AZ,
		Address: rnr.PeerListener.Addr().String(),
	}
	rnr.links = peerlink.New(hello, rnr.clock, rnr.part("peerlink"), rnr.Post)
	rnr.callers = &http.Server{Handler: rnr.callersHandler(), ReadHeaderTimeout: readHeaderTimeout}
	rnr.admin = &http.Server{Handler: rnr.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	return rnr, nil
}

// idBytes is the length of the random part of an entry's ID.
const idBytes = 4

func newID(name string) (id string, err error) {
	random := make([]byte, idBytes)
	if _, err := rand.Read(random); err != nil {
		return "", err
	}
	return name + "-" + hex.EncodeToString(random), nil
}

func (rnr *Runner) listen() (err error) {
	if rnr.CallersListener, err = net.Listen("tcp", rnr.set.Callers); err != nil {
		return err
	}
	if rnr.PeerListener, err = net.Listen("tcp", rnr.set.PeerListener); err != nil {
		return err
	}
	rnr.AdminListener, err = net.Listen("tcp", rnr.set.Admin)
	return err
}

func (rnr *Runner) part(name string) *logrus.Entry {
	return rnr.log.WithField("part", name)
}

// ID returns the entry's ID.
func (rnr *Runner) ID() string { return rnr.id }

// Post feeds an event to the entry. It blocks while too many wait, and drops
// the event once the entry has exited.
func (rnr *Runner) Post(evt event.Event) {
	select {
	case rnr.events <- evt:
	case <-rnr.calls.Done():
	}
}

// Shutdown begins the graceful shutdown.
func (rnr *Runner) Shutdown() { rnr.Post(event.ShutdownRequested{}) }

// Kill ends the entry at once, as a lost VM would. Tests use it.
func (rnr *Runner) Kill() { rnr.exit() }

// Run drives the entry until it has shut down.
func (rnr *Runner) Run() error {
	var grp run.Group
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error { return rnr.loop(ctx) }, func(error) { cancel() })
	grp.Add(func() error { return ignoreClosed(rnr.callers.Serve(rnr.CallersListener), rnr.exited) }, func(error) {
		_ = rnr.callers.Close()
	})
	grp.Add(func() error { return ignoreClosed(rnr.admin.Serve(rnr.AdminListener), rnr.exited) }, func(error) {
		_ = rnr.admin.Close()
	})
	grp.Add(func() error { return rnr.links.Serve(rnr.PeerListener) }, func(error) { _ = rnr.PeerListener.Close() })
	grp.Add(func() error { return rnr.listVMs(ctx) }, func(error) { cancel() })
	grp.Add(func() error { return rnr.watchConfig(ctx) }, func(error) { cancel() })
	rnr.links.Want(ctx, rnr.set.Peers)
	err := grp.Run()
	rnr.endCalls()
	select {
	case <-rnr.exited:
		return nil
	default:
		return err
	}
}

// ignoreClosed waits, after a server was shut down gracefully, for the entry
// to exit, so that the other actors go on until then.
func ignoreClosed(err error, exited <-chan struct{}) error {
	if err != http.ErrServerClosed {
		return err
	}
	<-exited
	return nil
}

func (rnr *Runner) loop(ctx context.Context) error {
	seed := make([]byte, 8)
	if _, err := rand.Read(seed); err != nil {
		return err
	}
	sta := entry.New(entry.Settings{
		ID:                   rnr.id,
		Address:              rnr.PeerListener.Addr().String(),
		AZ:                   rnr.set.AZ,
		VM:                   rnr.set.VM,
		Seed:                 binary.LittleEndian.Uint64(seed),
		StoreWritesPerSecond: rnr.set.StoreWritesPerSecond,
	})
	sta = rnr.step(sta, event.Started{})
	tick := time.NewTimer(sta.TickWithin())
	defer tick.Stop()
	tickedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-rnr.exited:
			return nil
		case evt := <-rnr.events:
			sta = rnr.step(sta, evt)
		case <-tick.C:
			sta = rnr.step(sta, event.Tick{})
			tickedAt = time.Now()
		}
		tick.Reset(time.Until(tickedAt.Add(sta.TickWithin())))
	}
}

// step feeds one event to the reducer and carries out the effects.
func (rnr *Runner) step(sta entry.State, evt event.Event) entry.State {
	began := time.Now()
	next, effs := entry.Reduce(began, sta, evt)
	rnr.timerOf(evt).UpdateSince(began)
	for _, eff := range effs {
		rnr.carryOut(eff)
	}
	return next
}

// timerNames holds the metric names of event types that differ from the name of
// the type, so that renaming a type leaves its metric as it was.
var timerNames = map[reflect.Type]string{
	reflect.TypeFor[event.MessageReceived]():   "peersaid",
	reflect.TypeFor[event.TaskQueried]():       "taskasked",
	reflect.TypeFor[event.ChangeRequested]():   "operatorasked",
	reflect.TypeFor[event.StatusRequested]():   "statusasked",
	reflect.TypeFor[event.ShutdownRequested](): "shutdownasked",
}

// timerOf returns the metric of an event's type. Only the loop calls it.
func (rnr *Runner) timerOf(evt event.Event) metrics.Timer {
	kind := reflect.TypeOf(evt)
	timer, ok := rnr.timers[kind]
	if !ok {
		name, renamed := timerNames[kind]
		if !renamed {
			name = strings.ToLower(kind.Name())
		}
		timer = metrics.GetOrRegisterTimer("reducer."+name, rnr.registry)
		rnr.timers[kind] = timer
	}
	return timer
}

func (rnr *Runner) exit() {
	rnr.exitOnce.Do(func() {
		rnr.endCalls()
		close(rnr.exited)
	})
}

func (rnr *Runner) listVMs(ctx context.Context) error {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	var told []vm.VM
	for {
		vms, err := rnr.vmlist.List(ctx)
		switch {
		case err == nil && (told == nil || !slices.Equal(told, vms)):
			told = vms
			rnr.Post(event.FleetListed{VMs: vms})
			kept := make(map[string]bool, len(vms))
			for _, one := range vms {
				kept[one.ID] = true
			}
			rnr.upstream.Keep(kept)
		case err != nil && ctx.Err() == nil:
			rnr.part("platform").WithError(err).Debug("The list of VMs could not be read.")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (rnr *Runner) watchConfig(ctx context.Context) error {
	for ctx.Err() == nil {
		err := rnr.store.Watch(ctx, store.KeyConfigHead, func() { rnr.Post(event.StoreChanged{}) })
		rnr.part("store").WithError(err).Debug("The watch ended.")
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	return nil
}
