package upkeep

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var asked = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func plan(machineCap int) Plan {
	return Plan{Wave: Wave{Number: 1, Machines: []string{"a", "b", "c"}, Duration: 20 * time.Second, Cap: machineCap}, RequestedAt: asked}
}

// TestIdleMachinesFirst takes the machines that run nothing before others, and
// no more than the cap.
func TestIdleMachinesFirst(t *testing.T) {
	cans := []Candidate{
		{Machine: "a", Up: true, LostWork: 3, Remaining: time.Second},
		{Machine: "b", Up: true},
		{Machine: "c", Up: true},
	}
	assert.DeepEqual(t, plan(2).Next(asked, cans, 0, 2*time.Second), Actions{Cordon: []string{"b", "c"}, Begin: []string{"b", "c"}})
	assert.DeepEqual(t, plan(2).Next(asked, cans, 1, 2*time.Second), Actions{Cordon: []string{"b"}, Begin: []string{"b"}})
	assert.DeepEqual(t, plan(2).Next(asked, cans, 2, 2*time.Second), Actions{})
}

// TestRunningTasksMayEnd waits for tasks that end, until the wave would be late.
func TestRunningTasksMayEnd(t *testing.T) {
	cans := []Candidate{{Machine: "a", Up: true, LostWork: 3, Remaining: time.Second}}
	assert.DeepEqual(t, plan(1).Next(asked, cans, 0, 2*time.Second), Actions{Cordon: []string{"a"}})
	late := asked.Add(16 * time.Second)
	assert.DeepEqual(t, plan(1).Next(late, cans, 0, 2*time.Second), Actions{Cordon: []string{"a"}, Begin: []string{"a"}})
}

// TestSiblingsOnOneMachine is a machine with two tasks of a step of which one
// may be away: one of them goes elsewhere before the upkeep.
func TestSiblingsOnOneMachine(t *testing.T) {
	two := []Candidate{{Machine: "a", Up: true, StepShares: []StepShare{{Local: 2, Unavailable: 0, MayMiss: 1}}}}
	assert.DeepEqual(t, plan(1).Next(asked, two, 0, 2*time.Second), Actions{Cordon: []string{"a"}, Relocate: []string{"a"}})
	away := []Candidate{{Machine: "a", Up: true, StepShares: []StepShare{{Local: 1, Unavailable: 1, MayMiss: 1}}}}
	assert.DeepEqual(t, plan(1).Next(asked, away, 0, 2*time.Second), Actions{Cordon: []string{"a"}})
	back := []Candidate{{Machine: "a", Up: true, StepShares: []StepShare{{Local: 1, Unavailable: 0, MayMiss: 1}}}}
	assert.DeepEqual(t, plan(1).Next(asked, back, 0, 2*time.Second), Actions{Cordon: []string{"a"}, Begin: []string{"a"}})
}

// TestCompleted counts machines that are gone as done.
func TestCompleted(t *testing.T) {
	pla := plan(1).WithBegun("a").WithBegun("b")
	assert.Assert(t, !pla.Completed(func(string) bool { return true }))
	assert.Assert(t, pla.Completed(func(machine string) bool { return machine != "c" }))
	assert.Assert(t, pla.WithBegun("c").Completed(func(string) bool { return true }))
}
