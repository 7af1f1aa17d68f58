package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (rec *record, err error) {
	rec = &record{began: time.Now()}
	if path == "" {
		rec.file = os.Stdout
		return rec, nil
	}
	if rec.file, err = os.Create(path); err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return rec, nil
}

// note adds a line with the seconds since the start.
func (rec *record) note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%8.3f %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *record) close() { _ = rec.file.Close() }
