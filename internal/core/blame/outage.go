package blame

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

// VM is what a list of machines shows of a VM.
type VM struct {
	// Places names the availability zone and the rack of the VM.
	Places []string
	Gone   bool
	// Blameless reports whether no task can be why the VM crashed.
	Blameless bool
}

// Outage is an outage of an availability zone or a rack.
type Outage struct {
	Place       string
	Gone, Known int
}

// Outages holds when the last outage of each place ends.
type Outages struct {
	until map[string]time.Time
}

// NewOutages returns a history without outages.
func NewOutages() *Outages { return &Outages{until: map[string]time.Time{}} }

// Detect records the places of which a list of machines shows most VMs as gone, and
// returns those whose outage is new. At least one of the VMs must have been blameless:
// tasks that crash their VMs may take down most of a small zone as well.
func (out *Outages) Detect(vms []VM, now time.Time) (found []Outage) {
	known, gone, blameless := map[string]int{}, map[string]int{}, map[string]int{}
	for _, one := range vms {
		for _, place := range one.Places {
			known[place]++
			if one.Gone {
				gone[place]++
				if one.Blameless {
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
		if !now.Before(out.until[place]) {
			found = append(found, Outage{Place: place, Gone: count, Known: known[place]})
		}
		out.until[place] = now.Add(outageTime)
	}
	return found
}

// Covers reports whether one of the places has an outage.
func (out *Outages) Covers(places []string, now time.Time) bool {
	return slices.ContainsFunc(places, func(place string) bool { return now.Before(out.until[place]) })
}
