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

// TestDemandShift checks that when demand shifts from one pool to another, the
// machines that fell idle move before those on standby.
func TestDemandShift(t *testing.T) {
	pools := []Pool{
		{Name: "cooling", Have: 6, Want: 2, Keep: 4, Idle: idle(time.Second, "a", "b", "c", "d")},
		{Name: "hot", Have: 2, Want: 7, Keep: 7},
		{Name: "standby", Standby: true, Have: 2, Idle: idle(0, "s", "t")},
	}
	assert.DeepEqual(t, Plan(pools, 10, 10, anywhere), []Move{
		{"a", "cooling", "hot"}, {"b", "cooling", "hot"}, {"s", "standby", "hot"}, {"t", "standby", "hot"},
	})
	assert.Equal(t, len(Plan(pools, 1, 10, anywhere)), 1)
}

// TestLargestDeficitFirst checks that the pool with the largest deficit gets the
// machine.
func TestLargestDeficitFirst(t *testing.T) {
	pools := []Pool{
		{Name: "little", Have: 2, Want: 3, Keep: 3},
		{Name: "much", Have: 2, Want: 9, Keep: 9},
		{Name: "standby", Standby: true, Have: 1, Idle: idle(0, "s")},
	}
	assert.DeepEqual(t, Plan(pools, 10, 10, anywhere), []Move{{"s", "standby", "much"}})
}

// TestIdleToStandby checks that machines that have been idle for long enough move
// to standby, and no more of them than the given limit.
func TestIdleToStandby(t *testing.T) {
	pools := []Pool{
		{Name: "calm", Have: 6, Want: 2, Keep: 3, Idle: append(idle(5*time.Second, "a", "b"), idle(time.Second, "c")...)},
		{Name: "standby", Standby: true},
	}
	assert.DeepEqual(t, Plan(pools, 10, 10, anywhere), []Move{{"a", "calm", "standby"}, {"b", "calm", "standby"}})
	assert.DeepEqual(t, Plan(pools, 10, 1, anywhere), []Move{{"a", "calm", "standby"}})
	assert.Equal(t, len(Plan(pools, 10, 0, anywhere)), 0)
}

// TestDisallowedMoves checks that a machine does not move to a pool in which it is
// not allowed.
func TestDisallowedMoves(t *testing.T) {
	pools := []Pool{
		{Name: "hot", Have: 2, Want: 4, Keep: 4},
		{Name: "standby", Standby: true, Have: 2, Idle: idle(0, "s", "t")},
	}
	assert.DeepEqual(t, Plan(pools, 10, 10, func(machine, _ string) bool { return machine != "s" }), []Move{{"t", "standby", "hot"}})
}
