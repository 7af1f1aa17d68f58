// Package catalog is the operators' configuration as the processes use it:
// queues joined by name to the pools that run their tasks, and client accounts.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// Advice says that an advisor decides which VMs may run a queue's steps.
type Advice struct {
	// Decision and PerVM make up how long the advisor takes.
	Decision time.Duration
	PerVM    time.Duration
	// Valid is how long a ticket holds.
	Valid time.Duration
}

// Queue takes jobs. It is a route of the operators' table.
type Queue struct {
	// Name is unique among the queues.
	Name   string
	Host   string
	Prefix string
	// Pool names the pool that runs the tasks.
	Pool string
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail before its job does; at least 1.
	MaxAttempts int
	// SlackFactor and Target make up a job's latency objective.
	SlackFactor float64
	Target      time.Duration
	// Timeout bounds how long a call may take; 0 is no bound.
	Timeout time.Duration
	// Public queues take jobs without a key.
	Public bool
	// Advice is nil on queues whose steps may run anywhere in the pool.
	Advice *Advice
}

// Objective returns the latency objective of a job with a chain of steps.
func (que *Queue) Objective(chain time.Duration) time.Duration {
	return que.Target + time.Duration(que.SlackFactor*float64(chain))
}

// Pool is a group of VMs.
type Pool struct {
	Name string
	// EnforcesCapacity says that its VMs reject tasks that don't fit.
	EnforcesCapacity bool
	// Standby VMs are off and cost nothing until they are moved elsewhere.
	Standby bool
	// HealthPath is where a VM answers whether it considers itself healthy.
	HealthPath string
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Weight is the account's share when a pool is full.
	Weight float64
	// Cap bounds what the account has running over all pools; 0 is no bound.
	Cap job.Size
}

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	// Version is the operators' number of it. It rises.
	Version int64
	// Revision is the store's revision that holds it.
	Revision int64
	Queues   []Queue
	Pools    []Pool
	Accounts []Account
	// MaxBody is the largest body of a call in bytes; 0 is no bound.
	MaxBody int64

	queues   map[string]*Queue
	pools    map[string]*Pool
	accounts map[string]*Account
	keys     map[string]*Account
	hosts    map[string][]*Queue
}

// New returns a catalog with its indexes.
func New(cat Catalog) Catalog {
	cat.queues = make(map[string]*Queue, len(cat.Queues))
	cat.hosts = map[string][]*Queue{}
	for i := range cat.Queues {
		que := &cat.Queues[i]
		cat.queues[que.Name] = que
		host := strings.ToLower(que.Host)
		cat.hosts[host] = append(cat.hosts[host], que)
	}
	cat.pools = make(map[string]*Pool, len(cat.Pools))
	for i := range cat.Pools {
		cat.pools[cat.Pools[i].Name] = &cat.Pools[i]
	}
	cat.accounts = make(map[string]*Account, len(cat.Accounts))
	cat.keys = map[string]*Account{}
	for i := range cat.Accounts {
		acc := &cat.Accounts[i]
		cat.accounts[acc.Name] = acc
		for _, key := range acc.Keys {
			// A call without a key belongs to nobody.
			if key != "" {
				cat.keys[key] = acc
			}
		}
	}
	return cat
}

// Queue returns the queue with a name, or nil.
func (cat Catalog) Queue(name string) *Queue { return cat.queues[name] }

// Pool returns the pool with a name, or nil.
func (cat Catalog) Pool(name string) *Pool { return cat.pools[name] }

// Account returns the client account with a name, or nil.
func (cat Catalog) Account(name string) *Account { return cat.accounts[name] }

// AccountOf returns the client account that a key belongs to, or nil.
func (cat Catalog) AccountOf(key string) *Account { return cat.keys[key] }

// Match returns the queue of a host whose prefix is the longest that a path
// begins with, or nil.
func (cat Catalog) Match(host, path string) *Queue {
	var best *Queue
	for _, que := range cat.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, que.Prefix) && (best == nil || len(que.Prefix) > len(best.Prefix)) {
			best = que
		}
	}
	return best
}

// NeedsAdvice reports whether some queue's steps need advice.
func (cat Catalog) NeedsAdvice() bool {
	return slices.ContainsFunc(cat.Queues, func(que Queue) bool { return que.Advice != nil })
}
