// Package progress splits the stored progress of a job over several records, none of
// which exceeds what the store holds in a value.
//
// A job of up to TasksPerPart tasks has one record, its head. A larger one has parts as
// well, each for a range of consecutive tasks that never changes, and its head lists the
// parts that exist. A write replaces the head and the parts that differ from what is
// stored, in one transaction on the condition that the head is still the one that was
// written before: no reader sees parts of two writes, and a write that is carried out
// late changes nothing.
package progress

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// TasksPerPart is the number of tasks of a part.
	TasksPerPart = 2500
	// maxParts is the largest number of parts of a job. A transaction holds all of
	// them, their head, and the records of the job that its end removes.
	maxParts = (job.MaxTotalTasks + TasksPerPart - 1) / TasksPerPart
)

// Part is the stored progress of a range of tasks.
type Part struct {
	// Number is the part's own, which is also in its key.
	Number int              `msgpack:"n"`
	Tasks  []job.TaskRecord `msgpack:"t"`
}

// partKey returns the key of a part.
func partKey(id job.ID, number int) string {
	return job.ProgressKey(id) + "/" + strconv.Itoa(number)
}

// TooLargeError reports a record that the store can't hold.
type TooLargeError struct {
	Key          string
	Bytes, Limit int
}

// Error returns a message with both sizes.
func (tle *TooLargeError) Error() string {
	return fmt.Sprintf("record %s has %d bytes, the store holds %d", tle.Key, tle.Bytes, tle.Limit)
}

// Record is the stored progress of a job, as its only writer knows it. It is immutable.
type Record struct {
	id job.ID
	// revision is that of the head; 0 if there is none.
	revision kv.Revision
	// tasks is the number of tasks, perOccurrence that of an occurrence, and starts
	// holds how many of these precede those of each step. They are zero for a job
	// without parts.
	tasks, perOccurrence int
	starts               []int
	// numParts is the number of parts that the job may have.
	numParts int
	// parts holds the stored values of the parts by number, nil for parts that don't
	// exist. It is nil while they aren't known.
	parts [][]byte
}

// New returns the record of a job whose head has a revision, 0 if it has none.
func New(spe job.Spec, rev kv.Revision) *Record {
	rec := &Record{id: spe.ID, revision: rev}
	tasks := countTasks(spe)
	if tasks <= TasksPerPart {
		return rec
	}
	rec.tasks, rec.numParts = tasks, (tasks+TasksPerPart-1)/TasksPerPart
	for _, ste := range spe.Steps {
		rec.starts = append(rec.starts, rec.perOccurrence)
		rec.perOccurrence += ste.Count
	}
	return rec
}

// countTasks returns the number of tasks in all occurrences of a job.
func countTasks(spe job.Spec) (count int) {
	for _, ste := range spe.Steps {
		count += ste.Count
	}
	return count * spe.OccurrenceCount()
}

// Keys returns all keys that the job's progress may have.
func (rec *Record) Keys() (keys []string) {
	keys = []string{job.ProgressKey(rec.id)}
	for num := range rec.numParts {
		keys = append(keys, partKey(rec.id, num))
	}
	return keys
}

// MaxEntries returns the largest number of transaction entries of a write, including
// its condition.
func (rec *Record) MaxEntries() int { return 2 + rec.numParts }

// WithStored returns the record after a write that succeeded at a revision.
func (rec *Record) WithStored(wri Write, rev kv.Revision) *Record {
	next := *rec
	next.revision, next.parts = rev, wri.parts
	return &next
}

// WithRevision returns the record after the head was found at a revision. If it isn't
// the one that was expected, an earlier write was carried out and it isn't known which.
func (rec *Record) WithRevision(rev kv.Revision) *Record {
	if rev == rec.revision {
		return rec
	}
	next := *rec
	next.revision, next.parts = rev, nil
	return &next
}

// Write is a write of a job's progress.
type Write struct {
	// LeftOut is the number of checkpoints that aren't stored, as their record would
	// exceed the limit. Their tasks may lose work, and nothing else.
	LeftOut int

	condition kv.Condition
	puts      []kv.Put
	deletes   []string
	// parts holds the values of all parts by number once the write is carried out.
	parts [][]byte
}

// AddTo adds the write to a transaction.
func (wri Write) AddTo(txn *kv.Txn) {
	txn.Conditions = append(txn.Conditions, wri.condition)
	txn.Puts = append(txn.Puts, wri.puts...)
	txn.Deletes = append(txn.Deletes, wri.deletes...)
}

// Write returns the write of the given progress, in which tasks are in the order of
// their occurrences, steps and indexes. It fails with a TooLargeError if a record
// exceeds the limit in bytes.
func (rec *Record) Write(tasks []job.TaskRecord, limit int) (wri Write, err error) {
	wri.condition = kv.Condition{Key: job.ProgressKey(rec.id), Revision: rec.revision}
	var head job.Progress
	if rec.numParts == 0 {
		value, err := wri.encode(wri.condition.Key, tasks, limit, func(tasks []job.TaskRecord) ([]byte, error) {
			return job.Marshal(job.Progress{Tasks: tasks})
		})
		wri.puts = []kv.Put{{Key: wri.condition.Key, Value: value}}
		return wri, err
	}
	wri.parts = make([][]byte, rec.numParts)
	for num := range rec.numParts {
		count := 0
		for count < len(tasks) && rec.partOf(tasks[count]) == num {
			count++
		}
		if count == 0 {
			if rec.parts == nil || rec.parts[num] != nil {
				wri.deletes = append(wri.deletes, partKey(rec.id, num))
			}
			continue
		}
		head.Parts = append(head.Parts, num)
		value, err := wri.encode(partKey(rec.id, num), tasks[:count], limit, func(tasks []job.TaskRecord) ([]byte, error) {
			return msgpack.Marshal(&Part{Number: num, Tasks: tasks})
		})
		if err != nil {
			return Write{}, err
		}
		wri.parts[num] = value
		if rec.parts == nil || !bytes.Equal(rec.parts[num], value) {
			wri.puts = append(wri.puts, kv.Put{Key: partKey(rec.id, num), Value: value})
		}
		tasks = tasks[count:]
	}
	if len(tasks) > 0 {
		return Write{}, fmt.Errorf("progress of job %s is out of order at task %d of step %d in occurrence %d", rec.id, tasks[0].Index, tasks[0].Step, tasks[0].Occurrence)
	}
	value, err := job.Marshal(head)
	wri.puts = append(wri.puts, kv.Put{Key: wri.condition.Key, Value: value})
	return wri, err
}

// partOf returns the number of the part of a task, or -1 if the job has no such task.
func (rec *Record) partOf(tas job.TaskRecord) int {
	if tas.Step >= len(rec.starts) {
		return -1
	}
	num := tas.Occurrence*rec.perOccurrence + rec.starts[tas.Step] + tas.Index
	if num >= rec.tasks {
		return -1
	}
	return num / TasksPerPart
}

// encode encodes a record, without checkpoints if it would exceed the limit otherwise.
func (wri *Write) encode(key string, tasks []job.TaskRecord, limit int, marshal func([]job.TaskRecord) ([]byte, error)) (value []byte, err error) {
	value, err = marshal(tasks)
	if err != nil || len(value) <= limit {
		return value, err
	}
	tasks = slices.Clone(tasks)
	for i := range tasks {
		if tasks[i].Checkpoint != "" {
			tasks[i].Checkpoint = ""
			wri.LeftOut++
		}
	}
	value, err = marshal(tasks)
	if err == nil && len(value) > limit {
		err = &TooLargeError{Key: key, Bytes: len(value), Limit: limit}
	}
	return value, err
}

// Largest sizes of what a record holds, in bytes.
const (
	maxRecordHeader = 32
	// maxTaskBytes is that of a task without failed runs and checkpoint.
	maxTaskBytes = 64
	// maxRunBytes is that of a failed run.
	maxRunBytes = 9
)

// Check returns an error if the progress of a job, when each of its tasks has failed as
// often as its queue allows, exceeds what the store holds in a value.
func Check(spe job.Spec, limit int) error {
	tasks := min(countTasks(spe), TasksPerPart)
	perTask := maxTaskBytes + maxRunBytes*max(0, spe.MaxAttempts-1)
	if room := max(0, limit-maxRecordHeader); perTask > room/tasks {
		return fmt.Errorf("job %s could not be recorded: the progress of %d of its tasks with %d attempts each may take %d bytes, the store holds %d", spe.ID, tasks, spe.MaxAttempts, maxRecordHeader+tasks*perTask, limit)
	}
	return nil
}
