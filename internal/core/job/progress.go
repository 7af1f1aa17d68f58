package job

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// State is what a submitter is told of a job.
type State string

// The states. The last three are final.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// TaskRecord is what must outlast a dispatcher of one task.
type TaskRecord struct {
	Occurrence int  `msgpack:"o,omitempty"`
	Step       int  `msgpack:"s,omitempty"`
	Index      int  `msgpack:"i,omitempty"`
	Done       bool `msgpack:"d,omitempty"`
	// FailedRuns lists the runs that ended failed, in the order in which they
	// were heard of. A VM lists an end again until it is acknowledged.
	FailedRuns []int `msgpack:"fr,omitempty"`
	// Run is the highest run that was known when the record was written.
	Run        int    `msgpack:"r,omitempty"`
	Checkpoint string `msgpack:"c,omitempty"`
}

// Progress is how far a live job has got. Tasks without a record are new.
type Progress struct {
	Tasks []TaskRecord `msgpack:"t"`
}

// Outcome is what is kept of a job that has ended.
type Outcome struct {
	State   State  `msgpack:"s"`
	Queue   string `msgpack:"q"`
	Account string `msgpack:"a,omitempty"`
	// At is when the job ended, by the dispatcher's clock.
	At time.Time `msgpack:"t,omitempty"`
}

// Marshal encodes a Spec, Progress or Outcome for the store.
func Marshal[T Spec | Progress | Outcome](rec T) (raw []byte, err error) {
	raw, err = msgpack.Marshal(&rec)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", rec, err)
	}
	return raw, nil
}

// Unmarshal decodes what Marshal encoded.
func Unmarshal[T Spec | Progress | Outcome](raw []byte) (rec T, err error) {
	if err = msgpack.Unmarshal(raw, &rec); err != nil {
		return rec, fmt.Errorf("decode %T: %w", rec, err)
	}
	return rec, nil
}

// Keys of the store that hold jobs.
const (
	// LivePrefix begins the keys of accepted jobs that haven't ended.
	LivePrefix = "live/"
	// ProgressPrefix begins the keys of live jobs' progress.
	ProgressPrefix = "progress/"
	// EndedPrefix begins the keys of jobs that have ended.
	EndedPrefix = "ended/"
	// cancelSuffix ends the key that marks a live job as cancelled.
	cancelSuffix = "/cancel"
)

// LiveKey returns the key of an accepted job.
func LiveKey(id ID) string { return LivePrefix + string(id) }

// CancelKey returns the key that marks a live job as cancelled.
func CancelKey(id ID) string { return LivePrefix + string(id) + cancelSuffix }

// ProgressKey returns the key of a live job's progress.
func ProgressKey(id ID) string { return ProgressPrefix + string(id) }

// EndedKey returns the key of a job that has ended.
func EndedKey(id ID) string { return EndedPrefix + string(id) }

// ParseLiveKey reads a key under LivePrefix.
func ParseLiveKey(key string) (id ID, cancel bool) {
	rest := key[len(LivePrefix):]
	if n := len(rest) - len(cancelSuffix); n > 0 && rest[n:] == cancelSuffix {
		return ID(rest[:n]), true
	}
	return ID(rest), false
}
