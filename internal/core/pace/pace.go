// Package pace controls the speed of best-effort tasks that share a VM with
// serving tasks. The pace is the percentage of its full speed at which a
// best-effort task may work. It is cut when the tail latency of a serving task
// comes near its target, and raised again when there is headroom.
package pace

import "time"

// Full is the pace of an unthrottled task, in percent.
const Full = 100

// Unknown is the pace of a task that another dispatcher may have throttled.
const Unknown = -1

// Parameters of the controller.
const (
	// highRatio is the ratio of tail latency to target above which the pace is
	// cut. It is below 1 because a tail latency above its target for seconds
	// violates the latency objective.
	highRatio = 0.8
	// lowRatio is the ratio of tail latency to target below which the pace may
	// rise.
	lowRatio = 0.6
	// cutFactor is the factor by which a cut multiplies the pace.
	cutFactor = 0.5
	// raisePercent is the amount by which one raise increases the pace.
	raisePercent = 10
	// minPercent is the lowest pace above 0; a cut below it pauses the tasks.
	minPercent = 10
	// settleTime is the time after a change before the pace may change again. The
	// platform measures tail latency over half a second, so a change shows only
	// after that.
	settleTime = 700 * time.Millisecond
)

// Control holds the pace of one VM's best-effort tasks. It is immutable.
type Control struct {
	// Percent is the current pace, from 0 to Full.
	Percent int
	// Changed is the time of the last change of the pace.
	Changed time.Time
}

// NewControl returns a control at full pace.
func NewControl() Control { return Control{Percent: Full} }

// From returns the control with a pace that the tasks may have without an order of it.
func (con Control) From(percent int) Control {
	con.Percent = percent
	return con
}

// Least returns the least pace that a task may have that uses a CPU time out of the one at
// full pace.
func Least(used, full int64) int {
	if used <= 0 || full <= 0 {
		return 0
	}
	return int(min(Full, Full*float64(used)/float64(full)))
}

// Keeps reports whether the pace is neither cut nor raised at a ratio of tail latency to
// target.
func Keeps(ratio float64) bool { return lowRatio <= ratio && ratio <= highRatio }

// WithTailRatio returns the control after a poll of the VM. ratio is the highest
// ratio of tail latency to target of the VM's serving tasks.
func (con Control) WithTailRatio(now time.Time, ratio float64) Control {
	if now.Sub(con.Changed) < settleTime {
		return con
	}
	switch {
	case ratio > highRatio && con.Percent > 0:
		con.Percent = int(float64(con.Percent) * cutFactor)
		if con.Percent < minPercent || ratio > 1 {
			con.Percent = 0
		}
		con.Changed = now
	case ratio < lowRatio && con.Percent < Full:
		con.Percent = min(Full, con.Percent+raisePercent)
		con.Changed = now
	}
	return con
}
