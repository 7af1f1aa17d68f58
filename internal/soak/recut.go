package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
)

// VMRecut restarts VMs under their IDs and cuts them off soon after, while tasks run
// there that take longer than a lease. In between, the holder is killed or shut down.
const VMRecut Kind = "vm_recut"

// Recut holds the parameters of VMRecut. Fault.For is the duration of the cut.
type Recut struct {
	// VMs is the number of VMs that restart, Down the time for which they are down.
	VMs  int
	Down time.Duration
	// Dark holds the data of open connections back while the VMs are down. The next
	// incarnations receive it.
	Dark bool
	// Late delays the orders and polls of the time before the restart until some time
	// after it. They reach the next incarnations, also behind the cut.
	Late time.Duration
	// CutAfter and EndAfter are the times from the restart to the cut and to the end of
	// the holder. The holder is shut down if Term is set, and killed otherwise.
	CutAfter, EndAfter time.Duration
	Term               bool
}

// String formats the parameters for a report.
func (rec Recut) String() string {
	end := "killed"
	if rec.Term {
		end = "shut down"
	}
	return fmt.Sprintf("%d VMs down for %d ms (dark %t, calls late by %d ms), cut %d ms after it, holder %s %d ms after it",
		rec.VMs, rec.Down.Milliseconds(), rec.Dark, rec.Late.Milliseconds(), rec.CutAfter.Milliseconds(), end, rec.EndAfter.Milliseconds())
}

// Parameters of ScheduleRecut.
const (
	// The first fault comes once long tasks run, and the clocks of the VMs show more than
	// the longest lease less one that orders ask for.
	minRecutStart = 6 * time.Second
	maxRecutStart = 7 * time.Second
	minRecutCut   = 4 * time.Second
	maxRecutCut   = 10 * time.Second
	minRecutDown  = 100 * time.Millisecond
	maxRecutDown  = 600 * time.Millisecond
	minRecutAfter = 300 * time.Millisecond
	maxRecutAfter = 3 * time.Second
	// The holder ends up to recutEndBefore before the cut, but after the restart, or up
	// to recutEndAfter after it.
	recutEndBefore = 1200 * time.Millisecond
	recutEndAfter  = 800 * time.Millisecond
	// recutDarkProbability, recutLateProbability and recutTermProbability are the
	// probabilities of Recut.Dark, Recut.Late and Recut.Term.
	recutDarkProbability = 0.8
	recutLateProbability = 0.2
	recutTermProbability = 0.3
	// recutLead is the time before the restart in which calls are late.
	recutLead = 400 * time.Millisecond
	// recutStart is the time within which a VM has started.
	recutStart = 50 * time.Millisecond
	// recutVMRatio is the ratio of all VMs to those that restart at most.
	recutVMRatio = 5
	// A fault follows the one before within recutPair with recutPairProbability, and
	// otherwise after minRecutInterval to maxRecutInterval.
	recutPairProbability = 0.3
	recutPair            = 2 * time.Second
	minRecutInterval     = 7 * time.Second
	maxRecutInterval     = 11 * time.Second
	// recutRatio is the ratio of all single faults to those of runs with VMRecut or VMBurst
	// and without series. With all of them, few VMs and holders last long enough.
	recutRatio = 4
	// recutLease is the longest lease that VMs grant in runs with VMRecut or VMBurst.
	recutLease = 10 * time.Second
)

// ScheduleRecut returns the faults of a run in which VMs restart and are cut off. Like
// Schedule, it is a function of its arguments.
func ScheduleRecut(seed uint64, span time.Duration, vms int) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 10))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	for at := between(minRecutStart, maxRecutStart); at < span; {
		rec := Recut{
			VMs: 1 + rng.IntN(max(1, vms/recutVMRatio)), Down: between(minRecutDown, maxRecutDown), Dark: rng.Float64() < recutDarkProbability,
			CutAfter: between(minRecutAfter, maxRecutAfter), Term: rng.Float64() < recutTermProbability,
		}
		rec.EndAfter = between(max(0, rec.CutAfter-recutEndBefore), rec.CutAfter+recutEndAfter)
		cut := between(minRecutCut, maxRecutCut)
		if rng.Float64() < recutLateProbability {
			rec.Late = recutLead + rec.Down + between(0, rec.CutAfter+cut)
		}
		faults = append(faults, Fault{At: at, Kind: VMRecut, Target: rng.IntN(vms), For: cut, Recut: rec})
		if rng.Float64() < recutPairProbability {
			at += between(0, recutPair)
		} else {
			at += between(minRecutInterval, maxRecutInterval)
		}
	}
	return faults
}

// thin returns one in recutRatio faults, by their order.
func thin(faults []Fault) (rest []Fault) {
	for i := 0; i < len(faults); i += recutRatio {
		rest = append(rest, faults[i])
	}
	return rest
}

// recutVMs injects VMRecut at VMs that run tasks, and ends the holder.
func (run *Run) recutVMs(fau Fault) {
	_, usable := run.usableVMs()
	if len(usable) == 0 {
		return
	}
	rec := fau.Recut
	for i := range min(rec.VMs, len(usable)) {
		num := usable[(fau.Target+i)%len(usable)]
		run.pending.Go(func() { run.recutVM(num, fau) })
	}
	run.pending.Go(func() {
		time.Sleep(recutLead + rec.Down + rec.EndAfter)
		run.endHolder(rec.Term, rec.Down)
	})
}

// endHolder shuts the holder down, if there is one, or kills it for a time.
func (run *Run) endHolder(term bool, down time.Duration) {
	switch hol := run.holder(); {
	case hol == nil:
	case term:
		run.terminateNode(hol)
	default:
		run.killNode(hol, down)
	}
}

// cutOff cuts a VM off for a time, from the store as well.
func (run *Run) cutOff(num int, span time.Duration) {
	wor, machine := run.sit.Workers[num], fmt.Sprintf("vm-%d", num)
	run.ledger.LinkCut(time.Now(), machine)
	run.cutLink(num, 1)
	wor.Cut()
	time.Sleep(span)
	run.ledger.LinkCut(time.Now().Add(cutDrainTime), machine)
	run.cutLink(num, -1)
	wor.Uncut()
}

// recutVM injects VMRecut at one VM.
func (run *Run) recutVM(num int, fau Fault) {
	rec, wor := fau.Recut, run.sit.Workers[num]
	machine := fmt.Sprintf("vm-%d", num)
	run.ledger.LinkCut(time.Now(), machine)
	if rec.Late > 0 {
		wor.SetCallsLate(rec.Late)
	}
	time.Sleep(recutLead)
	wor.SetCallsLate(0)
	run.ledger.LinkCut(time.Now().Add(rec.Late), machine)
	restarted := time.Now()
	if rec.Dark {
		run.cutLink(num, 1)
	}
	wor.Restart(rec.Down)
	time.Sleep(rec.Down + recutStart)
	if rec.Dark {
		run.cutLink(num, -1)
	}
	run.ledger.LinkCut(time.Now().Add(cutDrainTime), machine)
	time.Sleep(rec.CutAfter)
	run.cutOff(num, fau.For)
	// Calls that are late may arrive after the cut.
	time.Sleep(time.Until(restarted.Add(rec.Late)))
}

// Long tasks take from a third of the longest lease to beyond it.
const (
	longTaskEstimate = 7 * time.Second
	longTaskCPU      = 250
)

// longJob returns a job of two long tasks.
func (cal *caller) longJob() ledger.Job {
	cal.sent++
	job := cal.jobOf(queuePrefix, accounts[1], ledger.PlatformBounds.Attempts)
	job.Steps = []ledger.Step{{Count: 2, CPU: longTaskCPU, Long: true}}
	return job
}
