package scheduler

import (
	"maps"
	"slices"
	"time"
)

// Parameters of the detection of outages of availability zones and racks.
const (
	// minOutage is the part of a zone's or rack's VMs that a list of machines shows
	// as gone in an outage, and minOutageVMs their least number.
	minOutage    = 0.75
	minOutageVMs = 3
	// outageTime is how long an outage lasts after the list that shows it: its VMs
	// are found not to answer one after the other.
	outageTime = 5 * time.Second
)

// detectOutages records the availability zones and racks of which a new list of
// machines shows most VMs as gone. At least one of them must have been blameless:
// tasks that crash their VMs may take down most of a small zone as well.
func (sta *State) detectOutages() {
	known, gone, blameless := map[string]int{}, map[string]int{}, map[string]int{}
	for _, hos := range sta.hostList {
		if hos.goingDown {
			continue
		}
		for _, place := range hos.places() {
			known[place]++
			if hos.listedGone {
				gone[place]++
				if hos.isBlameless() {
					blameless[place]++
				}
			}
		}
	}
	for _, place := range slices.Sorted(maps.Keys(gone)) {
		count := gone[place]
		if blameless[place] == 0 || count < minOutageVMs || float64(count) < minOutage*float64(known[place]) {
			continue
		}
		if !sta.now.Before(sta.outages[place]) {
			sta.logDecision("outage", "", map[string]any{"place": place, "gone": count, "known": known[place]})
		}
		sta.outages[place] = sta.now.Add(outageTime)
	}
}

// places returns the names of the VM's availability zone and rack among the
// places that may have an outage.
func (hos *host) places() []string {
	if hos.vm.Rack == "" {
		return []string{hos.vm.AZ}
	}
	return []string{hos.vm.AZ, "rack " + hos.vm.Rack}
}

// isBlameless reports whether no task can be why the VM crashed: it was idle, or
// all its tasks had been serving for long when it last reported.
func (hos *host) isBlameless() bool {
	if len(hos.runs) == 0 {
		return hos.termAccepted && hos.failedPolls == 0
	}
	for _, pla := range hos.runList {
		if pla.stage == nil || !pla.stage.step.LongRunning || pla.state != runRunning || hos.clock.ReceivedAt().Sub(pla.since) <= startupTime {
			return false
		}
	}
	return true
}

// inOutage reports whether a VM's availability zone or rack has an outage.
func (sta *State) inOutage(hos *host) bool {
	for _, place := range hos.places() {
		if sta.now.Before(sta.outages[place]) {
			return true
		}
	}
	return false
}
