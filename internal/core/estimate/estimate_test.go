package estimate

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFactor checks that the factor of a queue is the mean of its first samples and
// follows later ones slowly.
func TestFactor(t *testing.T) {
	ras := Ratios{}
	assert.Equal(t, ras.Factor("gate"), 1.0)
	ras.Add("gate", 2)
	ras.Add("gate", 1)
	assert.Equal(t, ras.Factor("gate"), 1.5)
	for range 100 {
		ras.Add("gate", 1.5)
	}
	ras.Add("gate", 2.5)
	assert.Equal(t, ras.Factor("gate"), 1.5+minSampleWeight)
	assert.Equal(t, ras.Factor("settle"), 1.0)
}
