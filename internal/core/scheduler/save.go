package scheduler

import (
	"errors"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Times of writes.
const (
	// saveDelay is how long the progress of a job that goes on waits for more.
	saveDelay = 90 * time.Millisecond
	// saveRetry is the time between two tries of a write that failed.
	saveRetry = 60 * time.Millisecond
)

// entriesReserved is the number of entries of a transaction that the runner
// adds: the condition that this process still holds the duty.
const entriesReserved = 1

// Entries of a transaction that a job takes.
const (
	progressEntries = 2
	finalEntries    = 6
)

// save writes what has to be stored, as much as a transaction holds.
func (sta *State) save() {
	if sta.commit.inFlight || sta.now.Before(sta.commit.retryAt) {
		return
	}
	var txn kv.Txn
	var writes []jobWrite
	for _, liv := range sta.jobList {
		if liv.dirtySince.IsZero() || liv.final == "" && sta.now.Sub(liv.dirtySince) < saveDelay {
			continue
		}
		need := progressEntries
		if liv.final != "" {
			need = finalEntries
		}
		if txn.Len()+need+entriesReserved > kv.MaxTxnEntries {
			continue
		}
		if wri, ok := sta.write(&txn, liv); ok {
			writes = append(writes, wri)
		}
	}
	retired := sta.retire(&txn)
	if len(writes) == 0 && retired == 0 {
		return
	}
	sta.commit = commit{inFlight: true, jobs: writes, purged: retired}
	sta.emit(Commit{Txn: txn})
}

// write adds a job's record to a transaction.
func (sta *State) write(txn *kv.Txn, liv *liveJob) (wri jobWrite, ok bool) {
	id := liv.spec.ID
	var value []byte
	var err error
	if liv.final != "" {
		value, err = job.Marshal(job.Outcome{State: liv.final, Queue: liv.spec.Queue, Account: liv.spec.Account, At: sta.now})
	} else {
		value, err = job.Marshal(liv.progress())
	}
	if err != nil {
		sta.logDecision("record_not_encoded", id, map[string]any{"error": err.Error()})
		return jobWrite{}, false
	}
	wri = jobWrite{liveJob: liv, acks: liv.acks, final: liv.final != ""}
	liv.acks, liv.dirtySince = nil, time.Time{}
	txn.Conditions = append(txn.Conditions, kv.Condition{Key: job.ProgressKey(id), Revision: liv.progressRev})
	if !wri.final {
		txn.Puts = append(txn.Puts, kv.Put{Key: job.ProgressKey(id), Value: value})
		return wri, true
	}
	txn.Conditions = append(txn.Conditions, kv.Condition{Key: job.EndedKey(id)})
	txn.Puts = append(txn.Puts, kv.Put{Key: job.EndedKey(id), Value: value})
	txn.Deletes = append(txn.Deletes, job.LiveKey(id), job.CancelKey(id), job.ProgressKey(id))
	return wri, true
}

// progress returns what must outlast the dispatcher.
func (liv *liveJob) progress() job.Progress {
	var pro job.Progress
	for num, occ := range liv.occs {
		for i := range occ.stages {
			stg := &occ.stages[i]
			for j := range stg.tasks {
				tas := &stg.tasks[j]
				if tas.phase != phaseDone && len(tas.failedRuns) == 0 && tas.checkpoint == "" {
					continue
				}
				rec := job.TaskRecord{Occurrence: num, Step: i, Index: j, Done: tas.phase == phaseDone, FailedRuns: tas.failedRuns, Run: tas.run}
				if !rec.Done {
					rec.Checkpoint = tas.checkpoint
				}
				pro.Tasks = append(pro.Tasks, rec)
			}
		}
	}
	return pro
}

// committed takes in the answer to a write.
func (sta *State) committed(evt Committed) {
	writes, retired := sta.commit.jobs, sta.commit.purged
	sta.commit = commit{}
	var con *kv.ConflictError
	switch {
	case evt.Err == nil:
		sta.retired(retired)
		for _, wri := range writes {
			sta.written(wri, evt.Revision)
		}
	case errors.As(evt.Err, &con):
		for _, wri := range writes {
			sta.conflicted(wri, con)
		}
	default:
		sta.commit.retryAt = sta.now.Add(saveRetry)
		sta.logDecision("write_failed", "", map[string]any{"jobs": len(writes), "error": evt.Err.Error()})
		for _, wri := range writes {
			sta.rewrite(wri)
		}
	}
}

func (sta *State) written(wri jobWrite, rev kv.Revision) {
	for _, ack := range wri.acks {
		sta.markAckable(ack.host, ack.number)
	}
	wri.liveJob.progressRev = rev
	if !wri.final {
		return
	}
	// Ends that came while the record was being written need no other one.
	for _, ack := range wri.liveJob.acks {
		sta.markAckable(ack.host, ack.number)
	}
	sta.forget(wri.liveJob)
}

// conflicted takes in that a write failed for a condition: a former write of
// the same job, whose answer was lost, has taken effect.
func (sta *State) conflicted(wri jobWrite, con *kv.ConflictError) {
	id := wri.liveJob.spec.ID
	if wri.final && con.Item(job.EndedKey(id)).Revision != 0 {
		sta.written(wri, con.Item(job.EndedKey(id)).Revision)
		return
	}
	wri.liveJob.progressRev = con.Item(job.ProgressKey(id)).Revision
	sta.rewrite(wri)
}

// rewrite has a job stored again.
func (sta *State) rewrite(wri jobWrite) {
	wri.liveJob.acks = append(wri.acks, wri.liveJob.acks...)
	wri.liveJob.dirtySince = sta.now.Add(-saveDelay)
}

// forget removes a job that is stored as ended. Its runs are still stopped.
func (sta *State) forget(liv *liveJob) {
	id := liv.spec.ID
	delete(sta.jobs, id)
	sta.jobList = slices.DeleteFunc(sta.jobList, func(oth *liveJob) bool { return oth == liv })
	sta.ended.put(sta.now, id, true)
	sta.endedJobs = append(sta.endedJobs, EndedJob{ID: id, At: sta.now})
}
