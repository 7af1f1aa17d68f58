package scheduler

import (
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

// poolRoom is the free capacity of a pool during one call of Reduce, in which it
// only shrinks. It spares a look at each VM for tasks that fit nowhere.
type poolRoom struct {
	// hosts are those on which new tasks may start.
	hosts []*host
	// largest holds, for each resource, the most that was free on one VM.
	largest job.Size
	// rejected holds reservations for which no VM had room.
	rejected []job.Size
}

// roomOf returns the room of a pool, which it computes once.
func (sta *State) roomOf(rooms map[string]*poolRoom, pool string) *poolRoom {
	if room := rooms[pool]; room != nil {
		return room
	}
	room := &poolRoom{hosts: sta.usableHosts(pool)}
	for _, hos := range room.hosts {
		free := hos.vm.Capacity.Minus(hos.used)
		room.largest = job.Size{
			CPU: max(room.largest.CPU, free.CPU), Memory: max(room.largest.Memory, free.Memory), Accelerators: max(room.largest.Accelerators, free.Accelerators),
		}
	}
	rooms[pool] = room
	return room
}

// mayFit reports whether a VM may have room for a reservation. If not, none has.
func (rom *poolRoom) mayFit(siz job.Size) bool {
	return len(rom.hosts) > 0 && siz.Fits(rom.largest) && !slices.ContainsFunc(rom.rejected, func(rej job.Size) bool { return rej.Fits(siz) })
}

// fits reports whether a VM has room for a reservation.
func (rom *poolRoom) fits(siz job.Size) bool {
	return slices.ContainsFunc(rom.hosts, func(hos *host) bool { return siz.Fits(hos.vm.Capacity.Minus(hos.used)) })
}

// reject records that no VM has room for a reservation, nor for a larger one.
func (rom *poolRoom) reject(siz job.Size) {
	rom.rejected = slices.DeleteFunc(rom.rejected, func(rej job.Size) bool { return siz.Fits(rej) })
	rom.rejected = append(rom.rejected, siz)
}
