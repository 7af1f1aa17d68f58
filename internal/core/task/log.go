package task

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// Limits of the log.
const (
	// MaxSegmentBytes bounds the records of one write, well below the store's
	// limit of one megabyte for a value.
	MaxSegmentBytes = 256 << 10
	// CompactionThreshold is the number of segments above which the log is
	// rewritten.
	CompactionThreshold = 64
	// ResultRetention is how long the result of a finished task is kept.
	ResultRetention = time.Hour
)

// Log is an entry's record of the tasks that it owns. It is immutable.
//
// A record is first pending, then part of the single write in flight, then
// stored. Only stored records may be acted upon.
type Log struct {
	stored *immutable.SortedMap[string, Record]
	// pending is in the order of arrival.
	pending []Record
	// inFlight is empty when no write is in progress.
	inFlight []Record
	// Seq is the sequence number of the segment of the next write, or of the
	// one in flight.
	Seq int64
	// Oldest is the sequence number of the first segment that is still in the
	// store.
	Oldest int64
	// FlushedAt is the time at which the last write was sent.
	FlushedAt time.Time
}

// NewLog returns the log of an entry that owns no tasks.
func NewLog() Log {
	return Log{stored: immutable.NewSortedMap[string, Record](nil)}
}

// Stored returns the stored record of a task.
func (log Log) Stored(id string) (rec Record, ok bool) {
	return log.stored.Get(id)
}

// StoredCount returns the number of tasks with a stored record.
func (log Log) StoredCount() int { return log.stored.Len() }

// Latest returns the newest record of a task, stored or not.
func (log Log) Latest(id string) (rec Record, ok bool) {
	for _, recs := range [][]Record{log.pending, log.inFlight} {
		for _, rec := range slices.Backward(recs) {
			if rec.ID == id {
				return rec, true
			}
		}
	}
	return log.stored.Get(id)
}

// InFlight returns the records of the write in progress.
func (log Log) InFlight() []Record { return log.inFlight }

// PendingCount returns the number of records that wait for a write.
func (log Log) PendingCount() int { return len(log.pending) }

// WithPending returns the log with a record added to the next write.
func (log Log) WithPending(rec Record) Log {
	log.pending = append(slices.Clip(log.pending), rec)
	return log
}

// WithoutPending returns the log without the pending records of a task, and
// whether there were any.
func (log Log) WithoutPending(id string) (next Log, removed bool) {
	remaining := slices.DeleteFunc(slices.Clone(log.pending), func(rec Record) bool { return rec.ID == id })
	removed = len(remaining) < len(log.pending)
	log.pending = remaining
	return log, removed
}

// WithInFlight returns the log with as many pending records in flight as fit
// into one segment.
func (log Log) WithInFlight(now time.Time) Log {
	size, count := 0, 0
	for _, rec := range log.pending {
		size += len(rec.Payload) + len(rec.Result) + recordOverhead
		if count > 0 && size > MaxSegmentBytes {
			break
		}
		count++
	}
	log.inFlight = slices.Clone(log.pending[:count])
	log.pending = slices.Clone(log.pending[count:])
	log.FlushedAt = now
	return log
}

// recordOverhead is an upper estimate of the size of a record without its
// payload and result, in bytes.
const recordOverhead = 512

// WithWritten returns the log after the write in flight succeeded.
func (log Log) WithWritten() Log {
	for _, rec := range log.inFlight {
		log.stored = log.stored.Set(rec.ID, rec)
	}
	log.inFlight = nil
	log.Seq++
	return log
}

// NeedsCompaction reports whether the log has more segments than
// CompactionThreshold.
func (log Log) NeedsCompaction() bool {
	return log.Seq-log.Oldest > CompactionThreshold
}

// WithCompaction returns the log with a rewrite of all stored records in
// flight. It drops tasks that finished longer than ResultRetention ago. It
// changes nothing when the records do not fit into one segment.
func (log Log) WithCompaction(now time.Time) (next Log, ok bool) {
	var recs []Record
	size := 0
	stored := log.stored
	itr := log.stored.Iterator()
	for !itr.Done() {
		id, rec, _ := itr.Next()
		if rec.State.IsFinal() && now.Sub(rec.EndedAt) > ResultRetention {
			stored = stored.Delete(id)
			continue
		}
		size += len(rec.Payload) + len(rec.Result) + recordOverhead
		recs = append(recs, rec)
	}
	if size > MaxSegmentBytes {
		return log, false
	}
	log.stored = stored
	log.inFlight = recs
	log.FlushedAt = now
	return log, true
}

// WithOldest returns the log after the segments before seq were deleted.
func (log Log) WithOldest(seq int64) Log {
	log.Oldest = seq
	return log
}

// EncodeSegment encodes records as one value of the store. It keeps their
// order.
func EncodeSegment(recs []Record) (data []byte, err error) {
	return json.Marshal(recs)
}

// Replay decodes the segments of a log in order and returns the last record of
// each task, sorted by ID.
func Replay(segments [][]byte) (recs []Record, err error) {
	latest := map[string]Record{}
	for i, segment := range segments {
		var part []Record
		if err := json.Unmarshal(segment, &part); err != nil {
			return nil, fmt.Errorf("read segment %d of a task log: %w", i, err)
		}
		for _, rec := range part {
			latest[rec.ID] = rec
		}
	}
	for _, rec := range latest {
		recs = append(recs, rec)
	}
	slices.SortFunc(recs, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return recs, nil
}

// WithAdopted returns the log with the records of another member's log in
// flight.
func (log Log) WithAdopted(recs []Record, now time.Time) Log {
	log.inFlight = recs
	log.FlushedAt = now
	return log
}

// WithoutInFlight returns the log after the write in flight was abandoned.
func (log Log) WithoutInFlight() Log {
	log.inFlight = nil
	return log
}
