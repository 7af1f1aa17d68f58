package blame

import (
	"math"
	"slices"
	"time"
)

const (
	// YoungAge is the age of a run up to which it may explain the crash of its VM.
	YoungAge = 500 * time.Millisecond
	// floorRate is the least rate of unexplained crashes, whatever was seen: a fleet
	// that was quiet for long may see crashes from now on.
	floorRate = 0.02
	// longWindow is the time over which unexplained crashes are counted, and
	// shortWindow that in which several belong to the same wave.
	longWindow  = 30 * time.Second
	shortWindow = 2 * time.Second
)

// Crashes holds the recent crashes of VMs that no task explains, by pool.
type Crashes struct {
	at map[string][]time.Time
}

// NewCrashes returns a history without crashes.
func NewCrashes() *Crashes { return &Crashes{at: map[string][]time.Time{}} }

// IsUnexplained reports whether none of the runs on a lost VM was young.
func IsUnexplained(runs []Run) bool {
	return !slices.ContainsFunc(runs, func(run Run) bool { return run.Lived <= YoungAge })
}

// Add records an unexplained crash of a VM of a pool.
func (crs *Crashes) Add(pool string, now time.Time) {
	crs.at[pool] = append(crs.recent(pool, now, longWindow), now)
}

// Rate returns the rate of unexplained crashes in a second of a VM of a pool. It is
// seen on the VMs without young runs only, of which there are a number at the time.
func (crs *Crashes) Rate(pool string, vms int, now time.Time) float64 {
	rate := floorRate
	for _, window := range []time.Duration{shortWindow, longWindow} {
		rate = math.Max(rate, float64(len(crs.recent(pool, now, window)))/(float64(max(1, vms))*window.Seconds()))
	}
	return rate
}

// recent returns the crashes in a window that ends now.
func (crs *Crashes) recent(pool string, now time.Time, window time.Duration) []time.Time {
	all := crs.at[pool]
	i := slices.IndexFunc(all, func(at time.Time) bool { return now.Sub(at) <= window })
	if i < 0 {
		return nil
	}
	return all[i:]
}
