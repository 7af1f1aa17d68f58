package entry

import (
	"bytes"
	"fmt"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
)

// makeFence writes the entry's fence, without which it can't own tasks.
func (stp *step) makeFence() {
	lgs := &stp.st.logs
	if lgs.fence != 0 || lgs.fenceBusy || !stp.st.store.listed || stp.now.Sub(lgs.fenceAt) < rewriteEvery {
		return
	}
	lgs.fenceBusy = true
	lgs.fenceAt = stp.now
	key := store.FenceKey(stp.st.set.ID)
	stp.callStore(fenceMade{}, store.Write{Puts: []store.Put{{Key: key, Value: []byte(stp.st.set.ID)}}})
}

func (stp *step) fenceAnswered(res store.Result) {
	stp.st.logs.fenceBusy = false
	if wrt, ok := res.(store.Written); ok && wrt.Succeeded {
		stp.st.logs.fence = wrt.Revision
	}
}

// flushEvery is the time between two writes of the log: the budget of writes
// is divided between the voters.
func (stp *step) flushEvery() time.Duration {
	voters := time.Duration(max(1, len(stp.st.config.Voters)))
	writes := time.Duration(max(1, stp.st.set.StoreWritesPerSecond))
	return time.Second * voters * percent / (writes * logPercent)
}

// flushLog writes the pending records if it is time, or repeats a write whose
// answer did not come.
func (stp *step) flushLog() {
	lgs := &stp.st.logs
	if lgs.fence == 0 || lgs.writing {
		return
	}
	if len(stp.st.log.InFlight()) > 0 {
		if !stp.now.Before(lgs.rewrite) {
			stp.writeSegment()
		}
		return
	}
	if stp.now.Sub(stp.st.log.FlushedAt) < stp.flushEvery() {
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

func (stp *step) compactLog() {
	next, ok := stp.st.log.WithCompaction(stp.now)
	if !ok || len(next.InFlight()) == 0 {
		return
	}
	stp.st.log = next
	stp.st.logs.compacting = true
	stp.writeSegment()
}

// writeSegment writes the records in flight. Repeating it is safe: the segment
// is written only if it is not there, and only by the owner of the fence.
func (stp *step) writeSegment() {
	lgs := &stp.st.logs
	self := stp.st.set.ID
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

func (stp *step) segmentAnswered(res store.Result) {
	stp.st.logs.writing = false
	wrt, ok := res.(store.Written)
	switch {
	case ok && wrt.Succeeded:
		stp.segmentKept()
	case ok:
		key := store.LogKey(stp.st.set.ID, stp.st.log.Seq)
		stp.st.logs.writing = true
		stp.callStore(segmentConfirmed{}, store.Get{Key: key})
	default:
		stp.st.logs.rewrite = stp.now.Add(rewriteEvery)
	}
}

// segmentConfirmed goes on after a condition did not hold. If the segment is
// there, an earlier write took effect and only its answer was lost.
func (stp *step) segmentConfirmed(res store.Result) {
	stp.st.logs.writing = false
	vls, ok := res.(store.Values)
	if !ok {
		stp.st.logs.rewrite = stp.now.Add(rewriteEvery)
		return
	}
	data, _ := task.EncodeSegment(stp.st.log.InFlight())
	switch {
	case len(vls.Values) == 1 && bytes.Equal(vls.Values[0].Value, data):
		stp.segmentKept()
	case stp.st.logs.adopting != "":
		stp.abandonAdoption()
	default:
		stp.record("task", "fence_lost", stp.st.set.ID, "another entry adopted the task log")
		stp.emit(effect.Exit{})
	}
}

// segmentKept acts on the records that the store now has.
func (stp *step) segmentKept() {
	recs := stp.st.log.InFlight()
	lgs := &stp.st.logs
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
		stp.recordKept(rec)
	}
}
