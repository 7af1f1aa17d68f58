package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Times of the removal of records of ended jobs.
const (
	// retireMargin is how much longer records are kept than the platform asks
	// for: clocks of dispatchers may differ.
	retireMargin = time.Minute
	// retireDelay is how long records that may go wait for others.
	retireDelay = 10 * time.Second
	// retireBatch is how many of them are removed without waiting.
	retireBatch = 16
)

// EndedJob is a job that is stored as ended.
type EndedJob struct {
	ID job.ID
	// At is when it ended.
	At time.Time
}

// endedListed takes in the jobs that former dispatchers stored as ended.
func (sta *State) endedListed(evt EndedJobsListed) {
	sta.endedJobs = append(sta.endedJobs, evt.Jobs...)
	slices.SortStableFunc(sta.endedJobs, func(one, oth EndedJob) int { return one.At.Compare(oth.At) })
}

// retire adds the removal of old records to a transaction, and returns how many.
func (sta *State) retire(txn *kv.Txn) (count int) {
	due := sta.now.Add(-sta.opt.KeepEnded - retireMargin)
	count, _ = slices.BinarySearchFunc(sta.endedJobs, due, func(one EndedJob, due time.Time) int { return one.At.Compare(due) })
	if count == 0 || count < retireBatch && due.Sub(sta.endedJobs[0].At) < retireDelay {
		return 0
	}
	count = min(count, kv.MaxTxnEntries-entriesReserved-txn.Len())
	for _, end := range sta.endedJobs[:max(0, count)] {
		txn.Deletes = append(txn.Deletes, job.EndedKey(end.ID))
	}
	return max(0, count)
}

// retired takes in that records were removed.
func (sta *State) retired(count int) {
	sta.endedJobs = slices.Clone(sta.endedJobs[count:])
}
