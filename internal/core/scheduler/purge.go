package scheduler

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Parameters of the removal of records of ended jobs.
const (
	// retentionMargin is added to the retention time that the platform requires,
	// as the clocks of dispatchers may differ.
	retentionMargin = time.Minute
	// purgeDelay is how long expired records wait for others to be removed with
	// them.
	purgeDelay = 10 * time.Second
	// purgeBatch is the number of expired records that are removed without
	// delay.
	purgeBatch = 16
)

// EndedJob identifies a job that is stored as ended.
type EndedJob struct {
	ID job.ID
	// At is when the job ended.
	At time.Time
}

// endedJobsListed adds the jobs that former dispatchers stored as ended.
func (sta *State) endedJobsListed(evt EndedJobsListed) {
	sta.endedJobs = append(sta.endedJobs, evt.Jobs...)
	slices.SortStableFunc(sta.endedJobs, func(one, oth EndedJob) int { return one.At.Compare(oth.At) })
}

// purge adds the removal of expired records to a transaction and returns their
// number.
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

// purged handles the removal of the oldest records.
func (sta *State) purged(count int) {
	if count > 0 {
		sta.endedJobs = slices.Clone(sta.endedJobs[count:])
	}
}
