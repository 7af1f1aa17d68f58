// Package ledger checks what must always hold, from what callers, VMs and
// operators see. The time is an argument of all that it records.
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

// Bounds are what the ledger holds the system to, from the platform's pages.
type Bounds struct {
	// Revoke is how soon a withdrawn key must stop working.
	Revoke time.Duration
	// Evacuate is how soon nothing starts any more in an availability zone that
	// was taken out.
	Evacuate time.Duration
	// Cancel is how soon nothing of a cancelled job starts any more.
	Cancel time.Duration
	// Overrun is by what share an account may pass its cap, besides one task.
	Overrun float64
	// VMMilliCPU is the room of a VM, in thousandths of a core.
	VMMilliCPU int64
	// Attempts is how often a task may fail.
	Attempts int
}

// PlatformBounds are those of the platform's pages for the smaller sites.
var PlatformBounds = Bounds{
	Revoke: 5 * time.Second, Evacuate: 5 * time.Second, Cancel: 3 * time.Second, Overrun: 0.1, VMMilliCPU: 16_000, Attempts: 4,
}

// Step is a step of a job that was sent.
type Step struct {
	Count   int
	CPU     int64
	After   []int
	Lasting bool
}

// Job is a job that a caller sends.
type Job struct {
	ID      string
	Account string
	Payload string
	Steps   []Step
}

// Outcome is how a submission ended for its caller.
type Outcome int

// The outcomes.
const (
	Accepted Outcome = iota
	// Refused submissions are said not to run, ever.
	Refused
	// Unanswered submissions may have been accepted.
	Unanswered
)

// Ledger records what callers and VMs see, and what of it breaks a promise. It
// is safe for concurrent use.
type Ledger struct {
	bounds Bounds

	mu    sync.Mutex
	jobs  map[string]*jobRecord
	tasks map[string]*taskRecord
	// accountCaps and accountCPU are of accounts; vmCPU is what runs on each VM. All are in
	// thousandths of a core.
	accountCaps, accountCPU, vmCPU map[string]int64
	zonesOut                       map[string]time.Time
	withdrawnKeys                  map[string]time.Time
	// linkCutAt holds when the way to a machine was last cut; orders held up there
	// arrive late.
	linkCutAt  map[string]time.Time
	violations []string
	started    int
}

type jobRecord struct {
	Job
	// openSubmissions counts submissions without an outcome yet.
	openSubmissions         int
	accepted, mayBeAccepted bool
	cancelled               time.Time
	reported                string
}

type taskRecord struct {
	running int
	// failed counts the runs that failed, failedAcked those whose ends were
	// acknowledged.
	failed, failedAcked int
	done, acked         bool
}

// New returns an empty ledger; caps are those of the accounts.
func New(bnd Bounds, caps map[string]int64) *Ledger {
	return &Ledger{
		bounds: bnd, jobs: map[string]*jobRecord{}, tasks: map[string]*taskRecord{}, accountCaps: caps,
		accountCPU: map[string]int64{}, vmCPU: map[string]int64{}, zonesOut: map[string]time.Time{}, withdrawnKeys: map[string]time.Time{}, linkCutAt: map[string]time.Time{},
	}
}

// Violations returns what broke a promise.
func (led *Ledger) Violations() []string {
	led.mu.Lock()
	defer led.mu.Unlock()
	return slices.Clone(led.violations)
}

// Counts returns how many jobs were accepted and how many runs started.
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

// AddViolation records something broken that was found elsewhere.
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

// Answer records the outcome of a submission that was sent with a key at a time.
func (led *Ledger) Answer(now, sent time.Time, id, key string, out Outcome) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec := led.jobs[id]
	rec.openSubmissions--
	rec.mayBeAccepted = rec.mayBeAccepted || out != Refused
	rec.accepted = rec.accepted || out == Accepted
	if withdrawn, ok := led.withdrawnKeys[key]; ok && out == Accepted && sent.Sub(withdrawn) > led.bounds.Revoke {
		led.addViolation(now, "job %s is accepted with a key that was withdrawn %v before", id, sent.Sub(withdrawn))
	}
}

// Withdraw records that a key was withdrawn.
func (led *Ledger) Withdraw(now time.Time, key string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.withdrawnKeys[key] = now
}

// ZoneOut records that an availability zone was taken out, ZoneIn that it is
// back. VMs name their zones by Zone.
func (led *Ledger) ZoneOut(now time.Time, zone string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.zonesOut[zone] = now
}

// ZoneIn records that an availability zone is back.
func (led *Ledger) ZoneIn(zone string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	delete(led.zonesOut, zone)
}

// LinkCut records that the way to a machine is or was cut until now.
func (led *Ledger) LinkCut(now time.Time, machine string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.linkCutAt[machine] = now
}

// mayArriveLate reports whether an order that was sent before a time may come to a VM
// only now. VMs are named by their machine and the number of their life.
func (led *Ledger) mayArriveLate(vm string, since time.Time) bool {
	machine, _, _ := strings.Cut(vm, ".")
	return !led.linkCutAt[machine].Before(since)
}

// Cancelled records that the cancelling of a job was acknowledged.
func (led *Ledger) Cancelled(now time.Time, id string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.jobs[id].cancelled = now
}

// StateReported records the state that a caller was told of an accepted job; "gone" for
// an answer that no such job exists.
func (led *Ledger) StateReported(now time.Time, id, state string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	rec := led.jobs[id]
	final := map[string]bool{"completed": true, "failed": true, "cancelled": true}
	switch {
	case state == "gone":
		led.addViolation(now, "job %s is accepted and said not to exist", id)
	case final[rec.reported] && state != rec.reported:
		led.addViolation(now, "job %s is told as %s after %s", id, state, rec.reported)
	case state == "cancelled" && rec.cancelled.IsZero():
		led.addViolation(now, "job %s is told as cancelled, which nobody asked for", id)
	case state == "completed":
		led.checkTasksDone(now, rec, len(rec.Steps))
	case state == "failed" && led.maxFailedRuns(rec) < led.bounds.Attempts:
		led.addViolation(now, "job %s is told as failed after %d failed runs of a task", id, led.maxFailedRuns(rec))
	}
	rec.reported = state
}

// checkTasksDone checks that all tasks of the first steps are done.
func (led *Ledger) checkTasksDone(now time.Time, rec *jobRecord, steps int) {
	for i, ste := range rec.Steps[:steps] {
		for j := range ste.Count {
			if name := taskName(rec.ID, i, j); !led.task(name).done {
				led.addViolation(now, "job %s is told as completed and %s is not done", rec.ID, name)
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

// stepOf returns the job and the step of a task; nil if nobody sent it.
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

// Started checks a run that started on a VM of an availability zone.
func (led *Ledger) Started(now time.Time, vm, zone, task string, run int, payload string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.started++
	rec, ste := led.stepOf(task)
	if rec == nil || payload != rec.Payload {
		led.addViolation(now, "%s run %d starts on %s, which nobody sent so", task, run, vm)
		return
	}
	tas := led.task(task)
	if tas.running > 0 {
		led.addViolation(now, "%s run %d starts on %s while it runs", task, run, vm)
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
		led.addViolation(now, "%s brings %s to %d of %d", task, vm, led.vmCPU[vm], led.bounds.VMMilliCPU)
	}
	if limit := led.accountCaps[rec.Account]; limit > 0 && float64(led.accountCPU[rec.Account]) > float64(limit)*(1+led.bounds.Overrun)+float64(ste.CPU) {
		led.addViolation(now, "%s brings account %s to %d of %d", task, rec.Account, led.accountCPU[rec.Account], limit)
	}
}

// checkStartAllowed checks a start against what callers and operators were told.
func (led *Ledger) checkStartAllowed(now time.Time, rec *jobRecord, vm, zone, task string) {
	if !rec.cancelled.IsZero() && now.Sub(rec.cancelled) > led.bounds.Cancel && !led.mayArriveLate(vm, rec.cancelled) {
		led.addViolation(now, "%s starts %v after its job was cancelled", task, now.Sub(rec.cancelled))
	}
	if rec.openSubmissions == 0 && !rec.mayBeAccepted {
		led.addViolation(now, "%s starts, though its job was always refused", task)
	}
	if out, ok := led.zonesOut[zone]; ok && now.Sub(out) > led.bounds.Evacuate && !led.mayArriveLate(vm, out) {
		led.addViolation(now, "%s starts in zone %s, which is out for %v", task, zone, now.Sub(out))
	}
}

// Ended records how a run ended: as its VM lists it, or "gone" with its VM.
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

// Acknowledged records that an end was acknowledged to its VM.
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

// Finish checks, after a calm while, that no accepted job was lost and that
// nothing of cancelled jobs runs.
func (led *Ledger) Finish(now time.Time) {
	led.mu.Lock()
	defer led.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(led.jobs)) {
		rec := led.jobs[id]
		lasting := slices.ContainsFunc(rec.Steps, func(ste Step) bool { return ste.Lasting })
		if rec.accepted && rec.cancelled.IsZero() && !lasting && rec.reported != "completed" && rec.reported != "failed" {
			led.addViolation(now, "job %s was accepted and is %q at the end", id, rec.reported)
		}
		if rec.cancelled.IsZero() {
			continue
		}
		for i, ste := range rec.Steps {
			for j := range ste.Count {
				if name := taskName(id, i, j); led.task(name).running > 0 {
					led.addViolation(now, "%s runs at the end, though its job is cancelled", name)
				}
			}
		}
	}
}
