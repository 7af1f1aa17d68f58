package scheduler

import (
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/startlog"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestOlderRecordedStartStopsNoLaterRun guards against an outage of a serving task: the
// next dispatcher reads a record of its first run, whose VM has restarted under its ID since,
// before it hears of the run that is at work on another VM.
func TestOlderRecordedStartStopsNoLaterRun(t *testing.T) {
	sta, reduce := newTenure()
	first, oth := testVM("vm-1"), testVM("vm-2")
	name := job.Task{Job: jobName(1)}
	spe := job.Spec{ID: name.Job, Queue: "settle", Account: "large", Payload: "x", Accepted: sta.now, Steps: []job.Step{
		{Count: 1, Size: job.Size{CPU: 1000, Memory: 512}, LongRunning: true, MaxUnavailable: 0},
	}}
	txn, err := startlog.New(1).Write([]startlog.Start{{VM: first, Run: latestart.Run{Task: name, Number: 1}}}, 31)
	assert.NilError(t, err)
	rec, err := startlog.Decode(txn.Puts[0].Value)
	assert.NilError(t, err)
	reduce(CatalogChanged{testCatalog()}, FormerStartsListed{Records: map[string]startlog.Record{txn.Puts[0].Key: rec}}, JobAccepted{Spec: spe, Revision: 5}, JobsLoaded{})
	again := first
	again.StartedAtMS++
	reduce(VMRegistered{again}, VMRegistered{oth})
	reduce(PollAnswered{VM: oth, Sent: sta.now, Report: worker.Report{StartedAtMS: oth.StartedAtMS, Clock: time.Hour, Running: []worker.Running{{Task: name, Run: 2, Percent: 100}}}})
	hos := sta.hosts[oth.ID]
	assert.Assert(t, hos.runs[name] != nil && !hos.runs[name].ending(), "the run at work is stopped")
	assert.Assert(t, sta.stageOf(name).tasks[0].host == hos)
	assert.Assert(t, sta.hosts[first.ID].runs[name] == nil, "the task waits for its first VM")
}
