package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// Intervals between requests of the list of machines.
const (
	// listInterval is the interval while the scheduler waits for a change.
	listInterval = 500 * time.Millisecond
	// listCheckInterval is the interval at which VMs are looked for that only a list
	// explains.
	listCheckInterval = 50 * time.Millisecond
	// listDelayAfterOrder is the interval after a machine order.
	listDelayAfterOrder = 60 * time.Millisecond
	// listPauseFactor is the minimum ratio of the pause after a list to the time
	// that it took: long lists must not occupy the dispatcher's link.
	listPauseFactor = 4
	// maxListPause bounds that pause.
	maxListPause = time.Second
	// idleListInterval is the interval while nothing is expected to change.
	idleListInterval = 10 * time.Second
)

// machines is the last list of machines.
type machines struct {
	byName map[string]worker.Machine
	byVM   map[string]string
	// requestedAt is when a list was last requested. asOf is when the last list
	// received was requested; zero if none was received.
	requestedAt, asOf time.Time
	inFlight          bool
	// lastOf holds the machine on which each VM was last listed, of the VMs that are known and of
	// those with starts that aren't settled.
	lastOf map[string]string
	// missing holds the machines of lastOf with such starts that the last list didn't show.
	missing map[string]bool
	// checkedAt is when VMs were last looked for that only a list explains.
	checkedAt time.Time
	// nextRequest is the earliest time of the next request.
	nextRequest time.Time
	// refreshDue reports whether a new list is needed to see the effect of an
	// order.
	refreshDue bool
}

// machinesListed applies the list of machines, which shows the VMs that have
// ended.
func (sta *State) machinesListed(evt MachinesListed) {
	sta.machines.inFlight = false
	if evt.Machines == nil {
		return
	}
	sta.machines.nextRequest = sta.now.Add(min(maxListPause, listPauseFactor*sta.now.Sub(evt.RequestedAt)))
	sta.machines.asOf = evt.RequestedAt
	sta.unlistedKnown = false
	machineOf := sta.machines.byVM
	sta.machines.byName = make(map[string]worker.Machine, len(evt.Machines))
	sta.machines.byVM = make(map[string]string, len(evt.Machines))
	for _, mac := range evt.Machines {
		sta.machines.byName[mac.Name] = mac
		if mac.VM != "" {
			sta.machines.byVM[mac.VM] = mac.Name
		}
	}
	sta.noteMachines()
	sta.machineNames = slices.Sorted(maps.Keys(sta.machines.byName))
	sta.upkeeps.Settle(evt.RequestedAt, func(name string) bool {
		mac, ok := sta.machines.byName[name]
		return !ok || mac.State == worker.MachineUp
	})
	var covered []*host
	for _, hos := range sta.hostList {
		if !hos.coveredBy(evt.RequestedAt) {
			continue
		}
		covered = append(covered, hos)
		name, ok := sta.machines.byVM[hos.vm.ID]
		gone := !ok || sta.machines.byName[name].State == worker.MachineDown
		hos.listedGone = gone && !evt.RequestedAt.Before(hos.acceptedAt)
		if hos.listedGone {
			hos.nextPoll = sta.now
		}
		if !ok {
			name = machineOf[hos.vm.ID]
		}
		sta.noticeOrder(hos, sta.machines.byName[name], evt.RequestedAt)
	}
	sta.detectOutages()
	for _, hos := range covered {
		sta.applyListing(hos, evt.RequestedAt)
	}
	sta.settleUnlisted(evt.RequestedAt)
}

// noteMachines remembers on which machines VMs were last listed. The list doesn't show the
// IDs of VMs that are down.
func (sta *State) noteMachines() {
	maps.DeleteFunc(sta.machines.lastOf, func(vm, _ string) bool {
		return sta.hosts[vm] == nil && !sta.lateStarts.IsOnVM(vm)
	})
	maps.Copy(sta.machines.lastOf, sta.machines.byVM)
}

// listedAs describes how the last list of machines shows a VM.
func (sta *State) listedAs(vm string) string {
	if name, ok := sta.machines.byVM[vm]; ok {
		return string(sta.machines.byName[name].State)
	}
	name, known := sta.machines.lastOf[vm]
	mac, listed := sta.machines.byName[name]
	switch {
	case !known:
		return "unknown"
	case !listed:
		return "gone"
	case mac.VM != "":
		return "other_vm"
	default:
		return string(mac.State)
	}
}

// coveredBy reports whether a list of machines that was requested at a given time
// shows the VM's state. An earlier one may have been read before the VM started, and
// then shows the machine as it was before.
func (hos *host) coveredBy(requestedAt time.Time) bool { return !requestedAt.Before(hos.firstSeen) }

// unlistedHosts returns the hosts that the last list of machines doesn't cover and
// doesn't show. Only another list or another host changes them.
func (sta *State) unlistedHosts() []*host {
	if sta.unlistedKnown {
		return sta.unlisted
	}
	sta.unlisted, sta.unlistedKnown = sta.unlisted[:0], true
	for _, hos := range sta.hostList {
		if _, listed := sta.machines.byVM[hos.vm.ID]; !listed && !hos.coveredBy(sta.machines.asOf) {
			sta.unlisted = append(sta.unlisted, hos)
		}
	}
	return sta.unlisted
}

// confirmListedVM reports whether a machine is known to run no other VM than the last
// list of machines shows: an order for the machine would end the other VM's tasks
// unseen. A registration doesn't name the machine, but its availability zone, kind and
// rack. If a report of the listed VM can settle it, one is requested.
func (sta *State) confirmListedVM(mac worker.Machine) bool {
	los, lost := sta.lostVMs.Get(mac.VM)
	if lost && !los.at.Before(sta.machines.asOf) {
		return false
	}
	hos := sta.hosts[mac.VM]
	for _, oth := range sta.unlistedHosts() {
		if oth.vm.AZ != mac.AZ || !slices.Equal(oth.vm.Labels, mac.Labels) {
			continue
		}
		if hos == nil {
			return false
		}
		if !hos.clock.ReceivedAt().After(oth.firstSeen) {
			hos.reportDue = true
			return false
		}
	}
	return true
}

// noticeOrder records that a host's machine goes down by an order, of a former
// dispatcher or without a valid answer, as its listing shows.
func (sta *State) noticeOrder(hos *host, mac worker.Machine, requestedAt time.Time) {
	if hos.goingDown || mac.State != worker.MachineMoving && mac.State != worker.MachineUpkeep {
		return
	}
	sta.logDecision("order_noticed", "", map[string]any{"machine": mac.Name, "vm": hos.vm.ID, "state": mac.State})
	hos.goingDown, hos.downAnsweredAt = true, requestedAt
	sta.machines.refreshDue = true
}

// applyListing updates a host from a list of machines that covers it and was
// requested at a given time.
func (sta *State) applyListing(hos *host, requestedAt time.Time) {
	name, ok := sta.machines.byVM[hos.vm.ID]
	mac := sta.machines.byName[name]
	ordered := hos.goingDown && !hos.downAnsweredAt.IsZero() && requestedAt.After(hos.downAnsweredAt)
	switch {
	case ordered && ok && mac.State == worker.MachineUp:
		sta.logDecision("order_without_effect", "", map[string]any{"machine": name, "vm": hos.vm.ID})
		hos.goingDown, hos.downAnsweredAt = false, time.Time{}
		delete(sta.moves, name)
	case ordered:
		sta.removeHost(hos, reasonOrdered)
	case (!ok || mac.State != worker.MachineUp) && !hos.termAccepted:
		// Registrations outlast a VM by some seconds.
		sta.removeHost(hos, reasonUnlisted)
	case hos.failedPolls > 0 && hos.listedGone:
		sta.removeHost(hos, reasonMachineGone)
	}
}

// needsListing reports whether a list of machines may show that a host has ended.
func (sta *State) needsListing(hos *host) bool {
	_, listed := sta.machines.byVM[hos.vm.ID]
	return hos.failedPolls >= silentAfterPolls || !listed
}

// listMachines requests the list of machines if it is due.
func (sta *State) listMachines() {
	if sta.machines.inFlight || sta.now.Before(sta.machines.nextRequest) {
		return
	}
	pause := idleListInterval
	if sta.formerLeasesMayHold() && sta.machines.asOf.Before(sta.opt.Since) {
		pause = 0
	}
	for _, wav := range sta.waves {
		if !wav.completed {
			pause = min(pause, listInterval)
		}
	}
	if len(sta.moves) > 0 {
		pause = min(pause, listInterval)
	}
	if pause > listInterval && sta.now.Sub(sta.machines.requestedAt) >= listInterval && sta.now.Sub(sta.machines.checkedAt) >= listCheckInterval {
		sta.machines.checkedAt = sta.now
		if slices.ContainsFunc(sta.hostList, sta.needsListing) || sta.bound.toLost {
			pause = listInterval
		}
	}
	if sta.machines.refreshDue {
		pause = min(pause, listDelayAfterOrder)
	}
	if sta.now.Sub(sta.machines.requestedAt) < pause {
		return
	}
	sta.machines.inFlight, sta.machines.refreshDue = true, false
	sta.machines.requestedAt = sta.now
	sta.emit(ListMachines{})
}
