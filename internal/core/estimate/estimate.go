// Package estimate corrects the run times that clients estimate by those that were
// measured.
package estimate

// minSampleWeight is the weight of a new sample once there are enough of them.
const minSampleWeight = 0.05

// Ratios averages, by queue, the ratio of actual to estimated run times.
type Ratios map[string]ratio

// ratio is an average and the number of its samples.
type ratio struct {
	mean  float64
	count int
}

// Add adds the ratio of a run of a queue.
func (ras Ratios) Add(queue string, val float64) {
	rat := ras[queue]
	rat.count++
	rat.mean += (val - rat.mean) * max(minSampleWeight, 1/float64(rat.count))
	ras[queue] = rat
}

// Factor returns the average of a queue, or 1 without samples.
func (ras Ratios) Factor(queue string) float64 {
	if rat := ras[queue]; rat.count > 0 {
		return rat.mean
	}
	return 1
}
