// Package latestart keeps the starts of runs that VMs may carry out late.
//
// A start without an answer may be carried out seconds after it was sent. An order
// names the ID of its VM, and a VM may restart under its ID, so the start may reach the
// next incarnation of the VM, which knows nothing of the one before. Until that is excluded,
// the task is bound to the ID: on a VM of another one it could run twice.
//
// A start is kept from Add until it is known to begin no run that isn't known:
//
//	Withdraw        it was not sent
//	Settle          the VM refused it, and no other try is without an answer
//	Accept, List    the VM accepted it and reported its run, likewise
//	AnswerAll       the tries without an answer were answered later
//	SettleAnswered  the VM is over or has not restarted, so that it accepted no other try
//	Observe         it couldn't arrive any more at a time at which all runs were known
//	Forget          its VM's ID is over
//	Expire          its run would be over by now
//
// That the known incarnation of a VM refuses a start, as it has accepted a stop of the run, has
// reported its end or has accepted a higher token, doesn't settle it: the next one may carry it out.
package latestart

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
)

const (
	// longestDelay is the longest delay with which a VM carries out an order, by the platform's
	// protocol.
	longestDelay = 12 * time.Second
	// longestTransit is the longest time from the decision for a start to its arrival: it waits
	// 0.6 s for its record, is sent again for 0.9 s, the last try waits 0.45 s for a connection
	// once another one is answered, and bytes are on their way for 1.5 s until their connection
	// is reset.
	longestTransit = 3500 * time.Millisecond
	// MaxDelay is the time after which an order without an answer is no longer carried out.
	MaxDelay = longestTransit + longestDelay
)

// Run is a run of a task.
type Run struct {
	Task   job.Task
	Number int
}

// Names returns the names of runs, each with its task and its number.
func Names(runs []Run) []string {
	names := make([]string, len(runs))
	for i, run := range runs {
		names[i] = fmt.Sprintf("%s/%d", run.Task, run.Number)
	}
	return names
}

// Starts holds, by the ID of a VM, the starts that may still be carried out there, or
// whose runs may be active there unseen.
type Starts struct {
	sent map[string]map[Run]start
	// places holds, by task, the starts in sent.
	places map[job.Task][]place
	// lease is the longest real time for which a run lasts that a late start begins and
	// nothing extends.
	lease time.Duration
}

// place is a run on a VM.
type place struct {
	vm  string
	run Run
}

// start is the last start of a run that was sent.
type start struct {
	at time.Time
	// unanswered reports whether a start of the run got no answer, so that the answer
	// to a later one doesn't settle it.
	unanswered bool
	// repeated reports whether more than one call has sent it.
	repeated bool
	// accepted reports whether the VM has answered that it carries the run out, and
	// listed whether its reports list the run. The answer alone may be that of an
	// incarnation that isn't known yet.
	accepted, listed bool
	// former reports whether a former dispatcher sent it. A VM that has accepted the
	// term of the present one refuses it.
	former bool
	// incarnation is when the VM started to which a former dispatcher sent it; 0 if that is
	// unknown.
	incarnation int64
	// outlived reports whether the incarnation of the VM to which it was sent is over.
	outlived bool
}

// NewStarts returns an empty set of starts. Runs that late starts begin last at most for
// lease.
func NewStarts(lease time.Duration) *Starts {
	return &Starts{sent: map[string]map[Run]start{}, places: map[job.Task][]place{}, lease: lease}
}

// Add records that a start is sent to a VM, for the first time or again.
func (sts *Starts) Add(vm string, run Run, now time.Time) {
	runs := sts.sent[vm]
	if runs == nil {
		runs = map[Run]start{}
		sts.sent[vm] = runs
	}
	old, repeated := runs[run]
	if !repeated {
		sts.places[run.Task] = append(sts.places[run.Task], place{vm, run})
	}
	runs[run] = start{at: now, unanswered: old.unanswered || old.former, repeated: repeated}
}

// Restore records that a former dispatcher may have sent a start until now, to the
// incarnation of a VM that started at a time in Unix milliseconds. unanswered reports whether a
// try of it is known to have got no answer, so that a run that the VM lists may be that of another
// try.
func (sts *Starts) Restore(vm string, startedAtMS int64, run Run, unanswered bool, now time.Time) {
	unanswered = unanswered || sts.sent[vm][run].unanswered
	sts.Add(vm, run, now)
	sts.sent[vm][run] = start{at: now, unanswered: unanswered, former: true, incarnation: startedAtMS}
}

// IsFormer reports whether a former dispatcher sent a start.
func (sts *Starts) IsFormer(vm string, run Run) bool { return sts.sent[vm][run].former }

// Withdraw records that a start was not sent after all.
func (sts *Starts) Withdraw(vm string, run Run) { sts.remove(vm, run) }

// IsOpen reports whether a start is not settled.
func (sts *Starts) IsOpen(vm string, run Run) bool {
	_, ok := sts.sent[vm][run]
	return ok
}

// IsOnVM reports whether some start on a VM is not settled.
func (sts *Starts) IsOnVM(vm string) bool { return len(sts.sent[vm]) > 0 }

// Lose records that a start got no answer, and reports whether it is the first one of the run.
func (sts *Starts) Lose(vm string, run Run) (first bool) {
	sta, ok := sts.sent[vm][run]
	if !ok || sta.unanswered {
		return false
	}
	sta.unanswered = true
	sts.sent[vm][run] = sta
	return true
}

// AnswerAll records that all tries of a start that counted as one without an answer have been
// answered since, and whether the VM has accepted it. A start that several calls have sent
// stays without an answer.
func (sts *Starts) AnswerAll(vm string, run Run, accepted bool) {
	sta, ok := sts.sent[vm][run]
	if !ok || sta.repeated {
		return
	}
	// Two incarnations may have accepted tries, and only the former one listed the run.
	sta.unanswered, sta.listed = false, false
	sts.sent[vm][run] = sta
	if accepted {
		sts.Accept(vm, run)
	} else {
		sts.Settle(vm, run)
	}
}

// Accept records that a VM has answered that it carries out a start.
func (sts *Starts) Accept(vm string, run Run) {
	sts.confirm(vm, run, func(sta *start) { sta.accepted = true })
}

// List records that a VM has reported a run, or its end.
func (sts *Starts) List(vm string, run Run) {
	sts.confirm(vm, run, func(sta *start) { sta.listed = true })
}

// confirm changes a start, and settles it if that is all there is to learn about it.
func (sts *Starts) confirm(vm string, run Run, change func(*start)) {
	sta, ok := sts.sent[vm][run]
	if !ok {
		return
	}
	change(&sta)
	sts.sent[vm][run] = sta
	// The only try of a former dispatcher is the one that has begun the run. If it was sent to another
	// incarnation, there were others.
	if sta.listed && (sta.accepted || sta.former && !sta.outlived) {
		sts.Settle(vm, run)
	}
}

// Settle records that a VM has refused a start or has carried it out, and won't carry it out later.
// An earlier one of the same run without an answer may still arrive.
func (sts *Starts) Settle(vm string, run Run) {
	if !sts.sent[vm][run].unanswered {
		sts.remove(vm, run)
	}
}

// MayArrive reports whether a VM may still carry out a start of a run that was sent
// before the last one.
func (sts *Starts) MayArrive(vm string, run Run, now time.Time) bool {
	sta, ok := sts.sent[vm][run]
	return ok && (sta.unanswered || sta.former) && now.Sub(sta.at) <= MaxDelay
}

// Holder returns the VM to which a task is bound by starts. bound is false if there are none;
// the ID is empty if there are some on several VMs. Starts that were sent to former incarnations of
// a VM don't count if neglected reports so.
func (sts *Starts) Holder(tas job.Task, neglected func(vm string) bool) (vm string, bound bool) {
	for _, pla := range sts.places[tas] {
		if sts.sent[pla.vm][pla.run].outlived && neglected(pla.vm) {
			continue
		}
		if bound && pla.vm != vm {
			return "", true
		}
		vm, bound = pla.vm, true
	}
	return vm, bound
}

// MayRepeat reports whether a VM, or the next incarnation of it, may still carry out a start of a task.
func (sts *Starts) MayRepeat(vm string, tas job.Task, now time.Time) bool {
	return slices.ContainsFunc(sts.places[tas], func(pla place) bool {
		return pla.vm == vm && now.Sub(sts.sent[pla.vm][pla.run].at) <= MaxDelay
	})
}

// Tasks returns the tasks with starts that are not settled, in no order.
func (sts *Starts) Tasks() iter.Seq[job.Task] { return maps.Keys(sts.places) }

// VMs returns the sorted IDs of the VMs with starts that are not settled.
func (sts *Starts) VMs() []string { return slices.Sorted(maps.Keys(sts.sent)) }

// Overdue returns the tasks with a start on a VM that can't arrive any more, and whose run may
// be active there unseen.
func (sts *Starts) Overdue(vm string, now time.Time) (tasks []job.Task) {
	for run, sta := range sts.sent[vm] {
		if now.Sub(sta.at) > MaxDelay {
			tasks = append(tasks, run.Task)
		}
	}
	return tasks
}

// NextOverdue returns when the next start will be overdue; zero if none will.
func (sts *Starts) NextOverdue(now time.Time) (next time.Time) {
	for _, runs := range sts.sent {
		for _, sta := range runs {
			if due := sta.at.Add(MaxDelay); !due.Before(now) && (next.IsZero() || due.Before(next)) {
				next = due
			}
		}
	}
	return next
}

// Meet records that the incarnation of a VM that started at a time in Unix milliseconds is the
// known one.
func (sts *Starts) Meet(vm string, startedAtMS int64) {
	for run, sta := range sts.sent[vm] {
		if sta.former && (startedAtMS == 0 || sta.incarnation != startedAtMS) {
			sta.outlived = true
			sts.sent[vm][run] = sta
		}
	}
}

// SettleAnswered records that no incarnation of a VM but the one that is known has accepted
// starts. Those with an answer to all tries can't arrive any more.
func (sts *Starts) SettleAnswered(vm string) {
	for run, sta := range sts.sent[vm] {
		if sta.accepted && !sta.unanswered {
			sts.remove(vm, run)
		}
	}
}

// Outlive records that the incarnation of a VM that is known is over.
func (sts *Starts) Outlive(vm string) {
	for run, sta := range sts.sent[vm] {
		sta.outlived = true
		sts.sent[vm][run] = sta
	}
}

// Observe records that what was active on a VM at a time is known, by its report or as no
// machine ran it. Starts that couldn't arrive any more by then are settled.
func (sts *Starts) Observe(vm string, at time.Time) {
	for run, sta := range sts.sent[vm] {
		if at.Sub(sta.at) > MaxDelay {
			sts.remove(vm, run)
		}
	}
}

// Forget records that at a time no machine ran a VM, and none will run one of its ID again.
func (sts *Starts) Forget(vm string, at time.Time) {
	for run, sta := range sts.sent[vm] {
		if !sta.at.After(at) {
			sts.remove(vm, run)
		}
	}
}

func (sts *Starts) remove(vm string, run Run) {
	runs := sts.sent[vm]
	delete(runs, run)
	if len(runs) == 0 {
		delete(sts.sent, vm)
	}
	left := slices.DeleteFunc(sts.places[run.Task], func(pla place) bool { return pla == place{vm, run} })
	sts.places[run.Task] = left
	if len(left) == 0 {
		delete(sts.places, run.Task)
	}
}

// Pending returns the runs that may still be started on a VM by late starts, in the
// order of their names: of each task the one with the highest number, as a VM that
// rejects it rejects the lower ones as well.
func (sts *Starts) Pending(vm string, now time.Time) (pending []Run) {
	highest := map[job.Task]int{}
	for run, sta := range sts.sent[vm] {
		if now.Sub(sta.at) <= MaxDelay {
			highest[run.Task] = max(highest[run.Task], run.Number)
		}
	}
	for tas, number := range highest {
		pending = append(pending, Run{Task: tas, Number: number})
	}
	slices.SortFunc(pending, func(one, oth Run) int { return strings.Compare(one.Task.String(), oth.Task.String()) })
	return pending
}

// End returns when a run is guaranteed to be over that late starts may begin on a VM
// that can't be reached, if no other call extends its lease; zero if there are none.
func (sts *Starts) End(vm string, run Run) (end time.Time) {
	sta, ok := sts.sent[vm][run]
	if !ok {
		return time.Time{}
	}
	return sta.at.Add(MaxDelay + sts.lease)
}

// Expire drops the starts whose runs are over. extended returns until when the run of a start
// may last because of other calls to its VM.
func (sts *Starts) Expire(now time.Time, extended func(vm string, run Run) time.Time) {
	for vm, runs := range sts.sent {
		for run := range runs {
			if now.After(sts.End(vm, run)) && now.After(extended(vm, run)) {
				sts.remove(vm, run)
			}
		}
	}
}
