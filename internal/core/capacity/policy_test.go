package capacity

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNewPolicy checks that only a deployment without a reserve for the loss of an
// availability zone has the decisions by default.
func TestNewPolicy(t *testing.T) {
	assert.Equal(t, NewPolicy(1), Policy{})
	assert.Equal(t, NewPolicy(0), Policy{SharesByWeight: true, AdmitsInTime: true, LearnsSpeeds: true, FollowsDemand: true, LearnsRunTimes: true})
}
