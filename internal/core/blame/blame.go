// Package blame weighs whether a task is why VMs crash that run it.
//
// A crash tells a task that brings its VM down from one that was there by chance by
// two figures: how soon after the start of the run the VM was lost, and how often VMs
// are lost that no young run explains. Each crash is weighed by the ratio of its
// likelihoods under both assumptions, and the weights of a task's crashes add up.
package blame

import (
	"math"
	"time"
)

// Evidence is the logarithm of a likelihood ratio, in decibans: 10 stand for a ratio of
// ten to one that the task is the cause. Zero is no evidence.
type Evidence int

// Limits of evidence.
const (
	// maxGain limits what one crash weighs, so that no task is given up for few.
	maxGain Evidence = 15
	// strongGain is the weight from which a crash alone points to the task. A task is
	// only given up by such a crash.
	strongGain Evidence = 10
	// weakGain limits what a crash weighs if the run may not have started and other VMs
	// are gone as well.
	weakGain Evidence = 5
	// suspectLimit is the evidence from which a task runs apart from others, so that
	// the next crash shows whether it is the cause.
	suspectLimit Evidence = 16
	// limit is the evidence from which a task is given up. A step that serves needs one
	// strong crash more, as others depend on its tasks.
	limit Evidence = 33
)

// minCrashes is the least number of crashes after which a task is given up.
const minCrashes = 3

const (
	// prior is the evidence against a task that has crashed no VM: one in a thousand
	// tasks is a cause.
	prior Evidence = -30
	// halfLife is the age at which half of the tasks that crash their VMs have done so.
	// They crash them as they start, so few of the others are left to do so later.
	halfLife = 100 * time.Millisecond
	// minSpan is the least time in which a crash is known to have happened.
	minSpan = 50 * time.Millisecond
	// IsolationTime is the age up to which a suspect runs apart from others. Most of
	// those that crash their VMs have done so by then.
	IsolationTime = 1500 * time.Millisecond
	// StartupTime is the age from which a run is cleared of suspicion.
	StartupTime = 5 * time.Second
)

// Run is a run on a VM that was lost.
type Run struct {
	// Lived is the age of the run up to which the VM is known to have been up, and
	// Lost that at which it was first known not to answer.
	Lived, Lost time.Duration
	// Unconfirmed reports whether the VM didn't confirm the start. Lost is then the time
	// since the VM was last seen, as it may have been lost before. Alone reports whether
	// it is the only one of its availability zone that is gone.
	Unconfirmed, Alone bool
	// Record is that of the run's task before the crash.
	Record Record
}

// Record is the evidence against a task. The zero Record is that of a task without
// any. It is immutable.
type Record struct {
	// Crashes is the number of crashes under the task that make up the evidence.
	Crashes  int
	Evidence Evidence
	// last is the weight of the last crash if the task was a suspect before.
	last Evidence
}

// Restored returns a record that was stored. Evidence is missing in those of earlier
// versions, which only counted crashes; each of these is taken as strong. A record that
// makes no sense is none.
func Restored(crashes int, evidence Evidence) Record {
	if crashes <= 0 || evidence < 0 {
		return Record{}
	}
	crashes = min(crashes, math.MaxInt16)
	most := Evidence(crashes) * maxGain
	if evidence == 0 || evidence > most {
		evidence = most
	}
	return Record{Crashes: crashes, Evidence: evidence}
}

// IsSuspect reports whether the task may be what crashes its VMs.
func (rec Record) IsSuspect() bool { return rec.Evidence >= suspectLimit }

// IsGuilty reports whether the last crash, of a run apart from others, shows that the
// task crashes its VMs.
func (rec Record) IsGuilty(longRunning bool) bool {
	crashes, least := minCrashes, limit
	if longRunning {
		crashes, least = crashes+1, least+maxGain
	}
	return rec.Crashes >= crashes && rec.Evidence >= least && rec.last >= strongGain
}

// IsolatedAt reports whether a run of the task still has to run apart from others at
// an age.
func (rec Record) IsolatedAt(age time.Duration) bool {
	return age < IsolationTime && rec.Outlived(age).IsSuspect()
}

// Outlived returns the record while a run of the task has reached an age.
func (rec Record) Outlived(age time.Duration) Record {
	rec.Evidence += decibans(survival(age))
	if rec.Evidence <= 0 || age > StartupTime {
		return Record{}
	}
	return rec
}

// withCrash returns the record after a crash.
func (rec Record) withCrash(weight Evidence) Record {
	tried := rec.IsSuspect()
	rec = Record{Crashes: rec.Crashes + 1, Evidence: rec.Evidence + weight}
	if tried {
		rec.last = weight
	}
	if rec.Evidence <= 0 {
		return Record{}
	}
	return rec
}

// guilt returns the probability that the task crashes its VMs.
func (rec Record) guilt() float64 {
	odds := math.Pow(10, float64(prior+rec.Evidence)/10)
	return odds / (1 + odds)
}

// Weigh returns the records of the tasks that ran on a VM, after its crash. Rate is the
// number of crashes in a second of a VM that have no cause on the VM.
func Weigh(runs []Run, rate float64) []Record {
	records := make([]Record, len(runs))
	for i, run := range runs {
		other := 1 - math.Exp(-rate*run.span().Seconds())
		for j, oth := range runs {
			if j != i {
				other += (1 - other) * oth.Record.guilt() * oth.hazard()
			}
		}
		if other = math.Min(1, other); !(other > 0) {
			other = 1
		}
		own := other + (1-other)*run.hazard()
		weight := min(maxGain, decibans(survival(run.Lived))+decibans(own/other))
		switch {
		case run.Unconfirmed && run.Alone:
			weight = min(strongGain, weight)
		case run.Unconfirmed:
			weight = min(weakGain, weight)
		}
		records[i] = run.Record.withCrash(weight)
	}
	return records
}

// span returns the time in which the VM was lost.
func (run Run) span() time.Duration { return max(minSpan, run.Lost-max(0, run.Lived)) }

// hazard returns the probability that a task that crashes its VMs, and hasn't before,
// does so in the time in which the VM was lost.
func (run Run) hazard() float64 {
	lived := max(0, run.Lived)
	return 1 - survival(lived+run.span())/survival(lived)
}

// survival returns the probability that a VM outlives the first time of a run that
// crashes it. It falls slowly, as tasks may also crash VMs later.
func survival(age time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+max(0, age))
}

func decibans(ratio float64) Evidence { return Evidence(math.Round(10 * math.Log10(ratio))) }
