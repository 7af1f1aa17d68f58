// Package pace decides how fast tasks that fill may work beside tasks that
// serve, from the tails of the latter's response times.
package pace

import "time"

// Full is the pace of a task that nothing holds back, in percent.
const Full = 100

// Bounds of the control.
const (
	// highRatio is the part of a target above which the pace is cut; a tail that
	// is over its target for seconds breaks a promise.
	highRatio = 0.8
	// lowRatio is the part of a target below which the pace may rise.
	lowRatio = 0.6
	// cutFactor is what the pace is multiplied by in a cut.
	cutFactor = 0.5
	// raiseStep is what the pace rises by at a time, in percent.
	raiseStep = 10
	// minPace is below this the pace is set to nothing, in percent.
	minPace = 10
	// settleTime is how long a change takes to show in the tails: the platform
	// measures them over half a second.
	settleTime = 700 * time.Millisecond
)

// Control is the pace of one VM's tasks that fill. It is immutable.
type Control struct {
	// Percent is the present pace, from 0 to Full.
	Percent int
	// Changed is when it last changed.
	Changed time.Time
}

// NewControl returns a control that holds nothing back.
func NewControl() Control { return Control{Percent: Full} }

// WithTailRatio returns the control after a look: the highest ratio of a tail to its
// target on the VM.
func (con Control) WithTailRatio(now time.Time, ratio float64) Control {
	if now.Sub(con.Changed) < settleTime {
		return con
	}
	switch {
	case ratio > highRatio && con.Percent > 0:
		con.Percent = int(float64(con.Percent) * cutFactor)
		if con.Percent < minPace || ratio > 1 {
			con.Percent = 0
		}
		con.Changed = now
	case ratio < lowRatio && con.Percent < Full:
		con.Percent = min(Full, con.Percent+raiseStep)
		con.Changed = now
	}
	return con
}
