package hedge

import (
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
	// budget limits the repeats of all calls, and budgets those to each callee.
	budget  retry.Budget
	budgets map[string]retry.Budget
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
		latencies: retry.NewLatencies(), budget: retry.NewBudget(), budgets: map[string]retry.Budget{},
	}
}

// begin records the first try of a call. It returns the metrics of its kind and the time
// after which it may be repeated.
func (car *Caller) begin(kind, callee string) (kim *kindMetrics, deadline time.Duration) {
	car.mu.Lock()
	defer car.mu.Unlock()
	car.budget = car.budget.WithStart()
	car.budgets[callee] = car.calleeBudget(callee).WithStart()
	kim, deadline = car.kind(kind), car.latencies.TryDeadline(kind, callee)
	kim.tries.Inc(1)
	kim.deadlineMS.Update(deadline.Milliseconds())
	return kim, deadline
}

func (car *Caller) calleeBudget(callee string) retry.Budget {
	if bud, ok := car.budgets[callee]; ok {
		return bud
	}
	return retry.NewCalleeBudget()
}

// mayRepeat takes a repeat from the budgets of all calls and of the callee, if both
// have one.
func (car *Caller) mayRepeat(kind, callee string) bool {
	car.mu.Lock()
	defer car.mu.Unlock()
	budget, ok := car.budget.WithRetry()
	calleeBudget, calleeOK := car.calleeBudget(callee).WithRetry()
	if !ok || !calleeOK {
		car.kind(kind).budgetRefusals.Inc(1)
		return false
	}
	car.budget, car.budgets[callee] = budget, calleeBudget
	car.kind(kind).repeats.Inc(1)
	return true
}

// lost records that a call was answered by the last of its repeats in the usual time.
func (car *Caller) lost(callee string, repeats int) {
	car.mu.Lock()
	defer car.mu.Unlock()
	car.budget = car.budget.WithLoss(repeats)
	car.budgets[callee] = car.calleeBudget(callee).WithLoss(repeats)
}

// answered records the answer to a try.
func (car *Caller) answered(kind, callee string, took time.Duration) error {
	car.mu.Lock()
	defer car.mu.Unlock()
	return car.latencies.Observe(kind, callee, took)
}

// Forget drops what is known of a callee that no longer exists.
func (car *Caller) Forget(callee string) {
	car.mu.Lock()
	defer car.mu.Unlock()
	car.latencies.Forget(callee)
	delete(car.budgets, callee)
}
