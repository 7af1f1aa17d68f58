package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
)

// formerRuns bounds the runs that a former dispatcher started, that may still be
// active and that count against no account: no VM has reported them to this
// dispatcher, or their job is gone.
type formerRuns struct {
	// mayExist reports whether there may be runs that no VM has reported.
	mayExist bool
	// size is what the VMs hold that have not answered, and what those can hold
	// besides the known runs that run tasks of unknown jobs, apart from the CPU of
	// best-effort tasks, which reserve none. It exceeds all caps until it is known
	// which VMs exist.
	size job.Size
	// bestEffortCPU is, by client account, the CPU of the best-effort tasks of
	// live jobs that may run on these VMs. Those that outlast their job are not
	// counted, as their size is unknown.
	bestEffortCPU map[string]int64
}

// unknownSize exceeds every cap, also added to others.
var unknownSize = job.Size{CPU: math.MaxInt64 / 2, Memory: math.MaxInt64 / 2, Accelerators: math.MaxInt64 / 2}

// boundFormerRuns returns the bounds of the runs that a former dispatcher started
// and that count against no account.
func (sta *State) boundFormerRuns() (frm formerRuns) {
	if !sta.formerLeasesMayHold() {
		return formerRuns{
			mayExist: slices.ContainsFunc(sta.hostList, func(hos *host) bool { return hos.endsLeftOut }),
			size:     sta.orphanRoom(),
		}
	}
	if sta.machines.asOf.Before(sta.opt.Since) {
		return formerRuns{mayExist: true, size: unknownSize}
	}
	for _, mac := range sta.machines.byName {
		if mac.VM == "" || mac.State != worker.MachineUp {
			continue
		}
		hos := sta.hosts[mac.VM]
		switch {
		case hos == nil:
			frm.add(mac.Capacity)
		case !hos.termAccepted || hos.endsLeftOut:
			frm.add(mac.Capacity.Max(hos.vm.Capacity))
		}
	}
	frm.size = frm.size.Plus(sta.orphanRoom())
	for _, hos := range sta.hostList {
		if mac, ok := sta.machines.byName[sta.machines.byVM[hos.vm.ID]]; !hos.termAccepted && (!ok || mac.State != worker.MachineUp) {
			frm.add(hos.vm.Capacity)
		}
	}
	if frm.mayExist {
		frm.bestEffortCPU = sta.unplacedBestEffortCPU()
	}
	return frm
}

// orphanRoom returns what the VMs that run tasks of unknown jobs can hold besides the known
// runs. Polls extend the leases of those tasks until they have stopped.
func (sta *State) orphanRoom() (size job.Size) {
	if sta.orphans == 0 {
		return size
	}
	for _, hos := range sta.hostList {
		if hos.termAccepted && hos.hasOrphanRuns() {
			size = size.Plus(hos.vm.Capacity.Minus(hos.used).Max(job.Size{}))
		}
	}
	return size
}

// startedAgo returns how long ago a VM started, by the time of day, which may differ
// between VMs; 0 if it is unknown.
func (sta *State) startedAgo(one worker.VM) time.Duration {
	if one.StartedAtMS == 0 {
		return 0
	}
	return sta.now.Sub(time.UnixMilli(one.StartedAtMS))
}

// maxNamedVMs bounds the VMs that a log entry names.
const maxNamedVMs = 20

// logFormerLeases logs once which VMs have not answered when leases granted by the former
// dispatcher count as ended, so that their tasks may start elsewhere.
func (sta *State) logFormerLeases() {
	if sta.opt.Term <= 1 || sta.formerLeasesLogged || sta.formerLeasesMayHold() {
		return
	}
	sta.formerLeasesLogged = true
	unanswered, waiting := []string{}, 0
	for _, hos := range sta.hostList {
		if !hos.termAccepted {
			unanswered = append(unanswered, hos.vm.ID)
		}
	}
	for _, liv := range sta.jobList {
		if !liv.restored {
			continue
		}
		for _, occ := range liv.occs {
			for i := range occ.stages {
				waiting += occ.stages[i].waiting
			}
		}
	}
	sta.logDecision("former_leases_ended", "", map[string]any{
		"term": sta.opt.Term, "since_ms": sta.now.Sub(sta.opt.Since).Milliseconds(), "unanswered": len(unanswered),
		"vms": unanswered[:min(maxNamedVMs, len(unanswered))], "restored_waiting": waiting,
	})
}

// add adds a VM that has not answered.
func (frm *formerRuns) add(capacity job.Size) {
	frm.mayExist = true
	frm.size = frm.size.Plus(capacity)
}

// unplacedBestEffortCPU returns, by client account, the CPU of the best-effort
// tasks that a former dispatcher may have started and that no VM has reported.
func (sta *State) unplacedBestEffortCPU() map[string]int64 {
	sums := map[string]int64{}
	for _, liv := range sta.jobList {
		if !liv.restored {
			continue
		}
		for _, occ := range liv.occs {
			for i := range occ.stages {
				if stg := &occ.stages[i]; stg.step.BestEffort {
					sums[liv.spec.Account] += stg.step.Size.Times(stg.waiting).CPU
				}
			}
		}
	}
	return sums
}

// usageLimit returns an upper limit of the size of an account's runs that may be
// active.
func (sta *State) usageLimit(account string) job.Size {
	limit := sta.usage[account].Plus(sta.former.size).Plus(sta.bound.sizes[account])
	limit.CPU += sta.former.bestEffortCPU[account]
	return limit
}
