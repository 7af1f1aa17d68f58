package ledger

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// newTestLedger returns a ledger with a job of two steps that was accepted with
// key "k".
func newTestLedger() *Ledger {
	led := New(PlatformBounds, map[string]int64{"small": 12_000})
	job := Job{ID: "j", Account: "small", Payload: "p", Steps: []Step{{Count: 2, CPU: 2000}, {Count: 1, CPU: 2000, After: []int{0}}}}
	led.Submitted(job)
	led.Answered(noon, noon, "j", "k", Accepted)
	return led
}

// play records a run of a task from its start to its acknowledged end.
func play(led *Ledger, task string, run int, how string) {
	led.Started(noon, "vm", "az0", task, run, "p")
	led.Ended(noon, "vm", task, run, how)
	led.Acknowledged(noon, task, run, how)
}

// pause checks the waits four times a second for a time, with a single VM.
func pause(led *Ledger, from time.Time, span time.Duration, vm string) {
	for at := time.Duration(0); at <= span; at += 250 * time.Millisecond {
		led.CheckWaiting(from.Add(at), []string{vm})
	}
}

// submitOfQueue records that a job is accepted on a queue with a pool and attempts.
func submitOfQueue(led *Ledger) {
	led.Submitted(Job{ID: "q", Account: "large", Payload: "p", Steps: []Step{{Count: 1, CPU: 500}}, Pool: "lots", Attempts: 3})
	led.Answered(noon, noon, "q", "k", Accepted)
}

const first, second = "j.0.0.0", "j.0.0.1"

// histories are sequences of observations, each with the violation that the
// ledger must report.
var histories = []struct {
	name    string
	history func(led *Ledger)
	want    string
}{
	{"valid", func(led *Ledger) {
		play(led, first, 1, "failed")
		play(led, first, 2, "done")
		play(led, second, 1, "done")
		play(led, "j.0.1.0", 1, "done")
		led.StateReported(noon, "j", "completed")
		led.Finish(noon)
	}, ""},
	{"two concurrent runs", func(led *Ledger) {
		led.Started(noon, "vm", "az0", first, 1, "p")
		led.Started(noon, "oth", "az0", first, 2, "p")
	}, "starts on oth while another run is active"},
	{"run after acknowledged end", func(led *Ledger) {
		play(led, first, 1, "done")
		play(led, first, 2, "done")
	}, "after its end was acknowledged"},
	{"run before predecessor", func(led *Ledger) { led.Started(noon, "vm", "az0", "j.0.1.0", 1, "p") }, "starts before j.0.0.0 is done"},
	{"run beyond attempts", func(led *Ledger) {
		for run := range 5 {
			play(led, first, run+1, "failed")
		}
	}, "after 4 failed runs"},
	{"run beyond the attempts of its queue", func(led *Ledger) {
		submitOfQueue(led)
		for run := range 4 {
			play(led, "q.0.0.0", run+1, "failed")
		}
	}, "q.0.0.0 run 4 starts on vm after 3 failed runs"},
	{"failed before the attempts of its queue", func(led *Ledger) {
		submitOfQueue(led)
		play(led, "q.0.0.0", 1, "failed")
		play(led, "q.0.0.0", 2, "failed")
		led.StateReported(noon, "q", "failed")
	}, "job q is reported as failed after 2 failed runs"},
	{"failed by the attempts of its queue, in its pool", func(led *Ledger) {
		submitOfQueue(led)
		led.StartedInPool(noon, "vm", "lots", "q.0.0.0")
		for run := range 3 {
			play(led, "q.0.0.0", run+1, "failed")
		}
		led.StateReported(noon, "q", "failed")
	}, ""},
	{"run in another pool", func(led *Ledger) {
		submitOfQueue(led)
		led.StartedInPool(noon, "vm", "kiosk", "q.0.0.0")
	}, "q.0.0.0 starts on vm of pool kiosk, but its queue has pool lots"},
	{"VM over capacity", func(led *Ledger) {
		led.Submitted(Job{ID: "b", Account: "large", Payload: "p", Steps: []Step{{Count: 1, CPU: 17_000}}})
		led.Answered(noon, noon, "b", "k", Accepted)
		led.Started(noon, "vm", "az0", "b.0.0.0", 1, "p")
	}, "raises the load of vm to 17000 of 16000 millicores"},
	{"account over cap", func(led *Ledger) {
		led.Submitted(Job{ID: "b", Account: "small", Payload: "p", Steps: []Step{{Count: 9, CPU: 2000}}})
		led.Answered(noon, noon, "b", "k", Accepted)
		for i := range 8 {
			led.Started(noon, []string{"vm", "oth"}[i%2], "az0", taskName("b", 0, i), 1, "p")
		}
	}, "raises the load of account small to 16000 of 12000 millicores"},
	{"never submitted", func(led *Ledger) { led.Started(noon, "vm", "az0", "x.0.0.0", 1, "p") }, "no caller submitted it with this payload"},
	{"another payload", func(led *Ledger) { led.Started(noon, "vm", "az0", first, 1, "q") }, "no caller submitted it with this payload"},
	{"run of refused job", func(led *Ledger) {
		led.Submitted(Job{ID: "r", Payload: "p", Steps: []Step{{Count: 1}}})
		led.Answered(noon, noon, "r", "k", Refused)
		led.Started(noon, "vm", "az0", "r.0.0.0", 1, "p")
	}, "but every submission of its job was refused"},
	{"run of cancelled job", func(led *Ledger) {
		led.Cancelled(noon, "j")
		led.Started(noon.Add(4*time.Second), "vm", "az0", first, 1, "p")
	}, "after its job was cancelled"},
	{"cancelled job running at the end", func(led *Ledger) {
		led.Started(noon, "vm", "az0", first, 1, "p")
		led.Cancelled(noon, "j")
		led.Finish(noon)
	}, "is running at the end, but its job is cancelled"},
	{"run of cancelled job after an order was delayed by a cut", func(led *Ledger) {
		led.Cancelled(noon, "j")
		led.LinkCut(noon.Add(4*time.Second), "vm")
		led.Started(noon.Add(4*time.Second), "vm.2", "az0", first, 1, "p")
	}, ""},
	{"run of cancelled job after a cut that ended before", func(led *Ledger) {
		led.LinkCut(noon.Add(-time.Second), "vm")
		led.Cancelled(noon, "j")
		led.Started(noon.Add(4*time.Second), "vm.2", "az0", first, 1, "p")
	}, "after its job was cancelled"},
	{"run of cancelled job after orders that were late, with a cut meanwhile", func(led *Ledger) {
		led.Cancelled(noon, "j")
		led.LinkCut(noon.Add(2*time.Second), "vm")
		led.LinkCut(noon.Add(-time.Second), "vm")
		led.Started(noon.Add(4*time.Second), "vm", "az0", first, 1, "p")
	}, ""},
	{"withdrawn key", func(led *Ledger) {
		led.KeyWithdrawn(noon, "k")
		led.Submitted(Job{ID: "w"})
		led.Answered(noon.Add(6*time.Second), noon.Add(6*time.Second), "w", "k", Accepted)
	}, "with a key that had been withdrawn 6s earlier"},
	{"zone out", func(led *Ledger) {
		led.ZoneOut(noon, "az0")
		led.Started(noon.Add(6*time.Second), "vm", "az0", first, 1, "p")
	}, "starts in zone az0, which has been out for 6s"},
	{"lost job", func(led *Ledger) { led.Finish(noon) }, `was accepted, but its state at the end is ""`},
	{"task never started again after its VM crashed", func(led *Ledger) {
		led.Started(noon, "vm", "az0", first, 1, "p")
		led.Started(noon, "vm", "az0", second, 1, "p")
		led.Ended(noon, "vm", first, 1, "gone")
		pause(led, noon, 6*time.Second, "oth")
	}, "LOST: j.0.0.0 of accepted job j has not run for 5s while capacity is free"},
	{"successor never started", func(led *Ledger) {
		play(led, first, 1, "done")
		play(led, second, 1, "done")
		pause(led, noon, 6*time.Second, "oth")
	}, "LOST: "},
	{"job without an end whose VM took the last end along", func(led *Ledger) {
		play(led, first, 1, "done")
		led.Started(noon, "vm", "az0", second, 1, "p")
		led.Ended(noon, "vm", second, 1, "done")
		pause(led, noon, 6*time.Second, "oth")
	}, "LOST: accepted job j has not ended and has run nothing for 5s while capacity is free"},
	{"lasting task never started again", func(led *Ledger) {
		led.Submitted(Job{ID: "l", Account: "large", Payload: "p", Steps: []Step{{Count: 2, CPU: 500, Lasting: true}}})
		led.Answered(noon, noon, "l", "k", Accepted)
		led.StateReported(noon, "j", "running")
		led.Cancelled(noon, "j")
		led.Started(noon, "vm", "az0", "l.0.0.0", 1, "p")
		for run := range 5 {
			play(led, "l.0.0.1", run+1, "failed")
		}
		pause(led, noon, 6*time.Second, "oth")
	}, "LOST: l.0.0.1 of accepted job l"},
	{"waits that have a reason or are short", func(led *Ledger) {
		pause(led, noon, 4*time.Second, "oth")
		led.Submitted(Job{ID: "b", Account: "large", Payload: "p", Steps: []Step{{Count: 1, CPU: 15_000}}})
		led.Answered(noon, noon, "b", "k", Accepted)
		led.Started(noon, "oth", "az0", "b.0.0.0", 1, "p")
		pause(led, noon.Add(4*time.Second), 8*time.Second, "oth")
		led.Ended(noon, "oth", "b.0.0.0", 1, "done")
		led.StateReported(noon, "b", "completed")
		pause(led, noon.Add(12*time.Second), 4*time.Second, "oth")
		play(led, first, 1, "done")
		play(led, second, 1, "done")
		pause(led, noon.Add(16*time.Second), 4*time.Second, "oth")
	}, ""},
	{"run after the job was reported as completed", func(led *Ledger) {
		play(led, first, 1, "done")
		play(led, second, 1, "done")
		led.Started(noon, "vm", "az0", "j.0.1.0", 1, "p")
		led.Ended(noon, "vm", "j.0.1.0", 1, "done")
		led.StateReported(noon, "j", "completed")
		led.Started(noon.Add(2*time.Second), "oth", "az0", "j.0.1.0", 2, "p")
	}, "starts 2s after its job was reported as completed"},
	{"failed job running at the end", func(led *Ledger) {
		for run := range 4 {
			play(led, first, run+1, "failed")
		}
		led.Started(noon, "vm", "az0", second, 1, "p")
		led.StateReported(noon, "j", "failed")
		led.Finish(noon)
	}, "is running at the end, but its job is failed"},
	{"another state after the cancellation", func(led *Ledger) {
		led.Cancelled(noon, "j")
		led.StateReported(noon, "j", "running")
	}, "reported as running after its cancellation was acknowledged"},
	{"completed after the cancellation", func(led *Ledger) {
		led.Cancelled(noon, "j")
		for _, task := range []string{first, second, "j.0.1.0"} {
			play(led, task, 1, "done")
		}
		led.StateReported(noon, "j", "completed")
	}, "reported as completed after its cancellation was acknowledged"},
	{"accepted job reported as gone", func(led *Ledger) { led.StateReported(noon, "j", "gone") }, "reported as not existing"},
	{"completed before its last task", func(led *Ledger) {
		play(led, first, 1, "done")
		play(led, second, 1, "done")
		led.StateReported(noon, "j", "completed")
	}, "reported as completed, but j.0.1.0 is not done"},
	{"failed without failed runs", func(led *Ledger) { led.StateReported(noon, "j", "failed") }, "reported as failed after 0 failed runs"},
	{"cancelled without a request", func(led *Ledger) { led.StateReported(noon, "j", "cancelled") }, "but no caller cancelled it"},
	{"final state changed", func(led *Ledger) {
		led.Cancelled(noon, "j")
		led.StateReported(noon, "j", "cancelled")
		led.StateReported(noon, "j", "running")
	}, "reported as running after cancelled"},
}

// TestLedgerDetectsViolations replays histories, each with at most one kind of
// violation, and checks that the ledger reports that violation and no other.
func TestLedgerDetectsViolations(t *testing.T) {
	for _, tst := range histories {
		t.Run(tst.name, func(t *testing.T) {
			led := newTestLedger()
			tst.history(led)
			violations := strings.Join(led.Violations(), "\n")
			if tst.want == "" {
				assert.Equal(t, violations, "")
				return
			}
			assert.Assert(t, len(led.Violations()) >= 1, "no violation was reported")
			for _, violation := range led.Violations() {
				assert.Assert(t, strings.Contains(violation, tst.want) || tst.name == "run before predecessor" && strings.Contains(violation, "starts before"), "reported %q", violation)
			}
		})
	}
}

// TestUnfinished checks which tasks have steps that wait for theirs.
func TestUnfinished(t *testing.T) {
	led := newTestLedger()
	for task, want := range map[string]bool{first: true, second: true, "j.0.1.0": false, "x.0.0.0": false} {
		job, ok := led.Unfinished(task)
		assert.Equal(t, ok, want, task)
		assert.Equal(t, job.ID == "j", task != "x.0.0.0")
	}
}
