package manager

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/advisory"
	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/election"
	"github.com/balsamgauge/balsamgauge/internal/follow"
	"github.com/balsamgauge/balsamgauge/internal/hedge"
	"github.com/balsamgauge/balsamgauge/internal/intake"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/platform"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
)

// Bounds on the age of the configuration. Unless they say otherwise, fractions
// are relative to the time within which a withdrawn key must stop working.
const (
	// keyedAgeFraction bounds the age for calls with a key. It leaves time for
	// the write that a call may still make.
	keyedAgeFraction = 0.6
	// allowedAgeFraction and deniedAgeFraction bound the age for answers that
	// allow or deny a call, relative to the time within which a change must be
	// in force.
	allowedAgeFraction = 0.9
	deniedAgeFraction  = 0.75
	// maxWriteSilence bounds how long the store may have been silent when a
	// write is sent. It is a little longer than a watch of the operator's keys
	// takes.
	maxWriteSilence = 1300 * time.Millisecond
	// readyAgeFraction bounds the age for readiness: beyond it the load
	// balancer must send its calls to other processes.
	readyAgeFraction = 0.45
)

// operatorWait is how long one watch of the operator's keys waits. It bounds
// the age of the configuration while nothing changes.
const operatorWait = 700 * time.Millisecond

// dutyWait is how long one watch of the duty waits.
const dutyWait = 2 * time.Second

// Node is the process on an entry VM.
type Node struct {
	set       atomic.Pointer[platform.Settings]
	log       *decisionlog.Log
	now       func() time.Time
	store     *platform.Store
	executors *platform.Executors
	// repeats has connections of its own for the calls to VMs that are repeated, as
	// those of executors may be silent, or all be taken by tries without an answer.
	repeats *platform.Executors
	// calls makes the calls to VMs that may be repeated.
	calls    *hedge.Caller
	machines *platform.Machines
	relay    *advisory.Relay
	operator *operatorView
	load     *loadView
	election *election.Elector
	metrics  metrics.Registry
}

// New returns a node with the given settings that logs to out.
func New(set platform.Settings, out io.Writer) (nod *Node, err error) {
	clo, err := clock.New()
	if err != nil {
		return nil, err
	}
	log := decisionlog.New(out, set.Name, clo.Now)
	nod = &Node{
		log: log, now: clo.Now, store: platform.NewStore(set.Store), executors: platform.NewExecutors(), repeats: platform.NewRepeatExecutors(),
		machines: platform.NewMachines(set.Machines, scheduler.MaxOrderTransit), relay: advisory.NewRelay(platform.NewAdvisor(set.Advisor), log),
		operator: newOperatorView(log, clo.Now), load: &loadView{log: log, now: clo.Now}, metrics: metrics.NewRegistry(),
	}
	nod.calls = hedge.NewCaller(time.Now, nod.metrics, nod.logRepeats)
	nod.set.Store(&set)
	nod.election = election.New(election.Options{Store: nod.store, Name: set.Name, CPUShare: set.CPUShare, Log: log, Now: clo.Now, Dispatch: nod.dispatch, EndTimeout: nod.endTimeout})
	return nod, nil
}

// Run runs the process until the context is done, and then shuts it down
// gracefully.
func (nod *Node) Run(ctx context.Context) (err error) {
	defer func() {
		nod.log.Event("stopped", decisionlog.Fields{"error": fmt.Sprint(err)})
	}()
	nod.log.Event("started", decisionlog.Fields{"az": nod.settings().AZ, "callers": nod.settings().Callers, "store": nod.settings().Store, "pid": os.Getpid()})
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	// The duty is released first, so that another process takes it over while
	// this one finishes its open calls. What the dispatcher and the calls rely on goes on
	// until then.
	dutyCtx, releaseDuty := context.WithCancel(workCtx)
	defer releaseDuty()
	var group run.Group
	dutyReleased := make(chan struct{})
	group.Add(func() error {
		defer stop()
		defer close(dutyReleased)
		nod.election.Run(dutyCtx)
		return nil
	}, func(error) { releaseDuty() })
	nod.addFollowers(workCtx, &group)
	for _, srv := range []struct {
		address string
		handler http.Handler
	}{
		{nod.settings().Callers, nod.ingress()},
		{nod.settings().Ready, http.HandlerFunc(nod.ready(ctx))},
		{nod.internalAddress(), nod.internal()},
	} {
		if err := nod.addServer(&group, srv.address, srv.handler, dutyReleased); err != nil {
			return err
		}
	}
	registration := &advisory.Registration{Store: nod.store, Name: nod.settings().Name, Address: nod.internalAddress(), Needed: nod.needsAdvice, Log: nod.log}
	// releaseDuty, the interrupt function of the election, also ends the
	// registration.
	group.Add(func() error { registration.Run(dutyCtx); return nil }, func(error) {})
	group.Add(func() error { nod.followSettings(workCtx); return nil }, func(error) {})
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) {})
	return group.Run()
}

// endTimeout returns how long the dispatcher may go on when the duty is given up.
func (nod *Node) endTimeout() time.Duration {
	return fraction(nod.settings().Bounds.Grace, endFraction)
}

// addFollowers follows the operator's keys and those of the duty until the context is done.
func (nod *Node) addFollowers(ctx context.Context, group *run.Group) {
	for _, fol := range []*follow.Follower{
		{
			Store: nod.store, Prefix: platform.OperatorPrefix, Wait: operatorWait, ListAfterFailure: true, Log: nod.log, Now: nod.now,
			Reset: nod.operator.reset, Change: nod.operator.change, Confirmed: nod.operator.confirm,
		},
		{Store: nod.store, Prefix: duty.Prefix, Wait: dutyWait, Log: nod.log, Now: nod.now, Reset: nod.dutyReset, Change: nod.dutyChanged},
	} {
		group.Add(func() error { fol.Run(ctx); return nil }, func(error) {})
	}
}

// shutdownFraction is the part of the grace time for which open calls may
// continue.
const shutdownFraction = 0.75

// addServer adds an HTTP server on an address. At shutdown it waits until the
// duty is released and then lets open calls finish.
func (nod *Node) addServer(group *run.Group, address string, handler http.Handler, dutyReleased <-chan struct{}) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group.Add(func() error {
		err := srv.Serve(lis)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("serve on %s: %w", address, err)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), fraction(nod.settings().Bounds.Grace, shutdownFraction))
		defer cancel()
		select {
		case <-dutyReleased:
		case <-ctx.Done():
		}
		if err := srv.Shutdown(ctx); err != nil {
			nod.log.Event("calls_cut", decisionlog.Fields{"address": address, "error": err.Error()})
		}
	})
	return nil
}

// Limits of client connections, equal to the platform's default limits.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
)

func (nod *Node) ingress() http.Handler {
	svc := &intake.JobService{
		Store: nod.store.WithAnswerTimeout(intake.AnswerTimeout), ConfigKey: platform.ConfigKey,
		Freshness: nod.freshness, Learn: nod.operator.learnConfig,
		View: nod.operator.current, Admit: nod.load.admit, Pending: nod.load.pending,
		MaxValueBytes: func() int { return nod.settings().MaxValueBytes },
	}
	return &platform.Ingress{JobService: svc, Now: nod.now, AfterCall: nod.recordCall}
}

func (nod *Node) freshness() intake.Freshness {
	bnd := nod.settings().Bounds
	return intake.Freshness{
		Allowed: fraction(bnd.ConfigApply, allowedAgeFraction), Keyed: fraction(bnd.KeyRevocation, keyedAgeFraction),
		Denied: fraction(bnd.ConfigApply, deniedAgeFraction), Write: maxWriteSilence,
	}
}

// fraction returns a fraction of a duration.
func fraction(dur time.Duration, part float64) time.Duration {
	return time.Duration(float64(dur) * part)
}

// recordCall counts and logs a call. Successful reads are counted, but logged
// only if the configuration was not confirmed recently.
func (nod *Node) recordCall(req *http.Request, id job.ID, ans intake.Answer, took time.Duration) {
	metrics.GetOrRegisterTimer("calls."+req.Method+"."+ans.Verdict.String(), nod.metrics).Update(took)
	vie := nod.operator.current()
	age := nod.now().Sub(vie.Confirmed)
	if req.Method == http.MethodGet && ans.Verdict == intake.VerdictOK && age <= nod.freshness().Denied {
		return
	}
	nod.log.Event("call", decisionlog.Fields{
		"job": string(id), "method": req.Method, "path": req.URL.Path, "verdict": ans.Verdict.String(), "reason": ans.Reason,
		"took_ms": took.Milliseconds(), "config_version": vie.Catalog.Version, "config_age_ms": age.Milliseconds(),
		"retry_after_ms": ans.RetryAfter.Milliseconds(),
	})
}

// ready answers the load balancer's health checks: a process that is shutting
// down, or that can't confirm its configuration, accepts no new connections.
func (nod *Node) ready(ctx context.Context) http.HandlerFunc {
	return func(wri http.ResponseWriter, _ *http.Request) {
		bound := fraction(nod.settings().Bounds.KeyRevocation, readyAgeFraction)
		vie := nod.operator.current()
		if ctx.Err() != nil || vie.Confirmed.IsZero() || nod.now().Sub(vie.Confirmed) > bound {
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		wri.WriteHeader(http.StatusOK)
	}
}

// internalAddress returns the address on which other entries and the operators'
// tools call this process.
func (nod *Node) internalAddress() string {
	return net.JoinHostPort(nod.settings().IP, strconv.Itoa(nod.settings().FirstPort))
}

func (nod *Node) internal() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", nod.serveMetrics)
	mux.Handle("POST "+advisory.Path, nod.relay)
	return mux
}

// needsAdvice reports whether some queue needs advice.
func (nod *Node) needsAdvice() bool { return nod.operator.current().Catalog.NeedsAdvice() }

func (nod *Node) serveMetrics(wri http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(nod.metrics, wri)
}

// dutyReset applies all keys of the duty.
func (nod *Node) dutyReset(items []kv.Item) {
	held := false
	largest := kv.Item{Key: election.LargestKey}
	for _, itm := range items {
		if itm.Key == election.LargestKey {
			largest = itm
		}
		nod.dutyChanged(kv.Change{Item: itm})
		held = held || itm.Key == duty.HolderKey
	}
	nod.election.ObserveLargest(largest)
	if !held {
		nod.election.NotifyReleased()
	}
}

// dutyChanged applies a change of a key of the duty.
func (nod *Node) dutyChanged(cha kv.Change) {
	switch cha.Item.Key {
	case duty.HolderKey:
		if cha.Deleted {
			nod.election.NotifyReleased()
		}
	case election.LargestKey:
		nod.election.ObserveLargest(cha.Item)
	case loadKey:
		if !cha.Deleted {
			nod.load.change(cha.Item)
		}
	}
}
