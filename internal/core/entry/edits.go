package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// Bounds of an edit.
const (
	// editTimeout bounds an edit from its start to its answer.
	editTimeout = 8 * time.Second
	// majorityTimeout is how long an edit waits for a majority to be heard. A
	// voter that has just joined is heard after a heartbeat.
	majorityTimeout = 3 * time.Second
	// editRetryEvery is the wait before the store is tried again.
	editRetryEvery = 100 * time.Millisecond
	// joinEvery is the time between two tries to become a voter.
	joinEvery = 300 * time.Millisecond
	// maxPendingEdits bounds the edits that wait at one entry.
	maxPendingEdits = 64
)

// editState holds the edits that the entry was asked for. Only the first is
// under way.
type editState struct {
	pending []pendingEdit
	nonces  uint64
	joinAt  time.Time
}

type editPhase int

const (
	// editQueued waits for its turn.
	editQueued editPhase = iota
	// editReading waits for the head and, if need be, the configuration.
	editReading
	// editWriting waits for the answer to the write.
	editWriting
	// editConfirming waits for a read that tells whether the write took
	// effect.
	editConfirming
	// editSpreading waits until a majority of the voters has the change.
	editSpreading
)

type pendingEdit struct {
	// request is 0 for the entry's own edits.
	request uint64
	change  table.Change
	base    int64
	nonce   string
	phase   editPhase
	began   time.Time
	retryAt time.Time
	// written says that a write was sent, so that it may have taken effect.
	written bool
	// next is what the write in flight leads to.
	next *table.Config
}

func (stp *step) operatorAsked(evt event.ChangeRequested) {
	if len(stp.st.edits.pending) >= maxPendingEdits {
		stp.answerOperator(evt.Request, outcome.CodeNotAccepted, "Too many edits wait at this entry.")
		return
	}
	stp.submitEdit(pendingEdit{request: evt.Request, change: evt.Change, base: evt.Base})
}

func (stp *step) submitEdit(pnd pendingEdit) {
	stp.st.edits.nonces++
	pnd.nonce = fmt.Sprintf("%s/%d", stp.st.set.ID, stp.st.edits.nonces)
	pnd.began = stp.now
	stp.st.edits.pending = append(slices.Clip(stp.st.edits.pending), pnd)
	stp.advanceEdit()
}

func (stp *step) currentEdit() (pnd pendingEdit, ok bool) {
	if len(stp.st.edits.pending) == 0 {
		return pendingEdit{}, false
	}
	return stp.st.edits.pending[0], true
}

func (stp *step) setCurrentEdit(pnd pendingEdit) {
	stp.st.edits.pending = slices.Clone(stp.st.edits.pending)
	stp.st.edits.pending[0] = pnd
}

func (stp *step) dropCurrentEdit() {
	stp.st.edits.pending = slices.Clone(stp.st.edits.pending[1:])
	stp.advanceEdit()
}

// advanceEdit begins the first edit if it has not begun.
func (stp *step) advanceEdit() {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editQueued || stp.now.Before(pnd.retryAt) {
		return
	}
	if err := stp.mayEdit(pnd); err != nil {
		if stp.now.Sub(pnd.began) < majorityTimeout {
			return
		}
		stp.failEdit(outcome.CodeNoFreshConfig, err.Error())
		return
	}
	pnd.phase = editReading
	stp.setCurrentEdit(pnd)
	stp.readHead()
}

// mayEdit checks that what is accepted here will reach every entry that starts
// work: the entry hears a majority of the voters. The first voter of all has
// nobody to hear.
func (stp *step) mayEdit(pnd pendingEdit) error {
	if _, joins := pnd.change.(table.VoterJoined); joins && len(stp.st.config.Voters) == 0 {
		return nil
	}
	if stp.st.view.HasQuorum(stp.now, stp.st.config) {
		return nil
	}
	return errors.New("the entry does not hear a majority of the voting members")
}

func (stp *step) tickEdits() {
	stp.joinVoters()
	pnd, ok := stp.currentEdit()
	if !ok {
		return
	}
	if stp.now.Sub(pnd.began) > editTimeout {
		stp.timeOutEdit(pnd)
		return
	}
	switch {
	case pnd.phase == editQueued:
		stp.advanceEdit()
	case pnd.phase == editReading && !pnd.retryAt.IsZero() && !stp.now.Before(pnd.retryAt):
		pnd.retryAt = time.Time{}
		stp.setCurrentEdit(pnd)
		stp.readHead()
	case pnd.phase == editSpreading:
		stp.checkAcknowledged()
	}
}

func (stp *step) timeOutEdit(pnd pendingEdit) {
	switch {
	case pnd.phase == editSpreading:
		stp.failEdit(outcome.CodeAcceptanceUnknown, fmt.Sprintf("Revision %d is in the store, but a majority has not confirmed it yet.", pnd.next.Revision))
	case pnd.written:
		stp.failEdit(outcome.CodeAcceptanceUnknown, "The store did not say whether the change took effect.")
	default:
		stp.failEdit(outcome.CodeStoreUnavailable, "The store did not answer; nothing was changed.")
	}
}

// joinVoters asks to become a voter once the entry has a lease.
func (stp *step) joinVoters() {
	_, votes := stp.st.config.Voter(stp.st.set.ID)
	if votes || stp.st.view.Leaving() || !stp.st.store.listed || stp.now.Sub(stp.st.edits.joinAt) < joinEvery {
		return
	}
	stp.st.edits.joinAt = stp.now
	for _, pnd := range stp.st.edits.pending {
		if _, joins := pnd.change.(table.VoterJoined); joins {
			return
		}
	}
	vtr := table.Voter{ID: stp.st.set.ID, Address: stp.st.set.Address, AZ: stp.st.set.AZ, VM: stp.st.set.VM}
	stp.submitEdit(pendingEdit{change: table.VoterJoined{Voter: vtr}})
}

func (stp *step) retryEditRead() {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editReading {
		return
	}
	pnd.retryAt = stp.now.Add(stp.jitter(editRetryEvery))
	stp.setCurrentEdit(pnd)
}

// writeEdit writes the current edit on top of the configuration, once that is
// the one in the store.
func (stp *step) writeEdit() {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editReading || stp.st.store.head.revision != stp.st.config.Revision {
		return
	}
	if stp.st.config.HasNonce(pnd.nonce) {
		pnd.next = stp.st.config
		stp.spreadEdit(pnd)
		return
	}
	if pnd.base != 0 && pnd.base < stp.st.config.TablesRevision {
		stp.failEdit(outcome.CodeConflict, fmt.Sprintf(
			"The tables were changed at revision %d, after revision %d on which this change is based.",
			stp.st.config.TablesRevision, pnd.base))
		return
	}
	next, err := stp.st.config.Apply(pnd.change, pnd.nonce)
	if err != nil {
		stp.failEdit(outcome.CodeInvalid, err.Error())
		return
	}
	pnd.next, pnd.phase, pnd.written = next, editWriting, true
	stp.setCurrentEdit(pnd)
	stp.callStore(editWritten{}, configWrite(next, stp.st.store.head.modRevision))
}

func configWrite(cfg *table.Config, headMod int64) store.Write {
	doc, _ := cfg.Encode()
	hed, _ := json.Marshal(headValue{Revision: cfg.Revision})
	return store.Write{
		Conditions: []store.Condition{{Key: store.KeyConfigHead, ModRevision: headMod}},
		Puts: []store.Put{
			{Key: store.KeyConfigHead, Value: hed},
			{Key: store.KeyConfig, Value: doc},
		},
	}
}

func (stp *step) editAnswered(res store.Result) {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editWriting {
		return
	}
	wrt, answered := res.(store.Written)
	switch {
	case answered && wrt.Succeeded:
		stp.st.store.head = head{known: true, revision: pnd.next.Revision, modRevision: wrt.Revision}
		edi := table.NewEdit(pnd.next.Revision, pnd.nonce, pnd.change)
		if pnd.next.Revision == stp.st.config.Revision+1 {
			stp.adopt(pnd.next, &edi)
		}
		stp.spreadEdit(pnd)
	case answered:
		// Another edit came first, or this one took effect at an earlier try
		// whose answer was lost. Reading tells which.
		pnd.phase = editReading
		stp.setCurrentEdit(pnd)
		stp.readHead()
	default:
		pnd.phase = editConfirming
		stp.setCurrentEdit(pnd)
		stp.callStore(editConfirmed{}, store.Get{Key: store.KeyConfig})
	}
}

// editConfirmed goes on after a write without an answer. The write may still be
// on its way, so it is never taken for failed: the edit is read and written
// again with the same nonce, which can take effect only once.
func (stp *step) editConfirmed(res store.Result) {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editConfirming {
		return
	}
	pnd.phase = editReading
	stp.setCurrentEdit(pnd)
	if _, ok := res.(store.Values); !ok {
		stp.retryEditRead()
		return
	}
	stp.readHead()
}

// spreadEdit pushes an edit that is in the store to the peers.
func (stp *step) spreadEdit(pnd pendingEdit) {
	pnd.phase = editSpreading
	stp.setCurrentEdit(pnd)
	for _, per := range stp.st.view.Peers() {
		if per.Connected {
			stp.offerEdits(per.ID, per.Revision)
		}
	}
	stp.checkAcknowledged()
}

// checkAcknowledged answers the current edit once a majority of the voters has
// it. From then on, no majority can be heard without hearing of it.
func (stp *step) checkAcknowledged() {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editSpreading {
		return
	}
	if len(stp.st.config.Voters) > 0 && !stp.st.view.Acknowledged(stp.st.config, pnd.next.Revision) {
		return
	}
	if pnd.request != 0 {
		stp.emit(effect.ReplyChange{Request: pnd.request, Accepted: true, Revision: pnd.next.Revision})
	}
	stp.dropCurrentEdit()
}

func (stp *step) failEdit(cod outcome.Code, msg string) {
	pnd, ok := stp.currentEdit()
	if !ok {
		return
	}
	if pnd.request != 0 {
		stp.answerOperator(pnd.request, cod, msg)
	}
	stp.dropCurrentEdit()
}

func (stp *step) answerOperator(request uint64, cod outcome.Code, msg string) {
	stp.emit(effect.ReplyChange{
		Request: request, Revision: stp.st.config.Revision, Code: cod, Message: msg,
	})
}
