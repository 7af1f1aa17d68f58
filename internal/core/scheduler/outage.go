package scheduler

import "github.com/balsamgauge/balsamgauge/internal/core/blame"

// detectOutages records the availability zones and racks of which a new list of
// machines shows most VMs as gone.
func (sta *State) detectOutages() {
	var vms []blame.VM
	for _, hos := range sta.hostList {
		if !hos.goingDown && !hos.unseen {
			vms = append(vms, blame.VM{Places: hos.places(), Gone: hos.listedGone, Blameless: hos.listedGone && hos.isBlameless()})
		}
	}
	for _, out := range sta.outages.Detect(vms, sta.now) {
		sta.logDecision("outage", "", map[string]any{"place": out.Place, "gone": out.Gone, "known": out.Known})
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
		if pla.stage == nil || !pla.stage.step.LongRunning || pla.state != runRunning || hos.clock.ReceivedAt().Sub(pla.since) <= blame.StartupTime {
			return false
		}
	}
	return true
}
