// Package vm describes the VMs that the entries use: the fleet as the platform
// lists it, together with the VMs that entries have observed to be leaving since.
// A VM offers one of two services: an executor answers requests, a worker runs
// tasks of the entries. The VMs that run the dispatcher's tasks are described by
// package worker.
package vm

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/benbjohnson/immutable"
)

// VM is one incarnation of a virtual machine of the fleet.
type VM struct {
	// ID is unique to one incarnation.
	ID      string        `json:"id"`
	AZ      string        `json:"az"`
	Rack    string        `json:"rack"`
	Address string        `json:"address"`
	Service table.Service `json:"service"`
	// Slots is the maximum number of requests and tasks that the VM serves at the
	// same time; at least 1.
	Slots int `json:"slots"`
	// Leaving is set if the VM is shutting down and accepts no new work.
	Leaving bool `json:"leaving"`
}

// Fleet is an entry's view of all VMs. It is immutable.
type Fleet struct {
	// vms holds the listed VMs by ID.
	vms *immutable.SortedMap[string, VM]
	// leaving holds, by ID, the time at which an entry first observed that a VM is
	// leaving. It takes precedence over the platform's list, which lags behind.
	leaving *immutable.SortedMap[string, time.Time]
	// ListedAt is the time at which the platform's list was last read.
	ListedAt time.Time
}

// NewFleet returns a fleet without VMs.
func NewFleet() Fleet {
	return Fleet{
		vms:     immutable.NewSortedMap[string, VM](nil),
		leaving: immutable.NewSortedMap[string, time.Time](nil),
	}
}

// VM returns the VM with the given ID.
func (fle Fleet) VM(id string) (one VM, ok bool) {
	return fle.vms.Get(id)
}

// All returns all VMs, sorted by ID.
func (fle Fleet) All() []VM {
	all := make([]VM, 0, fle.vms.Len())
	itr := fle.vms.Iterator()
	for !itr.Done() {
		_, one, _ := itr.Next()
		all = append(all, one)
	}
	return all
}

// IsLeaving reports whether the platform lists the VM as leaving, or no longer
// lists it, or an entry has observed that it is leaving.
func (fle Fleet) IsLeaving(id string) bool {
	if _, seen := fle.leaving.Get(id); seen {
		return true
	}
	one, ok := fle.vms.Get(id)
	return !ok || one.Leaving
}

// WithLeaving returns the fleet after an entry observed that a VM is leaving.
func (fle Fleet) WithLeaving(id string, now time.Time) Fleet {
	if _, seen := fle.leaving.Get(id); !seen {
		fle.leaving = fle.leaving.Set(id, now)
	}
	return fle
}

// SeenLeaving returns the sorted IDs of the VMs that entries observed leaving.
func (fle Fleet) SeenLeaving() []string {
	var ids []string
	itr := fle.leaving.Iterator()
	for !itr.Done() {
		id, _, _ := itr.Next()
		ids = append(ids, id)
	}
	return ids
}

// WithList returns the fleet after the platform's list was read. VMs that are not
// in the list are removed, together with the observation that they were leaving.
func (fle Fleet) WithList(list []VM, now time.Time) Fleet {
	next := NewFleet()
	next.ListedAt = now
	for _, one := range list {
		next.vms = next.vms.Set(one.ID, one)
		if at, seen := fle.leaving.Get(one.ID); seen {
			next.leaving = next.leaving.Set(one.ID, at)
		}
	}
	return next
}

// Usable returns the VMs of a pool that may get new work, sorted by ID: those that
// are not leaving and whose availability zone is in service.
func (fle Fleet) Usable(cfg *table.Config, pool string) []VM {
	var usable []VM
	for _, id := range cfg.VMsOf(pool) {
		one, ok := fle.vms.Get(id)
		if ok && !fle.IsLeaving(one.ID) && !cfg.IsAZOut(one.AZ) {
			usable = append(usable, one)
		}
	}
	return slices.Clip(usable)
}
