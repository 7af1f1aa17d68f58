package scheduler

import "time"

// Parameters of the detection of outages of availability zones.
const (
	// minOutage is the part of a zone's VMs that a list of machines shows as gone
	// in an outage, and minOutageVMs their least number.
	minOutage    = 0.75
	minOutageVMs = 3
	// outageTime is how long an outage lasts after the list that shows it: its VMs
	// are found not to answer one after the other.
	outageTime = 5 * time.Second
)

// detectOutages records the availability zones of which a new list of machines
// shows most VMs as gone. At least one of them must have been idle: tasks that
// crash their VMs may take down most of a small zone as well.
func (sta *State) detectOutages() {
	known, gone, idle := map[string]int{}, map[string]int{}, map[string]int{}
	for _, hos := range sta.hostList {
		if hos.goingDown {
			continue
		}
		known[hos.vm.AZ]++
		if hos.listedGone {
			gone[hos.vm.AZ]++
			if len(hos.runs) == 0 && hos.termAccepted && hos.failedPolls == 0 {
				idle[hos.vm.AZ]++
			}
		}
	}
	for zone, count := range gone {
		if idle[zone] == 0 || count < minOutageVMs || float64(count) < minOutage*float64(known[zone]) {
			continue
		}
		if !sta.inOutage(zone) {
			sta.logDecision("zone_outage", "", map[string]any{"az": zone, "gone": count, "known": known[zone]})
		}
		sta.outages[zone] = sta.now.Add(outageTime)
	}
}

// inOutage reports whether an availability zone has an outage.
func (sta *State) inOutage(zone string) bool { return sta.now.Before(sta.outages[zone]) }
