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

// propagationTimeout is the time from the acceptance of a change by which every
// entry has it.
const propagationTimeout = 3 * time.Second

// outcomes is a schedule that compares the replies to callers with what ran,
// and checks that nothing starts after an operator forbade it.
type outcomes struct {
	*schedule
	// nodeOf maps a request to the node that it was sent to.
	nodeOf map[string]*node
	// keyRuns counts the runs under each idempotency key.
	keyRuns map[string]int
	keyOf   map[string]string
	tasks   map[string]bool
}

// TestOutcomesUnderFaults looks for non-repeatable work that ran twice,
// refusals that are wrong, accepted tasks that are lost, and starts with a
// withdrawn key or in an availability zone that is out.
func TestOutcomesUnderFaults(t *testing.T) {
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
	sch.runDuration = func(string) time.Duration { return time.Duration(sch.rnd.Int64N(int64(200 * time.Millisecond))) }
	sch.failAttempt = func(sta start) event.AttemptResult { return out.failAttempt(sta) }
	sch.flt = faults{lose: 0.03}
	out.load()
	sch.planFaults(shp)
	out.revoke()
	sch.run(sch.faultDuration())
	sch.healFaults()
	// With a limit of one the backlog drains slowly.
	for range 10 {
		sch.run(30 * time.Second)
		if out.allEnded() {
			break
		}
	}
	out.checkReplies()
	out.checkTasks()
	return sch.faults
}

// failAttempt makes some attempts fail before they ran, and some after.
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
		out.serial++
		nod := live[out.rnd.IntN(len(live))]
		switch out.rnd.IntN(6) {
		case 0:
			name := fmt.Sprint("task once ", out.serial)
			out.tasks[name] = false
			out.submit(nod, name, "big", "once")
		case 1:
			name := fmt.Sprint("task again ", out.serial)
			out.tasks[name] = true
			out.submit(nod, name, "big", "again")
		case 2:
			out.repeatAtRandomEntry(live)
		case 3:
			out.sendRepeatable(nod, fmt.Sprint("run ", out.serial, repeatableMark))
		default:
			out.send(nod, fmt.Sprint("run ", out.serial), "")
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

// repeatAtRandomEntry sends a request with an idempotency key and repeats it at
// a random entry up to a second later, like a caller without an answer.
func (out *outcomes) repeatAtRandomEntry(live []*node) {
	key := fmt.Sprint("key ", out.serial)
	out.send(live[out.rnd.IntN(len(live))], fmt.Sprint("run ", out.serial, " first"), key)
	again := live[out.rnd.IntN(len(live))]
	run := fmt.Sprint("run ", out.serial, " again")
	out.after(time.Duration(out.rnd.Int64N(int64(time.Second))), func() { out.send(again, run, key) })
}

// revoke withdraws the key and takes an availability zone out in the middle of
// the schedule.
func (out *outcomes) revoke() {
	out.after(time.Duration(out.rnd.Int64N(int64(scheduleDuration))), func() {
		if nod := out.pickNode(); nod != nil {
			out.operate(nod, "az out", table.AZSet{AZ: azName(1), Out: true})
		}
	})
	out.after(scheduleDuration/2+time.Duration(out.rnd.Int64N(int64(scheduleDuration/2))), func() {
		if nod := out.pickNode(); nod != nil {
			out.operate(nod, "withdraw", table.KeyWithdrawn{Name: "big"})
		}
	})
}

func (out *outcomes) isInForce(name string) bool {
	rpl := out.reply[name]
	return rpl.outcome == outcome.Accepted && out.now.Sub(rpl.at) > propagationTimeout
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
			out.fail("%s was started on %s by %s in an availability zone that is out", sta.run, sta.vm, sta.node)
		}
	}
	if out.isInForce("withdraw") {
		out.fail("%s was started by %s with a withdrawn key", sta.run, sta.node)
	}
}

// checkReplies compares the replies to callers with what ran.
func (out *outcomes) checkReplies() {
	for run, nod := range out.nodeOf {
		rpl, answered := out.reply[run]
		switch {
		case rpl.outcome == outcome.NotRun && out.runs[run] > 0:
			out.fail("%s was refused with %s but ran", run, rpl.code)
		case rpl.outcome == outcome.Answered && out.runs[run] == 0:
			out.fail("%s was answered but never ran", run)
		case rpl.count > 1:
			out.fail("%s was answered %d times", run, rpl.count)
		case !answered && nod.alive:
			out.fail("%s was never answered by %s", run, nod.id)
		}
	}
}

// checkTasks checks that every accepted task ended, and that no task that is
// not repeatable started twice.
func (out *outcomes) checkTasks() {
	for name, repeatable := range out.tasks {
		rpl := out.reply[name]
		if rpl.outcome != outcome.Accepted {
			continue
		}
		id := string(rpl.code)
		if !repeatable && len(out.taskRuns[id]) > 1 {
			out.fail("%s was started on %v", name, out.taskRuns[id])
		}
		if !out.isEnded(id) {
			out.fail("%s did not end: %s", name, id)
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
		if rpl := out.reply[name]; rpl.outcome == outcome.Accepted && !out.isEnded(string(rpl.code)) {
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
