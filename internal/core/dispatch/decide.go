package dispatch

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// A Decision gives a grant to a member.
type Decision struct {
	Member string
	Grant  message.Grant
}

// A Input is what a decision goes by: the pool, the VMs that may be given work,
// and the weight of each team.
type Input struct {
	Pool   table.Pool
	Usable []vm.VM
	Config *table.Config
}

// A Recall asks a member for slots back.
type Recall struct {
	Member string
	Slots  []message.RecallSlot
}

// Decide gives the free slots to waiting work. Urgent work of a team within
// its share goes first; beyond that, slots go by weighted max-min between
// teams, and within a team by urgency, then by age. A part of the slots is
// kept for urgent work. When no slot is left for a team below its share, slots
// of teams above theirs are recalled.
func (dsp Dispatcher) Decide(now time.Time, rul Input) (next Dispatcher, dcs []Decision, rcs []Recall) {
	rnd := newRound(dsp, rul)
	if len(rnd.lanes) == 0 {
		return dsp, nil, nil
	}
	for {
		dec, ok := rnd.grantOne()
		if !ok {
			break
		}
		rep, _ := dsp.reports.Get(dec.Member)
		rep.seq++
		rep.grantedAt = now
		dec.Grant.Seq = rep.seq
		rep.outstanding = append(slices.Clip(rep.outstanding), dec.Grant)
		dsp.reports = dsp.reports.Set(dec.Member, rep)
		dcs = append(dcs, dec)
	}
	dsp, rcs = dsp.recall(now, rnd)
	return dsp, dcs, rcs
}
