package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
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
	// keptEdits is the number of changes kept for peers that lack them.
	keptEdits = 64
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

func (stp *step) operatorAsked(evt event.OperatorAsked) {
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
	if stp.st.view.HearsMajority(stp.now, stp.st.config) {
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

type headValue struct {
	Revision int64 `json:"revision"`
}

func (stp *step) headAnswered(cal call, res store.Result) {
	stp.st.store.headBusy = false
	vls, ok := res.(store.Values)
	if !ok {
		stp.retryEditRead()
		return
	}
	hed := head{known: true}
	if len(vls.Values) > 0 {
		var val headValue
		if json.Unmarshal(vls.Values[0].Value, &val) != nil {
			stp.record("store", "head_unreadable", store.KeyConfigHead, "")
			return
		}
		hed.revision, hed.modRevision = val.Revision, vls.Values[0].ModRevision
	}
	stp.st.store.head = hed
	switch {
	case hed.revision > stp.st.config.Revision:
		stp.callStore(configRead{headMod: hed.modRevision}, store.Get{Key: store.KeyConfig})
	case hed.revision == stp.st.config.Revision:
		stp.st.view = stp.st.view.WithStoreContact(cal.sentAt)
		stp.writeEdit()
	}
}

func (stp *step) configAnswered(cal call, why configRead, res store.Result) {
	vls, ok := res.(store.Values)
	if !ok || len(vls.Values) == 0 {
		stp.retryEditRead()
		return
	}
	cfg, err := table.Decode(vls.Values[0].Value)
	if err != nil {
		stp.record("store", "config_unreadable", store.KeyConfig, err.Error())
		return
	}
	if cfg.Revision > stp.st.config.Revision {
		stp.adopt(cfg, nil)
	}
	if cfg.Revision == stp.st.config.Revision {
		stp.st.view = stp.st.view.WithStoreContact(cal.sentAt)
	}
	// The document and the head change in one step. If the document is newer
	// than the head that was read, the head must be read again.
	if vls.Values[0].ModRevision == why.headMod {
		stp.st.store.head = head{known: true, revision: cfg.Revision, modRevision: why.headMod}
		stp.writeEdit()
		return
	}
	stp.retryEditRead()
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
		stp.emit(effect.AnswerOperator{Request: pnd.request, Accepted: true, Revision: pnd.next.Revision})
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
	stp.emit(effect.AnswerOperator{
		Request: request, Revision: stp.st.config.Revision, Code: cod, Message: msg,
	})
}

// adopt runs by a newer configuration. The edit that led there is nil when the
// configuration came as a whole.
func (stp *step) adopt(cfg *table.Config, edi *table.Edit) {
	old := stp.st.config
	stp.st.config = cfg
	if edi != nil {
		stp.st.recent = append(slices.Clip(stp.st.recent), *edi)
		stp.st.recent = stp.st.recent[max(0, len(stp.st.recent)-keptEdits):]
	} else {
		stp.st.recent = nil
	}
	stp.st.ledger = stp.st.ledger.WithVoters(cfg)
	stp.emit(effect.Adopt{Config: cfg})
	stp.record("config", "config_applied", fmt.Sprintf("revision %d", cfg.Revision), "")
	stp.recordAZs(old, cfg)
	if !slices.Equal(old.Voters, cfg.Voters) {
		stp.connect()
		stp.handOnReservations(old.VoterIDs())
	}
	_, voted := old.Voter(stp.st.set.ID)
	_, votes := cfg.Voter(stp.st.set.ID)
	if voted && !votes && !stp.st.view.Leaving() {
		stp.record("entry", "removed", stp.st.set.ID, "the other members removed this entry")
		stp.emit(effect.Exit{})
	}
	for _, poo := range cfg.Tables.Pools {
		own := stp.pool(poo.Name)
		stp.putPool(poo.Name, own)
		if own.leader == stp.st.set.ID {
			stp.lead(poo.Name)
		}
	}
	stp.markAllDirty()
	stp.dropReports()
}

func (stp *step) recordAZs(old, cfg *table.Config) {
	for _, az := range cfg.Tables.AZsOut {
		if !old.IsOut(az) {
			stp.record("az", "az_out", az, "")
		}
	}
	for _, az := range old.Tables.AZsOut {
		if !cfg.IsOut(az) {
			stp.record("az", "az_in", az, "")
		}
	}
}

// offerEdits sends a peer what it lacks: the changes, if they are all kept, or
// the whole configuration.
func (stp *step) offerEdits(to string, have int64) {
	if have >= stp.st.config.Revision {
		return
	}
	if len(stp.st.recent) > 0 && stp.st.recent[0].Revision <= have+1 {
		at := have + 1 - stp.st.recent[0].Revision
		stp.send(to, message.Edits{Edits: slices.Clone(stp.st.recent[at:])})
		return
	}
	doc, _ := stp.st.config.Encode()
	stp.send(to, message.Snapshot{Config: doc})
}

func (stp *step) editsHeard(from string, msg message.Edits) {
	before := stp.st.config.Revision
	for _, edi := range msg.Edits {
		if edi.Revision != stp.st.config.Revision+1 {
			continue
		}
		chg, err := edi.Change()
		if err != nil {
			return
		}
		next, err := stp.st.config.Apply(chg, edi.Nonce)
		if err != nil {
			stp.record("config", "edit_unreadable", from, err.Error())
			return
		}
		stp.adopt(next, &edi)
	}
	if stp.st.config.Revision > before {
		stp.sendHeartbeat(from, nil)
	}
}

func (stp *step) snapshotHeard(msg message.Snapshot) {
	cfg, err := table.Decode(msg.Config)
	if err != nil || cfg.Revision <= stp.st.config.Revision {
		return
	}
	stp.adopt(cfg, nil)
	stp.sendHeartbeats()
}
