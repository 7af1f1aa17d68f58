// Package vm describes the VMs of the pools as the platform lists them, with
// what the entries have seen since.
package vm

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/benbjohnson/immutable"
)

// VM is one VM of the fleet.
type VM struct {
	// ID is unique to one incarnation of the VM.
	ID      string        `json:"id"`
	AZ      string        `json:"az"`
	Rack    string        `json:"rack"`
	Address string        `json:"address"`
	Service table.Service `json:"service"`
	// Slots is how much work the VM takes at once; at least 1.
	Slots int `json:"slots"`
	// Leaving says that the VM is shutting down and takes no new work.
	Leaving bool `json:"leaving"`
}

// Fleet is an entry's knowledge of all VMs. It is immutable.
type Fleet struct {
	// vms is ordered by ID.
	vms *immutable.SortedMap[string, VM]
	// leaving holds the VMs that some entry saw leaving, with the time. The
	// platform's list lags, so what was seen goes before what it says.
	leaving *immutable.SortedMap[string, time.Time]
	// ListedAt is when the platform's list was last read.
	ListedAt time.Time
}

// NewFleet returns a fleet without VMs.
func NewFleet() Fleet {
	return Fleet{
		vms:     immutable.NewSortedMap[string, VM](nil),
		leaving: immutable.NewSortedMap[string, time.Time](nil),
	}
}

// VM returns the VM with an ID.
func (fle Fleet) VM(id string) (one VM, ok bool) {
	return fle.vms.Get(id)
}

// All returns the VMs by ID.
func (fle Fleet) All() []VM {
	all := make([]VM, 0, fle.vms.Len())
	itr := fle.vms.Iterator()
	for !itr.Done() {
		_, one, _ := itr.Next()
		all = append(all, one)
	}
	return all
}

// IsLeaving reports whether the platform lists the VM as leaving or an entry
// saw it so.
func (fle Fleet) IsLeaving(id string) bool {
	if _, seen := fle.leaving.Get(id); seen {
		return true
	}
	one, ok := fle.vms.Get(id)
	return !ok || one.Leaving
}

// WithLeaving returns the fleet after a VM was seen leaving.
func (fle Fleet) WithLeaving(id string, now time.Time) Fleet {
	if _, seen := fle.leaving.Get(id); !seen {
		fle.leaving = fle.leaving.Set(id, now)
	}
	return fle
}

// SeenLeaving returns the IDs of the VMs that were seen leaving, sorted.
func (fle Fleet) SeenLeaving() []string {
	var ids []string
	itr := fle.leaving.Iterator()
	for !itr.Done() {
		id, _, _ := itr.Next()
		ids = append(ids, id)
	}
	return ids
}

// WithList returns the fleet after reading the platform's list. VMs that the
// list no longer has are forgotten, with what was seen of them.
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

// Usable returns the VMs of a pool that may be given new work, by ID: those
// that are not leaving and whose availability zone is in.
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
