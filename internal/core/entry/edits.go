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

// Limits of an edit.
const (
	// editTimeout bounds the time from the start of an edit to its answer.
	editTimeout = 8 * time.Second
	// majorityTimeout is the time that an edit waits for contact with a
	// majority. Contact with a voter that has just joined takes one heartbeat.
	majorityTimeout = 3 * time.Second
	// editRetryDelay is the wait before the store is tried again.
	editRetryDelay = 100 * time.Millisecond
	// joinInterval is the time between two attempts to become a voter.
	joinInterval = 300 * time.Millisecond
	// maxPendingEdits bounds the edits that are queued at one entry.
	maxPendingEdits = 64
)

// editState holds the edits submitted to this entry. Only the first is in
// progress.
type editState struct {
	pending []pendingEdit
	// lastNonce is the number in the last edit's nonce.
	lastNonce   uint64
	joinTriedAt time.Time
}

// editPhase is the progress of an edit.
type editPhase int

const (
	// editQueued edits have not begun.
	editQueued editPhase = iota
	// editReading edits wait for the head and, if it is newer, the
	// configuration.
	editReading
	// editWriting edits wait for the result of the write.
	editWriting
	// editConfirming edits wait for a read after a write without a result.
	editConfirming
	// editReplicating edits wait until a majority of the voters has the change.
	editReplicating
)

// pendingEdit is a change of the configuration that is not complete.
type pendingEdit struct {
	// request is 0 for the entry's own edits.
	request uint64
	change  table.Change
	// base is the revision that the change was made from; 0 skips the check.
	base int64
	// nonce identifies the edit in the configuration, so that a repeated write
	// takes effect only once.
	nonce     string
	phase     editPhase
	startedAt time.Time
	retryAt   time.Time
	// writeSent is set once a write was sent, which may have taken effect.
	writeSent bool
	// next is the configuration that the write in flight leads to.
	next *table.Config
}

func (stp *step) handleChangeRequest(evt event.ChangeRequested) {
	if len(stp.st.edits.pending) >= maxPendingEdits {
		stp.replyChange(evt.Request, outcome.CodeNotAccepted, "Too many edits wait at this entry.")
		return
	}
	stp.submitEdit(pendingEdit{request: evt.Request, change: evt.Change, base: evt.Base})
}

func (stp *step) submitEdit(pnd pendingEdit) {
	stp.st.edits.lastNonce++
	pnd.nonce = fmt.Sprintf("%s/%d", stp.st.settings.ID, stp.st.edits.lastNonce)
	pnd.startedAt = stp.now
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

// advanceEdit begins the first edit if it is still queued.
func (stp *step) advanceEdit() {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editQueued || stp.now.Before(pnd.retryAt) {
		return
	}
	if err := stp.checkEditAllowed(pnd); err != nil {
		if stp.now.Sub(pnd.startedAt) < majorityTimeout {
			return
		}
		stp.failEdit(outcome.CodeNoFreshConfig, err.Error())
		return
	}
	pnd.phase = editReading
	stp.setCurrentEdit(pnd)
	stp.readHead()
}

// checkEditAllowed returns an error unless the entry is in contact with a
// majority of the voters. Otherwise the change might not reach every entry that
// starts work. The very first voter needs no contact.
func (stp *step) checkEditAllowed(pnd pendingEdit) error {
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
	if stp.now.Sub(pnd.startedAt) > editTimeout {
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
	case pnd.phase == editReplicating:
		stp.completeEdit()
	}
}

// timeOutEdit answers an edit that took too long. The answer depends on whether
// the change may be in the store.
func (stp *step) timeOutEdit(pnd pendingEdit) {
	switch {
	case pnd.phase == editReplicating:
		stp.failEdit(outcome.CodeAcceptanceUnknown, fmt.Sprintf("Revision %d is in the store, but a majority has not confirmed it yet.", pnd.next.Revision))
	case pnd.writeSent:
		stp.failEdit(outcome.CodeAcceptanceUnknown, "The store did not say whether the change took effect.")
	default:
		stp.failEdit(outcome.CodeStoreUnavailable, "The store did not answer; nothing was changed.")
	}
}

// joinVoters submits the edit that makes the entry a voter once it has a lease.
func (stp *step) joinVoters() {
	_, votes := stp.st.config.Voter(stp.st.settings.ID)
	if votes || stp.st.view.Leaving() || !stp.st.store.registered || stp.now.Sub(stp.st.edits.joinTriedAt) < joinInterval {
		return
	}
	stp.st.edits.joinTriedAt = stp.now
	for _, pnd := range stp.st.edits.pending {
		if _, joins := pnd.change.(table.VoterJoined); joins {
			return
		}
	}
	vtr := table.Voter{ID: stp.st.settings.ID, Address: stp.st.settings.Address, AZ: stp.st.settings.AZ, VM: stp.st.settings.VM}
	stp.submitEdit(pendingEdit{change: table.VoterJoined{Voter: vtr}})
}

func (stp *step) retryEditRead() {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editReading {
		return
	}
	pnd.retryAt = stp.now.Add(stp.jitter(editRetryDelay))
	stp.setCurrentEdit(pnd)
}

// writeEdit writes the current edit on top of the configuration if that matches
// the head in the store.
func (stp *step) writeEdit() {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editReading || stp.st.store.head.revision != stp.st.config.Revision {
		return
	}
	if stp.st.config.HasNonce(pnd.nonce) {
		pnd.next = stp.st.config
		stp.replicateEdit(pnd)
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
	pnd.next, pnd.phase, pnd.writeSent = next, editWriting, true
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

func (stp *step) handleEditResult(res store.Result) {
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
			stp.applyConfig(pnd.next, &edi)
		}
		stp.replicateEdit(pnd)
	case answered:
		// Another edit was written first, or this one took effect in an earlier
		// attempt whose response was lost. Reading the head shows which.
		pnd.phase = editReading
		stp.setCurrentEdit(pnd)
		stp.readHead()
	default:
		pnd.phase = editConfirming
		stp.setCurrentEdit(pnd)
		stp.callStore(editConfirmed{}, store.Get{Key: store.KeyConfig})
	}
}

// handleEditConfirmation continues after a write without a result. The write
// may still be in flight, so it is never treated as failed: the configuration
// is read again and the edit written again with the same nonce, which can take
// effect only once.
func (stp *step) handleEditConfirmation(res store.Result) {
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

// replicateEdit sends an edit that is in the store to the peers.
func (stp *step) replicateEdit(pnd pendingEdit) {
	pnd.phase = editReplicating
	stp.setCurrentEdit(pnd)
	for _, per := range stp.st.view.Peers() {
		if per.Connected {
			stp.sendMissingEdits(per.ID, per.Revision)
		}
	}
	stp.completeEdit()
}

// completeEdit answers the current edit once a majority of the voters has it.
// From then on every majority includes a voter that has the change.
func (stp *step) completeEdit() {
	pnd, ok := stp.currentEdit()
	if !ok || pnd.phase != editReplicating {
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
		stp.replyChange(pnd.request, cod, msg)
	}
	stp.dropCurrentEdit()
}

func (stp *step) replyChange(request uint64, cod outcome.Code, msg string) {
	stp.emit(effect.ReplyChange{
		Request: request, Revision: stp.st.config.Revision, Code: cod, Message: msg,
	})
}
