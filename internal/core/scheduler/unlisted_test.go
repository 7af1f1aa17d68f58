package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnlistedHostsFollowEvents guards against upkeep that ends tasks unseen, as the
// hosts that no list covers yet are kept from before an event that changes them.
func TestUnlistedHostsFollowEvents(t *testing.T) {
	fix := newOutageFixture(3)
	seen := map[int]bool{}
	check := func(when string) {
		t.Helper()
		want := []string{}
		for _, hos := range fix.sta.hostList {
			if _, listed := fix.sta.machines.byVM[hos.vm.ID]; !listed && !hos.coveredBy(fix.sta.machines.asOf) {
				want = append(want, hos.vm.ID)
			}
		}
		got := []string{}
		for _, hos := range fix.sta.unlistedHosts() {
			got = append(got, hos.vm.ID)
		}
		assert.Assert(t, slices.Equal(got, want), "%s: %v, want %v", when, got, want)
		seen[len(got)] = true
	}
	fix.run(5 * time.Second)
	check("all listed")
	fix.holdLists = true
	fix.add("vm-3")
	check("a new VM")
	fix.restart(&fix.vms[0])
	check("a VM restarted")
	fix.down["vm-0"] = true
	fix.run(time.Second)
	check("the former VM is silent")
	fix.holdLists = false
	fix.reduce(MachinesListed{RequestedAt: fix.now})
	for range 40 {
		fix.run(250 * time.Millisecond)
		check("lists again")
	}
	fix.add("vm-4")
	check("another VM")
	for range 40 {
		fix.run(250 * time.Millisecond)
		check("a list with it")
	}
	assert.Assert(t, seen[0] && seen[1] && seen[2], "%v", seen)
}
