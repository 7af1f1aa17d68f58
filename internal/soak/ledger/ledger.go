// Package ledger records what callers, VMs and operators observe of the system
// and detects violated invariants. Methods take the time as an argument.
//
// A VM is one incarnation of a machine. The first VM of a machine is named as in
// "vm-2", and each later one with a dot and a number, as in "vm-2.1". The ledger
// identifies a machine by the name of its first VM. CPU is counted in millicores,
// thousandths of a core.
package ledger

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds are the limits that the platform's specification sets for the system.
type Bounds struct {
	// Revoke is the time within which a withdrawn key must stop working.
	Revoke time.Duration
	// Evacuate is the time after which no run may start in an availability zone
	// that was taken out.
	Evacuate time.Duration
	// Cancel is the time after which no run of a cancelled job may start.
	Cancel time.Duration
	// Overrun is the fraction by which an account may exceed its cap, in addition
	// to one task.
	Overrun float64
	// VMMillicores is the capacity of a VM, in millicores.
	VMMillicores int64
	// Attempts is the number of failed runs after which a task fails.
	Attempts int
	// Wait is the time for which a task, or a job that runs nothing, may wait while
	// nothing prevents a start.
	Wait time.Duration
	// Repeat is the time after a job was first reported as completed from which no
	// run of it may start.
	Repeat time.Duration
}

// PlatformBounds are the limits that the platform's specification sets for its
// smaller sites.
var PlatformBounds = Bounds{
	Revoke: 5 * time.Second, Evacuate: 5 * time.Second, Cancel: 3 * time.Second, Overrun: 0.1, VMMillicores: 16_000, Attempts: 4,
	Wait: 5 * time.Second, Repeat: time.Second,
}

// Step is a group of equal tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int
	// CPU is what each task reserves, in millicores.
	CPU int64
	// After holds the indexes of the steps that must be done before this one
	// starts.
	After []int
	// Lasting tasks run until their job is cancelled.
	Lasting bool
	// Slow tasks take several times as long as others.
	Slow bool
	// Long tasks may outlast the lease of a VM.
	Long bool
	// Frail tasks fail several times as often as others.
	Frail bool
}

// Job is a job as its caller submits it.
type Job struct {
	ID      string
	Account string
	Payload string
	Steps   []Step
	// Path is the path prefix of the queue, Pool the pool that runs its jobs. Any pool
	// is right if Pool is empty.
	Path, Pool string
	// Attempts is the number of failed runs after which a task fails, if it isn't
	// Bounds.Attempts.
	Attempts int
}

// SubmissionOutcome is the outcome of a submission as its caller observes it.
type SubmissionOutcome int

// Outcomes of a submission.
const (
	Accepted SubmissionOutcome = iota
	// Refused submissions are guaranteed never to run.
	Refused
	// Unanswered submissions may have been accepted.
	Unanswered
)

// String returns the outcome as a history shows it.
func (out SubmissionOutcome) String() string {
	return [...]string{"accepted", "refused", "not answered"}[out]
}

// Ledger records observations of callers, VMs and operators, and the violations
// that they show. It is safe for concurrent use.
type Ledger struct {
	bounds Bounds

	mu    sync.Mutex
	jobs  map[string]*jobRecord
	tasks map[string]*taskRecord
	// accountCaps and accountCPU hold the cap and the load of each account, vmCPU
	// the load of each VM, all in millicores.
	accountCaps, accountCPU, vmCPU map[string]int64
	// zonesOut and withdrawnKeys hold the times at which availability zones were
	// taken out and keys withdrawn.
	zonesOut      map[string]time.Time
	withdrawnKeys map[string]time.Time
	// linkCutAt holds the time at which the connection to each machine was last
	// cut. Orders delayed by the cut arrive after it.
	linkCutAt  map[string]time.Time
	violations []string
	started    int
}

type jobRecord struct {
	Job
	// openSubmissions counts the submissions without an outcome so far.
	openSubmissions int
	// mayBeAccepted is set if a submission was accepted or not answered.
	accepted, mayBeAccepted bool
	cancelled               time.Time
	// reported is the state last reported to the caller, endedAt the time at which a
	// final state was first reported; it is zero before.
	reported string
	endedAt  time.Time
	// idle is the time for which no task of the job has run without a reason.
	idle wait
	// history describes everything observed of the job, in its order.
	history []string
}

type taskRecord struct {
	running int
	// wait is the time for which the task has not run without a reason.
	wait wait
	// failed counts the failed runs, failedAcked those whose end was acknowledged
	// to the VM.
	failed, failedAcked int
	done, acked         bool
}

// New returns an empty ledger. accountCaps holds the cap of each account that
// has one, in millicores.
func New(bnd Bounds, accountCaps map[string]int64) *Ledger {
	return &Ledger{
		bounds: bnd, jobs: map[string]*jobRecord{}, tasks: map[string]*taskRecord{}, accountCaps: accountCaps,
		accountCPU: map[string]int64{}, vmCPU: map[string]int64{}, zonesOut: map[string]time.Time{}, withdrawnKeys: map[string]time.Time{}, linkCutAt: map[string]time.Time{},
	}
}

// Violations returns the violations found so far, each with its time.
func (led *Ledger) Violations() []string {
	led.mu.Lock()
	defer led.mu.Unlock()
	return slices.Clone(led.violations)
}

// Counts returns the number of accepted jobs and of started runs.
func (led *Ledger) Counts() (accepted, started int) {
	led.mu.Lock()
	defer led.mu.Unlock()
	for _, rec := range led.jobs {
		if rec.accepted {
			accepted++
		}
	}
	return accepted, led.started
}

func (led *Ledger) addViolation(now time.Time, format string, args ...any) {
	led.violations = append(led.violations, now.Format(timeFormat)+fmt.Sprintf(format, args...))
}

// addJobViolation records a violation with the history of its job.
func (led *Ledger) addJobViolation(now time.Time, rec *jobRecord, format string, args ...any) {
	led.addViolation(now, "%s; history of the job:\n      %s", fmt.Sprintf(format, args...), strings.Join(rec.history, "\n      "))
}

// note adds a line to the history of a job.
func (rec *jobRecord) note(now time.Time, format string, args ...any) {
	rec.history = append(rec.history, now.Format(timeFormat)+fmt.Sprintf(format, args...))
}

// timeFormat is the format of the times of violations and of lines of a history.
const timeFormat = "15:04:05.000 "

// isFinal reports whether a state of a job never changes.
func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// AddViolation records a violation that was detected outside the ledger.
func (led *Ledger) AddViolation(now time.Time, text string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.addViolation(now, "%s", text)
}

// Submitted records that a job is being submitted.
func (led *Ledger) Submitted(job Job) {
	led.mu.Lock()
	defer led.mu.Unlock()
	if led.jobs[job.ID] == nil {
		led.jobs[job.ID] = &jobRecord{Job: job}
	}
	led.jobs[job.ID].openSubmissions++
}

// Answered records the outcome of a submission that was sent at a given time with
// a given key.
func (led *Ledger) Answered(now, sent time.Time, id, key string, out SubmissionOutcome) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec := led.jobs[id]
	rec.note(now, "submission %s", out)
	rec.openSubmissions--
	rec.mayBeAccepted = rec.mayBeAccepted || out != Refused
	rec.accepted = rec.accepted || out == Accepted
	if withdrawn, ok := led.withdrawnKeys[key]; ok && out == Accepted && sent.Sub(withdrawn) > led.bounds.Revoke {
		led.addViolation(now, "job %s was accepted with a key that had been withdrawn %v earlier", id, sent.Sub(withdrawn))
	}
}

// KeyWithdrawn records that a key was withdrawn.
func (led *Ledger) KeyWithdrawn(now time.Time, key string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.withdrawnKeys[key] = now
}

// ZoneOut records that an availability zone was taken out.
func (led *Ledger) ZoneOut(now time.Time, zone string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.zonesOut[zone] = now
}

// ZoneIn records that an availability zone was taken back in.
func (led *Ledger) ZoneIn(zone string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	delete(led.zonesOut, zone)
}

// LinkCut records that the connection to a machine is cut now, or was cut until
// now, which may be a time to come if delayed orders arrive until then.
func (led *Ledger) LinkCut(now time.Time, machine string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	// Orders that are late may still arrive when another cut begins.
	if now.After(led.linkCutAt[machine]) {
		led.linkCutAt[machine] = now
	}
}

// mayArriveLate reports whether an order that was sent before a given time may
// reach a VM only now, because the connection to its machine was cut since.
func (led *Ledger) mayArriveLate(vm string, since time.Time) bool {
	machine, _, _ := strings.Cut(vm, ".")
	return !led.linkCutAt[machine].Before(since)
}

// Cancelled records that the cancellation of a job was acknowledged.
func (led *Ledger) Cancelled(now time.Time, id string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec := led.jobs[id]
	rec.note(now, "cancelled")
	rec.cancelled = now
}

// StateReported records the state of an accepted job that was reported to its
// caller, or "gone" if the reply was that no such job exists.
func (led *Ledger) StateReported(now time.Time, id, state string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec := led.jobs[id]
	if state != rec.reported {
		rec.note(now, "reported as %s", state)
	}
	if rec.endedAt.IsZero() && isFinal(state) {
		rec.endedAt = now
	}
	switch {
	case state == "gone":
		led.addJobViolation(now, rec, "job %s was accepted but is reported as not existing", id)
	case isFinal(rec.reported) && state != rec.reported:
		led.addJobViolation(now, rec, "job %s is reported as %s after %s", id, state, rec.reported)
	case !rec.cancelled.IsZero() && state != "cancelled":
		led.addJobViolation(now, rec, "job %s is reported as %s after its cancellation was acknowledged", id, state)
	case state == "cancelled" && rec.cancelled.IsZero():
		led.addJobViolation(now, rec, "job %s is reported as cancelled, but no caller cancelled it", id)
	case state == "completed":
		led.checkTasksDone(now, rec, len(rec.Steps))
	case state == "failed" && led.maxFailedRuns(rec) < led.attempts(rec):
		led.addJobViolation(now, rec, "job %s is reported as failed after %d failed runs of a task", id, led.maxFailedRuns(rec))
	}
	rec.reported = state
}

// checkTasksDone checks that every task of a job's first steps is done; steps is
// their number.
func (led *Ledger) checkTasksDone(now time.Time, rec *jobRecord, steps int) {
	for i, ste := range rec.Steps[:steps] {
		for j := range ste.Count {
			if name := taskName(rec.ID, i, j); !led.task(name).done {
				led.addJobViolation(now, rec, "job %s is reported as completed, but %s is not done", rec.ID, name)
			}
		}
	}
}

func (led *Ledger) maxFailedRuns(rec *jobRecord) (most int) {
	for i, ste := range rec.Steps {
		for j := range ste.Count {
			most = max(most, led.task(taskName(rec.ID, i, j)).failed)
		}
	}
	return most
}

// attempts returns the number of failed runs after which a task of a job fails.
func (led *Ledger) attempts(rec *jobRecord) int {
	if rec.Attempts > 0 {
		return rec.Attempts
	}
	return led.bounds.Attempts
}

// taskName returns the name of a task: its job, occurrence, step and index. Jobs
// of the soak have a single occurrence, 0.
func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

func (led *Ledger) task(name string) *taskRecord {
	if led.tasks[name] == nil {
		led.tasks[name] = &taskRecord{}
	}
	return led.tasks[name]
}

// stepOf returns the job and the step of a task, or nil if no caller submitted
// them.
func (led *Ledger) stepOf(task string) (rec *jobRecord, ste *Step) {
	parts := strings.Split(task, ".")
	rec = led.jobs[parts[0]]
	if rec == nil || len(parts) != 4 {
		return nil, nil
	}
	num, err := strconv.Atoi(parts[2])
	if err != nil || num < 0 || num >= len(rec.Steps) {
		return nil, nil
	}
	return rec, &rec.Steps[num]
}

// StepOf returns the step of a task, which is empty if no caller submitted it.
func (led *Ledger) StepOf(task string) Step {
	led.mu.Lock()
	defer led.mu.Unlock()
	if _, ste := led.stepOf(task); ste != nil {
		return *ste
	}
	return Step{}
}

// Unfinished returns the job of a task, and whether steps of the job wait for that of
// the task.
func (led *Ledger) Unfinished(task string) (job Job, ok bool) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec, ste := led.stepOf(task)
	if rec == nil {
		return Job{}, false
	}
	return rec.Job, slices.ContainsFunc(rec.Steps, func(oth Step) bool {
		return slices.ContainsFunc(oth.After, func(num int) bool { return &rec.Steps[num] == ste })
	})
}

// StartedInPool checks that a run started on a VM of the pool of its queue, also
// once the queue is removed.
func (led *Ledger) StartedInPool(now time.Time, vm, pool, task string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	if rec, _ := led.stepOf(task); rec != nil && rec.Pool != "" && rec.Pool != pool {
		led.addJobViolation(now, rec, "%s starts on %s of pool %s, but its queue has pool %s", task, vm, pool, rec.Pool)
	}
}

// Started records a run that started on a VM of an availability zone, and checks
// that it was allowed to start.
func (led *Ledger) Started(now time.Time, vm, zone, task string, run int, payload string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.started++
	rec, ste := led.stepOf(task)
	if rec == nil || payload != rec.Payload {
		led.addViolation(now, "%s run %d starts on %s, but no caller submitted it with this payload", task, run, vm)
		return
	}
	tas := led.task(task)
	if tas.running > 0 {
		led.addJobViolation(now, rec, "%s run %d starts on %s while another run is active", task, run, vm)
	}
	if tas.done && tas.acked && !ste.Lasting {
		led.addJobViolation(now, rec, "%s run %d starts on %s after its end was acknowledged", task, run, vm)
	}
	if tas.failedAcked >= led.attempts(rec) && !ste.Lasting {
		led.addJobViolation(now, rec, "%s run %d starts on %s after %d failed runs", task, run, vm, tas.failedAcked)
	}
	for _, dep := range ste.After {
		for j := range rec.Steps[dep].Count {
			if predecessor := taskName(rec.ID, dep, j); !led.task(predecessor).done {
				led.addJobViolation(now, rec, "%s run %d starts before %s is done", task, run, predecessor)
			}
		}
	}
	rec.note(now, "%s run %d starts on %s in %s", task, run, vm, zone)
	led.checkStartAllowed(now, rec, vm, zone, task)
	tas.running++
	tas.wait.since, rec.idle.since = time.Time{}, time.Time{}
	led.vmCPU[vm] += ste.CPU
	led.accountCPU[rec.Account] += ste.CPU
	if led.vmCPU[vm] > led.bounds.VMMillicores {
		led.addViolation(now, "%s raises the load of %s to %d of %d millicores", task, vm, led.vmCPU[vm], led.bounds.VMMillicores)
	}
	if limit := led.accountCaps[rec.Account]; limit > 0 && float64(led.accountCPU[rec.Account]) > float64(limit)*(1+led.bounds.Overrun)+float64(ste.CPU) {
		led.addViolation(now, "%s raises the load of account %s to %d of %d millicores", task, rec.Account, led.accountCPU[rec.Account], limit)
	}
}

// checkStartAllowed checks a start against the outcomes that were reported to
// callers and against the availability zones that are out.
func (led *Ledger) checkStartAllowed(now time.Time, rec *jobRecord, vm, zone, task string) {
	if !rec.cancelled.IsZero() && now.Sub(rec.cancelled) > led.bounds.Cancel && !led.mayArriveLate(vm, rec.cancelled) {
		led.addJobViolation(now, rec, "%s starts %v after its job was cancelled", task, now.Sub(rec.cancelled))
	}
	if rec.reported == "completed" && now.Sub(rec.endedAt) > led.bounds.Repeat && !led.mayArriveLate(vm, rec.endedAt) {
		led.addJobViolation(now, rec, "%s starts %v after its job was reported as completed", task, now.Sub(rec.endedAt))
	}
	if rec.openSubmissions == 0 && !rec.mayBeAccepted {
		led.addJobViolation(now, rec, "%s starts, but every submission of its job was refused", task)
	}
	if out, ok := led.zonesOut[zone]; ok && now.Sub(out) > led.bounds.Evacuate && !led.mayArriveLate(vm, out) {
		led.addViolation(now, "%s starts in zone %s, which has been out for %v", task, zone, now.Sub(out))
	}
}

// Ended records the end of a run with the outcome that its VM reports, or "gone"
// if the VM ended with it.
func (led *Ledger) Ended(now time.Time, vm, task string, run int, outcome string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec, ste := led.stepOf(task)
	if rec == nil {
		return
	}
	rec.note(now, "%s run %d ends on %s as %s", task, run, vm, outcome)
	tas := led.task(task)
	tas.running--
	led.vmCPU[vm] -= ste.CPU
	led.accountCPU[rec.Account] -= ste.CPU
	tas.done = tas.done || outcome == "done"
	if outcome == "failed" {
		tas.failed++
	}
}

// Acknowledged records that the end of a run was acknowledged to its VM.
func (led *Ledger) Acknowledged(now time.Time, task string, run int, outcome string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec, _ := led.stepOf(task)
	if rec == nil {
		return
	}
	rec.note(now, "end of %s run %d acknowledged", task, run)
	switch outcome {
	case "done":
		led.task(task).acked = true
	case "failed":
		led.task(task).failedAcked++
	}
}

// Finish checks at the end of a run of the soak, after a period without faults,
// that no accepted job was lost and that no task of a cancelled job is running.
func (led *Ledger) Finish(now time.Time) {
	led.mu.Lock()
	defer led.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(led.jobs)) {
		rec := led.jobs[id]
		lasting := slices.ContainsFunc(rec.Steps, func(ste Step) bool { return ste.Lasting })
		if rec.accepted && rec.cancelled.IsZero() && !lasting && rec.reported != "completed" && rec.reported != "failed" {
			led.addJobViolation(now, rec, "job %s was accepted, but its state at the end is %q", id, rec.reported)
		}
		state := rec.reported
		if !rec.cancelled.IsZero() {
			state = "cancelled"
		}
		if !isFinal(state) {
			continue
		}
		for i, ste := range rec.Steps {
			for j := range ste.Count {
				if name := taskName(id, i, j); led.task(name).running > 0 {
					led.addJobViolation(now, rec, "%s is running at the end, but its job is %s", name, state)
				}
			}
		}
	}
}
