// Package startlog records starts in the store before they are sent.
//
// VMs may carry out a start, or go on with its run, when the dispatcher that sent it is
// gone and the next one can't reach them. The records tell the next one which tasks these
// are. A start stays recorded until it can no longer be carried out late, and its VM is
// known to hold no lease that outlasts a takeover.
package startlog

import (
	"fmt"
	"maps"
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/core/latestart"
	"github.com/balsamgauge/balsamgauge/internal/kv"
)

// Log keeps track of the records of starts that are in the store, or may be.
type Log struct {
	term int64
	// count is the number of records of this term.
	count int
	// open holds, by key, the starts of each record that still matter.
	open map[string][]place
	// obsolete holds the keys of records that are to be deleted.
	obsolete []string
}

// place is a start on a VM.
type place struct {
	vm  string
	run latestart.Run
}

// New returns the log of a dispatcher whose tenure has just begun.
func New(term int64) *Log { return &Log{term: term, open: map[string][]place{}} }

// Restore adds a record of a former dispatcher.
func (log *Log) Restore(key string, rec Record) {
	places := []place{}
	for _, vmr := range rec.VMs {
		for _, run := range vmr.Runs {
			places = append(places, place{vmr.ID, run.LateStart()})
		}
	}
	log.open[key] = places
}

// Write returns the transaction that records starts and deletes as many obsolete records
// as fit into a number of entries.
func (log *Log) Write(starts []Start, entries int) (txn kv.Txn, err error) {
	if len(starts) > 0 {
		log.count++
		key := fmt.Sprintf("%s%d.%d", Prefix, log.term, log.count)
		raw, err := newRecord(log.term, starts).encode()
		if err != nil {
			return kv.Txn{}, err
		}
		txn.Puts = []kv.Put{{Key: key, Value: raw}}
		places := make([]place, len(starts))
		for i, sta := range starts {
			places[i] = place{sta.VM.ID, sta.Run}
		}
		log.open[key] = places
	}
	deleted := min(len(log.obsolete), entries-txn.Len())
	txn.Deletes, log.obsolete = slices.Clone(log.obsolete[:deleted]), slices.Clone(log.obsolete[deleted:])
	return txn, nil
}

// Failed handles that a write by Write failed. It may be carried out later, so its record
// is deleted as well.
func (log *Log) Failed(txn kv.Txn) {
	log.obsolete = append(log.obsolete, txn.Deletes...)
	for _, put := range txn.Puts {
		delete(log.open, put.Key)
		log.obsolete = append(log.obsolete, put.Key)
	}
}

// HasObsolete reports whether there are records to be deleted.
func (log *Log) HasObsolete() bool { return len(log.obsolete) > 0 }

// Prune drops the starts that don't matter any more. A record without others becomes
// obsolete.
func (log *Log) Prune(matters func(vm string, run latestart.Run) bool) {
	for _, key := range slices.Sorted(maps.Keys(log.open)) {
		log.open[key] = slices.DeleteFunc(log.open[key], func(pla place) bool { return !matters(pla.vm, pla.run) })
		if len(log.open[key]) == 0 {
			delete(log.open, key)
			log.obsolete = append(log.obsolete, key)
		}
	}
}
