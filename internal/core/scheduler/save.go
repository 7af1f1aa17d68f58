package scheduler

import (
	"errors"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Delays of writes to the store.
const (
	// saveDelay is how long the progress of a running job is collected before
	// it is written.
	saveDelay = 90 * time.Millisecond
	// saveRetryDelay is the time between two attempts of a write that failed.
	saveRetryDelay = 60 * time.Millisecond
	// rejectedRetryDelay is the time between two attempts to write a record that the
	// store rejects.
	rejectedRetryDelay = 10 * time.Second
)

// Limits of writes. A transaction holds few records, so that one at a time does not
// keep up while each takes long.
const (
	// maxCommits is the number of writes that may be in flight.
	maxCommits = 4
	// minExtraRecords is the number of records that are due from which on more than one
	// is.
	minExtraRecords = 5
)

// reservedEntries is the number of transaction entries that the caller of
// Reduce adds: the condition that this process still holds the duty.
const reservedEntries = 1

// outcomeEntries is the number of transaction entries that a job's outcome has more than
// its progress.
const outcomeEntries = 4

// saveRecords writes the records that are due. Further transactions are sent while
// the first is in flight only if there are many.
func (sta *State) saveRecords() {
	due := sta.dueRecords()
	for lane := range sta.commits {
		if sta.commits[lane].inFlight || sta.now.Before(sta.commits[lane].retryAt) {
			continue
		}
		if lane > 0 && len(due) < minExtraRecords {
			return
		}
		due = sta.saveIn(lane, due)
	}
}

// saveIn writes as many records as fit into a transaction, and returns the others.
func (sta *State) saveIn(lane int, due []*liveJob) (left []*liveJob) {
	var txn kv.Txn
	var writes []jobWrite
	for _, liv := range due {
		need := liv.record.MaxEntries()
		if liv.final != "" {
			need += outcomeEntries
		}
		if txn.Len()+need+reservedEntries > kv.MaxTxnEntries || len(writes) > 0 && (liv.alone || writes[0].liveJob.alone) {
			left = append(left, liv)
			continue
		}
		if wri, ok := sta.addRecord(&txn, liv); ok {
			liv.saving = true
			writes = append(writes, wri)
		}
	}
	purged := 0
	if lane == 0 && (len(writes) == 0 || !writes[0].liveJob.alone) {
		purged = sta.purge(&txn)
	}
	if len(writes) == 0 && purged == 0 {
		return left
	}
	sta.commits[lane] = commit{inFlight: true, jobs: writes, purged: purged}
	sta.emit(Commit{Txn: txn, Lane: lane})
	return left
}

// addRecord adds a job's record to a transaction. One that can't be stored is left
// out, and tried again later.
func (sta *State) addRecord(txn *kv.Txn, liv *liveJob) (wri jobWrite, ok bool) {
	id := liv.spec.ID
	wri = jobWrite{liveJob: liv, acks: liv.acks, final: liv.final != ""}
	var outcome []byte
	var err error
	if wri.final {
		outcome, err = job.Marshal(job.Outcome{State: liv.final, Queue: liv.spec.Queue, Host: liv.spec.Host, Prefix: liv.spec.Prefix, Account: liv.spec.Account, At: sta.now})
	} else {
		wri.progress, err = liv.record.Write(liv.progress(), sta.opt.MaxValueBytes)
	}
	if err != nil {
		sta.postponeRecord(liv, err)
		return jobWrite{}, false
	}
	liv.acks, liv.dirtySince = nil, time.Time{}
	if !wri.final {
		if wri.progress.LeftOut > 0 {
			sta.logDecision("checkpoints_not_stored", id, map[string]any{"count": wri.progress.LeftOut})
		}
		wri.progress.AddTo(txn)
		return wri, true
	}
	// The outcome doesn't depend on the stored progress, so that needs no condition.
	txn.Conditions = append(txn.Conditions, kv.Condition{Key: job.EndedKey(id)})
	if liv.final != job.StateCancelled {
		txn.Conditions = append(txn.Conditions, kv.Condition{Key: job.CancelKey(id)})
	}
	txn.Puts = append(txn.Puts, kv.Put{Key: job.EndedKey(id), Value: outcome})
	txn.Deletes = append(append(txn.Deletes, job.LiveKey(id), job.CancelKey(id)), liv.record.Keys()...)
	return wri, true
}

// progress returns the state of the tasks that the next dispatcher needs.
func (liv *liveJob) progress() (recs []job.TaskRecord) {
	for num, occ := range liv.occs {
		for i := range occ.stages {
			stg := &occ.stages[i]
			for j := range stg.tasks {
				tas := &stg.tasks[j]
				if tas.phase != phaseDone && len(tas.failedRuns) == 0 && tas.blamed.Crashes == 0 && tas.checkpoint == "" {
					continue
				}
				rec := job.TaskRecord{Occurrence: num, Step: i, Index: j, Done: tas.phase == phaseDone, FailedRuns: tas.failedRuns, Crashes: tas.blamed.Crashes, Evidence: tas.blamed.Evidence, Run: tas.run}
				if !rec.Done {
					rec.Checkpoint = tas.checkpoint
				}
				recs = append(recs, rec)
			}
		}
	}
	return recs
}

// committed handles the answer to a write.
func (sta *State) committed(evt Committed) {
	com := &sta.commits[evt.Lane]
	writes, purged := com.jobs, com.purged
	*com = commit{}
	for _, wri := range writes {
		wri.liveJob.saving = false
	}
	var con *kv.ConflictError
	switch {
	case evt.Err == nil:
		sta.purged(purged)
		for _, wri := range writes {
			sta.recordStored(wri, evt.Revision)
		}
	case errors.As(evt.Err, &con):
		for _, wri := range writes {
			sta.recordConflicted(wri, con)
		}
	default:
		com.retryAt = sta.now.Add(saveRetryDelay)
		sta.logDecision("write_failed", "", map[string]any{"jobs": len(writes), "error": evt.Err.Error()})
		for _, wri := range writes {
			sta.retryRecord(wri)
			if errors.Is(evt.Err, kv.ErrRejected) {
				sta.recordRejected(wri.liveJob, evt.Err)
			}
		}
	}
}

// recordRejected handles that the store rejected a transaction with a job's record. The
// record that it rejects alone doesn't keep the others from being stored.
func (sta *State) recordRejected(liv *liveJob, err error) {
	if liv.alone {
		sta.postponeRecord(liv, err)
	}
	liv.alone = true
}

// postponeRecord handles a record that can't be stored as it is.
func (sta *State) postponeRecord(liv *liveJob, err error) {
	liv.dirtySince = sta.now.Add(rejectedRetryDelay)
	sta.logDecision("record_not_stored", liv.spec.ID, map[string]any{"error": err.Error(), "unstored_ends": len(liv.acks), "retry_ms": rejectedRetryDelay.Milliseconds()})
}

// recordStored handles that a job's record has been stored.
func (sta *State) recordStored(wri jobWrite, rev kv.Revision) {
	for _, ack := range wri.acks {
		sta.markAckable(ack.host, ack.number)
	}
	wri.liveJob.alone = false
	if !wri.final {
		wri.liveJob.record = wri.liveJob.record.WithStored(wri.progress, rev)
		return
	}
	// Ends that arrived during the write of the final record need no further
	// record.
	for _, ack := range wri.liveJob.acks {
		sta.markAckable(ack.host, ack.number)
	}
	sta.forgetJob(wri.liveJob)
}

// recordConflicted handles a failed condition of a write: an earlier write of
// the same job, whose answer was lost, has taken effect, the job was cancelled
// before its outcome was stored, or a condition of another job failed.
func (sta *State) recordConflicted(wri jobWrite, con *kv.ConflictError) {
	id := wri.liveJob.spec.ID
	if wri.final && con.Item(job.EndedKey(id)).Revision != 0 {
		sta.recordStored(wri, con.Item(job.EndedKey(id)).Revision)
		return
	}
	switch {
	case !wri.final:
		wri.liveJob.record = wri.liveJob.record.WithRevision(con.Item(job.ProgressKey(id)).Revision)
	case con.Item(job.CancelKey(id)).Revision != 0:
		sta.cancel(id)
	}
	sta.retryRecord(wri)
}

// retryRecord schedules another write of a job's record, without saveDelay.
func (sta *State) retryRecord(wri jobWrite) {
	wri.liveJob.acks = append(wri.acks, wri.liveJob.acks...)
	wri.liveJob.dirtySince = sta.now.Add(-saveDelay)
}

// forgetJob removes a job that is stored as ended. Its remaining runs are
// still stopped.
func (sta *State) forgetJob(liv *liveJob) {
	id := liv.spec.ID
	delete(sta.jobs, id)
	sta.jobList = slices.DeleteFunc(sta.jobList, func(oth *liveJob) bool { return oth == liv })
	sta.ended.Put(sta.now, id, true)
	sta.endedJobs = append(sta.endedJobs, EndedJob{ID: id, At: sta.now})
}
