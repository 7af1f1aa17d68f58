// Package plan decides which VM belongs to which pool.
package plan

import (
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Assign returns the changes to the map from VM to pool that bring each pool
// nearer to its wanted number of VMs in each availability zone. VMs that the
// platform no longer lists leave the map. New VMs go where they are wanted, or
// else to the spare pool of their service; a pool that lacks VMs takes them
// from its spare pool.
func Assign(cfg *table.Config, fle vm.Fleet) []table.Assignment {
	asr := newAssigner(cfg, fle)
	asr.dropGone()
	asr.placeNew()
	asr.fillFromSpare()
	slices.SortFunc(asr.moves, func(a, b table.Assignment) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return asr.moves
}

type assigner struct {
	cfg *table.Config
	fle vm.Fleet
	// have counts the usable VMs by pool and availability zone.
	have  map[place]int
	moves []table.Assignment
}

type place struct {
	pool string
	az   string
}

func newAssigner(cfg *table.Config, fle vm.Fleet) *assigner {
	asr := &assigner{cfg: cfg, fle: fle, have: map[place]int{}}
	for _, asg := range cfg.VMs {
		if one, ok := fle.VM(asg.VM); ok && !fle.IsLeaving(asg.VM) {
			asr.have[place{asg.Pool, one.AZ}]++
		}
	}
	return asr
}

func (asr *assigner) dropGone() {
	for _, asg := range asr.cfg.VMs {
		if _, ok := asr.fle.VM(asg.VM); !ok {
			asr.moves = append(asr.moves, table.Assignment{VM: asg.VM})
		}
	}
}

func (asr *assigner) placeNew() {
	for _, one := range asr.fle.All() {
		if asr.cfg.PoolOf(one.ID) != "" || asr.fle.IsLeaving(one.ID) {
			continue
		}
		pool := asr.wanting(one)
		if pool == "" {
			pool = asr.spareFor(one)
		}
		if pool != "" {
			asr.move(one, pool)
		}
	}
}

// wanting returns the pool that lacks the most VMs like this one.
func (asr *assigner) wanting(one vm.VM) string {
	best, most := "", 0
	for _, poo := range asr.cfg.Tables.Pools {
		lacks := poo.VMs[one.AZ] - asr.have[place{poo.Name, one.AZ}]
		if poo.Service == one.Service && lacks > most {
			best, most = poo.Name, lacks
		}
	}
	return best
}

func (asr *assigner) spareFor(one vm.VM) string {
	for _, poo := range asr.cfg.Tables.Pools {
		spare, ok := asr.cfg.Pool(poo.Spare)
		if ok && spare.Service == one.Service {
			return spare.Name
		}
	}
	return ""
}

func (asr *assigner) fillFromSpare() {
	for _, asg := range asr.cfg.VMs {
		one, ok := asr.fle.VM(asg.VM)
		if !ok || asr.fle.IsLeaving(asg.VM) || !asr.isSurplus(asg.Pool, one) {
			continue
		}
		if pool := asr.wanting(one); pool != "" && pool != asg.Pool {
			asr.have[place{asg.Pool, one.AZ}]--
			asr.move(one, pool)
		}
	}
}

// isSurplus reports whether a pool is a spare pool with more VMs than it wants
// itself.
func (asr *assigner) isSurplus(pool string, one vm.VM) bool {
	poo, ok := asr.cfg.Pool(pool)
	return ok && poo.Spare == "" && asr.have[place{pool, one.AZ}] > poo.VMs[one.AZ]
}

func (asr *assigner) move(one vm.VM, pool string) {
	asr.have[place{pool, one.AZ}]++
	asr.moves = append(asr.moves, table.Assignment{VM: one.ID, Pool: pool})
}
