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
	// since is the time at which this entry became the pool's dispatcher.
	since   time.Time
	reports *immutable.SortedMap[string, report]
}

// report is the dispatcher's state of one member.
type report struct {
	received bool
	at       time.Time
	lanes    []message.LaneDemand
	running  []message.Running
	// suspects lists the VMs to which the member failed to connect.
	suspects []string
	// recalled holds the slots that the member was requested to return, until
	// recalledUntil.
	recalled      []message.RecallSlot
	recalledUntil time.Time
	// seq is the sequence number of the last grant to the member.
	seq uint64
	// outstanding holds the grants that the member has not acknowledged, in the
	// order of their sequence numbers.
	outstanding []message.Grant
	// grantedAt is the time of the last grant.
	grantedAt time.Time
}

// grantTimeout is the time after the last grant at which unacknowledged grants
// count as lost.
const grantTimeout = time.Second

// New returns the state of an entry that has just become the dispatcher of a
// pool.
func New(now time.Time) Dispatcher {
	return Dispatcher{since: now, reports: immutable.NewSortedMap[string, report](nil)}
}

// WithDemand returns the dispatcher after it received a member's report.
func (dsp Dispatcher) WithDemand(now time.Time, from string, dem message.Demand) Dispatcher {
	rep, _ := dsp.reports.Get(from)
	rep.received = true
	rep.at = now
	rep.lanes = dem.Lanes
	rep.recalled = pendingRecalls(rep, dem.Running)
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

// WithoutGrants returns the dispatcher after the link to a member failed, which
// invalidates the grants in transit.
func (dsp Dispatcher) WithoutGrants(member string) Dispatcher {
	rep, ok := dsp.reports.Get(member)
	if !ok {
		return dsp
	}
	rep.outstanding = nil
	dsp.reports = dsp.reports.Set(member, rep)
	return dsp
}

// WithoutMember returns the dispatcher without a member that is no longer live.
func (dsp Dispatcher) WithoutMember(member string) Dispatcher {
	dsp.reports = dsp.reports.Delete(member)
	return dsp
}

// WithoutReportsBefore returns the dispatcher without the reports received
// before the given time.
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

// IsIdle reports whether the dispatcher holds no reports.
func (dsp Dispatcher) IsIdle() bool { return dsp.reports.Len() == 0 }

// Members returns the members with a report, sorted.
func (dsp Dispatcher) Members() []string {
	var ids []string
	itr := dsp.reports.Iterator()
	for !itr.Done() {
		id, _, _ := itr.Next()
		ids = append(ids, id)
	}
	return ids
}

// IsGathering reports whether the report of a live member is still missing.
// Granting slots without it could assign slots that are in use.
func (dsp Dispatcher) IsGathering(now time.Time, live []string) bool {
	if now.Sub(dsp.since) >= GatherTimeout {
		return false
	}
	for _, id := range live {
		if rep, ok := dsp.reports.Get(id); !ok || !rep.received {
			return true
		}
	}
	return false
}
