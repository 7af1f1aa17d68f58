package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Times of the removal of records of ended jobs.
const (
	// retentionMargin is how much longer records are kept than the platform asks
	// for: clocks of dispatchers may differ.
	retentionMargin = time.Minute
	// purgeDelay is how long records that may go wait for others.
	purgeDelay = 10 * time.Second
	// purgeBatch is how many of them are removed without waiting.
	purgeBatch = 16
)

// EndedJob is a job that is stored as ended.
type EndedJob struct {
	ID job.ID
	// At is when it ended.
	At time.Time
}

// endedJobsListed takes in the jobs that former dispatchers stored as ended.
func (sta *State) endedJobsListed(evt EndedJobsListed) {
	sta.endedJobs = append(sta.endedJobs, evt.Jobs...)
	slices.SortStableFunc(sta.endedJobs, func(one, oth EndedJob) int { return one.At.Compare(oth.At) })
}

// purge adds the removal of old records to a transaction, and returns how many.
func (sta *State) purge(txn *kv.Txn) (count int) {
	due := sta.now.Add(-sta.opt.KeepEnded - retentionMargin)
	count, _ = slices.BinarySearchFunc(sta.endedJobs, due, func(one EndedJob, due time.Time) int { return one.At.Compare(due) })
	if count == 0 || count < purgeBatch && due.Sub(sta.endedJobs[0].At) < purgeDelay {
		return 0
	}
	count = min(count, kv.MaxTxnEntries-reservedEntries-txn.Len())
	for _, end := range sta.endedJobs[:max(0, count)] {
		txn.Deletes = append(txn.Deletes, job.EndedKey(end.ID))
	}
	return max(0, count)
}

// purged takes in that records were removed.
func (sta *State) purged(count int) {
	sta.endedJobs = slices.Clone(sta.endedJobs[count:])
}
