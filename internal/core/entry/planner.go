package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/plan"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// planInterval is the time between two plans.
const planInterval = time.Second

// planInput identifies the state that a plan is computed from. The same input
// gives the same plan.
type planInput struct {
	revision int64
	listedAt time.Time
}

// tickPlanner assigns VMs to pools. Only one live member, chosen by election,
// does it. Each plan is an edit that takes effect only on top of the revision
// it was computed from, so a planner that was paused does no harm.
func (stp *step) tickPlanner() {
	if stp.now.Sub(stp.st.plannedAt) < planInterval {
		return
	}
	stp.st.plannedAt = stp.now
	if stp.st.emptyPlanInput == (planInput{stp.st.config.Revision, stp.st.fleet.ListedAt}) {
		return
	}
	blocked := len(stp.st.edits.pending) > 0 || stp.st.fleet.ListedAt.IsZero() || stp.st.view.Leaving()
	if blocked || len(stp.st.config.Tables.Pools) == 0 {
		return
	}
	if member.Leader(stp.st.view.Live(stp.now), "planner") != stp.st.settings.ID {
		return
	}
	moves := plan.Assign(stp.st.config, stp.st.fleet)
	if len(moves) > 0 {
		stp.submitEdit(pendingEdit{change: table.VMsAssigned{VMs: moves}})
		return
	}
	stp.st.emptyPlanInput = planInput{stp.st.config.Revision, stp.st.fleet.ListedAt}
}
