package entry

import (
	"bytes"
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
)

// createFence writes the entry's fence. Without it the entry can't own tasks.
func (stp *step) createFence() {
	lgs := &stp.st.logProgress
	if lgs.fence != 0 || lgs.fencePending || !stp.st.store.registered || stp.now.Sub(lgs.fenceTriedAt) < rewriteDelay {
		return
	}
	lgs.fencePending = true
	lgs.fenceTriedAt = stp.now
	key := store.FenceKey(stp.st.settings.ID)
	stp.callStore(fenceCreated{}, store.Write{Puts: []store.Put{{Key: key, Value: []byte(stp.st.settings.ID)}}})
}

func (stp *step) handleFenceResult(res store.Result) {
	stp.st.logProgress.fencePending = false
	if wrt, ok := res.(store.Written); ok && wrt.Succeeded {
		stp.st.logProgress.fence = wrt.Revision
	}
}

// flushInterval returns the time between two writes of the log. The write
// budget is divided among the voters.
func (stp *step) flushInterval() time.Duration {
	voters := time.Duration(max(1, len(stp.st.config.Voters)))
	writes := time.Duration(max(1, stp.st.settings.StoreWritesPerSecond))
	return time.Second * voters * percent / (writes * logWritePercent)
}

// flushLog writes the pending records when the interval has passed, or repeats
// a write without a result.
func (stp *step) flushLog() {
	lgs := &stp.st.logProgress
	if lgs.fence == 0 || lgs.writing {
		return
	}
	if len(stp.st.log.InFlight()) > 0 {
		if !stp.now.Before(lgs.rewriteAt) {
			stp.writeSegment()
		}
		return
	}
	if stp.now.Sub(stp.st.log.FlushedAt) < stp.flushInterval() {
		return
	}
	switch {
	case stp.st.log.PendingCount() > 0:
		stp.st.log = stp.st.log.WithInFlight(stp.now)
		stp.writeSegment()
	case stp.st.log.NeedsCompaction():
		stp.compactLog()
	}
}

// compactLog replaces all segments of the log by one.
func (stp *step) compactLog() {
	next, ok := stp.st.log.WithCompaction(stp.now)
	if !ok || len(next.InFlight()) == 0 {
		return
	}
	stp.st.log = next
	stp.st.logProgress.compacting = true
	stp.writeSegment()
}

// writeSegment writes the records in flight. It can be repeated safely: the
// segment is written only if it does not exist, and only by the owner of the
// fence.
func (stp *step) writeSegment() {
	lgs := &stp.st.logProgress
	self := stp.st.settings.ID
	data, _ := task.EncodeSegment(stp.st.log.InFlight())
	key := store.LogKey(self, stp.st.log.Seq)
	wrt := store.Write{
		Conditions: []store.Condition{
			{Key: store.FenceKey(self), ModRevision: lgs.fence},
			{Key: key, ModRevision: 0},
		},
		Puts: []store.Put{{Key: key, Value: data}},
	}
	if lgs.compacting {
		wrt.DeleteRanges = []store.Range{{From: store.LogKey(self, stp.st.log.Oldest), To: key}}
	}
	if lgs.adopting != "" {
		fence := store.FenceKey(lgs.adopting)
		wrt.Conditions = append(wrt.Conditions, store.Condition{Key: fence, ModRevision: lgs.adoptingFence})
		wrt.Deletes = []string{fence}
		wrt.DeletePrefixes = []string{store.LogPrefix(lgs.adopting)}
	}
	lgs.writing = true
	stp.callStore(segmentWritten{}, wrt)
}

func (stp *step) handleSegmentResult(res store.Result) {
	stp.st.logProgress.writing = false
	wrt, ok := res.(store.Written)
	switch {
	case ok && wrt.Succeeded:
		stp.segmentStored()
	case ok:
		// A condition failed.
		key := store.LogKey(stp.st.settings.ID, stp.st.log.Seq)
		stp.st.logProgress.writing = true
		stp.callStore(segmentConfirmed{}, store.Get{Key: key})
	default:
		stp.st.logProgress.rewriteAt = stp.now.Add(rewriteDelay)
	}
}

// handleSegmentConfirmation continues after a condition of the write failed. If
// the segment exists, an earlier write took effect and its response was lost.
// Otherwise a fence has changed: during an adoption it is taken to be that of
// the log to adopt; else another entry has adopted this entry's log.
func (stp *step) handleSegmentConfirmation(res store.Result) {
	stp.st.logProgress.writing = false
	vls, ok := res.(store.Values)
	if !ok {
		stp.st.logProgress.rewriteAt = stp.now.Add(rewriteDelay)
		return
	}
	data, _ := task.EncodeSegment(stp.st.log.InFlight())
	switch {
	case len(vls.Values) == 1 && bytes.Equal(vls.Values[0].Value, data):
		stp.segmentStored()
	case stp.st.logProgress.adopting != "":
		stp.abandonAdoption()
	default:
		stp.record("task", "fence_lost", stp.st.settings.ID, "another entry adopted the task log")
		stp.emit(effect.Exit{})
	}
}

// segmentStored handles the records that are now in the store.
func (stp *step) segmentStored() {
	recs := stp.st.log.InFlight()
	lgs := &stp.st.logProgress
	seq := stp.st.log.Seq
	stp.st.log = stp.st.log.WithWritten()
	if lgs.compacting {
		stp.st.log = stp.st.log.WithOldest(seq)
	}
	compacted := lgs.compacting
	if lgs.adopting != "" {
		stp.record("task", "log_adopted", lgs.adopting, fmt.Sprintf("%d records", len(recs)))
	}
	lgs.compacting, lgs.adopting = false, ""
	if compacted {
		return
	}
	for _, rec := range recs {
		stp.recordStored(rec)
	}
}
