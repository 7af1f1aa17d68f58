package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
)

// Kinds of faults after which what a process knows lags behind what is.
const (
	// ListsLate delays the answers to lists of machines, while connections of the
	// holder are reset again and again.
	ListsLate Kind = "lists_late"
	// UpkeepAnswersLost requests a wave and drops the answers to orders for machines.
	UpkeepAnswersLost Kind = "upkeep_answers_lost"
	// VMReborn cuts a VM off while orders to it are on their way. The VM crashes and
	// starts again under its ID behind the cut; the orders arrive after it.
	VMReborn Kind = "vm_reborn"
	// QueueRemoved removes the queue of the annex between two steps of a job, and
	// adds it again.
	QueueRemoved Kind = "queue_removed"
)

// lagKinds are drawn in rounds: each kind once, in any order.
var lagKinds = []Kind{ListsLate, UpkeepAnswersLost, VMReborn, QueueRemoved}

// Parameters of faults of ScheduleLag.
const (
	lagInterval    = 2800 * time.Millisecond
	minLagInterval = 800 * time.Millisecond
	// listDelay is shorter than the time that a process waits for a list, resetInterval
	// the time between two resets of connections, of which each hits every
	// resetRatio-th VM.
	listDelay     = 700 * time.Millisecond
	resetInterval = 250 * time.Millisecond
	resetRatio    = 3
	// rebornLead is the time for which orders are taken before the cut, rebornDown the
	// time for which the VM is down.
	rebornLead = 800 * time.Millisecond
	rebornDown = 300 * time.Millisecond
	// stepTimeout is the time for which QueueRemoved waits for the end of a step.
	stepTimeout = 2 * time.Second
)

// ScheduleLag returns the faults of a run that make processes act on what is no longer
// so. Like Schedule, it is a function of its arguments.
func ScheduleLag(seed uint64, span time.Duration, nodes, vms int) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 9))
	at := time.Second + time.Duration(rng.Int64N(int64(minLagInterval)))
	for at < span {
		for _, i := range rng.Perm(len(lagKinds)) {
			fau := Fault{At: at, Kind: lagKinds[i], For: minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime)))}
			if fau.Kind == VMReborn {
				fau.Target = rng.IntN(vms)
			} else {
				fau.Target = rng.IntN(nodes)
			}
			if at < span {
				faults = append(faults, fau)
			}
			at += minLagInterval + time.Duration(rng.Int64N(2*int64(lagInterval-minLagInterval)))
		}
	}
	return faults
}

// injectLag injects a fault of ScheduleLag or ScheduleLateWrites.
func (run *Run) injectLag(fau Fault, afterFault func(func())) {
	switch fau.Kind {
	case ListsLate:
		run.sit.SetListDelay(listDelay)
		afterFault(func() { run.sit.SetListDelay(0) })
		run.pending.Go(func() { run.resetHolder(fau) })
	case UpkeepAnswersLost:
		run.sit.SetMachineAnswersLost(true)
		afterFault(func() { run.sit.SetMachineAnswersLost(false) })
		run.requestWave()
		if fau.Target%2 == 1 {
			// The second wave names the other half, and the first one goes on.
			run.requestWave()
		}
	case VMReborn:
		run.pending.Go(func() { run.rebearVM(fau) })
	case QueueRemoved:
		run.pending.Go(func() {
			run.awaitStepEnd()
			run.setAnnex(-1)
			time.Sleep(fau.For)
			run.setAnnex(1)
		})
	case StoreWritesLate, WaveChanged, WaveReplaced:
		run.injectLateWrites(fau, afterFault)
	default:
		panic(fmt.Sprintf("soak: unknown fault %q", fau.Kind))
	}
}

// resetHolder resets connections of the holder, for the time of a fault: those to a
// share of the VMs, which few others call, and the ones to the store each time that
// all VMs have had their turn.
func (run *Run) resetHolder(fau Fault) {
	for round := fau.Target; round < fau.Target+int(fau.For/resetInterval); round++ {
		for i, prx := range run.vmProxies {
			if (i+round)%resetRatio == 0 {
				prx.Reset()
			}
		}
		if hol := run.holder(); hol != nil && round%resetRatio == 0 {
			hol.store.Reset()
		}
		time.Sleep(resetInterval)
	}
}

// rebearVM injects VMReborn at one of the VMs that run tasks.
func (run *Run) rebearVM(fau Fault) {
	_, usable := run.usableVMs()
	if len(usable) == 0 {
		return
	}
	num := usable[fau.Target%len(usable)]
	wor, machine := run.sit.Workers[num], fmt.Sprintf("vm-%d", num)
	delay := rebornLead + fau.For + cutDrainTime
	run.ledger.LinkCut(time.Now(), machine)
	wor.SetOrdersLate(delay)
	time.Sleep(rebornLead)
	wor.SetOrdersLate(0)
	run.cutLink(num, 1)
	wor.Restart(rebornDown)
	time.Sleep(fau.For)
	// The last order that is late was taken when the cut began.
	run.ledger.LinkCut(time.Now().Add(rebornLead+2*cutDrainTime), machine)
	run.cutLink(num, -1)
	time.Sleep(rebornLead + 2*cutDrainTime)
}

// annex is the queue that QueueRemoved removes. Its tasks fail often, so that what
// becomes of its attempts shows.
const (
	annexPrefix   = "/annex/"
	annexAttempts = 3
	// frailFailProbability is the probability that a run of a frail task fails.
	frailFailProbability = 0.25
)

// setAnnex changes by how many more faults the annex is removed, by -1 or 1, and
// writes the configuration.
func (run *Run) setAnnex(change int) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.annexRemovals -= change
	run.writeConfig()
}

// awaitStepEnd waits until a task of the annex has ended on whose step another one
// waits, or until stepTimeout.
func (run *Run) awaitStepEnd() {
	select {
	case <-run.stepEnded:
	case <-time.After(stepTimeout):
	}
}

// taskEnded tells awaitStepEnd of the end of a run.
func (run *Run) taskEnded(task, outcome string) {
	if outcome != "done" {
		return
	}
	if job, ok := run.ledger.Unfinished(task); !ok || job.Path != annexPrefix {
		return
	}
	select {
	case run.stepEnded <- struct{}{}:
	default:
	}
}

// annexJob returns a random job of the annex, of three steps one after the other.
func (cal *caller) annexJob() ledger.Job {
	cal.sent++
	job := cal.jobOf(annexPrefix, accounts[1], annexAttempts)
	for i := range 3 {
		ste := ledger.Step{Count: 1 + cal.rng.IntN(2), CPU: 500, Frail: true}
		if i > 0 {
			ste.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, ste)
	}
	return job
}
