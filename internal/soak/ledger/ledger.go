// Package ledger records what callers, VMs and operators observe of the system
// and detects violated invariants. Methods take the time as an argument.
//
// A machine is identified by its name; a VM is one incarnation of a machine and
// is named by the machine, a dot and the number of the incarnation.
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
	// VMMilliCPU is the capacity of a VM, in thousandths of a core.
	VMMilliCPU int64
	// Attempts is the number of failed runs after which a task fails.
	Attempts int
}

// PlatformBounds are the limits that the platform's specification sets for its
// smaller sites.
var PlatformBounds = Bounds{
	Revoke: 5 * time.Second, Evacuate: 5 * time.Second, Cancel: 3 * time.Second, Overrun: 0.1, VMMilliCPU: 16_000, Attempts: 4,
}

// Step is a group of equal tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int
	// CPU is what each task reserves, in thousandths of a core.
	CPU int64
	// After holds the indexes of the steps that must be done before this one
	// starts.
	After []int
	// Lasting tasks run until their job is cancelled.
	Lasting bool
}

// Job is a job as its caller submits it.
type Job struct {
	ID      string
	Account string
	Payload string
	Steps   []Step
}

// Outcome is the result of a submission as its caller observes it.
type Outcome int

// Outcomes of a submission.
const (
	Accepted Outcome = iota
	// Refused submissions are guaranteed never to run.
	Refused
	// Unanswered submissions may have been accepted.
	Unanswered
)

// Ledger records observations of callers, VMs and operators, and the violations
// that they show. It is safe for concurrent use.
type Ledger struct {
	bounds Bounds

	mu    sync.Mutex
	jobs  map[string]*jobRecord
	tasks map[string]*taskRecord
	// accountCaps and accountCPU hold the cap and the load of each account, vmCPU
	// the load of each VM, all in thousandths of a core.
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
	// reported is the state last reported to the caller.
	reported string
}

type taskRecord struct {
	running int
	// failed counts the failed runs, failedAcked those whose end was acknowledged
	// to the VM.
	failed, failedAcked int
	done, acked         bool
}

// New returns an empty ledger. accountCaps holds the cap of each account that
// has one, in thousandths of a core.
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
	led.violations = append(led.violations, now.Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// AddViolation records a violation that was detected outside the ledger.
func (led *Ledger) AddViolation(now time.Time, text string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.addViolation(now, "%s", text)
}

// Send records that a job is being submitted.
func (led *Ledger) Send(job Job) {
	led.mu.Lock()
	defer led.mu.Unlock()
	if led.jobs[job.ID] == nil {
		led.jobs[job.ID] = &jobRecord{Job: job}
	}
	led.jobs[job.ID].openSubmissions++
}

// Answer records the outcome of a submission that was sent at a given time with
// a given key.
func (led *Ledger) Answer(now, sent time.Time, id, key string, out Outcome) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec := led.jobs[id]
	rec.openSubmissions--
	rec.mayBeAccepted = rec.mayBeAccepted || out != Refused
	rec.accepted = rec.accepted || out == Accepted
	if withdrawn, ok := led.withdrawnKeys[key]; ok && out == Accepted && sent.Sub(withdrawn) > led.bounds.Revoke {
		led.addViolation(now, "job %s was accepted with a key that had been withdrawn %v earlier", id, sent.Sub(withdrawn))
	}
}

// Withdraw records that a key was withdrawn.
func (led *Ledger) Withdraw(now time.Time, key string) {
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
// now.
func (led *Ledger) LinkCut(now time.Time, machine string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.linkCutAt[machine] = now
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
	led.jobs[id].cancelled = now
}

// StateReported records the state of an accepted job that was reported to its
// caller, or "gone" if the reply was that no such job exists.
func (led *Ledger) StateReported(now time.Time, id, state string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec := led.jobs[id]
	final := map[string]bool{"completed": true, "failed": true, "cancelled": true}
	switch {
	case state == "gone":
		led.addViolation(now, "job %s was accepted but is reported as not existing", id)
	case final[rec.reported] && state != rec.reported:
		led.addViolation(now, "job %s is reported as %s after %s", id, state, rec.reported)
	case state == "cancelled" && rec.cancelled.IsZero():
		led.addViolation(now, "job %s is reported as cancelled, but no caller cancelled it", id)
	case state == "completed":
		led.checkTasksDone(now, rec, len(rec.Steps))
	case state == "failed" && led.maxFailedRuns(rec) < led.bounds.Attempts:
		led.addViolation(now, "job %s is reported as failed after %d failed runs of a task", id, led.maxFailedRuns(rec))
	}
	rec.reported = state
}

// checkTasksDone checks that every task of the given number of first steps is
// done.
func (led *Ledger) checkTasksDone(now time.Time, rec *jobRecord, steps int) {
	for i, ste := range rec.Steps[:steps] {
		for j := range ste.Count {
			if name := taskName(rec.ID, i, j); !led.task(name).done {
				led.addViolation(now, "job %s is reported as completed, but %s is not done", rec.ID, name)
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

// Lasts reports whether a task runs until its job is cancelled.
func (led *Ledger) Lasts(task string) bool {
	led.mu.Lock()
	defer led.mu.Unlock()
	_, ste := led.stepOf(task)
	return ste != nil && ste.Lasting
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
		led.addViolation(now, "%s run %d starts on %s while another run is active", task, run, vm)
	}
	if tas.done && tas.acked && !ste.Lasting {
		led.addViolation(now, "%s run %d starts on %s after its end was acknowledged", task, run, vm)
	}
	if tas.failedAcked >= led.bounds.Attempts && !ste.Lasting {
		led.addViolation(now, "%s run %d starts on %s after %d failed runs", task, run, vm, tas.failedAcked)
	}
	for _, dep := range ste.After {
		for j := range rec.Steps[dep].Count {
			if predecessor := taskName(rec.ID, dep, j); !led.task(predecessor).done {
				led.addViolation(now, "%s run %d starts before %s is done", task, run, predecessor)
			}
		}
	}
	led.checkStartAllowed(now, rec, vm, zone, task)
	tas.running++
	led.vmCPU[vm] += ste.CPU
	led.accountCPU[rec.Account] += ste.CPU
	if led.vmCPU[vm] > led.bounds.VMMilliCPU {
		led.addViolation(now, "%s raises the load of %s to %d of %d millicores", task, vm, led.vmCPU[vm], led.bounds.VMMilliCPU)
	}
	if limit := led.accountCaps[rec.Account]; limit > 0 && float64(led.accountCPU[rec.Account]) > float64(limit)*(1+led.bounds.Overrun)+float64(ste.CPU) {
		led.addViolation(now, "%s raises the load of account %s to %d of %d millicores", task, rec.Account, led.accountCPU[rec.Account], limit)
	}
}

// checkStartAllowed checks a start against the outcomes that were reported to
// callers and against the availability zones that are out.
func (led *Ledger) checkStartAllowed(now time.Time, rec *jobRecord, vm, zone, task string) {
	if !rec.cancelled.IsZero() && now.Sub(rec.cancelled) > led.bounds.Cancel && !led.mayArriveLate(vm, rec.cancelled) {
		led.addViolation(now, "%s starts %v after its job was cancelled", task, now.Sub(rec.cancelled))
	}
	if rec.openSubmissions == 0 && !rec.mayBeAccepted {
		led.addViolation(now, "%s starts, but every submission of its job was refused", task)
	}
	if out, ok := led.zonesOut[zone]; ok && now.Sub(out) > led.bounds.Evacuate && !led.mayArriveLate(vm, out) {
		led.addViolation(now, "%s starts in zone %s, which has been out for %v", task, zone, now.Sub(out))
	}
}

// Ended records the end of a run with the result that its VM lists, or "gone" if
// the VM itself ended.
func (led *Ledger) Ended(vm, task, result string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec, ste := led.stepOf(task)
	if rec == nil {
		return
	}
	tas := led.task(task)
	tas.running--
	led.vmCPU[vm] -= ste.CPU
	led.accountCPU[rec.Account] -= ste.CPU
	tas.done = tas.done || result == "done"
	if result == "failed" {
		tas.failed++
	}
}

// Acknowledged records that the end of a run was acknowledged to its VM.
func (led *Ledger) Acknowledged(task, result string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	if rec, _ := led.stepOf(task); rec == nil {
		return
	}
	switch result {
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
			led.addViolation(now, "job %s was accepted, but its state at the end is %q", id, rec.reported)
		}
		if rec.cancelled.IsZero() {
			continue
		}
		for i, ste := range rec.Steps {
			for j := range ste.Count {
				if name := taskName(id, i, j); led.task(name).running > 0 {
					led.addViolation(now, "%s is running at the end, but its job is cancelled", name)
				}
			}
		}
	}
}
