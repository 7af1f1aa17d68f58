// Package plan assigns the VMs of the entries to pools.
package plan

import (
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Assign returns the changes to the assignment of VMs to pools that bring each
// pool closer to its configured number of VMs in each availability zone. VMs that
// the platform no longer lists are removed from the assignment. New VMs go to the
// pool of their service with the largest deficit, or else to the spare pool of
// their service. A pool with a deficit also gets VMs from spare pools.
func Assign(cfg *table.Config, fle vm.Fleet) []table.Assignment {
	asr := newAssigner(cfg, fle)
	asr.removeUnlisted()
	asr.assignNew()
	asr.fillFromSpare()
	slices.SortFunc(asr.changes, func(a, b table.Assignment) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return asr.changes
}

// assigner collects the changes for one call of Assign.
type assigner struct {
	cfg *table.Config
	fle vm.Fleet
	// have is the number of usable VMs by pool and availability zone.
	have    map[poolAZ]int
	changes []table.Assignment
}

// poolAZ identifies the part of a pool that is in one availability zone.
type poolAZ struct {
	pool string
	az   string
}

func newAssigner(cfg *table.Config, fle vm.Fleet) *assigner {
	asr := &assigner{cfg: cfg, fle: fle, have: map[poolAZ]int{}}
	for _, asg := range cfg.VMs {
		if one, ok := fle.VM(asg.VM); ok && !fle.IsLeaving(asg.VM) {
			asr.have[poolAZ{asg.Pool, one.AZ}]++
		}
	}
	return asr
}

// removeUnlisted removes the VMs that the platform no longer lists.
func (asr *assigner) removeUnlisted() {
	for _, asg := range asr.cfg.VMs {
		if _, ok := asr.fle.VM(asg.VM); !ok {
			asr.changes = append(asr.changes, table.Assignment{VM: asg.VM})
		}
	}
}

// assignNew assigns the VMs that have no pool yet.
func (asr *assigner) assignNew() {
	for _, one := range asr.fle.All() {
		if asr.cfg.PoolOf(one.ID) != "" || asr.fle.IsLeaving(one.ID) {
			continue
		}
		pool := asr.largestDeficit(one)
		if pool == "" {
			pool = asr.sparePool(one)
		}
		if pool != "" {
			asr.assign(one, pool)
		}
	}
}

// largestDeficit returns the pool with the largest deficit of VMs of the same
// service and availability zone, or an empty string if there is none.
func (asr *assigner) largestDeficit(one vm.VM) string {
	best, most := "", 0
	for _, poo := range asr.cfg.Tables.Pools {
		deficit := poo.VMs[one.AZ] - asr.have[poolAZ{poo.Name, one.AZ}]
		if poo.Service == one.Service && deficit > most {
			best, most = poo.Name, deficit
		}
	}
	return best
}

// sparePool returns the spare pool for the VM's service, or an empty string if
// there is none.
func (asr *assigner) sparePool(one vm.VM) string {
	for _, poo := range asr.cfg.Tables.Pools {
		spare, ok := asr.cfg.Pool(poo.Spare)
		if ok && spare.Service == one.Service {
			return spare.Name
		}
	}
	return ""
}

// fillFromSpare moves surplus VMs of spare pools to pools with a deficit.
func (asr *assigner) fillFromSpare() {
	for _, asg := range asr.cfg.VMs {
		one, ok := asr.fle.VM(asg.VM)
		if !ok || asr.fle.IsLeaving(asg.VM) || !asr.isSurplus(asg.Pool, one) {
			continue
		}
		if pool := asr.largestDeficit(one); pool != "" && pool != asg.Pool {
			asr.have[poolAZ{asg.Pool, one.AZ}]--
			asr.assign(one, pool)
		}
	}
}

// isSurplus reports whether a pool is a spare pool with more VMs than its
// configured number in the VM's availability zone. A pool that names no spare
// pool is one itself.
func (asr *assigner) isSurplus(pool string, one vm.VM) bool {
	poo, ok := asr.cfg.Pool(pool)
	return ok && poo.Spare == "" && asr.have[poolAZ{pool, one.AZ}] > poo.VMs[one.AZ]
}

func (asr *assigner) assign(one vm.VM, pool string) {
	asr.have[poolAZ{pool, one.AZ}]++
	asr.changes = append(asr.changes, table.Assignment{VM: one.ID, Pool: pool})
}
