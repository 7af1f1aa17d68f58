// Package capacity names the decisions about scarce capacity that a deployment may ask
// for. A deployment whose pools hold a reserve for the loss of an availability zone
// rarely needs them; one without a reserve has nothing else to rely on.
package capacity

// Policy switches decisions about scarce capacity. The zero Policy has none of them.
type Policy struct {
	// SharesByWeight has accounts share a full pool by their weights.
	SharesByWeight bool
	// AdmitsInTime has entries refuse jobs that will end late while others need the
	// capacity.
	AdmitsInTime bool
	// LearnsSpeeds has VMs used by the speed at which they were seen to work.
	LearnsSpeeds bool
	// FollowsDemand has pools sized for the demand that is forecast for when machines
	// arrive.
	FollowsDemand bool
	// LearnsRunTimes has run times expected by what was measured, as a distribution.
	LearnsRunTimes bool
}

// NewPolicy returns the policy of a deployment that has to bear the loss of a number of
// availability zones.
func NewPolicy(tolerated int) Policy {
	if tolerated > 0 {
		return Policy{}
	}
	return Policy{SharesByWeight: true, AdmitsInTime: true, LearnsSpeeds: true, FollowsDemand: true, LearnsRunTimes: true}
}
