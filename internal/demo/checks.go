package demo

import (
	"time"

	"github.com/balsamgauge/balsamgauge/pkg/outcome"
)

// evaluate checks the invariants against the responses that callers received and
// the runs that the stand-ins recorded.
func (dem *demonstration) evaluate() Report {
	rep := Report{Seconds: seconds(time.Since(dem.began)), Steps: dem.steps}
	dem.countOutcomes(&rep)
	rep.Invariants = []Invariant{
		{Name: "availability_budget_holds"},
		dem.checkOnePool(),
		dem.checkTeamByKey(),
		dem.checkWithdrawnKey(),
		dem.checkTeamLimit(),
		dem.checkAZOut(),
		dem.checkWholeAnswer(),
		dem.checkNotRun(),
		dem.checkAtMostOnce(),
		dem.checkDrained(),
		dem.checkShutdown(),
		dem.checkConfig(),
		dem.checkTasks(),
		dem.checkConnections(),
	}
	return rep
}

// countOutcomes counts the calls by outcome, and the tasks.
func (dem *demonstration) countOutcomes(rep *Report) {
	for _, cll := range dem.callers.calls {
		rep.Requests++
		switch {
		case cll.err != nil:
			rep.Cut++
		case cll.outcome == outcome.Answered:
			rep.Answered++
		case cll.outcome == outcome.NotRun:
			rep.NotRun++
		default:
			rep.Unknown++
		}
	}
	rep.Tasks = len(dem.callers.submissions)
	for _, sub := range dem.callers.submissions {
		if sub.state == "done" {
			rep.TasksDone++
		}
	}
}

func (dem *demonstration) checkOnePool() Invariant {
	inv := Invariant{Name: "vm_in_one_pool"}
	inv.Checked = dem.watch.obs.samples
	inv.Violated = dem.watch.obs.sharedVMs
	return inv
}

func (dem *demonstration) checkTeamByKey() Invariant {
	inv := Invariant{Name: "work_only_for_the_keys_team"}
	runs := dem.runsByRequest()
	for _, cll := range dem.callers.calls {
		if cll.forbidden {
			inv.check(len(runs[cll.runID]) == 0, "%s ran without a granted key", cll.runID)
		}
	}
	return inv
}

func (dem *demonstration) checkWithdrawnKey() Invariant {
	inv := Invariant{Name: "withdrawn_key_stops"}
	if dem.obs.withdrawnAt.IsZero() {
		return inv
	}
	runs := dem.runsByRequest()
	limit := dem.obs.withdrawnAt.Add(propagationLimit)
	for _, cll := range dem.callers.calls {
		if cll.key != dem.obs.withdrawnKey || cll.sentAt.Before(limit) {
			continue
		}
		inv.check(len(runs[cll.runID]) == 0, "%s ran with a withdrawn key", cll.runID)
	}
	return inv
}

func (dem *demonstration) checkTeamLimit() Invariant {
	inv := Invariant{Name: "team_within_upper_limit"}
	if !dem.obs.overloaded {
		return inv
	}
	for _, tea := range dem.cluster.tables.Teams {
		peak := dem.cluster.Runs.Peak(tea.Name)
		if peak > 0 {
			inv.check(peak <= tea.Limit, "team %s had %d running with a limit of %d", tea.Name, peak, tea.Limit)
		}
	}
	return inv
}

func (dem *demonstration) checkAZOut() Invariant {
	inv := Invariant{Name: "no_start_in_az_out"}
	from := dem.obs.azOutAt.Add(propagationLimit)
	for _, run := range dem.cluster.Runs.Runs() {
		if run.Began.After(from) && run.Began.Before(dem.obs.azInAt) {
			inv.check(dem.cluster.AZs[run.VM] != dem.obs.azOut, "%s began on %s", run.RunID, run.VM)
		}
	}
	for _, run := range dem.cluster.TaskRuns.Runs() {
		if run.Began.After(from) && run.Began.Before(dem.obs.azInAt) {
			inv.check(dem.cluster.AZs[run.VM] != dem.obs.azOut, "task %s began on %s", run.TaskID, run.VM)
		}
	}
	return inv
}

func (dem *demonstration) checkWholeAnswer() Invariant {
	inv := Invariant{Name: "whole_answer_to_own_request"}
	for _, cll := range dem.callers.calls {
		if cll.outcome == outcome.Answered {
			inv.check(cll.whole, "%s got another answer", cll.runID)
		}
	}
	return inv
}

func (dem *demonstration) checkNotRun() Invariant {
	inv := Invariant{Name: "not_run_is_true"}
	runs := dem.runsByRequest()
	for _, cll := range dem.callers.calls {
		if cll.outcome == outcome.NotRun {
			inv.check(len(runs[cll.runID]) == 0, "%s was said not to have run (%s)", cll.runID, cll.code)
		}
	}
	return inv
}

func (dem *demonstration) checkAtMostOnce() Invariant {
	inv := Invariant{Name: "unrepeatable_runs_at_most_once"}
	runs := dem.runsByRequest()
	for _, cll := range dem.callers.calls {
		if !cll.repeatable {
			inv.check(len(runs[cll.runID]) <= 1, "%s ran %d times", cll.runID, len(runs[cll.runID]))
		}
	}
	starts := map[string]int{}
	for _, run := range dem.cluster.TaskRuns.Runs() {
		starts[run.TaskID]++
	}
	for _, sub := range dem.callers.submissions {
		if !sub.repeatable {
			inv.check(starts[sub.taskID] <= 1, "task %s ran %d times", sub.taskID, starts[sub.taskID])
		}
	}
	return inv
}

func (dem *demonstration) checkDrained() Invariant {
	inv := Invariant{Name: "draining_upstream_gets_no_new_work"}
	if dem.obs.drainedAt.IsZero() {
		return inv
	}
	limit := dem.obs.drainedAt.Add(propagationLimit)
	for _, run := range dem.cluster.Runs.Runs() {
		if run.Began.After(limit) {
			inv.check(run.VM != dem.obs.drained, "%s began on %s", run.RunID, run.VM)
		}
	}
	return inv
}

// checkShutdown checks the calls to entries that shut down gracefully. The killed
// entry is excluded, since its connections break.
func (dem *demonstration) checkShutdown() Invariant {
	inv := Invariant{Name: "graceful_shutdown_cuts_nothing"}
	for _, cll := range dem.callers.calls {
		if cll.entry != nil && cll.entry.leaving {
			inv.check(cll.err == nil, "%s was cut: %v", cll.runID, cll.err)
		}
	}
	return inv
}

func (dem *demonstration) checkConfig() Invariant {
	inv := Invariant{Name: "config_in_force_and_never_reverts"}
	obs := &dem.watch.obs
	inv.Checked = obs.samples
	inv.Violated = obs.regressions
	for _, duration := range obs.propagations {
		inv.check(duration <= propagationLimit, "a change took %s", duration)
	}
	for _, acc := range dem.watch.pending {
		inv.check(false, "revision %d is not in force", acc.revision)
	}
	return inv
}

// connectionsPerExecutor is the number of connections from all entries together
// that an executor allows.
const connectionsPerExecutor = 64

func (dem *demonstration) checkConnections() Invariant {
	inv := Invariant{Name: "connections_within_executor_bound"}
	for id, exe := range dem.cluster.Executors {
		peak := exe.PeakConns()
		inv.check(peak <= connectionsPerExecutor, "%s had %d connections", id, peak)
	}
	return inv
}

func (dem *demonstration) checkTasks() Invariant {
	inv := Invariant{Name: "accepted_task_is_never_lost"}
	for _, sub := range dem.callers.submissions {
		ended := sub.state == "done" || sub.state == "parked" || sub.state == "unknown"
		inv.check(ended, "task %s is %q", sub.taskID, sub.state)
	}
	return inv
}
