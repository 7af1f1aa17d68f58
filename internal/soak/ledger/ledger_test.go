package ledger

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// newTestLedger has a job of two steps that was accepted with key "k".
func newTestLedger() *Ledger {
	led := New(PlatformBounds, map[string]int64{"small": 12_000})
	job := Job{ID: "j", Account: "small", Payload: "p", Steps: []Step{{Count: 2, CPU: 2000}, {Count: 1, CPU: 2000, After: []int{0}}}}
	led.Send(job)
	led.Answer(noon, noon, "j", "k", Accepted)
	return led
}

// play runs a task to its end, and acknowledges it.
func play(led *Ledger, task string, run int, how string) {
	led.Started(noon, "vm", "az0", task, run, "p")
	led.Ended("vm", task, how)
	led.Acknowledged(task, how)
}

const first, second = "j.0.0.0", "j.0.0.1"

// histories are what the ledger is fed, with what it must find.
var histories = []struct {
	name    string
	history func(led *Ledger)
	want    string
}{
	{"sound", func(led *Ledger) {
		play(led, first, 1, "failed")
		play(led, first, 2, "done")
		play(led, second, 1, "done")
		play(led, "j.0.1.0", 1, "done")
		led.StateReported(noon, "j", "completed")
		led.Finish(noon)
	}, ""},
	{"twice at once", func(led *Ledger) {
		led.Started(noon, "vm", "az0", first, 1, "p")
		led.Started(noon, "oth", "az0", first, 2, "p")
	}, "starts on oth while it runs"},
	{"after its end", func(led *Ledger) {
		play(led, first, 1, "done")
		play(led, first, 2, "done")
	}, "after its end was acknowledged"},
	{"before its step", func(led *Ledger) { led.Started(noon, "vm", "az0", "j.0.1.0", 1, "p") }, "starts before j.0.0.0 is done"},
	{"beyond its attempts", func(led *Ledger) {
		for run := range 5 {
			play(led, first, run+1, "failed")
		}
	}, "after 4 failed runs"},
	{"beyond the room", func(led *Ledger) {
		led.Send(Job{ID: "b", Account: "large", Payload: "p", Steps: []Step{{Count: 1, CPU: 17_000}}})
		led.Answer(noon, noon, "b", "k", Accepted)
		led.Started(noon, "vm", "az0", "b.0.0.0", 1, "p")
	}, "brings vm to 17000 of 16000"},
	{"beyond the cap", func(led *Ledger) {
		led.Send(Job{ID: "b", Account: "small", Payload: "p", Steps: []Step{{Count: 9, CPU: 2000}}})
		led.Answer(noon, noon, "b", "k", Accepted)
		for i := range 8 {
			led.Started(noon, []string{"vm", "oth"}[i%2], "az0", taskName("b", 0, i), 1, "p")
		}
	}, "brings account small to 16000 of 12000"},
	{"never sent", func(led *Ledger) { led.Started(noon, "vm", "az0", "x.0.0.0", 1, "p") }, "which nobody sent so"},
	{"another payload", func(led *Ledger) { led.Started(noon, "vm", "az0", first, 1, "q") }, "which nobody sent so"},
	{"refused and run", func(led *Ledger) {
		led.Send(Job{ID: "r", Payload: "p", Steps: []Step{{Count: 1}}})
		led.Answer(noon, noon, "r", "k", Refused)
		led.Started(noon, "vm", "az0", "r.0.0.0", 1, "p")
	}, "though its job was always refused"},
	{"cancelled and run", func(led *Ledger) {
		led.Cancelled(noon, "j")
		led.Started(noon.Add(4*time.Second), "vm", "az0", first, 1, "p")
	}, "after its job was cancelled"},
	{"cancelled and running at the end", func(led *Ledger) {
		led.Started(noon, "vm", "az0", first, 1, "p")
		led.Cancelled(noon, "j")
		led.Finish(noon)
	}, "runs at the end, though its job is cancelled"},
	{"cancelled and run after an order was held up", func(led *Ledger) {
		led.Cancelled(noon, "j")
		led.LinkCut(noon.Add(4*time.Second), "vm")
		led.Started(noon.Add(4*time.Second), "vm.2", "az0", first, 1, "p")
	}, ""},
	{"cancelled and run after the way was sound", func(led *Ledger) {
		led.LinkCut(noon.Add(-time.Second), "vm")
		led.Cancelled(noon, "j")
		led.Started(noon.Add(4*time.Second), "vm.2", "az0", first, 1, "p")
	}, "after its job was cancelled"},
	{"withdrawn key", func(led *Ledger) {
		led.Withdraw(noon, "k")
		led.Send(Job{ID: "w"})
		led.Answer(noon.Add(6*time.Second), noon.Add(6*time.Second), "w", "k", Accepted)
	}, "with a key that was withdrawn 6s before"},
	{"zone out", func(led *Ledger) {
		led.ZoneOut(noon, "az0")
		led.Started(noon.Add(6*time.Second), "vm", "az0", first, 1, "p")
	}, "starts in zone az0, which is out for 6s"},
	{"lost", func(led *Ledger) { led.Finish(noon) }, `was accepted and is "" at the end`},
	{"forgotten", func(led *Ledger) { led.StateReported(noon, "j", "gone") }, "said not to exist"},
	{"completed too soon", func(led *Ledger) {
		play(led, first, 1, "done")
		play(led, second, 1, "done")
		led.StateReported(noon, "j", "completed")
	}, "told as completed and j.0.1.0 is not done"},
	{"failed without cause", func(led *Ledger) { led.StateReported(noon, "j", "failed") }, "told as failed after 0 failed runs"},
	{"cancelled by nobody", func(led *Ledger) { led.StateReported(noon, "j", "cancelled") }, "which nobody asked for"},
	{"turned back", func(led *Ledger) {
		led.Cancelled(noon, "j")
		led.StateReported(noon, "j", "cancelled")
		led.StateReported(noon, "j", "running")
	}, "told as running after cancelled"},
}

// TestLedgerDetectsViolations feeds the ledger broken histories. Each is found, and only
// that.
func TestLedgerDetectsViolations(t *testing.T) {
	for _, tst := range histories {
		t.Run(tst.name, func(t *testing.T) {
			led := newTestLedger()
			tst.history(led)
			broken := strings.Join(led.Violations(), "\n")
			if tst.want == "" {
				assert.Equal(t, broken, "")
				return
			}
			assert.Assert(t, len(led.Violations()) >= 1, "nothing was found")
			for _, what := range led.Violations() {
				assert.Assert(t, strings.Contains(what, tst.want) || tst.name == "before its step" && strings.Contains(what, "starts before"), "found %q", what)
			}
		})
	}
}
