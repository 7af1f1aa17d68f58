package entry

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// inForce is how soon after its acceptance a change is in force everywhere.
const inForce = 3 * time.Second

// outcomes is a schedule that looks at what callers were told against what was
// run, and at what was started after operators forbade it.
type outcomes struct {
	*schedule
	// nodeOf maps a request to the node that took it.
	nodeOf map[string]*node
	// keyRuns counts the runs under each idempotency key.
	keyRuns map[string]int
	keyOf   map[string]string
	tasks   map[string]bool
}

// TestOutcomesThroughSchedulesOfFaults looks for work that ran twice and may
// not, refusals that are not true, accepted tasks that are lost, and starts with
// a withdrawn key or in an availability zone that is out.
func TestOutcomesThroughSchedulesOfFaults(t *testing.T) {
	runSchedules(t, runOutcomes)
}

func runOutcomes(t *testing.T, seed uint64) []string {
	shp := withWorkers()
	shp.deadline = time.Second
	sch := &schedule{driver: deploy(t, seed, shp), seed: seed, bound: map[string]int{}}
	for _, tea := range shp.teams {
		sch.bound[tea.Name] = tea.Limit
	}
	out := &outcomes{
		schedule: sch, nodeOf: map[string]*node{}, keyRuns: map[string]int{}, keyOf: map[string]string{}, tasks: map[string]bool{},
	}
	sch.tick = 20 * time.Millisecond
	if *scheduleTrace {
		sch.trace = os.Stdout
	}
	sch.onStart = out.checkStart
	sch.span = func(string) time.Duration { return time.Duration(sch.rnd.Int64N(int64(200 * time.Millisecond))) }
	sch.failAttempt = func(sta start) event.AttemptResult { return out.failAttempt(sta) }
	sch.flt = faults{lose: 0.03}
	out.load()
	sch.plan(shp)
	out.forbid()
	sch.run(sch.lasts())
	sch.heal()
	// A limit of one lets the backlog go slowly.
	for range 10 {
		sch.run(30 * time.Second)
		if out.allEnded() {
			break
		}
	}
	out.checkTold()
	out.checkTasks()
	return sch.faults
}

// failAttempt lets some attempts fail before they ran, and some after.
func (out *outcomes) failAttempt(sta start) event.AttemptResult {
	switch out.rnd.IntN(20) {
	case 0:
		return event.AttemptNotRun
	case 1:
		out.runs[sta.run]++
		out.checkStart(sta)
		return event.AttemptUnknown
	default:
		return 0
	}
}

func (out *outcomes) load() {
	if out.quiet {
		return
	}
	if live := out.live(); len(live) > 0 {
		out.next++
		nod := live[out.rnd.IntN(len(live))]
		switch out.rnd.IntN(6) {
		case 0:
			name := fmt.Sprint("task once ", out.next)
			out.tasks[name] = false
			out.submit(nod, name, "big", "once")
		case 1:
			name := fmt.Sprint("task again ", out.next)
			out.tasks[name] = true
			out.submit(nod, name, "big", "again")
		case 2:
			out.repeatElsewhere(live)
		case 3:
			out.sendRepeatable(nod, fmt.Sprint("run ", out.next, repeatableMark))
		default:
			out.send(nod, fmt.Sprint("run ", out.next), "")
		}
	}
	out.after(time.Duration(out.rnd.Int64N(int64(20*time.Millisecond))), out.load)
}

func (out *outcomes) send(nod *node, run, key string) {
	out.nodeOf[run] = nod
	out.keyOf[run] = key
	evt := arrival("big", 0, table.UrgencyNormal)
	evt.IdempotencyKey = key
	out.request(nod, run, evt)
}

// repeatableMark ends the names of requests that may run twice.
const repeatableMark = " repeatable"

func (out *outcomes) sendRepeatable(nod *node, run string) {
	out.nodeOf[run] = nod
	evt := arrival("big", 0, table.UrgencyNormal)
	evt.Idempotent = true
	out.request(nod, run, evt)
}

// repeatElsewhere sends a request with an idempotency key, and again to another
// entry a little later, as a caller does that got no answer.
func (out *outcomes) repeatElsewhere(live []*node) {
	key := fmt.Sprint("key ", out.next)
	out.send(live[out.rnd.IntN(len(live))], fmt.Sprint("run ", out.next, " first"), key)
	again := live[out.rnd.IntN(len(live))]
	run := fmt.Sprint("run ", out.next, " again")
	out.after(time.Duration(out.rnd.Int64N(int64(time.Second))), func() { out.send(again, run, key) })
}

// forbid withdraws the key and takes an availability zone out, in the middle of
// the schedule.
func (out *outcomes) forbid() {
	out.after(time.Duration(out.rnd.Int64N(int64(scheduleSpan))), func() {
		if nod := out.pick(); nod != nil {
			out.operate(nod, "az out", table.AZSet{AZ: azName(1), Out: true})
		}
	})
	out.after(scheduleSpan/2+time.Duration(out.rnd.Int64N(int64(scheduleSpan/2))), func() {
		if nod := out.pick(); nod != nil {
			out.operate(nod, "withdraw", table.KeyWithdrawn{Name: "big"})
		}
	})
}

func (out *outcomes) isInForce(name string) bool {
	tld := out.told[name]
	return tld.outcome == outcome.Accepted && out.now.Sub(tld.at) > inForce
}

func (out *outcomes) checkStart(sta start) {
	if key := out.keyOf[sta.run]; key != "" {
		out.keyRuns[key]++
		if out.keyRuns[key] > 1 {
			out.fail("%s ran %d times", key, out.keyRuns[key])
		}
	}
	if out.runs[sta.run] > 1 && !strings.HasSuffix(sta.run, repeatableMark) {
		out.fail("%s ran %d times", sta.run, out.runs[sta.run])
	}
	for _, one := range out.fleet {
		if one.ID == sta.vm && one.AZ == azName(1) && out.isInForce("az out") {
			out.fail("%s began on %s by %s, in an availability zone that is out", sta.run, sta.vm, sta.node)
		}
	}
	if out.isInForce("withdraw") {
		out.fail("%s began by %s with a withdrawn key", sta.run, sta.node)
	}
}

// checkTold compares what callers were told with what was run.
func (out *outcomes) checkTold() {
	for run, nod := range out.nodeOf {
		tld, answered := out.told[run]
		switch {
		case tld.outcome == outcome.NotRun && out.runs[run] > 0:
			out.fail("%s was told %s, and ran", run, tld.code)
		case tld.outcome == outcome.Answered && out.runs[run] == 0:
			out.fail("%s was answered and never ran", run)
		case tld.replies > 1:
			out.fail("%s was answered %d times", run, tld.replies)
		case !answered && nod.alive:
			out.fail("%s was never answered by %s", run, nod.id)
		}
	}
}

// checkTasks sees that every accepted task came to an end, and that none that
// may not be repeated was started twice.
func (out *outcomes) checkTasks() {
	for name, repeatable := range out.tasks {
		tld := out.told[name]
		if tld.outcome != outcome.Accepted {
			continue
		}
		id := string(tld.code)
		if !repeatable && len(out.taskRuns[id]) > 1 {
			out.fail("%s was started on %v", name, out.taskRuns[id])
		}
		if !out.isEnded(id) {
			out.fail("%s is not ended: %s", name, id)
		}
	}
	for id, vms := range out.taskRuns {
		if len(vms) > 1 && strings.Contains(id, "once") {
			out.fail("task %s was started on %v", id, vms)
		}
	}
}

func (out *outcomes) allEnded() bool {
	for name := range out.tasks {
		if tld := out.told[name]; tld.outcome == outcome.Accepted && !out.isEnded(string(tld.code)) {
			return false
		}
	}
	return true
}

func (out *outcomes) isEnded(id string) bool {
	for _, nod := range out.live() {
		if rec, ok := nod.state.log.Stored(id); ok && rec.State.IsFinal() {
			return true
		}
	}
	return false
}
