package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var requested = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func plan(machineCap int) Plan {
	return Plan{Wave: Wave{Number: 1, Machines: []string{"a", "b", "c"}, Duration: 20 * time.Second, Cap: machineCap}, RequestedAt: requested}
}

// TestIdleMachinesFirst checks that upkeep begins on idle machines before others,
// and that no more machines are down than the cap allows.
func TestIdleMachinesFirst(t *testing.T) {
	cans := []Candidate{
		{Machine: "a", Up: true, LostWork: 3, Remaining: time.Second},
		{Machine: "b", Up: true},
		{Machine: "c", Up: true},
	}
	assert.DeepEqual(t, plan(2).Next(requested, cans, 0, 2*time.Second), Actions{Cordon: []string{"b", "c"}, Begin: []string{"b", "c"}})
	assert.DeepEqual(t, plan(2).Next(requested, cans, 1, 2*time.Second), Actions{Cordon: []string{"b"}, Begin: []string{"b"}})
	assert.DeepEqual(t, plan(2).Next(requested, cans, 2, 2*time.Second), Actions{})
}

// TestWaitForRunningTasks checks that a machine is cordoned while its tasks finish,
// and that its upkeep begins once the wave would otherwise be late.
func TestWaitForRunningTasks(t *testing.T) {
	cans := []Candidate{{Machine: "a", Up: true, LostWork: 3, Remaining: time.Second}}
	assert.DeepEqual(t, plan(1).Next(requested, cans, 0, 2*time.Second), Actions{Cordon: []string{"a"}})
	late := requested.Add(16 * time.Second)
	assert.DeepEqual(t, plan(1).Next(late, cans, 0, 2*time.Second), Actions{Cordon: []string{"a"}, Begin: []string{"a"}})
}

// TestRelocateBeforeUpkeep checks a machine with two tasks of a step whose
// availability budget is one: one task is relocated and available again before
// upkeep begins.
func TestRelocateBeforeUpkeep(t *testing.T) {
	two := []Candidate{{Machine: "a", Up: true, StepShares: []StepShare{{Local: 2, Unavailable: 0, MaxUnavailable: 1}}}}
	assert.DeepEqual(t, plan(1).Next(requested, two, 0, 2*time.Second), Actions{Cordon: []string{"a"}, Relocate: []string{"a"}})
	unavailable := []Candidate{{Machine: "a", Up: true, StepShares: []StepShare{{Local: 1, Unavailable: 1, MaxUnavailable: 1}}}}
	assert.DeepEqual(t, plan(1).Next(requested, unavailable, 0, 2*time.Second), Actions{Cordon: []string{"a"}})
	available := []Candidate{{Machine: "a", Up: true, StepShares: []StepShare{{Local: 1, Unavailable: 0, MaxUnavailable: 1}}}}
	assert.DeepEqual(t, plan(1).Next(requested, available, 0, 2*time.Second), Actions{Cordon: []string{"a"}, Begin: []string{"a"}})
}

// TestCompleted checks that machines that the platform no longer lists do not
// hold up the completion of a wave.
func TestCompleted(t *testing.T) {
	pla := plan(1).WithBegun("a").WithBegun("b")
	assert.Assert(t, !pla.Completed(func(string) bool { return true }))
	assert.Assert(t, pla.Completed(func(machine string) bool { return machine != "c" }))
	assert.Assert(t, pla.WithBegun("c").Completed(func(string) bool { return true }))
}

// TestChangeOfWave checks from when the duration of a wave counts after a change, and that
// upkeep that has begun counts on.
func TestChangeOfWave(t *testing.T) {
	later := requested.Add(7 * time.Second)
	for name, tst := range map[string]struct {
		change func(wav *Wave)
		want   time.Time
	}{
		"written again":     {func(*Wave) {}, requested},
		"another cap":       {func(wav *Wave) { wav.Cap = 1 }, requested},
		"fewer machines":    {func(wav *Wave) { wav.Machines = []string{"c", "a"} }, requested},
		"another machine":   {func(wav *Wave) { wav.Machines = []string{"a", "d"} }, later},
		"another duration":  {func(wav *Wave) { wav.Duration = time.Minute }, later},
		"the same in order": {func(wav *Wave) { wav.Machines = []string{"c", "b", "a"} }, requested},
	} {
		old := plan(2).WithBegun("a")
		wav := old.Wave
		tst.change(&wav)
		pla := old.WithChange(wav, later)
		assert.DeepEqual(t, pla.Wave, wav)
		assert.Equal(t, pla.RequestedAt, tst.want, name)
		assert.DeepEqual(t, pla.Begun, map[string]bool{"a": true})
	}
}
