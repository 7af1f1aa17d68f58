package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/store"
	"github.com/balsamgauge/balsamgauge/internal/core/task"
)

// adoptCheckEvery is the time between two looks for task logs without an
// owner.
const adoptCheckEvery = 2 * time.Second

// checkAdoption looks, on one of the live members, for the task logs of members
// without a lease.
func (stp *step) checkAdoption() {
	lgs := &stp.st.logs
	if stp.now.Sub(lgs.adoptCheckAt) < adoptCheckEvery || stp.st.view.Leaving() {
		return
	}
	lgs.adoptCheckAt = stp.now
	if lgs.fence == 0 || member.Leader(stp.st.view.Live(stp.now), "adoption") != stp.st.set.ID {
		return
	}
	stp.callStore(membersListed{}, store.List{Prefix: store.PrefixMembers, KeysOnly: true})
}

func (stp *step) membersAnswered(res store.Result) {
	vls, ok := res.(store.Values)
	if !ok {
		return
	}
	stp.st.logs.members = nil
	for _, kvl := range vls.Values {
		stp.st.logs.members = append(stp.st.logs.members, strings.TrimPrefix(kvl.Key, store.PrefixMembers))
	}
	stp.noteAbsent()
	stp.callStore(fencesListed{}, store.List{Prefix: store.PrefixFences})
}

// fencesAnswered takes over the first log whose owner has no lease and is not
// heard. A later look takes the next.
func (stp *step) fencesAnswered(res store.Result) {
	vls, ok := res.(store.Values)
	if !ok || stp.st.logs.adopting != "" {
		return
	}
	for _, kvl := range vls.Values {
		owner := strings.TrimPrefix(kvl.Key, store.PrefixFences)
		if owner == stp.st.set.ID || slices.Contains(stp.st.logs.members, owner) || stp.isReporting(owner) {
			continue
		}
		stp.callStore(logFenced{owner: owner}, store.Write{
			Conditions: []store.Condition{{Key: kvl.Key, ModRevision: kvl.ModRevision}},
			Puts:       []store.Put{{Key: kvl.Key, Value: []byte(stp.st.set.ID)}},
		})
		return
	}
}

func (stp *step) logFenceAnswered(owner string, res store.Result) {
	wrt, ok := res.(store.Written)
	if !ok || !wrt.Succeeded {
		return
	}
	stp.st.logs.adoptingFence = wrt.Revision
	stp.callStore(logListed{owner: owner}, store.List{Prefix: store.LogPrefix(owner)})
}

// logAnswered puts an adopted log's records in flight, as a segment of the
// entry's own log. The same write deletes the log that they came from.
func (stp *step) logAnswered(owner string, res store.Result) {
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
	stp.st.logs.adopting = owner
	stp.writeSegment()
}

// abandonAdoption forgets the adopted records in flight: the log has another
// owner by now.
func (stp *step) abandonAdoption() {
	stp.st.logs.adopting = ""
	stp.st.log = stp.st.log.WithoutInFlight()
}
