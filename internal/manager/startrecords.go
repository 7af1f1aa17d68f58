package manager

import (
	"context"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/core/startlog"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Timing of records of starts.
const (
	// maxRecordTime is the time after which starts that wait for their record aren't sent
	// any more. latestart.MaxDelay includes it.
	maxRecordTime = 600 * time.Millisecond
	// recordPatience is how long starts wait for their record. A write that is on its way to
	// a slow store is carried out even if this process is killed.
	recordPatience = 50 * time.Millisecond
	// recordRetryDelay is the pause before a record is written again whose starts were
	// sent.
	recordRetryDelay = 60 * time.Millisecond
)

// pendingStart is a start that may wait for its record.
type pendingStart struct {
	scheduler.Start
	// known ends when the VM is forgotten.
	known context.Context
}

func (dis *dispatcher) pendingStart(eff scheduler.Start) pendingStart {
	return pendingStart{eff, dis.nod.calls.Known(eff.VM.ID)}
}

// effectsOf returns the effects that starts come from.
func effectsOf(starts []pendingStart) (effects []scheduler.Start) {
	for _, pen := range starts {
		effects = append(effects, pen.Start)
	}
	return effects
}

// recordStarts records starts that were decided at a time, and sends them.
func (dis *dispatcher) recordStarts(ctx context.Context, decided time.Time, txn kv.Txn, starts []pendingStart) {
	written := make(chan error, 1)
	go func() { written <- dis.writeRecord(ctx, txn) }()
	var patience <-chan time.Time
	if len(starts) > 0 && dis.lateRecords.Load() == 0 {
		patience = time.After(recordPatience)
	}
	sent := false
	for {
		select {
		case err := <-written:
			switch {
			case err == nil && !sent:
				dis.sendStarts(ctx, decided, txn, starts)
			case err != nil && !sent:
				dis.send(ctx, scheduler.StartsNotRecorded{Txn: txn, Starts: effectsOf(starts), Err: err})
			case err != nil:
				dis.rewriteRecord(ctx, txn, err)
			}
			return
		case <-patience:
			patience, sent = nil, dis.sendStarts(ctx, decided, txn, starts)
			if !sent {
				return
			}
		}
	}
}

// writeRecord writes a record of starts once.
func (dis *dispatcher) writeRecord(ctx context.Context, txn kv.Txn) (err error) {
	_, err = dis.commit(ctx, txn)
	return err
}

// rewriteRecord writes a record again until it is stored. As long as there is one, the starts
// of others wait until theirs are.
func (dis *dispatcher) rewriteRecord(ctx context.Context, txn kv.Txn, err error) {
	dis.lateRecords.Add(1)
	defer dis.lateRecords.Add(-1)
	for err != nil && ctx.Err() == nil {
		dis.nod.log.Event("record_of_starts_late", decisionlog.Fields{"error": err.Error()})
		clock.Pause(ctx, recordRetryDelay)
		err = dis.writeRecord(ctx, txn)
	}
}

// sendStarts sends starts that were decided at a time, unless the process has stood still
// since.
func (dis *dispatcher) sendStarts(ctx context.Context, decided time.Time, txn kv.Txn, starts []pendingStart) (sent bool) {
	now := dis.nod.now()
	took := now.Sub(decided)
	if !dis.ten.Holds(now) || took > maxRecordTime {
		dis.send(ctx, scheduler.StartsNotRecorded{Txn: txn, Starts: effectsOf(starts), Err: errNotHeld})
		return false
	}
	for _, pen := range starts {
		go dis.start(ctx, pen, took)
	}
	return true
}

// readStarts reads the records of starts that former dispatchers left.
func (dis *dispatcher) readStarts(ctx context.Context) (ok bool) {
	items, ok := dis.readAll(ctx, startlog.Prefix)
	if !ok {
		return false
	}
	evt := scheduler.FormerStartsListed{Records: map[string]startlog.Record{}}
	for _, itm := range items {
		rec, err := startlog.Decode(itm.Value)
		if err != nil {
			dis.logIgnored(itm, err)
		}
		evt.Records[itm.Key] = rec
	}
	dis.send(ctx, evt)
	return true
}
