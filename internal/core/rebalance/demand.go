package rebalance

import (
	"math"
	"time"
)

// rateWindow is the time constant of the average rate of arriving work.
const rateWindow = 700 * time.Millisecond

// Demand measures the demand for a pool's machines.
type Demand struct {
	// rate is the average of the arriving work, in cores; updated is when it was
	// last averaged.
	rate    float64
	updated time.Time
	// arrived is the work that has arrived since then, in core-seconds.
	arrived float64
	// samples holds the recent numbers of wanted machines, oldest first.
	samples []demandSample
}

// demandSample is the number of machines wanted at one time.
type demandSample struct {
	at   time.Time
	want int
}

// Add adds work that has arrived, in core-seconds.
func (dem *Demand) Add(work float64) { dem.arrived += work }

// Rate returns the average of the arriving work, in cores.
func (dem *Demand) Rate() float64 { return dem.rate }

// RecordWant records the number of machines wanted now, and returns the maximum
// of the numbers recorded within the given time.
func (dem *Demand) RecordWant(now time.Time, want int, within time.Duration) (keep int) {
	dem.samples = append(dem.samples, demandSample{now, want})
	for now.Sub(dem.samples[0].at) > within {
		dem.samples = dem.samples[1:]
	}
	for _, sam := range dem.samples {
		keep = max(keep, sam.want)
	}
	return keep
}

// Average updates the rate with the work that has arrived since the last
// update.
func (dem *Demand) Average(now time.Time) {
	span := now.Sub(dem.updated)
	if dem.updated.IsZero() || span <= 0 {
		dem.updated = now
		return
	}
	weight := 1 - math.Exp(-span.Seconds()/rateWindow.Seconds())
	dem.rate += (dem.arrived/span.Seconds() - dem.rate) * weight
	dem.arrived, dem.updated = 0, now
}
