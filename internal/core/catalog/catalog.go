// Package catalog holds the operators' configuration in the form that the
// processes use: queues, the pools that run their tasks, and client accounts,
// with indexes for look-ups.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// Queue accepts jobs. It corresponds to a route in the operators' table.
type Queue struct {
	// Name is unique among the queues.
	Name string
	// Host and Prefix select the calls that belong to the queue, by HTTP host and
	// path prefix. Hosts are compared without regard to case.
	Host   string
	Prefix string
	// Pool is the name of the pool that runs the tasks.
	Pool string
	// Priority is the rank of the queue; lower values come first.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job
	// fails; at least 1.
	MaxAttempts int
	// SlackFactor and Target determine a job's latency objective; see Objective.
	SlackFactor float64
	Target      time.Duration
	// Timeout is the maximum duration of a call; 0 means no limit.
	Timeout time.Duration
	// Public is set if the queue accepts jobs without a key.
	Public bool
	// Advice is nil if the steps may run on any VM of the pool.
	Advice *job.Advice
}

// Objective returns the latency objective of a job with the given critical path:
// the target plus the slack factor times the critical path.
func (que *Queue) Objective(criticalPath time.Duration) time.Duration {
	return que.Target + time.Duration(que.SlackFactor*float64(criticalPath))
}

// Record returns a job with what its later steps need of the queue, which serves once
// the queue has been removed.
func (que *Queue) Record(spe job.Spec) job.Spec {
	spe.Queue, spe.Host, spe.Prefix = que.Name, que.Host, que.Prefix
	spe.Pool, spe.MaxAttempts = que.Pool, que.MaxAttempts
	spe.Priority, spe.SlackFactor, spe.Target, spe.Advice = que.Priority, que.SlackFactor, que.Target, que.Advice
	return spe
}

// RecordedQueue returns the queue of a job as it is recorded with the job.
func RecordedQueue(spe job.Spec) *Queue {
	return &Queue{
		Name: spe.Queue, Host: spe.Host, Prefix: spe.Prefix, Pool: spe.Pool, MaxAttempts: spe.MaxAttempts,
		Priority: spe.Priority, SlackFactor: max(1, spe.SlackFactor), Target: spe.Target, Advice: spe.Advice,
	}
}

// Pool is a group of VMs that run the tasks of the same queues.
type Pool struct {
	Name string
	// EnforcesCapacity is set if the pool's VMs reject tasks that exceed their
	// free capacity.
	EnforcesCapacity bool
	// Standby is set if the pool's machines are switched off and cost nothing
	// until they are moved to another pool.
	Standby bool
	// HealthPath is the path of the VMs' health check.
	HealthPath string
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// JobRate is the number of jobs per second that the account is entitled to
	// when a pool is full; 0 means no limit.
	JobRate float64
	// Cap is the maximum size of the account's running tasks over all pools; a
	// component of 0 means no limit.
	Cap job.Size
}

// Catalog is one version of the configuration. It is immutable; use New to build
// one whose look-up methods work.
type Catalog struct {
	// Version is the version number that the operators assign. It increases with
	// each change.
	Version int64
	// Revision is the revision of the store that contains this version.
	Revision int64
	Queues   []Queue
	Pools    []Pool
	Accounts []Account
	// MaxBody is the maximum size of a call's body in bytes; 0 means no limit.
	MaxBody int64

	queues        map[string]*Queue
	pools         map[string]*Pool
	accounts      map[string]*Account
	accountsByKey map[string]*Account
	queuesByHost  map[string][]*Queue
}

// New returns the catalog with its indexes built.
func New(cat Catalog) Catalog {
	cat.queues = make(map[string]*Queue, len(cat.Queues))
	cat.queuesByHost = map[string][]*Queue{}
	for i := range cat.Queues {
		que := &cat.Queues[i]
		cat.queues[que.Name] = que
		host := strings.ToLower(que.Host)
		cat.queuesByHost[host] = append(cat.queuesByHost[host], que)
	}
	cat.pools = make(map[string]*Pool, len(cat.Pools))
	for i := range cat.Pools {
		cat.pools[cat.Pools[i].Name] = &cat.Pools[i]
	}
	cat.accounts = make(map[string]*Account, len(cat.Accounts))
	cat.accountsByKey = map[string]*Account{}
	for i := range cat.Accounts {
		acc := &cat.Accounts[i]
		cat.accounts[acc.Name] = acc
		for _, key := range acc.Keys {
			// A call without a key must not match any account.
			if key != "" {
				cat.accountsByKey[key] = acc
			}
		}
	}
	return cat
}

// Queue returns the queue with the given name, or nil.
func (cat Catalog) Queue(name string) *Queue { return cat.queues[name] }

// At returns the queue with the given host and prefix, or nil.
func (cat Catalog) At(host, prefix string) *Queue {
	for _, que := range cat.queuesByHost[strings.ToLower(host)] {
		if que.Prefix == prefix {
			return que
		}
	}
	return nil
}

// Pool returns the pool with the given name, or nil.
func (cat Catalog) Pool(name string) *Pool { return cat.pools[name] }

// Account returns the client account with the given name, or nil.
func (cat Catalog) Account(name string) *Account { return cat.accounts[name] }

// AccountOf returns the client account that the key belongs to, or nil.
func (cat Catalog) AccountOf(key string) *Account { return cat.accountsByKey[key] }

// Match returns the queue of the host with the longest prefix that matches the
// path, or nil.
func (cat Catalog) Match(host, path string) *Queue {
	var best *Queue
	for _, que := range cat.queuesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, que.Prefix) && (best == nil || len(que.Prefix) > len(best.Prefix)) {
			best = que
		}
	}
	return best
}

// NeedsAdvice reports whether any queue needs the advisor.
func (cat Catalog) NeedsAdvice() bool {
	return slices.ContainsFunc(cat.Queues, func(que Queue) bool { return que.Advice != nil })
}
