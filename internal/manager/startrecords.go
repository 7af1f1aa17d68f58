package manager

import (
	"context"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/core/startlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// recordTimeout bounds the write of a record of starts. latestart.MaxDelay includes it.
const recordTimeout = 600 * time.Millisecond

// recordStarts records starts that were decided at a time, and then sends them.
func (dis *dispatcher) recordStarts(ctx context.Context, decided time.Time, txn kv.Txn, starts []scheduler.Start) {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := dis.commit(callCtx, txn)
	if err == nil {
		// The process may have stood still since.
		err = dis.checkHeld()
	}
	took := dis.nod.now().Sub(decided)
	if err == nil && took > recordTimeout {
		err = context.DeadlineExceeded
	}
	if err != nil {
		dis.send(ctx, scheduler.StartsNotRecorded{Txn: txn, Starts: starts, Err: err})
		return
	}
	for _, eff := range starts {
		go dis.start(ctx, eff, took)
	}
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
