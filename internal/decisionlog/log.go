// Package decisionlog writes structured lines about decisions: JSON lines, of
// bounded volume, that never block the caller.
package decisionlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of the volume.
const (
	// maxPerSecond is how many lines of one name are written in a second. The
	// others are counted.
	maxPerSecond = 40
	// queueLines is how many lines may wait for a reader that is slow.
	queueLines = 512
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Log writes lines. It is safe for concurrent use.
type Log struct {
	log   *logrus.Logger
	entry *logrus.Entry
	now   func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket counts the lines of one name in a second.
type bucket struct {
	second  int64
	written int
	// leftOut counts the lines since the last one that was written.
	leftOut int
}

// New returns a log that writes to out, with the name of the process on each
// line. It stops writing when the process ends.
func New(out io.Writer, process string, now func() time.Time) *Log {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true, FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "event"}})
	log.SetOutput(newQueue(out))
	return &Log{log: log, entry: log.WithField("process", process), now: now, buckets: map[string]*bucket{}}
}

// Event writes a line unless too many of that name were written in this second.
func (log *Log) Event(name string, fields Fields) {
	now := log.now()
	leftOut, ok := log.allow(name, now)
	if !ok {
		return
	}
	all := make(Fields, len(fields)+2)
	for key, value := range fields {
		all[key] = value
	}
	all["at"] = now.UTC().Format("2006-01-02T15:04:05.000Z07:00")
	if leftOut > 0 {
		all["left_out"] = leftOut
	}
	log.entry.WithFields(all).Info(name)
}

func (log *Log) allow(name string, now time.Time) (leftOut int, ok bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	buc := log.buckets[name]
	if buc == nil {
		buc = &bucket{}
		log.buckets[name] = buc
	}
	if second := now.Unix(); second != buc.second {
		buc.second, buc.written = second, 0
	}
	if buc.written >= maxPerSecond {
		buc.leftOut++
		return 0, false
	}
	buc.written++
	leftOut, buc.leftOut = buc.leftOut, 0
	return leftOut, true
}

// queue hands lines to a writer in a goroutine of its own, and drops those for
// which there is no room. The next line that has room is preceded by their number.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64
}

func newQueue(out io.Writer) *queue {
	que := &queue{lines: make(chan []byte, queueLines)}
	go func() {
		for line := range que.lines {
			if dropped := que.dropped.Swap(0); dropped > 0 {
				_, _ = fmt.Fprintf(out, "{\"event\":\"lines_dropped\",\"count\":%d}\n", dropped)
			}
			// Nobody is left to be told that the log can't be written.
			_, _ = out.Write(line)
		}
	}()
	return que
}

// Write queues a line.
func (que *queue) Write(line []byte) (n int, err error) {
	select {
	case que.lines <- bytes.Clone(line):
	default:
		que.dropped.Add(1)
	}
	return len(line), nil
}
