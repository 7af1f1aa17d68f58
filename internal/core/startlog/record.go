package startlog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/vmihailenco/msgpack/v5"
)

// Prefix is the prefix of the keys of records in the store.
const Prefix = "starts/"

// Record is a stored list of starts that were decided at the same time.
type Record struct {
	Term int64    `msgpack:"t"`
	VMs  []VMRuns `msgpack:"v"`
}

// VMRuns are the runs that a VM is told to start.
type VMRuns struct {
	ID          string `msgpack:"i"`
	StartedAtMS int64  `msgpack:"b,omitempty"`
	Address     string `msgpack:"a"`
	Pool        string `msgpack:"p"`
	AZ          string `msgpack:"z"`
	// LongLease reports whether the VM may hold a longer lease than the dispatcher asked
	// for, by calls for a former incarnation.
	LongLease bool  `msgpack:"l,omitempty"`
	Runs      []Run `msgpack:"r"`
}

// Run is a run of a task.
type Run struct {
	Job        job.ID `msgpack:"j"`
	Occurrence int    `msgpack:"o,omitempty"`
	Step       int    `msgpack:"s,omitempty"`
	Index      int    `msgpack:"i,omitempty"`
	Number     int    `msgpack:"n"`
	// Unanswered reports whether a try of the start is known to have got no answer.
	Unanswered bool `msgpack:"u,omitempty"`
}

// VM returns the VM as far as the record describes it.
func (vmr VMRuns) VM() worker.VM {
	return worker.VM{ID: vmr.ID, StartedAtMS: vmr.StartedAtMS, Address: vmr.Address, Pool: vmr.Pool, AZ: vmr.AZ}
}

// LateStart returns the run in the terms of package latestart.
func (run Run) LateStart() latestart.Run {
	return latestart.Run{Task: job.Task{Job: run.Job, Occurrence: run.Occurrence, Step: run.Step, Index: run.Index}, Number: run.Number}
}

// Start is a start that is to be recorded.
type Start struct {
	VM        worker.VM
	LongLease bool
	Run       latestart.Run
	// Unanswered is as in Run.
	Unanswered bool
}

// newRecord returns the record of some starts, sorted by VM.
func newRecord(term int64, starts []Start) Record {
	rec := Record{Term: term}
	sorted := slices.SortedStableFunc(slices.Values(starts), func(one, oth Start) int {
		return cmp.Or(strings.Compare(one.VM.ID, oth.VM.ID), cmp.Compare(one.VM.StartedAtMS, oth.VM.StartedAtMS))
	})
	for _, sta := range sorted {
		last := len(rec.VMs) - 1
		if last < 0 || rec.VMs[last].ID != sta.VM.ID || rec.VMs[last].StartedAtMS != sta.VM.StartedAtMS {
			rec.VMs = append(rec.VMs, VMRuns{
				ID: sta.VM.ID, StartedAtMS: sta.VM.StartedAtMS, Address: sta.VM.Address, Pool: sta.VM.Pool, AZ: sta.VM.AZ, LongLease: sta.LongLease,
			})
			last++
		}
		tas := sta.Run.Task
		rec.VMs[last].Runs = append(rec.VMs[last].Runs, Run{Job: tas.Job, Occurrence: tas.Occurrence, Step: tas.Step, Index: tas.Index, Number: sta.Run.Number, Unanswered: sta.Unanswered})
	}
	return rec
}

// encode returns the record as it is stored.
func (rec Record) encode() (raw []byte, err error) {
	raw, err = msgpack.Marshal(&rec)
	if err != nil {
		return nil, fmt.Errorf("encode starts of term %d: %w", rec.Term, err)
	}
	return raw, nil
}

// Decode decodes a stored record.
func Decode(raw []byte) (rec Record, err error) {
	if err = packed.Unmarshal(raw, &rec); err != nil {
		return Record{}, fmt.Errorf("decode starts: %w", err)
	}
	for _, vmr := range rec.VMs {
		for _, run := range vmr.Runs {
			if min(run.Occurrence, run.Step, run.Index, run.Number) < 0 {
				return Record{}, fmt.Errorf("decode starts: run %d of task %s", run.Number, run.LateStart().Task)
			}
		}
	}
	return rec, nil
}
