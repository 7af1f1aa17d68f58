package entry

import (
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/member"
	"github.com/balsamgauge/balsamgauge/internal/core/plan"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// planEvery is the time between two looks at the pools.
const planEvery = time.Second

// planInput is what a plan was made from. While it stays the same, so does the
// plan.
type planInput struct {
	revision int64
	listedAt time.Time
}

// tickPlanner puts VMs into pools, on one of the live members. Each plan is an
// edit of the configuration, which takes effect only on top of the revision
// that it was made from, so a planner that was paused does no harm.
func (stp *step) tickPlanner() {
	if stp.now.Sub(stp.st.plannedAt) < planEvery {
		return
	}
	stp.st.plannedAt = stp.now
	if stp.st.plannedFor == (planInput{stp.st.config.Revision, stp.st.fleet.ListedAt}) {
		return
	}
	busy := len(stp.st.edits.pending) > 0 || stp.st.fleet.ListedAt.IsZero() || stp.st.view.Leaving()
	if busy || len(stp.st.config.Tables.Pools) == 0 {
		return
	}
	if member.Leader(stp.st.view.Live(stp.now), "planner") != stp.st.set.ID {
		return
	}
	moves := plan.Assign(stp.st.config, stp.st.fleet)
	if len(moves) > 0 {
		stp.submitEdit(pendingEdit{change: table.VMsAssigned{VMs: moves}})
		return
	}
	stp.st.plannedFor = planInput{stp.st.config.Revision, stp.st.fleet.ListedAt}
}
