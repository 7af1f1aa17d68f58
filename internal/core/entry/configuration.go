package entry

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// maxRecentEdits is the number of edits kept for peers whose configuration is
// older.
const maxRecentEdits = 64

// headValue is the value of the configuration's head in the store.
type headValue struct {
	Revision int64 `json:"revision"`
}

func (stp *step) handleHeadResult(cal call, res store.Result) {
	stp.st.store.headPending = false
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
		stp.recordStoreContact(cal.sentAt)
		stp.writeEdit()
	}
}

func (stp *step) handleConfigResult(cal call, read configRead, res store.Result) {
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
		stp.applyConfig(cfg, nil)
	}
	if cfg.Revision == stp.st.config.Revision {
		stp.recordStoreContact(cal.sentAt)
	}
	// The document and the head are written in one transaction. A document
	// newer than the head that was read means that the head must be read again.
	if vls.Values[0].ModRevision == read.headMod {
		stp.st.store.head = head{known: true, revision: cfg.Revision, modRevision: read.headMod}
		stp.writeEdit()
		return
	}
	stp.retryEditRead()
}

// applyConfig replaces the configuration with a newer one. edi is the edit that
// led to it, or nil if the whole configuration was received.
func (stp *step) applyConfig(cfg *table.Config, edi *table.Edit) {
	old := stp.st.config
	stp.st.config = cfg
	if edi != nil {
		stp.st.recent = append(slices.Clip(stp.st.recent), *edi)
		stp.st.recent = stp.st.recent[max(0, len(stp.st.recent)-maxRecentEdits):]
	} else {
		stp.st.recent = nil
	}
	stp.st.ledger = stp.st.ledger.WithVoters(cfg)
	stp.emit(effect.PublishConfig{Config: cfg})
	stp.record("config", "config_applied", fmt.Sprintf("revision %d", cfg.Revision), "")
	stp.recordAZChanges(old, cfg)
	if !slices.Equal(old.Voters, cfg.Voters) {
		stp.connect()
		stp.handOverKeys(old.VoterIDs())
	}
	_, voted := old.Voter(stp.st.settings.ID)
	_, votes := cfg.Voter(stp.st.settings.ID)
	if voted && !votes && !stp.st.view.Leaving() {
		stp.record("entry", "removed", stp.st.settings.ID, "the other members removed this entry")
		stp.emit(effect.Exit{})
	}
	for _, poo := range cfg.Tables.Pools {
		own := stp.pool(poo.Name)
		stp.putPool(poo.Name, own)
		if own.leader == stp.st.settings.ID {
			stp.ensureDispatcher(poo.Name)
		}
	}
	stp.markAllDirty()
	stp.dropStaleReports()
}

func (stp *step) recordAZChanges(old, cfg *table.Config) {
	for _, az := range cfg.Tables.AZsOut {
		if !old.IsAZOut(az) {
			stp.record("az", "az_out", az, "")
		}
	}
	for _, az := range old.Tables.AZsOut {
		if !cfg.IsAZOut(az) {
			stp.record("az", "az_in", az, "")
		}
	}
}

// sendMissingEdits sends a peer the edits that it lacks if all of them are
// kept, and otherwise the whole configuration.
func (stp *step) sendMissingEdits(to string, have int64) {
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

func (stp *step) handleEdits(from string, msg message.Edits) {
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
		stp.applyConfig(next, &edi)
	}
	if stp.st.config.Revision > before {
		stp.sendHeartbeat(from, nil)
	}
}

func (stp *step) handleSnapshot(msg message.Snapshot) {
	cfg, err := table.Decode(msg.Config)
	if err != nil || cfg.Revision <= stp.st.config.Revision {
		return
	}
	stp.applyConfig(cfg, nil)
	stp.sendHeartbeats()
}
