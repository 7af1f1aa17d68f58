package progress

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// store is a store that applies transactions.
type store struct {
	rev   kv.Revision
	items map[string]kv.Item
}

func newStore() *store { return &store{rev: 40, items: map[string]kv.Item{}} }

func (sto *store) commit(txn kv.Txn) (rev kv.Revision, err error) {
	for _, put := range txn.Puts {
		if len(put.Value) > kv.MaxValueBytes {
			return 0, kv.ErrRejected
		}
	}
	for _, cnd := range txn.Conditions {
		if itm := sto.items[cnd.Key]; itm.Revision != cnd.Revision {
			return 0, &kv.ConflictError{Current: []kv.Item{itm}}
		}
	}
	sto.rev++
	for _, put := range txn.Puts {
		sto.items[put.Key] = kv.Item{Key: put.Key, Value: put.Value, Revision: sto.rev}
	}
	for _, key := range txn.Deletes {
		delete(sto.items, key)
	}
	return sto.rev, nil
}

// list returns the items in the order of their keys.
func (sto *store) list() (items []kv.Item) {
	for _, itm := range sto.items {
		items = append(items, itm)
	}
	slices.SortFunc(items, func(one, oth kv.Item) int { return strings.Compare(one.Key, oth.Key) })
	return items
}

// joined returns the stored progress of a job, and fails if an item is ignored.
func (sto *store) joined(t *testing.T, id job.ID) []job.TaskRecord {
	t.Helper()
	all := Join(sto.list(), func(itm kv.Item, err error) { t.Errorf("%s ignored: %v", itm.Key, err) })
	return all[id].Progress.Tasks
}

func txnOf(wri Write) (txn kv.Txn) {
	wri.AddTo(&txn)
	return txn
}

// specOf returns a job of steps with equally many tasks.
func specOf(steps, count, occurrences int) job.Spec {
	spe := job.Spec{ID: "0123456789abcdef", Occurrences: occurrences}
	for range steps {
		spe.Steps = append(spe.Steps, job.Step{Count: count})
	}
	return spe
}

// recordsOf returns a record of each task of a job.
func recordsOf(spe job.Spec, record func(num int) job.TaskRecord) (all []job.TaskRecord) {
	for occ := range spe.OccurrenceCount() {
		for i, ste := range spe.Steps {
			for j := range ste.Count {
				rec := record(len(all))
				rec.Occurrence, rec.Step, rec.Index = occ, i, j
				all = append(all, rec)
			}
		}
	}
	return all
}

// TestLargestJobs guards against a job whose progress the store refuses: 50,000 tasks of
// which half have failed once, in few and in the most steps and occurrences, with long
// run numbers, crashes and checkpoints.
func TestLargestJobs(t *testing.T) {
	failedOnce := func(num int) job.TaskRecord {
		if num%2 == 0 {
			return job.TaskRecord{Done: true, Run: 1}
		}
		return job.TaskRecord{Done: true, Run: 2, FailedRuns: []int{1}}
	}
	shapes := map[string]job.Spec{
		"5 steps": specOf(5, 10_000, 0), "1,000 steps": specOf(1000, 50, 0), "10,000 occurrences": specOf(5, 1, 10_000),
	}
	for shape, spe := range shapes {
		spe.MaxAttempts = 4
		for name, record := range map[string]func(int) job.TaskRecord{
			"half failed once": failedOnce,
			"long run numbers": func(num int) job.TaskRecord {
				rec := failedOnce(num)
				rec.Run += 90_000
				for i := range rec.FailedRuns {
					rec.FailedRuns[i] += 89_000
				}
				return rec
			},
			"checkpoints and crashes": func(int) job.TaskRecord {
				return job.TaskRecord{Run: 3001, FailedRuns: []int{2001}, Crashes: 3, Checkpoint: "00000bb87a21d94b"}
			},
			"longest checkpoints": func(int) job.TaskRecord {
				return job.TaskRecord{Run: 3001, FailedRuns: []int{2001}, Checkpoint: strings.Repeat("c", 4000)}
			},
			"all attempts but one": func(int) job.TaskRecord {
				return job.TaskRecord{Run: 1 << 53, FailedRuns: []int{1 << 50, 1 << 51, 1 << 52}, Crashes: 1 << 53}
			},
		} {
			t.Run(shape+", "+name, func(t *testing.T) {
				assert.NilError(t, spe.Check())
				assert.NilError(t, Check(spe, kv.MaxValueBytes))
				tasks := recordsOf(spe, record)
				whole, err := job.Marshal(job.Progress{Tasks: tasks})
				assert.NilError(t, err)
				wri, err := New(spe, 0).Write(tasks, kv.MaxValueBytes)
				assert.NilError(t, err)
				txn := txnOf(wri)
				assert.Assert(t, txn.Len() <= New(spe, 0).MaxEntries())
				assert.Assert(t, New(spe, 0).MaxEntries() < kv.MaxTxnEntries-5, "with the records of the end")
				largest := 0
				for _, put := range txn.Puts {
					largest = max(largest, len(put.Value))
				}
				t.Logf("%d bytes in one record; %d records, the largest of %d bytes", len(whole), len(txn.Puts), largest)
				sto := newStore()
				_, err = sto.commit(txn)
				assert.NilError(t, err)
				if name == "longest checkpoints" {
					assert.Equal(t, wri.LeftOut, len(tasks))
					for i := range tasks {
						tasks[i].Checkpoint = ""
					}
				}
				assert.Assert(t, reflect.DeepEqual(sto.joined(t, spe.ID), tasks))
			})
		}
	}
}

// TestSmallJobHasOneRecord checks that a job of few tasks is written as by versions
// without parts.
func TestSmallJobHasOneRecord(t *testing.T) {
	spe := specOf(1, TasksPerPart, 0)
	tasks := recordsOf(spe, func(num int) job.TaskRecord { return job.TaskRecord{Run: num, Done: true} })
	wri, err := New(spe, 7).Write(tasks, kv.MaxValueBytes)
	assert.NilError(t, err)
	value, err := job.Marshal(job.Progress{Tasks: tasks})
	assert.NilError(t, err)
	assert.DeepEqual(t, txnOf(wri), kv.Txn{
		Conditions: []kv.Condition{{Key: "progress/0123456789abcdef", Revision: 7}},
		Puts:       []kv.Put{{Key: "progress/0123456789abcdef", Value: value}},
	})
	assert.DeepEqual(t, New(spe, 7).Keys(), []string{"progress/0123456789abcdef"})
}

// TestRecordOfEarlierVersion checks that a record without parts is read, and replaced by
// parts.
func TestRecordOfEarlierVersion(t *testing.T) {
	spe := specOf(2, 3000, 0)
	tasks := recordsOf(spe, func(num int) job.TaskRecord { return job.TaskRecord{Run: num} })[2000:4000]
	value, err := job.Marshal(job.Progress{Tasks: tasks})
	assert.NilError(t, err)
	sto := newStore()
	rev, err := sto.commit(kv.Txn{Puts: []kv.Put{{Key: job.ProgressKey(spe.ID), Value: value}}})
	assert.NilError(t, err)
	assert.DeepEqual(t, sto.joined(t, spe.ID), tasks)
	wri, err := New(spe, rev).Write(tasks, kv.MaxValueBytes)
	assert.NilError(t, err)
	_, err = sto.commit(txnOf(wri))
	assert.NilError(t, err)
	assert.Equal(t, len(sto.items), 3, "a head and two parts")
	assert.DeepEqual(t, sto.joined(t, spe.ID), tasks)
}

// TestOnlyChangedPartsAreWritten guards against a write of all parts for each end, and
// against parts that stay when none of their tasks has progress any more.
func TestOnlyChangedPartsAreWritten(t *testing.T) {
	spe := specOf(5, 2000, 0)
	tasks := recordsOf(spe, func(int) job.TaskRecord { return job.TaskRecord{Run: 1, Checkpoint: "c"} })
	sto := newStore()
	rec := New(spe, 0)
	write := func(want int) {
		t.Helper()
		wri, err := rec.Write(tasks, kv.MaxValueBytes)
		assert.NilError(t, err)
		txn := txnOf(wri)
		assert.Equal(t, len(txn.Puts)+len(txn.Deletes), want, "records with the head")
		rev, err := sto.commit(txn)
		assert.NilError(t, err)
		rec = rec.WithStored(wri, rev)
		assert.Assert(t, reflect.DeepEqual(sto.joined(t, spe.ID), tasks))
	}
	write(5)
	tasks = slices.Clone(tasks)
	tasks[2600].Done = true
	write(2)
	write(1)
	tasks = append(slices.Clone(tasks[:5000]), tasks[7500:]...)
	write(2)
	assert.Equal(t, len(sto.items), 4)
	write(1)
	// What a former writer left isn't known.
	rec = New(spe, rec.revision)
	write(5)
	assert.Equal(t, len(sto.items), 4)
	tasks = nil
	write(4)
	_, err := sto.commit(kv.Txn{Deletes: rec.Keys()})
	assert.NilError(t, err)
	assert.Equal(t, len(sto.items), 0)
}

// TestLateWritesMixNothing guards against progress that turns back or mixes two writes,
// as writes without an answer are carried out late, in any order, or never, also after
// the duty has gone to another writer.
func TestLateWritesMixNothing(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		spe := specOf(3, 2500, 0)
		sto := newStore()
		rec := New(spe, 0)
		// All tasks of a state have its number in all parts.
		state, acknowledged := 0, 0
		var late []kv.Txn
		stored := func() int {
			tasks := sto.joined(t, spe.ID)
			if len(tasks) == 0 {
				return 0
			}
			mixed := slices.IndexFunc(tasks, func(tas job.TaskRecord) bool { return tas.Run != tasks[0].Run })
			assert.Equal(t, mixed, -1, "seed %d: two states", seed)
			assert.Equal(t, len(tasks), 3*2500-tasks[0].Run%2*2500)
			return tasks[0].Run
		}
		for range 12 {
			state++
			tasks := recordsOf(spe, func(int) job.TaskRecord { return job.TaskRecord{Run: state} })
			// Every other state has one part less.
			tasks = tasks[:len(tasks)-state%2*2500]
			wri, err := rec.Write(tasks, kv.MaxValueBytes)
			assert.NilError(t, err)
			if rng.IntN(3) == 0 {
				late = append(late, txnOf(wri))
				state--
				continue
			}
			for len(late) > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(len(late))
				_, _ = sto.commit(late[i])
				late = slices.Delete(late, i, i+1)
			}
			before := stored()
			assert.Assert(t, before >= acknowledged, "seed %d: state %d is stored, %d was acknowledged", seed, before, acknowledged)
			rev, err := sto.commit(txnOf(wri))
			var con *kv.ConflictError
			switch {
			case err == nil:
				rec, acknowledged = rec.WithStored(wri, rev), state
				assert.Equal(t, stored(), state)
			case errors.As(err, &con):
				rec = rec.WithRevision(con.Item(job.ProgressKey(spe.ID)).Revision)
				state--
				assert.Equal(t, stored(), before)
			}
			if rng.IntN(6) == 0 {
				// Another writer takes over; the duty fences off the writes of the first.
				late = nil
				rec = New(spe, sto.items[job.ProgressKey(spe.ID)].Revision)
			}
		}
	}
}

// TestRecordAboveLimit checks that a record that exceeds the limit without checkpoints
// is reported with its key and sizes.
func TestRecordAboveLimit(t *testing.T) {
	spe := specOf(1, 6000, 0)
	tasks := recordsOf(spe, func(num int) job.TaskRecord { return job.TaskRecord{Done: true, Run: num} })
	_, err := New(spe, 0).Write(tasks, 10_000)
	var tle *TooLargeError
	assert.Assert(t, errors.As(err, &tle))
	assert.Equal(t, tle.Key, "progress/0123456789abcdef/0")
	assert.Equal(t, tle.Limit, 10_000)
	assert.Assert(t, tle.Bytes > 10_000)
}

// TestWriteOfUnknownTask checks that a task that the job doesn't have is an error, and
// not a part that no reader finds.
func TestWriteOfUnknownTask(t *testing.T) {
	spe := specOf(2, 3000, 0)
	for _, tasks := range [][]job.TaskRecord{{{Step: 2}}, {{Occurrence: 1}}, {{Step: 1}, {}}} {
		_, err := New(spe, 0).Write(tasks, kv.MaxValueBytes)
		assert.ErrorContains(t, err, "out of order")
	}
}

// largestRecord returns a record all of whose numbers have the longest encoding.
func largestRecord(t *testing.T) (rec job.TaskRecord) {
	val := reflect.ValueOf(&rec).Elem()
	for i := range val.NumField() {
		switch fld := val.Field(i); fld.Kind() {
		case reflect.Int, reflect.Int64:
			fld.SetInt(1 << 53)
		case reflect.Bool:
			fld.SetBool(true)
		case reflect.String, reflect.Slice:
			// Checkpoints don't count, and failed runs are added by the caller.
		default:
			t.Fatalf("field %s: no largest value", val.Type().Field(i).Name)
		}
	}
	rec.Occurrence, rec.Step, rec.Index = job.MaxOccurrences-1, job.MaxSteps-1, job.MaxTasks-1
	return rec
}

// TestCheck checks which jobs could not be recorded.
func TestCheck(t *testing.T) {
	for _, tst := range []struct {
		tasks, attempts, limit int
		recorded               bool
	}{
		{50_000, 4, kv.MaxValueBytes, true}, {50_000, 40, kv.MaxValueBytes, true}, {50_000, 41, kv.MaxValueBytes, false},
		{1, 100_000, kv.MaxValueBytes, true}, {1, 200_000, kv.MaxValueBytes, false}, {100, 4, 0, false}, {100, 0, kv.MaxValueBytes, true},
	} {
		spe := job.Spec{ID: "1", MaxAttempts: tst.attempts, Steps: []job.Step{{Count: tst.tasks}}}
		err := Check(spe, tst.limit)
		assert.Equal(t, err == nil, tst.recorded, "%+v: %v", tst, err)
		if tst.attempts > 1000 || err != nil {
			continue
		}
		rec := largestRecord(t)
		for run := range max(0, tst.attempts-1) {
			rec.FailedRuns = append(rec.FailedRuns, 1<<53-run)
		}
		size, err := msgpack.Marshal(&rec)
		assert.NilError(t, err)
		assert.Assert(t, len(size) <= maxTaskBytes+maxRunBytes*max(0, tst.attempts-1), "a record of %d bytes with %d attempts", len(size), tst.attempts)
		_, err = New(spe, 0).Write(recordsOf(spe, func(int) job.TaskRecord { return rec }), tst.limit)
		assert.NilError(t, err, "%+v", tst)
	}
	err := Check(job.Spec{ID: "1", MaxAttempts: 41, Steps: []job.Step{{Count: 50_000}}}, kv.MaxValueBytes)
	assert.Error(t, err, fmt.Sprintf("job 1 could not be recorded: the progress of 2500 of its tasks with 41 attempts each may take %d bytes, the store holds 1048576", maxRecordHeader+2500*(maxTaskBytes+40*maxRunBytes)))
}
