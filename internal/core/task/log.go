package task

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

// Bounds of the log.
const (
	// SegmentBytes bounds the records of one write, far below the megabyte
	// that the store holds in a value.
	SegmentBytes = 256 << 10
	// CompactAfter is the number of segments after which the log is rewritten.
	CompactAfter = 64
	// KeepResults is how long a finished task can be asked for.
	KeepResults = time.Hour
)

// Log is an entry's record of the tasks that it owns. It is immutable.
//
// A record is first pending, then part of the one write in flight, then kept.
// Only what is kept may be acted upon.
type Log struct {
	kept *immutable.SortedMap[string, Record]
	// pending is in the order of arrival.
	pending []Record
	// flight is empty when no write is under way.
	flight []Record
	// Seq numbers the segment of the next write, or of the one in flight.
	Seq int64
	// Oldest numbers the first segment that the store still has.
	Oldest int64
	// FlushedAt is when the last write was sent.
	FlushedAt time.Time
}

// NewLog returns the log of an entry that owns no task.
func NewLog() Log {
	return Log{kept: immutable.NewSortedMap[string, Record](nil)}
}

// Stored returns a record that the store has.
func (log Log) Stored(id string) (rec Record, ok bool) {
	return log.kept.Get(id)
}

// StoredCount returns the number of tasks of which the store has a record.
func (log Log) StoredCount() int { return log.kept.Len() }

// Latest returns the newest record of a task, kept or not.
func (log Log) Latest(id string) (rec Record, ok bool) {
	for _, recs := range [][]Record{log.pending, log.flight} {
		for _, rec := range slices.Backward(recs) {
			if rec.ID == id {
				return rec, true
			}
		}
	}
	return log.kept.Get(id)
}

// InFlight returns the records of the write under way.
func (log Log) InFlight() []Record { return log.flight }

// PendingCount returns the number of records that wait for a write.
func (log Log) PendingCount() int { return len(log.pending) }

// WithPending returns the log with a record waiting for the next write.
func (log Log) WithPending(rec Record) Log {
	log.pending = append(slices.Clip(log.pending), rec)
	return log
}

// WithoutPending returns the log without the records of a task that wait for
// the next write. It reports whether there were any.
func (log Log) WithoutPending(id string) (next Log, removed bool) {
	kept := slices.DeleteFunc(slices.Clone(log.pending), func(rec Record) bool { return rec.ID == id })
	removed = len(kept) < len(log.pending)
	log.pending = kept
	return log, removed
}

// WithInFlight returns the log with as many pending records in flight as one
// segment holds.
func (log Log) WithInFlight(now time.Time) Log {
	size, count := 0, 0
	for _, rec := range log.pending {
		size += len(rec.Payload) + len(rec.Result) + recordOverhead
		if count > 0 && size > SegmentBytes {
			break
		}
		count++
	}
	log.flight = slices.Clone(log.pending[:count])
	log.pending = slices.Clone(log.pending[count:])
	log.FlushedAt = now
	return log
}

// recordOverhead is a generous size of a record without its payload, in bytes.
const recordOverhead = 512

// WithWritten returns the log after the write in flight took effect.
func (log Log) WithWritten() Log {
	for _, rec := range log.flight {
		log.kept = log.kept.Set(rec.ID, rec)
	}
	log.flight = nil
	log.Seq++
	return log
}

// NeedsCompaction reports whether the log has so many segments that it should
// be rewritten.
func (log Log) NeedsCompaction() bool {
	return log.Seq-log.Oldest > CompactAfter
}

// WithCompaction returns the log with a rewrite of all that is kept in flight.
// Finished tasks that are older than KeepResults are dropped. It changes
// nothing when what is kept does not fit into one segment.
func (log Log) WithCompaction(now time.Time) (next Log, ok bool) {
	var recs []Record
	size := 0
	kept := log.kept
	itr := log.kept.Iterator()
	for !itr.Done() {
		id, rec, _ := itr.Next()
		if rec.State.IsFinal() && now.Sub(rec.EndedAt) > KeepResults {
			kept = kept.Delete(id)
			continue
		}
		size += len(rec.Payload) + len(rec.Result) + recordOverhead
		recs = append(recs, rec)
	}
	if size > SegmentBytes {
		return log, false
	}
	log.kept = kept
	log.flight = recs
	log.FlushedAt = now
	return log, true
}

// WithOldest returns the log after older segments were deleted.
func (log Log) WithOldest(seq int64) Log {
	log.Oldest = seq
	return log
}

// EncodeSegment writes records as one value of the store. The records of one
// task stand in their order.
func EncodeSegment(recs []Record) (data []byte, err error) {
	return json.Marshal(recs)
}

// Fold reads the segments of a log, in their order, and returns the last
// record of each task, by ID.
func Fold(segments [][]byte) (recs []Record, err error) {
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
	log.flight = recs
	log.FlushedAt = now
	return log
}

// WithoutInFlight returns the log after the records in flight were given up.
func (log Log) WithoutInFlight() Log {
	log.flight = nil
	return log
}
