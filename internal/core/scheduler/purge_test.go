package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// endedRecords returns the number of records of ended jobs in the store.
func (emu *emulator) endedRecords() int { return len(emu.store.sorted(job.EndedPrefix)) }

// TestEndedRecordsPurged checks that records of ended jobs, including those of
// a former dispatcher, are kept for the retention time and then removed, even
// when answers of the store are lost.
func TestEndedRecordsPurged(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 4, 4, job.Size{CPU: 16_000, Memory: 32_768})
	opt := testOptions()
	opt.KeepEnded = 2 * time.Minute
	emu.loseCommit = 0.1
	emu.takeOver(opt)
	for i := range 60 {
		emu.after(time.Duration(i)*100*time.Millisecond, func() { emu.submit(fanOut(i+1, "large", 1, 500, 100*time.Millisecond)) })
	}
	emu.after(20*time.Second, emu.killDispatcher)
	emu.run(2 * time.Minute)
	assert.Equal(t, len(emu.finished), 60)
	assert.Equal(t, emu.endedRecords(), 60)
	emu.run(4 * time.Minute)
	assert.Equal(t, emu.endedRecords(), 0)
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}
