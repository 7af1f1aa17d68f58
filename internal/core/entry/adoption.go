package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
)

// adoptionCheckInterval is the time between two searches for task logs whose
// owner has no lease.
const adoptionCheckInterval = 2 * time.Second

// checkAdoption starts a search for the task logs of members without a lease.
// Only one live member, chosen by election, does it.
func (stp *step) checkAdoption() {
	lgs := &stp.st.logProgress
	if stp.now.Sub(lgs.adoptionCheckedAt) < adoptionCheckInterval || stp.st.view.Leaving() {
		return
	}
	lgs.adoptionCheckedAt = stp.now
	if lgs.fence == 0 || member.Leader(stp.st.view.Live(stp.now), "adoption") != stp.st.settings.ID {
		return
	}
	stp.callStore(membersListed{}, store.List{Prefix: store.PrefixMembers, KeysOnly: true})
}

// handleMembersResult stores the members that hold a lease and goes on to list
// the fences.
func (stp *step) handleMembersResult(res store.Result) {
	vls, ok := res.(store.Values)
	if !ok {
		return
	}
	stp.st.logProgress.members = nil
	for _, kvl := range vls.Values {
		stp.st.logProgress.members = append(stp.st.logProgress.members, strings.TrimPrefix(kvl.Key, store.PrefixMembers))
	}
	stp.updateAbsent()
	stp.callStore(fencesListed{}, store.List{Prefix: store.PrefixFences})
}

// handleFencesResult starts to adopt the first log whose owner has no lease and
// sends no messages. Further logs follow at later checks.
func (stp *step) handleFencesResult(res store.Result) {
	vls, ok := res.(store.Values)
	if !ok || stp.st.logProgress.adopting != "" {
		return
	}
	for _, kvl := range vls.Values {
		owner := strings.TrimPrefix(kvl.Key, store.PrefixFences)
		if owner == stp.st.settings.ID || slices.Contains(stp.st.logProgress.members, owner) || stp.seenRecently(owner) {
			continue
		}
		stp.callStore(logFenced{owner: owner}, store.Write{
			Conditions: []store.Condition{{Key: kvl.Key, ModRevision: kvl.ModRevision}},
			Puts:       []store.Put{{Key: kvl.Key, Value: []byte(stp.st.settings.ID)}},
		})
		return
	}
}

// handleLogFenceResult reads a log once this entry holds its fence.
func (stp *step) handleLogFenceResult(owner string, res store.Result) {
	wrt, ok := res.(store.Written)
	if !ok || !wrt.Succeeded {
		return
	}
	stp.st.logProgress.adoptingFence = wrt.Revision
	stp.callStore(logListed{owner: owner}, store.List{Prefix: store.LogPrefix(owner)})
}

// handleLogResult puts the records of the log to adopt in flight as a segment of
// the entry's own log. The write that stores the segment also deletes the
// adopted log.
func (stp *step) handleLogResult(owner string, res store.Result) {
	vls, ok := res.(store.Values)
	if !ok || len(stp.st.log.InFlight()) > 0 {
		return
	}
	var segments [][]byte
	for _, kvl := range vls.Values {
		segments = append(segments, kvl.Value)
	}
	recs, err := task.Replay(segments)
	if err != nil {
		stp.record("task", "log_unreadable", owner, err.Error())
		return
	}
	stp.st.log = stp.st.log.WithAdopted(recs, stp.now)
	stp.st.logProgress.adopting = owner
	stp.writeSegment()
}

// abandonAdoption drops the adopted records in flight because another entry has
// adopted the log in the meantime.
func (stp *step) abandonAdoption() {
	stp.st.logProgress.adopting = ""
	stp.st.log = stp.st.log.WithoutInFlight()
}
