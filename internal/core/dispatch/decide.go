package dispatch

import (
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/message"
	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// A Decision assigns a grant to a member.
type Decision struct {
	Member string
	Grant  message.Grant
}

// An Input is the input of a decision: the pool, the VMs that may receive work,
// and the configuration, in which a team's weight is its table.Team.Share.
type Input struct {
	Pool   table.Pool
	Usable []vm.VM
	Config *table.Config
}

// A Recall requests that a member return slots.
type Recall struct {
	Member string
	Slots  []message.RecallSlot
}

// Decide assigns free slots to waiting work. Urgent work of teams within their
// share goes first; the remaining slots are divided by weighted max-min between
// teams, and within a team by urgency, then by age. The pool's reserve is only
// granted to urgent work. When no slot is left for a team below its share,
// slots of teams above their share are recalled.
func (dsp Dispatcher) Decide(now time.Time, inp Input) (next Dispatcher, dcs []Decision, rcs []Recall) {
	rnd := newRound(dsp, inp)
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
