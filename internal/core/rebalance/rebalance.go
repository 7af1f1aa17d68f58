// Package rebalance decides which machines move between pools. A move costs about
// as much as one second of machine time and makes the machine unavailable for
// longer than that. Therefore only idle machines move, either to a pool that
// needs more machines or to standby.
package rebalance

import (
	"cmp"
	"slices"
	"time"
)

// Pool describes the machines and the demand of a pool.
type Pool struct {
	Name string
	// Standby is set if the pool's machines run nothing and cost nothing.
	Standby bool
	// Have is the number of machines that run tasks for the pool or are being
	// moved to it.
	Have int
	// Want is the number of machines that the pool needs now. Keep is the highest
	// number that it needed recently; it is never below Want.
	Want, Keep int
	// Idle lists the pool's idle machines in the order in which they are moved.
	Idle []IdleMachine
}

// IdleMachine is a machine that runs no tasks.
type IdleMachine struct {
	Machine string
	// IdleFor is the time for which the machine has been idle.
	IdleFor time.Duration
}

// Move is the move of a machine from one pool to another.
type Move struct {
	Machine string
	From    string
	To      string
}

// standbyAfter is the time for which a machine must be idle before it moves to
// standby. Moving there and back costs as much as a little over two seconds of
// machine time.
const standbyAfter = 2 * time.Second

// Plan returns at most maxMoves moves that bring the pools closer to the number
// of machines that they need. At most maxStandby of them go to standby. allowed
// reports whether a machine may be in a pool. Pools with the largest deficit are
// served first.
func Plan(pools []Pool, maxMoves, maxStandby int, allowed func(machine, pool string) bool) (moves []Move) {
	pools = slices.Clone(pools)
	slices.SortStableFunc(pools, func(one, oth Pool) int {
		return cmp.Or(cmp.Compare(oth.Want-oth.Have, one.Want-one.Have), cmp.Compare(one.Name, oth.Name))
	})
	for i := range pools {
		for pools[i].Have < pools[i].Want && len(moves) < maxMoves && !pools[i].Standby {
			mov, ok := takeMachine(pools, pools[i].Name, allowed)
			if !ok {
				break
			}
			moves = append(moves, mov)
			pools[i].Have++
		}
	}
	return append(moves, toStandby(pools, min(maxStandby, maxMoves-len(moves)), allowed)...)
}

// takeMachine removes an idle machine from another pool and returns its move to
// the pool to. Machines of pools with more machines than they keep are preferred
// to those on standby, as they are already running.
func takeMachine(pools []Pool, to string, allowed func(machine, pool string) bool) (mov Move, ok bool) {
	for _, standby := range []bool{false, true} {
		for i := range pools {
			src := &pools[i]
			if src.Name == to || src.Standby != standby || !standby && src.Have <= src.Keep {
				continue
			}
			for j, idl := range src.Idle {
				if !allowed(idl.Machine, to) {
					continue
				}
				src.Idle = slices.Delete(slices.Clone(src.Idle), j, j+1)
				src.Have--
				return Move{Machine: idl.Machine, From: src.Name, To: to}, true
			}
		}
	}
	return Move{}, false
}

// toStandby returns at most limit moves of idle machines to standby, from pools
// with more machines than they keep.
func toStandby(pools []Pool, limit int, allowed func(machine, pool string) bool) (moves []Move) {
	standby := slices.IndexFunc(pools, func(poo Pool) bool { return poo.Standby })
	if standby < 0 {
		return nil
	}
	to := pools[standby].Name
	for i := range pools {
		src := &pools[i]
		if src.Standby {
			continue
		}
		for _, idl := range src.Idle {
			if len(moves) >= limit || src.Have <= src.Keep {
				break
			}
			if idl.IdleFor < standbyAfter || !allowed(idl.Machine, to) {
				continue
			}
			src.Have--
			moves = append(moves, Move{Machine: idl.Machine, From: src.Name, To: to})
		}
	}
	return moves
}
