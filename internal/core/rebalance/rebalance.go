// Package rebalance decides which machines move between pools. Moves cost about as
// much as a second of a machine and take the machine away for longer, so that
// only empty machines move, to pools that lack room or to standby.
package rebalance

import (
	"cmp"
	"slices"
	"time"
)

// Pool is a pool with what it needs.
type Pool struct {
	Name string
	// Standby pools run nothing; their machines cost nothing.
	Standby bool
	// Have is how many machines run tasks for the pool or are on their way to
	// it.
	Have int
	// Want is how many it needs now; Keep is how many it needed at most of late,
	// and at least Want.
	Want, Keep int
	// Empty lists its machines that run nothing, the longest idle first.
	Empty []IdleMachine
}

// IdleMachine is a machine that runs nothing.
type IdleMachine struct {
	Machine string
	// IdleFor is how long it has run nothing.
	IdleFor time.Duration
}

// Move moves a machine to a pool.
type Move struct {
	Machine string
	From    string
	To      string
}

// restAfter is how long a machine runs nothing before it goes to standby. The
// move there and back costs as much as the machine does in a little over two
// seconds.
const restAfter = 2 * time.Second

// Plan returns the moves that bring the pools to what they need, at most a
// number of them. allowed says whether a machine may be in a pool.
//
// spare is how many machines may go to standby at most.
func Plan(pools []Pool, most, spare int, allowed func(machine, pool string) bool) (moves []Move) {
	pools = slices.Clone(pools)
	slices.SortStableFunc(pools, func(one, oth Pool) int {
		return cmp.Or(cmp.Compare(oth.Want-oth.Have, one.Want-one.Have), cmp.Compare(one.Name, oth.Name))
	})
	for i := range pools {
		for pools[i].Have < pools[i].Want && len(moves) < most && !pools[i].Standby {
			mov, ok := take(pools, pools[i].Name, allowed)
			if !ok {
				break
			}
			moves = append(moves, mov)
			pools[i].Have++
		}
	}
	return append(moves, rests(pools, min(spare, most-len(moves)), allowed)...)
}

// take finds a machine for a pool: one of a pool that has more than it keeps,
// which is up and running already, or one on standby.
func take(pools []Pool, to string, allowed func(machine, pool string) bool) (mov Move, ok bool) {
	for _, standby := range []bool{false, true} {
		for i := range pools {
			src := &pools[i]
			if src.Name == to || src.Standby != standby || !standby && src.Have <= src.Keep {
				continue
			}
			for j, idl := range src.Empty {
				if !allowed(idl.Machine, to) {
					continue
				}
				src.Empty = slices.Delete(slices.Clone(src.Empty), j, j+1)
				src.Have--
				return Move{Machine: idl.Machine, From: src.Name, To: to}, true
			}
		}
	}
	return Move{}, false
}

// rests moves machines to standby that their pools don't keep.
func rests(pools []Pool, most int, allowed func(machine, pool string) bool) (moves []Move) {
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
		for _, idl := range src.Empty {
			if len(moves) >= most || src.Have <= src.Keep {
				break
			}
			if idl.IdleFor < restAfter || !allowed(idl.Machine, to) {
				continue
			}
			src.Have--
			moves = append(moves, Move{Machine: idl.Machine, From: src.Name, To: to})
		}
	}
	return moves
}
