package hedge

import (
	"context"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/retry"
	"github.com/rcrowley/go-metrics"
)

// Caller owns the tries of calls: their deadlines and the budget of repeats. It is safe
// for concurrent use.
type Caller struct {
	now     func() time.Time
	metrics metrics.Registry
	log     func(Report)

	mu sync.Mutex
	// kinds holds the metrics of each kind of call.
	kinds     map[string]*kindMetrics
	latencies *retry.Latencies
	// budget limits the repeats of all calls.
	budget  retry.Budget
	callees map[string]*callee
}

// callee is what is known of a callee until it is forgotten.
type callee struct {
	// budget limits the repeats of the calls to it.
	budget retry.Budget
	// known ends when the callee is forgotten.
	known  context.Context
	forget context.CancelFunc
}

// kindMetrics are the metrics of a kind of call.
type kindMetrics struct {
	tries, repeats, repeatsWon, budgetRefusals, oddLatencies metrics.Counter
	deadlineMS                                               metrics.Gauge
}

// kind returns the metrics of a kind of call. The lock must be held.
func (car *Caller) kind(kind string) *kindMetrics {
	kim := car.kinds[kind]
	if kim == nil {
		counter := func(name string) metrics.Counter {
			return metrics.GetOrRegisterCounter("calls."+kind+"."+name, car.metrics)
		}
		kim = &kindMetrics{
			tries: counter("tries"), repeats: counter("repeats"), repeatsWon: counter("repeats_won"),
			budgetRefusals: counter("budget_refusals"), oddLatencies: counter("odd_latencies"),
			deadlineMS: metrics.GetOrRegisterGauge("calls."+kind+".deadline_ms", car.metrics),
		}
		car.kinds[kind] = kim
	}
	return kim
}

// NewCaller returns a caller that counts in a registry. It calls log with each call that
// was repeated, and with each late answer that disagrees.
func NewCaller(now func() time.Time, registry metrics.Registry, log func(Report)) *Caller {
	return &Caller{
		now: now, metrics: registry, log: log, kinds: map[string]*kindMetrics{},
		latencies: retry.NewLatencies(), budget: retry.NewBudget(), callees: map[string]*callee{},
	}
}

// begin records the first try of a call. It returns the callee, the metrics of the call's
// kind and the time after which it may be repeated.
func (car *Caller) begin(kind, name string) (cal *callee, kim *kindMetrics, deadline time.Duration) {
	car.mu.Lock()
	defer car.mu.Unlock()
	car.budget = car.budget.WithStart()
	cal = car.callee(name)
	cal.budget = cal.budget.WithStart()
	kim, deadline = car.kind(kind), car.latencies.TryDeadline(kind, name)
	kim.tries.Inc(1)
	kim.deadlineMS.Update(deadline.Milliseconds())
	return cal, kim, deadline
}

// callee returns a callee. The lock must be held.
func (car *Caller) callee(name string) *callee {
	cal := car.callees[name]
	if cal == nil {
		cal = &callee{budget: retry.NewCalleeBudget()}
		cal.known, cal.forget = context.WithCancel(context.Background())
		car.callees[name] = cal
	}
	return cal
}

// Known returns a context that ends when a callee is forgotten.
func (car *Caller) Known(name string) context.Context {
	car.mu.Lock()
	defer car.mu.Unlock()
	return car.callee(name).known
}

// mayRepeat takes a repeat from the budgets of all calls and of the callee, if both
// have one.
func (car *Caller) mayRepeat(kind string, cal *callee) bool {
	car.mu.Lock()
	defer car.mu.Unlock()
	budget, ok := car.budget.WithRetry()
	calleeBudget, calleeOK := cal.budget.WithRetry()
	if !ok || !calleeOK {
		car.kind(kind).budgetRefusals.Inc(1)
		return false
	}
	car.budget, cal.budget = budget, calleeBudget
	car.kind(kind).repeats.Inc(1)
	return true
}

// lost records that a call was answered by the last of its repeats in the usual time.
func (car *Caller) lost(cal *callee, repeats int) {
	car.mu.Lock()
	defer car.mu.Unlock()
	car.budget = car.budget.WithLoss(repeats)
	cal.budget = cal.budget.WithLoss(repeats)
}

// answered records the answer to a try.
func (car *Caller) answered(kind, callee string, took time.Duration) error {
	car.mu.Lock()
	defer car.mu.Unlock()
	return car.latencies.Observe(kind, callee, took)
}

// Forget drops what is known of a callee that no longer exists. Calls to it that are under
// way make no further tries, and end those without a connection: they might reach another one of
// its name.
func (car *Caller) Forget(name string) {
	car.mu.Lock()
	defer car.mu.Unlock()
	car.latencies.Forget(name)
	if cal := car.callees[name]; cal != nil {
		cal.forget()
		delete(car.callees, name)
	}
}
