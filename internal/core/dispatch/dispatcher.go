package dispatch

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/benbjohnson/immutable"
)

// GatherTimeout bounds how long a new dispatcher waits for reports.
const GatherTimeout = 500 * time.Millisecond

// Dispatcher is the state of one pool's dispatcher. It is immutable.
type Dispatcher struct {
	// since is when this entry became the pool's dispatcher.
	since   time.Time
	reports *immutable.SortedMap[string, report]
}

// report is what the dispatcher knows of one member.
type report struct {
	heard   bool
	at      time.Time
	lanes   []message.LaneDemand
	running []message.Running
	// suspects lists VMs that the member could not connect to.
	suspects []string
	// recalled holds the slots that the member was asked to give back, until a
	// time.
	recalled      []message.RecallSlot
	recalledUntil time.Time
	// seq is the number of the last grant to the member.
	seq uint64
	// outstanding holds the grants that the member has not acknowledged, in
	// the order of their numbers.
	outstanding []message.Grant
	// grantedAt is when the last grant was made.
	grantedAt time.Time
}

// grantTimeout is how long a grant may stay unacknowledged after the last one.
// Then it counts as lost.
const grantTimeout = time.Second

// New returns the dispatcher of an entry that has just come to lead a pool.
func New(now time.Time) Dispatcher {
	return Dispatcher{since: now, reports: immutable.NewSortedMap[string, report](nil)}
}

// WithDemand returns the dispatcher after a member's report.
func (dsp Dispatcher) WithDemand(now time.Time, from string, dem message.Demand) Dispatcher {
	rep, _ := dsp.reports.Get(from)
	rep.heard = true
	rep.at = now
	rep.lanes = dem.Lanes
	rep.recalled = unanswered(rep, dem.Running)
	rep.running = dem.Running
	rep.suspects = dem.Suspects
	rep.outstanding = slices.DeleteFunc(slices.Clone(rep.outstanding), func(grt message.Grant) bool {
		return grt.Seq <= dem.Acknowledged
	})
	if now.Sub(rep.grantedAt) > grantTimeout {
		rep.outstanding = nil
	}
	rep.seq = max(rep.seq, dem.Acknowledged)
	dsp.reports = dsp.reports.Set(from, rep)
	return dsp
}

// WithoutGrants returns the dispatcher after the link to a member broke: the
// grants on their way are void.
func (dsp Dispatcher) WithoutGrants(member string) Dispatcher {
	rep, ok := dsp.reports.Get(member)
	if !ok {
		return dsp
	}
	rep.outstanding = nil
	dsp.reports = dsp.reports.Set(member, rep)
	return dsp
}

// WithoutMember returns the dispatcher without a member that is no longer
// live.
func (dsp Dispatcher) WithoutMember(member string) Dispatcher {
	dsp.reports = dsp.reports.Delete(member)
	return dsp
}

// WithoutReportsBefore returns the dispatcher without the reports that came
// before a time.
func (dsp Dispatcher) WithoutReportsBefore(oldest time.Time) Dispatcher {
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, rep, _ := itr.Next()
		if rep.at.Before(oldest) {
			dsp.reports = dsp.reports.Delete(id)
		}
	}
	return dsp
}

// IsIdle reports whether no member's report is kept.
func (dsp Dispatcher) IsIdle() bool { return dsp.reports.Len() == 0 }

// Members returns the members that reported, sorted.
func (dsp Dispatcher) Members() []string {
	var ids []string
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, _, _ := itr.Next()
		ids = append(ids, id)
	}
	return ids
}

// IsGathering reports whether a live member's report is still awaited. Granting
// before it came could fill slots that are taken.
func (dsp Dispatcher) IsGathering(now time.Time, live []string) bool {
	if now.Sub(dsp.since) >= GatherTimeout {
		return false
	}
	for _, id := range live {
		if rep, ok := dsp.reports.Get(id); !ok || !rep.heard {
			return true
		}
	}
	return false
}
