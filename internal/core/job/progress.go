package job

import (
	"errors"
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/blame"
	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/vmihailenco/msgpack/v5"
)

// State is the state of a job as reported to its client.
type State string

// Job states. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// TaskRecord is the stored progress of one task. It outlasts the dispatcher.
type TaskRecord struct {
	Occurrence int  `msgpack:"o,omitempty"`
	Step       int  `msgpack:"s,omitempty"`
	Index      int  `msgpack:"i,omitempty"`
	Done       bool `msgpack:"d,omitempty"`
	// FailedRuns lists the runs that failed, in the order in which they were
	// reported. It serves to count each of them once, as a VM reports an end
	// repeatedly until it is acknowledged.
	FailedRuns []int `msgpack:"fr,omitempty"`
	// Crashes is the number of VM crashes that the task may have caused.
	Crashes int `msgpack:"x,omitempty"`
	// Evidence is what they weigh against the task. Records of earlier versions have
	// none.
	Evidence blame.Evidence `msgpack:"e,omitempty"`
	// Run is the highest run number known when the record was written.
	Run        int    `msgpack:"r,omitempty"`
	Checkpoint string `msgpack:"c,omitempty"`
}

// Progress is the stored progress of a live job. A task without a record has not
// made any progress.
type Progress struct {
	Tasks []TaskRecord `msgpack:"t"`
	// Parts lists, in ascending order, the parts that hold the progress of a job with
	// many tasks: see package progress.
	Parts []int `msgpack:"p,omitempty"`
}

// Outcome is the record that is kept of a job that has ended.
type Outcome struct {
	State State `msgpack:"s"`
	// Queue, Host and Prefix are as in Spec.
	Queue   string `msgpack:"q"`
	Host    string `msgpack:"qh,omitempty"`
	Prefix  string `msgpack:"qp,omitempty"`
	Account string `msgpack:"a,omitempty"`
	// At is the time at which the job ended, by the dispatcher's clock.
	At time.Time `msgpack:"t,omitempty"`
}

// Marshal encodes a Spec, Progress, Outcome or Fence for the store.
func Marshal[T Spec | Progress | Outcome | Fence](rec T) (raw []byte, err error) {
	raw, err = msgpack.Marshal(&rec)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", rec, err)
	}
	return raw, nil
}

// Unmarshal decodes a record that was encoded by Marshal.
func Unmarshal[T Spec | Progress | Outcome | Fence](raw []byte) (rec T, err error) {
	if err = packed.Unmarshal(raw, &rec); err != nil {
		return rec, fmt.Errorf("decode %T: %w", rec, err)
	}
	switch rec := any(rec).(type) {
	case Spec:
		err = rec.checkStored()
	case Progress:
		err = rec.Check()
	}
	return rec, err
}

// checkStored returns an error if the dispatcher can't hold the job. Limits of
// numbers are not checked again, as they may be newer than the record.
func (spe Spec) checkStored() error {
	if spe.ID == "" {
		return errors.New("job without an ID")
	}
	return spe.checkStructure()
}

// Check returns an error if a task can't exist.
func (pro Progress) Check() error {
	for _, rec := range pro.Tasks {
		if min(rec.Occurrence, rec.Step, rec.Index, rec.Run) < 0 {
			return fmt.Errorf("progress of task %d of step %d in occurrence %d with run %d", rec.Index, rec.Step, rec.Occurrence, rec.Run)
		}
	}
	return nil
}

// Prefixes and suffixes of the store keys for jobs.
const (
	// LivePrefix is the prefix of the keys of accepted jobs that have not ended.
	LivePrefix = "live/"
	// ProgressPrefix is the prefix of the keys that hold the progress of live jobs.
	ProgressPrefix = "progress/"
	// EndedPrefix is the prefix of the keys of jobs that have ended.
	EndedPrefix = "ended/"
	// cancelSuffix is the suffix of the key that marks a live job as cancelled.
	cancelSuffix = "/cancel"
)

// LiveKey returns the key of an accepted job that has not ended.
func LiveKey(id ID) string { return LivePrefix + string(id) }

// CancelKey returns the key that marks a live job as cancelled.
func CancelKey(id ID) string { return LivePrefix + string(id) + cancelSuffix }

// ProgressKey returns the key of a live job's progress.
func ProgressKey(id ID) string { return ProgressPrefix + string(id) }

// EndedKey returns the key of a job that has ended.
func EndedKey(id ID) string { return EndedPrefix + string(id) }

// ParseLiveKey returns the job ID in a key under LivePrefix, and whether the key
// marks the job as cancelled.
func ParseLiveKey(key string) (id ID, cancel bool) {
	rest := key[len(LivePrefix):]
	if n := len(rest) - len(cancelSuffix); n > 0 && rest[n:] == cancelSuffix {
		return ID(rest[:n]), true
	}
	return ID(rest), false
}
