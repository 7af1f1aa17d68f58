package scheduler

import (
	"maps"
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// A VM that crashes forgets what it has ended, and may carry a start out that it would have refused
// before. An end that was acknowledged is final, so a run that begins then would be a second one. One
// that was not is forgotten by the VM like the run. So an end isn't acknowledged while a start of its
// task may still arrive at the VM. The job doesn't wait for that: its progress is stored.

// holdEnd has an end wait for its acknowledgement while its VM may carry out another start of the
// task. Only ends that settle a run are held.
func (sta *State) holdEnd(hos *host, end worker.End) {
	settles := end.Kind == worker.EndDone || end.Kind == worker.EndFailed
	if !settles || !sta.lateStarts.MayRepeat(hos.vm.ID, end.Task, sta.now) {
		return
	}
	if len(hos.heldEnds) == 0 {
		hos.lowestHeld = end.Number
		sta.logDecision("ends_held", end.Task.Job, map[string]any{"vm": hos.vm.ID, "task": end.Task.String(), "run": end.Run, "end": end.Number})
	}
	hos.heldEnds[end.Number] = end.Task
}

// releaseHeldEnds lets the ends be acknowledged whose tasks have no start on its way any more.
func (sta *State) releaseHeldEnds(hos *host) {
	if len(hos.heldEnds) == 0 {
		return
	}
	before := hos.lastAckable()
	hos.dropHeld(func(_ int64, tas job.Task) bool { return !sta.lateStarts.MayRepeat(hos.vm.ID, tas, sta.now) })
	if len(hos.heldEnds) == 0 {
		sta.logDecision("ends_released", "", map[string]any{"vm": hos.vm.ID, "ends": hos.ackableUpTo - before})
	}
	hos.ackDue = hos.ackDue || hos.lastAckable() > before
}

// dropHeld drops the held ends for which a function reports so.
func (hos *host) dropHeld(drop func(number int64, tas job.Task) bool) {
	maps.DeleteFunc(hos.heldEnds, drop)
	if len(hos.heldEnds) > 0 {
		hos.lowestHeld = slices.Min(slices.Collect(maps.Keys(hos.heldEnds)))
	}
}

// lastAckable returns the number of the last end that may be acknowledged. An acknowledgement
// covers all ends up to a number.
func (hos *host) lastAckable() int64 {
	if len(hos.heldEnds) == 0 {
		return hos.ackableUpTo
	}
	return min(hos.ackableUpTo, hos.lowestHeld-1)
}

// mayListNoMoreEnds reports whether the VM's reports may have no place for the end of a further run,
// as ends are held.
func (hos *host) mayListNoMoreEnds() bool {
	return len(hos.heldEnds) > 0 && hos.lastEnd-hos.lastAckable()+int64(len(hos.runs)) >= worker.MaxEnds
}
