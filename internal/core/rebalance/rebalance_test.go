package rebalance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func anywhere(string, string) bool { return true }

func idle(span time.Duration, machines ...string) (all []IdleMachine) {
	for _, name := range machines {
		all = append(all, IdleMachine{Machine: name, IdleFor: span})
	}
	return all
}

// TestTurnOfDemand moves the machines that the last turn left empty to the pool
// whose turn it is, before those on standby.
func TestTurnOfDemand(t *testing.T) {
	pools := []Pool{
		{Name: "cooling", Have: 6, Want: 2, Keep: 4, Empty: idle(time.Second, "a", "b", "c", "d")},
		{Name: "hot", Have: 2, Want: 7, Keep: 7},
		{Name: "standby", Standby: true, Have: 2, Empty: idle(0, "s", "t")},
	}
	assert.DeepEqual(t, Plan(pools, 10, 10, anywhere), []Move{
		{"a", "cooling", "hot"}, {"b", "cooling", "hot"}, {"s", "standby", "hot"}, {"t", "standby", "hot"},
	})
	assert.Equal(t, len(Plan(pools, 1, 10, anywhere)), 1)
}

// TestLargestLackFirst serves the pool that lacks most.
func TestLargestLackFirst(t *testing.T) {
	pools := []Pool{
		{Name: "little", Have: 2, Want: 3, Keep: 3},
		{Name: "much", Have: 2, Want: 9, Keep: 9},
		{Name: "standby", Standby: true, Have: 1, Empty: idle(0, "s")},
	}
	assert.DeepEqual(t, Plan(pools, 10, 10, anywhere), []Move{{"s", "standby", "much"}})
}

// TestRest sends machines to standby that have been idle for long, as many as
// all pools together can spare.
func TestRest(t *testing.T) {
	pools := []Pool{
		{Name: "calm", Have: 6, Want: 2, Keep: 3, Empty: append(idle(5*time.Second, "a", "b"), idle(time.Second, "c")...)},
		{Name: "standby", Standby: true},
	}
	assert.DeepEqual(t, Plan(pools, 10, 10, anywhere), []Move{{"a", "calm", "standby"}, {"b", "calm", "standby"}})
	assert.DeepEqual(t, Plan(pools, 10, 1, anywhere), []Move{{"a", "calm", "standby"}})
	assert.Equal(t, len(Plan(pools, 10, 0, anywhere)), 0)
}

// TestBarredMoves leaves out machines that the platform doesn't allow in a pool.
func TestBarredMoves(t *testing.T) {
	pools := []Pool{
		{Name: "hot", Have: 2, Want: 4, Keep: 4},
		{Name: "standby", Standby: true, Have: 2, Empty: idle(0, "s", "t")},
	}
	assert.DeepEqual(t, Plan(pools, 10, 10, func(machine, _ string) bool { return machine != "s" }), []Move{{"t", "standby", "hot"}})
}
