package ledger

import (
	"maps"
	"slices"
	"time"
)

// spareStarts is the number of further runs of a task for which there must be
// capacity before its wait counts as lost.
const spareStarts = 2

// CheckWaiting checks that no accepted job waits without a reason. While no fault is
// in progress, it must be called several times a second with the VMs that may run
// tasks. A task that may start and doesn't within Bounds.Wait is lost, and so is a
// job that has not ended and runs nothing for that time. Both count only while the
// VMs have capacity and the account is below half of its cap.
func (led *Ledger) CheckWaiting(now time.Time, vms []string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(led.jobs)) {
		rec := led.jobs[id]
		if !rec.accepted || !rec.cancelled.IsZero() || isFinal(rec.reported) {
			continue
		}
		roomForAll, running := true, false
		for i, ste := range rec.Steps {
			room := led.hasRoom(rec.Account, ste.CPU, vms)
			roomForAll = roomForAll && room
			for j := range ste.Count {
				name := taskName(id, i, j)
				running = running || led.task(name).running > 0
				if led.task(name).wait.exceeds(now, room && led.mayStart(rec, name), led.bounds.Wait) {
					led.addJobViolation(now, rec, "LOST: %s of accepted job %s has not run for %v while capacity is free", name, id, led.bounds.Wait)
				}
			}
		}
		if rec.idle.exceeds(now, roomForAll && !running, led.bounds.Wait) {
			led.addJobViolation(now, rec, "LOST: accepted job %s has not ended and has run nothing for %v while capacity is free", id, led.bounds.Wait)
		}
	}
}

// wait is the time for which a condition has held without interruption.
type wait struct {
	// since is zero while the condition doesn't hold.
	since time.Time
	// reported is set once the wait has exceeded its bound.
	reported bool
}

// exceeds records whether the condition holds, and reports whether it has held for
// longer than a bound. It reports that only once.
func (wai *wait) exceeds(now time.Time, holds bool, bound time.Duration) bool {
	switch {
	case !holds:
		wai.since = time.Time{}
	case wai.since.IsZero():
		wai.since = now
	case now.Sub(wai.since) > bound && !wai.reported:
		wai.reported = true
		return true
	}
	return false
}

// mayStart reports whether a task has not ended, isn't running, and its
// predecessors are known to be done. An end that its VM took along is known to the
// VM only, perhaps.
func (led *Ledger) mayStart(rec *jobRecord, name string) bool {
	tas := led.task(name)
	_, ste := led.stepOf(name)
	if tas.done || tas.running > 0 || tas.failed >= led.attempts(rec) && !ste.Lasting {
		return false
	}
	for _, dep := range ste.After {
		for j := range rec.Steps[dep].Count {
			if predecessor := led.task(taskName(rec.ID, dep, j)); !predecessor.done || !predecessor.acked {
				return false
			}
		}
	}
	return true
}

// hasRoom reports whether an account may start a task and the VMs have capacity
// for it several times over, with less than half of their capacity in use.
func (led *Ledger) hasRoom(account string, cpu int64, vms []string) bool {
	if limit := led.accountCaps[account]; limit > 0 && led.accountCPU[account]*2 >= limit {
		return false
	}
	fits, used := int64(0), int64(0)
	for _, vm := range vms {
		used += led.vmCPU[vm]
		fits += (led.bounds.VMMillicores - led.vmCPU[vm]) / max(1, cpu)
	}
	return fits >= spareStarts && used*2 < led.bounds.VMMillicores*int64(len(vms))
}

// EndedSince returns the accepted jobs that were first reported as ended, or whose
// cancellation was acknowledged, after a given time. Their state must not change.
func (led *Ledger) EndedSince(since time.Time) (jobs []Job) {
	led.mu.Lock()
	defer led.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(led.jobs)) {
		if rec := led.jobs[id]; rec.accepted && (rec.endedAt.After(since) || rec.cancelled.After(since)) {
			jobs = append(jobs, rec.Job)
		}
	}
	return jobs
}
