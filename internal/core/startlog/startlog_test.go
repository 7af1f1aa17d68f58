package startlog

import (
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// start returns the start of a run of a task on a VM.
func start(vm string, index, number int) Start {
	return Start{
		VM:  worker.VM{ID: vm, StartedAtMS: 7, Address: vm + ":1", Pool: "p", AZ: "z"},
		Run: latestart.Run{Task: job.Task{Job: "0123456789abcdef", Occurrence: 1, Step: 2, Index: index}, Number: number},
	}
}

// TestRecordIsRestored checks that the next dispatcher reads what was recorded.
func TestRecordIsRestored(t *testing.T) {
	long := start("b", 3, 1)
	long.LongLease = true
	txn, err := New(4).Write([]Start{start("a", 1, 1), long, start("a", 2, 2)}, 31)
	assert.NilError(t, err)
	assert.Equal(t, len(txn.Puts), 1)
	assert.Equal(t, txn.Puts[0].Key, "starts/4.1")
	rec, err := Decode(txn.Puts[0].Value)
	assert.NilError(t, err)
	assert.Equal(t, rec.Term, int64(4))
	assert.Equal(t, len(rec.VMs), 2)
	assert.DeepEqual(t, rec.VMs[0].VM(), start("a", 0, 0).VM)
	assert.DeepEqual(t, rec.VMs[0].Runs[1].LateStart(), start("a", 2, 2).Run)
	assert.Assert(t, !rec.VMs[0].LongLease && rec.VMs[1].LongLease)
}

// TestRecordIsDeletedOnce checks that a record is deleted when none of its starts matters, and
// again if the deletion failed.
func TestRecordIsDeletedOnce(t *testing.T) {
	log := New(1)
	txn, err := log.Write([]Start{start("a", 1, 1), start("a", 2, 1)}, 31)
	assert.NilError(t, err)
	key := txn.Puts[0].Key
	log.Prune(func(_ string, run latestart.Run) bool { return run.Task.Index == 2 })
	assert.Assert(t, !log.HasObsolete())
	log.Prune(func(string, latestart.Run) bool { return false })
	assert.Assert(t, log.HasObsolete())
	for range 2 {
		txn, err = log.Write(nil, 31)
		assert.NilError(t, err)
		assert.DeepEqual(t, txn.Deletes, []string{key})
		assert.Assert(t, !log.HasObsolete())
		log.Failed(txn)
	}
}

// TestFailedRecordIsDeleted guards against a record that a late write leaves behind.
func TestFailedRecordIsDeleted(t *testing.T) {
	log := New(1)
	failed, err := log.Write([]Start{start("a", 1, 1)}, 31)
	assert.NilError(t, err)
	log.Failed(failed)
	txn, err := log.Write([]Start{start("a", 1, 2)}, 31)
	assert.NilError(t, err)
	assert.DeepEqual(t, txn.Deletes, []string{failed.Puts[0].Key})
	assert.Assert(t, txn.Puts[0].Key != failed.Puts[0].Key)
}

// TestWriteIsWithinEntries checks that a transaction holds no more entries than allowed.
func TestWriteIsWithinEntries(t *testing.T) {
	log := New(1)
	for i := range 100 {
		txn, err := log.Write([]Start{start("a", i, 1)}, 31)
		assert.NilError(t, err)
		log.Failed(txn)
	}
	txn, err := log.Write([]Start{start("a", 1, 2)}, 31)
	assert.NilError(t, err)
	assert.Equal(t, txn.Len(), 31)
}

// TestWrongRecord checks that other bytes are an error.
func TestWrongRecord(t *testing.T) {
	negative := newRecord(1, []Start{start("a", -1, 1)})
	raw, err := negative.encode()
	assert.NilError(t, err)
	for _, one := range [][]byte{nil, {0xc1}, []byte("x"), raw} {
		_, err := Decode(one)
		assert.ErrorContains(t, err, "decode starts")
	}
}
