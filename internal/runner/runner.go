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

// Timeouts, intervals and limits of the runner.
const (
	// listInterval is the time between two polls of the platform's list of VMs.
	listInterval = time.Second
	// shutdownTimeout is the time that callers' connections have to finish
	// during a graceful shutdown.
	shutdownTimeout = 10 * time.Second
	// readHeaderTimeout is the time a client has to send its request headers.
	readHeaderTimeout = 5 * time.Second
	// eventQueueLength is the number of events that can be queued for the
	// reducer; Post blocks beyond it.
	eventQueueLength = 8192
)

// Runner runs one entry.
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
	// ready is the result of the load balancer's readiness check.
	ready atomic.Bool
	// config is the configuration in force. It must not be modified.
	config atomic.Pointer[table.Config]

	callers *http.Server
	admin   *http.Server
	// CallersListener, PeerListener and AdminListener are opened by New.
	CallersListener net.Listener
	PeerListener    net.Listener
	AdminListener   net.Listener

	mu sync.Mutex
	// attemptCancels maps each attempt in flight to the function that cancels
	// its context.
	attemptCancels map[attemptKey]context.CancelFunc
	// callsCtx is the parent context of all calls to other processes. It ends
	// when the entry exits.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
	exited      chan struct{}
	exitOnce    sync.Once
}

type attemptKey struct {
	work    work.ID
	attempt int
}

// New opens the listeners of an entry. The caller must then call Run.
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
		log:            logger.WithField("entry", id),
		events:         make(chan event.Event, eventQueueLength),
		exchanges:      exchange.NewTable(),
		clock:          &timeline.Clock{},
		ring:           timeline.NewRing(set.TimelineEvents),
		registry:       metrics.NewRegistry(),
		timers:         map[reflect.Type]metrics.Timer{},
		upstream:       upstream.New(set.ConnectionShare()),
		workers:        workerclient.New(),
		vmlist:         vmlist.New(set.VMList),
		attemptCancels: map[attemptKey]context.CancelFunc{},
		exited:         make(chan struct{}),
	}
	rnr.callsCtx, rnr.cancelCalls = context.WithCancel(context.Background())
	rnr.config.Store(table.Empty())
	rnr.store = etcd.New(set.Store, set.StorePrefix, rnr.registry)
	if err := rnr.listen(); err != nil {
		return nil, err
	}
	hello := peerlink.Hello{
		Version: peerlink.Version, Region: set.Region, ID: id, AZ: set.AZ,
		Address: rnr.PeerListener.Addr().String(),
	}
	rnr.links = peerlink.New(hello, rnr.clock, rnr.partLogger("peerlink"), rnr.Post)
	rnr.callers = &http.Server{Handler: rnr.callersHandler(), ReadHeaderTimeout: readHeaderTimeout}
	rnr.admin = &http.Server{Handler: rnr.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	return rnr, nil
}

// randomIDBytes is the length of the random suffix of an entry's ID before hex
// encoding.
const randomIDBytes = 4

// newID returns the name of an entry with a random suffix, so that a restarted
// entry has another ID.
func newID(name string) (id string, err error) {
	random := make([]byte, randomIDBytes)
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

// partLogger returns a logger for one component of the entry. The component is
// logged in the field part.
func (rnr *Runner) partLogger(name string) *logrus.Entry {
	return rnr.log.WithField("part", name)
}

// ID returns the entry's ID.
func (rnr *Runner) ID() string { return rnr.id }

// Post queues an event for the reducer. It blocks while the queue is full, and
// drops the event once the entry has exited.
func (rnr *Runner) Post(evt event.Event) {
	select {
	case rnr.events <- evt:
	case <-rnr.callsCtx.Done():
	}
}

// Shutdown starts a graceful shutdown.
func (rnr *Runner) Shutdown() { rnr.Post(event.ShutdownRequested{}) }

// Kill stops the entry immediately, without a graceful shutdown. Tests use it
// to simulate the loss of the entry's VM.
func (rnr *Runner) Kill() { rnr.exit() }

// Run runs the entry until it has shut down.
func (rnr *Runner) Run() error {
	var grp run.Group
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error { return rnr.loop(ctx) }, func(error) { cancel() })
	grp.Add(func() error { return waitAfterShutdown(rnr.callers.Serve(rnr.CallersListener), rnr.exited) }, func(error) {
		_ = rnr.callers.Close()
	})
	grp.Add(func() error { return waitAfterShutdown(rnr.admin.Serve(rnr.AdminListener), rnr.exited) }, func(error) {
		_ = rnr.admin.Close()
	})
	grp.Add(func() error { return rnr.links.Serve(rnr.PeerListener) }, func(error) { _ = rnr.PeerListener.Close() })
	grp.Add(func() error { return rnr.listVMs(ctx) }, func(error) { cancel() })
	grp.Add(func() error { return rnr.watchConfig(ctx) }, func(error) { cancel() })
	rnr.links.SetAddresses(ctx, rnr.set.Peers)
	err := grp.Run()
	rnr.cancelCalls()
	select {
	case <-rnr.exited:
		return nil
	default:
		return err
	}
}

// waitAfterShutdown handles the error with which a server ended. After a
// graceful shutdown it waits until the entry exits and returns nil: the run
// group stops all actors as soon as one returns, so an earlier return would stop
// the entry. Any other error is returned at once.
func waitAfterShutdown(err error, exited <-chan struct{}) error {
	if err != http.ErrServerClosed {
		return err
	}
	<-exited
	return nil
}

// loop passes queued events and ticks to the reducer until the entry exits.
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
		// Any event can change the time within which the next tick is due.
		tick.Reset(time.Until(tickedAt.Add(sta.TickWithin())))
	}
}

// step passes one event to the reducer and carries out the resulting effects.
func (rnr *Runner) step(sta entry.State, evt event.Event) entry.State {
	began := time.Now()
	next, effs := entry.Reduce(began, sta, evt)
	rnr.timerOf(evt).UpdateSince(began)
	for _, eff := range effs {
		rnr.execute(eff)
	}
	return next
}

// timerNames maps event types to their metric names where these differ from the
// name of the type, so that renaming a type does not rename its metric.
var timerNames = map[reflect.Type]string{
	reflect.TypeFor[event.MessageReceived]():   "peersaid",
	reflect.TypeFor[event.VMsListed]():         "fleetlisted",
	reflect.TypeFor[event.StoreCallEnded]():    "storeanswered",
	reflect.TypeFor[event.TaskQueried]():       "taskasked",
	reflect.TypeFor[event.ChangeRequested]():   "operatorasked",
	reflect.TypeFor[event.StatusRequested]():   "statusasked",
	reflect.TypeFor[event.ShutdownRequested](): "shutdownasked",
}

// timerOf returns the timer metric for an event's type. It is not safe for
// concurrent use: only loop calls it.
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

// exit makes Run return and cancels all calls to other processes.
func (rnr *Runner) exit() {
	rnr.exitOnce.Do(func() {
		rnr.cancelCalls()
		close(rnr.exited)
	})
}

// listVMs polls the platform's list of VMs and posts an event when it changes.
func (rnr *Runner) listVMs(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	var previous []vm.VM
	for {
		vms, err := rnr.vmlist.List(ctx)
		switch {
		case err == nil && (previous == nil || !slices.Equal(previous, vms)):
			previous = vms
			rnr.Post(event.VMsListed{VMs: vms})
			ids := make(map[string]bool, len(vms))
			for _, listed := range vms {
				ids[listed.ID] = true
			}
			rnr.upstream.RetainOnly(ids)
		case err != nil && ctx.Err() == nil:
			rnr.partLogger("platform").WithError(err).Debug("Failed to read the platform's list of VMs.")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// watchConfig posts an event whenever the head of the configuration changes in
// the store. It restarts the watch a second after it ends.
func (rnr *Runner) watchConfig(ctx context.Context) error {
	for ctx.Err() == nil {
		err := rnr.store.Watch(ctx, store.KeyConfigHead, func() { rnr.Post(event.StoreChanged{}) })
		rnr.partLogger("store").WithError(err).Debug("The watch of the configuration ended.")
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
	return nil
}
