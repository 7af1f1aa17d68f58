// Package decisionlog writes structured logs of decisions: JSON lines of
// bounded volume, without ever blocking the caller.
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

// Limits of the volume.
const (
	// maxPerSecond is how many events of one name are written in a second. The
	// others are dropped, and their number is a field of the next one.
	maxPerSecond = 40
	// queueCapacity is how many lines may wait while the output is slow.
	queueCapacity = 512
)

// Fields are the inputs and the outcome of a decision.
type Fields = logrus.Fields

// Log writes events. It is safe for concurrent use.
type Log struct {
	log   *logrus.Logger
	entry *logrus.Entry
	now   func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
	// ignored holds the last logged revision of each ignored item.
	ignored map[string]int64
}

// bucket counts the events of one name in a second.
type bucket struct {
	second  int64
	written int
	// suppressed counts the events dropped since the last one that was written.
	suppressed int
}

// New returns a log that writes to out, with the name of the process in each
// line. Lines that are still queued when the process exits are lost.
func New(out io.Writer, process string, now func() time.Time) *Log {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true, FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "event"}})
	log.SetOutput(newAsyncWriter(out))
	return &Log{log: log, entry: log.WithField("process", process), now: now, buckets: map[string]*bucket{}, ignored: map[string]int64{}}
}

// Event writes an event, unless too many of that name were written in this
// second.
func (log *Log) Event(name string, fields Fields) {
	now := log.now()
	suppressed, ok := log.allow(name, now)
	if !ok {
		return
	}
	all := make(Fields, len(fields)+2)
	for key, value := range fields {
		all[key] = value
	}
	all["at"] = now.UTC().Format("2006-01-02T15:04:05.000Z07:00")
	if suppressed > 0 {
		all["left_out"] = suppressed
	}
	log.entry.WithFields(all).Info(name)
}

func (log *Log) allow(name string, now time.Time) (suppressed int, ok bool) {
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
		buc.suppressed++
		return 0, false
	}
	buc.written++
	suppressed, buc.suppressed = buc.suppressed, 0
	return suppressed, true
}

// asyncWriter passes lines to a writer in a goroutine of its own, and drops
// those for which the queue has no room. Their number is written before the
// next line.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	wri := &asyncWriter{lines: make(chan []byte, queueCapacity)}
	go func() {
		for line := range wri.lines {
			if dropped := wri.dropped.Swap(0); dropped > 0 {
				_, _ = fmt.Fprintf(out, "{\"event\":\"lines_dropped\",\"count\":%d}\n", dropped)
			}
			// There is nowhere to report that the log can't be written.
			_, _ = out.Write(line)
		}
	}()
	return wri
}

// Write queues a line. It never fails.
func (wri *asyncWriter) Write(line []byte) (n int, err error) {
	select {
	case wri.lines <- bytes.Clone(line):
	default:
		wri.dropped.Add(1)
	}
	return len(line), nil
}
