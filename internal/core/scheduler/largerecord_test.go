package scheduler

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/progress"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// tooLarge reports whether the store rejects a transaction for the size of a value.
func tooLarge(txn kv.Txn) bool {
	return slices.ContainsFunc(txn.Puts, func(put kv.Put) bool { return len(put.Value) > kv.MaxValueBytes })
}

// recordStore is a tenure whose transactions go to a store, which answers in the next
// call of Reduce.
type recordStore struct {
	sta *State
	now time.Time
	vm  worker.VM
	emu *emulator
	// rejects reports whether the store rejects a transaction.
	rejects func(txn kv.Txn) bool
	answers []Event
	// rejected counts the rejected transactions, notStored the decisions of that name
	// by job.
	rejected  int
	notStored map[job.ID]int
}

func newRecordStore(rejects func(txn kv.Txn) bool) *recordStore {
	sto := &recordStore{now: time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC), vm: testVM("vm-1"), emu: newEmulator(1, testCatalog()), rejects: rejects, notStored: map[job.ID]int{}}
	sto.vm.Capacity = job.Size{CPU: 1_000_000, Memory: 1_000_000}
	opt := testOptions()
	opt.Since, opt.Revision, opt.Term, opt.MachineOrdersPerSecond = sto.now, 10, 70, 0
	sto.sta = New(opt)
	sto.reduce(CatalogChanged{Catalog: testCatalog()}, VMRegistered{VM: sto.vm}, JobsLoaded{})
	return sto
}

func (sto *recordStore) reduce(events ...Event) {
	sto.now = sto.now.Add(50 * time.Millisecond)
	events = append(append(sto.answers, events...), JobWatchProgressed{At: sto.now})
	sto.answers = nil
	for _, eff := range sto.sta.Reduce(sto.now, events) {
		switch eff := eff.(type) {
		case Commit:
			evt := Committed{Lane: eff.Lane}
			if sto.rejects(eff.Txn) {
				sto.rejected++
				evt.Err = errors.Join(kv.ErrNotDone, kv.ErrRejected)
			} else {
				evt.Revision, evt.Err = sto.emu.commit(eff.Txn)
			}
			sto.answers = append(sto.answers, evt)
		case LogDecision:
			if eff.Name == "record_not_stored" {
				sto.notStored[eff.Job]++
			}
		}
	}
}

// report delivers the ends of tasks that run on the VM.
func (sto *recordStore) report(tasks ...job.Task) {
	rep := worker.Report{StartedAtMS: sto.vm.StartedAtMS, Clock: time.Second}
	for i, tas := range tasks {
		rep.Ends = append(rep.Ends, worker.End{Number: int64(i + 1), Task: tas, Run: 69_501, Kind: worker.EndDone})
	}
	sto.reduce(PollAnswered{VM: sto.vm, Sent: sto.now, Report: rep})
}

func (sto *recordStore) acknowledged() int64 { return sto.sta.hosts[sto.vm.ID].ackableUpTo }

// largeJob returns a job of 50,000 tasks, and the progress in which all but the first are
// done and half have failed once, after 69 changes of the dispatcher.
func largeJob(now time.Time) (spe job.Spec, pro job.Progress) {
	spe = job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Accepted: now}
	for i := range 5 {
		spe.Steps = append(spe.Steps, job.Step{Count: 10_000, Size: job.Size{CPU: 1000, Memory: 512}, Estimate: time.Minute})
		for j := range 10_000 {
			rec := job.TaskRecord{Step: i, Index: j, Done: i+j > 0, Run: 69_001 + j%2}
			if j%2 == 1 {
				rec.FailedRuns = []int{69_001}
			}
			pro.Tasks = append(pro.Tasks, rec)
		}
	}
	return spe, pro
}

// TestLargeProgressIsStored guards against a job of 50,000 tasks whose progress is larger
// than what the store holds in a value, and against the progress of another job that is
// lost with it as it is in the same transaction: no end on the VM was acknowledged any
// more.
func TestLargeProgressIsStored(t *testing.T) {
	sto := newRecordStore(tooLarge)
	spe, pro := largeJob(sto.now)
	oth := fanOut(2, "large", 2, 1000, time.Minute)
	oth.Accepted = sto.now
	sto.reduce(JobAccepted{Spec: oth, Revision: 5}, JobAccepted{Spec: spe, Revision: 6, Progress: pro})
	last, small := job.Task{Job: spe.ID}, job.Task{Job: oth.ID}
	sto.report(small, job.Task{Job: spe.ID, Step: 4, Index: 9_999})
	for range 40 {
		sto.report(small, job.Task{Job: spe.ID, Step: 4, Index: 9_999})
	}
	assert.Check(t, sto.emu.store.knowsDone(small), "the end of the other job is stored")
	assert.Equal(t, sto.acknowledged(), int64(2), "both ends are acknowledged; %d transactions were rejected", sto.rejected)
	assert.Equal(t, sto.rejected, 0)
	// The next dispatcher reads all of it.
	read := progress.Join(sto.emu.store.sorted(job.ProgressPrefix), func(itm kv.Item, err error) { t.Errorf("%s: %v", itm.Key, err) })
	done, failed := 0, 0
	for _, rec := range read[spe.ID].Progress.Tasks {
		if rec.Done {
			done++
		}
		failed += len(rec.FailedRuns)
	}
	assert.Equal(t, done, 49_999)
	assert.Equal(t, failed, 25_000)
	// The end of the job removes all its records.
	for range 20 {
		sto.report(small, job.Task{Job: spe.ID, Step: 4, Index: 9_999}, last)
	}
	assert.Equal(t, sto.acknowledged(), int64(3))
	assert.Equal(t, len(sto.emu.store.sorted(job.ProgressKey(spe.ID))), 0)
	assert.Equal(t, len(sto.emu.store.sorted(job.EndedKey(spe.ID))), 1)
}

// TestRejectedRecordIsWrittenAlone guards against records that aren't stored because one
// in their transaction is rejected, whatever for, and against a rejected record that is
// written again in each round.
func TestRejectedRecordIsWrittenAlone(t *testing.T) {
	rejecting := true
	bad := jobName(3)
	sto := newRecordStore(func(txn kv.Txn) bool {
		return rejecting && slices.ContainsFunc(txn.Puts, func(put kv.Put) bool { return strings.HasSuffix(put.Key, string(bad)) })
	})
	var tasks []job.Task
	for i := range 7 {
		spe := fanOut(i+1, "large", 2, 1000, time.Minute)
		spe.Accepted = sto.now
		sto.reduce(JobAccepted{Spec: spe, Revision: 5})
		tasks = append(tasks, job.Task{Job: spe.ID})
	}
	for range 40 {
		sto.report(tasks...)
	}
	for _, tas := range tasks {
		assert.Equal(t, sto.emu.store.knowsDone(tas), tas.Job != bad, "%s", tas)
	}
	assert.Equal(t, sto.acknowledged(), int64(2), "the third end is not stored")
	assert.DeepEqual(t, sto.notStored, map[job.ID]int{bad: 1})
	assert.Assert(t, sto.rejected <= 2, "%d transactions were rejected", sto.rejected)
	for range 2 * int(rejectedRetryDelay/(50*time.Millisecond)) {
		sto.report(tasks...)
	}
	assert.Assert(t, sto.notStored[bad] == 3 && sto.rejected <= 4, "%d attempts, %d rejected", sto.notStored[bad], sto.rejected)
	rejecting = false
	for range int(rejectedRetryDelay / (50 * time.Millisecond)) {
		sto.report(tasks...)
	}
	assert.Equal(t, sto.acknowledged(), int64(len(tasks)))
	// The outcome of a job whose progress was rejected is stored at once.
	rejecting, bad = true, jobName(4)
	second := job.Task{Job: bad, Step: 1}
	sto.report(append(tasks, second)...)
	for range 20 {
		sto.report(append(tasks, second)...)
	}
	assert.Equal(t, sto.notStored[bad], 1)
	rejecting = false
	sto.reduce(JobCancelled{ID: bad})
	sto.reduce()
	assert.Equal(t, len(sto.emu.store.sorted(job.EndedKey(bad))), 1)
}

// TestLargeJobSurvivesTakeovers runs a job whose progress has several parts, with lost and
// late writes and changes of the dispatcher. The emulator checks that no end is lost that
// was acknowledged, and no task is done twice.
func TestLargeJobSurvivesTakeovers(t *testing.T) {
	emu := newEmulator(3, testCatalog())
	emu.addVMs("lots", 6, 3, job.Size{CPU: 300_000, Memory: 1 << 20})
	emu.loseCommit, emu.lateCommit = 0.05, 0.05
	emu.takeOver(testOptions())
	spe := job.Spec{ID: jobName(1), Queue: "gate", Account: "large", Payload: "x", Steps: []job.Step{
		{Count: 2600, Size: job.Size{CPU: 1000, Memory: 16}, Estimate: 500 * time.Millisecond},
		{Count: 400, Size: job.Size{CPU: 1000, Memory: 16}, Estimate: 500 * time.Millisecond, After: []int{0}},
	}}
	emu.after(time.Second, func() { emu.submit(spe) })
	for i := range 4 {
		emu.after(time.Duration(2+i)*3*time.Second/2, emu.killDispatcher)
	}
	parts := 0
	for i := range 200 {
		emu.run(time.Duration(i) * 200 * time.Millisecond)
		parts = max(parts, len(emu.store.sorted(job.ProgressKey(spe.ID)+"/")))
	}
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
	assert.Equal(t, parts, 2)
	assert.Equal(t, len(emu.finished), 1)
	assert.Equal(t, len(emu.store.sorted(job.ProgressPrefix)), 0)
}
