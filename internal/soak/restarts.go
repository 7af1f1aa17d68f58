package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// VMBurst crashes a share of the VMs of all pools at the same moment. Most are soon back under
// their IDs, others under new ones or never.
const VMBurst Kind = "vm_burst"

// Burst holds the parameters of VMBurst. Fault.For is the duration of the cuts.
type Burst struct {
	// Draw selects the VMs, and what becomes of each.
	Draw uint64
	// Lost is the number of VMs that are never back, Renamed of those that are back under
	// another ID, and Cut of those that are cut off after they are back under their own.
	Lost, Renamed, Cut int
	// Dark leaves the connections to the VMs open while they are down. Calls of that time
	// reach the next incarnations.
	Dark bool
	// Late is the longest time after the return of a VM at which starts and stops are carried
	// out that were sent shortly before the crash or while the VM was down.
	Late time.Duration
	// End is the time from the first late order to the end of the holder, or 0 if it goes on.
	// The holder is shut down if Term is set, and killed otherwise.
	End  time.Duration
	Term bool
}

// String formats the parameters for a report.
func (bur Burst) String() string {
	text := fmt.Sprintf("%d lost, %d back under another ID, %d cut off (dark %t, orders late by up to %d ms)",
		bur.Lost, bur.Renamed, bur.Cut, bur.Dark, bur.Late.Milliseconds())
	switch {
	case bur.End == 0:
		return text
	case bur.Term:
		return fmt.Sprintf("%s, holder shut down after %d ms", text, bur.End.Milliseconds())
	default:
		return fmt.Sprintf("%s, holder killed after %d ms", text, bur.End.Milliseconds())
	}
}

// Parameters of ScheduleRestarts.
const (
	// burstShare is the share of the VMs that crash.
	burstShare       = 0.4
	minBurstStart    = 3 * time.Second
	maxBurstStart    = 4 * time.Second
	minBurstInterval = 4 * time.Second
	maxBurstInterval = 7 * time.Second
	minBurstDown     = 300 * time.Millisecond
	maxBurstDown     = time.Second
	// burstSpread is the time within which the VMs crash.
	burstSpread  = 80 * time.Millisecond
	minBurstCut  = time.Second
	maxBurstCut  = 6 * time.Second
	maxBurstCuts = 3
	// maxCutAfter is the longest time from the return of a VM to its cut.
	maxCutAfter = 600 * time.Millisecond
	// burstLead is the time before the crash in which orders are late.
	burstLead = 400 * time.Millisecond
	// maxOrderDelay is the longest time after which VMs carry an order out.
	maxOrderDelay = 12 * time.Second
	maxBurstLate  = maxOrderDelay - burstLead - burstSpread - maxBurstDown
	maxBurstEnd   = 2 * time.Second
	// maxLost bounds the VMs that are lost in a run.
	maxLost = 2
	// Probabilities of a VM that is lost or renamed, and of Burst.Dark, of a Burst.Late that
	// isn't 0, of the end of the holder and of Burst.Term.
	burstLostProbability, burstRenamedProbability            = 0.4, 0.4
	burstDarkProbability, burstLateProbability               = 0.7, 0.5
	burstEndProbability, burstTermProbability                = 0.4, 0.3
	burstOrderLateProbability, burstOrderAtReturnProbability = 0.5, 0.6
)

// ScheduleRestarts returns the faults of a run in which many VMs crash at once. Like Schedule,
// it is a function of its arguments.
func ScheduleRestarts(seed uint64, span time.Duration) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 13))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	lost := 0
	for at := between(minBurstStart, maxBurstStart); at < span; at += between(minBurstInterval, maxBurstInterval) {
		bur := Burst{Draw: rng.Uint64(), Cut: rng.IntN(maxBurstCuts + 1), Dark: rng.Float64() < burstDarkProbability}
		if rng.Float64() < burstLostProbability && lost < maxLost {
			bur.Lost = 1
			lost++
		}
		if rng.Float64() < burstRenamedProbability {
			bur.Renamed = 1
		}
		if rng.Float64() < burstLateProbability {
			bur.Late = between(0, maxBurstLate)
		}
		if rng.Float64() < burstEndProbability {
			bur.End, bur.Term = between(time.Millisecond, maxBurstEnd), rng.Float64() < burstTermProbability
		}
		faults = append(faults, Fault{At: at, Kind: VMBurst, For: between(minBurstCut, maxBurstCut), Burst: bur})
	}
	return faults
}

// runningVMs returns the numbers of the machines of which the VMs run tasks or may.
func (run *Run) runningVMs() (machines []int) {
	for i, wor := range run.sit.Workers {
		if _, pool, ok := wor.RunningVM(); ok && pool != standbyPool {
			machines = append(machines, i)
		}
	}
	return machines
}

// injectRestarts injects a fault of ScheduleRecut or ScheduleRestarts.
func (run *Run) injectRestarts(fau Fault) {
	if fau.Kind == VMRecut {
		run.recutVMs(fau)
		return
	}
	run.injectBurst(fau)
}

// injectBurst injects VMBurst.
func (run *Run) injectBurst(fau Fault) {
	bur, machines := fau.Burst, run.runningVMs()
	rng := rand.New(rand.NewPCG(bur.Draw, 0))
	rng.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	machines = machines[:int(math.Ceil(burstShare*float64(len(machines))))]
	for i, num := range machines {
		vmRNG := rand.New(rand.NewPCG(bur.Draw, uint64(1+i)))
		run.pending.Go(func() { run.crashInBurst(num, i, fau, vmRNG) })
	}
	if bur.End > 0 {
		run.pending.Go(func() {
			time.Sleep(bur.End)
			run.endHolder(bur.Term, shortDown)
		})
	}
}

// crashInBurst injects VMBurst at the VM that comes at a place among those that crash.
func (run *Run) crashInBurst(num, place int, fau Fault, rng *rand.Rand) {
	bur, wor, machine := fau.Burst, run.sit.Workers[num], fmt.Sprintf("vm-%d", num)
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	down, spread, cutAfter := between(minBurstDown, maxBurstDown), between(0, burstSpread), between(0, maxCutAfter)
	run.ledger.LinkCut(time.Now(), machine)
	wor.HoldOrders(bur.Dark, lateOrders(bur.Late, rng))
	time.Sleep(burstLead + spread)
	run.ledger.LinkCut(time.Now().Add(down+bur.Late+cutDrainTime), machine)
	switch {
	case place < bur.Lost:
		wor.Lose()
		return
	case place < bur.Lost+bur.Renamed:
		wor.Crash(down)
		return
	}
	wor.Restart(down)
	back := time.Now().Add(down)
	if place < bur.Lost+bur.Renamed+bur.Cut {
		time.Sleep(down + cutAfter)
		run.cutOff(num, fau.For)
	}
	time.Sleep(time.Until(back.Add(bur.Late)))
}

// lateOrders returns a function that draws whether an order is late, and by how long after
// the return of its VM. Many arrive at the moment of the return, before the orders to the new
// incarnation.
func lateOrders(late time.Duration, rng *rand.Rand) func() (delay time.Duration, held bool) {
	return func() (delay time.Duration, held bool) {
		held = rng.Float64() < burstOrderLateProbability
		if rng.Float64() >= burstOrderAtReturnProbability && late > 0 {
			delay = time.Duration(rng.Int64N(int64(late)))
		}
		return delay, held
	}
}
