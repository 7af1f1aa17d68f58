package latestart

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// notExtended has no call extend the lease of a run.
func notExtended(string, Run) time.Time { return time.Time{} }

// TestPending checks which starts may still be carried out: those without an answer,
// until their time is up.
func TestPending(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	run := func(index, number int) Run { return Run{Task: job.Task{Job: "j", Index: index}, Number: number} }
	sts := NewStarts(0)
	sts.Add("a", run(2, 1), now)
	sts.Add("a", run(1, 2), now)
	sts.Add("a", run(1, 1), now.Add(time.Second))
	sts.Add("b", run(3, 1), now)
	sts.Add("a", run(4, 1), now)
	sts.Lose("a", run(4, 1))
	sts.Add("a", run(4, 1), now.Add(-time.Second))
	sts.Settle("a", run(4, 1))
	sts.Settle("a", run(2, 1))
	sts.Settle("c", run(2, 1))
	sts.Lose("c", run(2, 1))
	assert.DeepEqual(t, sts.Pending("a", now.Add(time.Second)), []Run{run(1, 2), run(4, 1)})
	assert.DeepEqual(t, sts.Pending("a", now.Add(MaxDelay+time.Millisecond)), []Run{run(1, 1)})
	sts.Expire(now.Add(MaxDelay+time.Second), notExtended)
	assert.DeepEqual(t, sts.Pending("b", now), []Run(nil))
	assert.DeepEqual(t, sts.Pending("a", now), []Run{run(1, 1)})
}

// TestMayArrive checks that the answer to a repeated start doesn't settle an earlier one
// without an answer.
func TestMayArrive(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	run := Run{Task: job.Task{Job: "j"}, Number: 1}
	sts := NewStarts(0)
	sts.Add("a", run, now)
	assert.Assert(t, !sts.MayArrive("a", run, now))
	sts.Lose("a", run)
	sts.Add("a", run, now.Add(time.Second))
	sts.Settle("a", run)
	assert.Assert(t, sts.MayArrive("a", run, now.Add(time.Second)))
	assert.Assert(t, !sts.MayArrive("b", run, now))
	assert.Assert(t, !sts.MayArrive("a", run, now.Add(time.Second+MaxDelay+time.Millisecond)))
}

// TestEnd checks until when a run may last that a late start begins: its start is
// carried out as late as possible, and nothing ends it before its lease.
func TestEnd(t *testing.T) {
	const lease = 10 * time.Second
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	run := Run{Task: job.Task{Job: "j"}, Number: 1}
	sts := NewStarts(lease)
	assert.Equal(t, sts.End("a", run), time.Time{})
	sts.Add("a", run, now)
	end := now.Add(MaxDelay + lease)
	assert.Equal(t, sts.End("a", run), end)
	sts.Lose("a", run)
	sts.Expire(end, notExtended)
	assert.Equal(t, sts.End("a", run), end)
	assert.Equal(t, len(sts.Pending("a", end)), 0)
	sts.Expire(end.Add(time.Millisecond), notExtended)
	assert.Equal(t, sts.End("a", run), time.Time{})
	sts.Add("a", run, now)
	sts.Settle("a", run)
	assert.Equal(t, sts.End("a", run), time.Time{})
}

// TestListedBeforeAnswer guards against a start that may still arrive and is forgotten, as a
// report lists the run before it is known that one of its tries has no answer.
func TestListedBeforeAnswer(t *testing.T) {
	run, now := Run{Task: job.Task{Job: "a"}, Number: 1}, time.Unix(1000, 0)
	pending := func(calls func(sts *Starts)) int {
		sts := NewStarts(10 * time.Second)
		sts.Add("vm", run, now)
		calls(sts)
		return len(sts.Pending("vm", now))
	}
	assert.Equal(t, pending(func(sts *Starts) { sts.List("vm", run); sts.Lose("vm", run) }), 1)
	assert.Equal(t, pending(func(sts *Starts) { sts.Lose("vm", run); sts.List("vm", run); sts.Accept("vm", run) }), 1)
	assert.Equal(t, pending(func(sts *Starts) { sts.Accept("vm", run) }), 1)
	assert.Equal(t, pending(func(sts *Starts) { sts.List("vm", run); sts.Accept("vm", run) }), 0)
	assert.Equal(t, pending(func(sts *Starts) { sts.Accept("vm", run); sts.List("vm", run) }), 0)
}

// TestAnswerAll checks which starts without an answer are settled as all tries have been answered
// after all. A start of a former dispatcher, or one that was sent again by another call, may still
// arrive, and a report from before says nothing of the last try.
func TestAnswerAll(t *testing.T) {
	run, now := Run{Task: job.Task{Job: "a"}, Number: 1}, time.Unix(1000, 0)
	open := func(calls func(sts *Starts)) bool {
		sts := NewStarts(10 * time.Second)
		calls(sts)
		return sts.IsOpen("vm", run)
	}
	lost := func(sts *Starts) { sts.Add("vm", run, now); sts.Lose("vm", run) }
	assert.Assert(t, !open(func(sts *Starts) { lost(sts); sts.AnswerAll("vm", run, false) }))
	assert.Assert(t, open(func(sts *Starts) { lost(sts); sts.AnswerAll("vm", run, true) }))
	assert.Assert(t, !open(func(sts *Starts) { lost(sts); sts.AnswerAll("vm", run, true); sts.List("vm", run) }))
	assert.Assert(t, open(func(sts *Starts) { lost(sts); sts.List("vm", run); sts.AnswerAll("vm", run, true) }))
	again := func(sts *Starts) { lost(sts); sts.Add("vm", run, now.Add(time.Second)) }
	assert.Assert(t, open(func(sts *Starts) { again(sts); sts.AnswerAll("vm", run, false); sts.Settle("vm", run) }))
	assert.Assert(t, open(func(sts *Starts) { again(sts); sts.Lose("vm", run); sts.AnswerAll("vm", run, false) }))
	former := func(sts *Starts) { sts.Restore("vm", 1, run, true, now); sts.Add("vm", run, now); sts.Lose("vm", run) }
	assert.Assert(t, open(func(sts *Starts) { former(sts); sts.AnswerAll("vm", run, false) }))
	assert.Assert(t, !open(func(sts *Starts) { sts.AnswerAll("vm", run, true) }))
}

// TestHolder checks which VM a task is bound to, after what has become of its starts.
func TestHolder(t *testing.T) {
	const lease = 10 * time.Second
	run, now := Run{Task: job.Task{Job: "a"}, Number: 2}, time.Unix(1000, 0)
	former := Run{Task: run.Task, Number: 1}
	late := now.Add(MaxDelay + time.Millisecond)
	passNone := func(string) bool { return false }
	passAll := func(string) bool { return true }
	for _, tst := range []struct {
		name   string
		calls  func(sts *Starts)
		passes func(vm string) bool
		vm     string
		bound  bool
	}{
		{"sent", func(*Starts) {}, passAll, "vm", true},
		{"withdrawn", func(sts *Starts) { sts.Withdraw("vm", run) }, passNone, "", false},
		{"without an answer, then refused", func(sts *Starts) { sts.Lose("vm", run); sts.Settle("vm", run) }, passAll, "vm", true},
		{"confirmed", func(sts *Starts) { sts.Accept("vm", run); sts.List("vm", run) }, passNone, "", false},
		{"accepted", func(sts *Starts) { sts.Accept("vm", run) }, passAll, "vm", true},
		{"accepted by a VM that is over", func(sts *Starts) { sts.Accept("vm", run); sts.SettleAnswered("vm") }, passNone, "", false},
		{"without an answer from a VM that is over", func(sts *Starts) { sts.Lose("vm", run); sts.Accept("vm", run); sts.SettleAnswered("vm") }, passAll, "vm", true},
		{"sent before a restart", func(sts *Starts) { sts.Outlive("vm") }, passNone, "vm", true},
		{"sent before a restart, neglected", func(sts *Starts) { sts.Outlive("vm") }, passAll, "", false},
		{"sent again after a restart", func(sts *Starts) { sts.Outlive("vm"); sts.Add("vm", run, now) }, passAll, "vm", true},
		{"token accepted", func(sts *Starts) { sts.Meet("vm", 7) }, passAll, "vm", true},
		{"former dispatcher's, same incarnation", func(sts *Starts) { sts.Restore("vm", 7, run, true, now); sts.Meet("vm", 7) }, passAll, "vm", true},
		{"former dispatcher's, other incarnation", func(sts *Starts) { sts.Restore("vm", 6, run, true, now); sts.Meet("vm", 7) }, passNone, "vm", true},
		{"former dispatcher's, other incarnation, neglected", func(sts *Starts) { sts.Restore("vm", 6, run, true, now); sts.Meet("vm", 7) }, passAll, "", false},
		{"former dispatcher's, incarnation unknown, neglected", func(sts *Starts) { sts.Restore("vm", 0, run, true, now); sts.Meet("vm", 0) }, passAll, "", false},
		{"observed too early", func(sts *Starts) { sts.Observe("vm", now.Add(MaxDelay)) }, passAll, "vm", true},
		{"observed", func(sts *Starts) { sts.Observe("vm", late) }, passNone, "", false},
		{"sent after the ID was over", func(sts *Starts) { sts.Forget("vm", now.Add(-time.Millisecond)) }, passAll, "vm", true},
		{"ID over", func(sts *Starts) { sts.Forget("vm", now) }, passNone, "", false},
		{"extended", func(sts *Starts) {
			sts.Expire(late.Add(lease), func(string, Run) time.Time { return late.Add(lease) })
		}, passAll, "vm", true},
		{"expired", func(sts *Starts) { sts.Expire(late.Add(lease), notExtended) }, passNone, "", false},
		{"on two VMs", func(sts *Starts) { sts.Add("oth", former, now) }, passAll, "", true},
		{"on two VMs, one neglected", func(sts *Starts) { sts.Add("oth", former, now); sts.Outlive("oth") }, passAll, "vm", true},
		{"two runs on one VM", func(sts *Starts) { sts.Add("vm", former, now); sts.Withdraw("vm", run) }, passAll, "vm", true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			sts := NewStarts(lease)
			sts.Add("vm", run, now)
			tst.calls(sts)
			vm, bound := sts.Holder(run.Task, tst.passes)
			assert.Equal(t, vm, tst.vm)
			assert.Equal(t, bound, tst.bound)
		})
	}
}

// TestNextOverdue checks when the next start can't arrive any more, and which tasks have starts
// that can't.
func TestNextOverdue(t *testing.T) {
	now := time.Unix(1000, 0)
	sts := NewStarts(0)
	assert.Assert(t, sts.NextOverdue(now).IsZero())
	one, oth := Run{Task: job.Task{Job: "a"}, Number: 1}, Run{Task: job.Task{Job: "b"}, Number: 1}
	sts.Add("vm", one, now)
	sts.Add("oth", oth, now.Add(time.Second))
	assert.Equal(t, sts.NextOverdue(now), now.Add(MaxDelay))
	late := now.Add(MaxDelay + time.Millisecond)
	assert.Equal(t, sts.NextOverdue(late), now.Add(time.Second+MaxDelay))
	assert.DeepEqual(t, sts.Overdue("vm", late), []job.Task{one.Task})
	assert.Equal(t, len(sts.Overdue("oth", late)), 0)
}
