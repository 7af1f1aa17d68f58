package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Node faults affect one process of the program, link faults the
// connections of one process to the store, VM faults one VM or the connections to
// it. Up is the direction to the store, down the one from it.
const (
	NodeKill          Kind = "node_kill"
	NodeTerm          Kind = "node_term"
	NodePause         Kind = "node_pause"
	NodeReload        Kind = "node_reload"
	LinkReset         Kind = "link_reset"
	LinkSilence       Kind = "link_silence"
	LinkCutUp         Kind = "link_cut_up"
	LinkCutDown       Kind = "link_cut_down"
	LinkDelay         Kind = "link_delay"
	VMReset           Kind = "vm_reset"
	VMSilence         Kind = "vm_silence"
	VMCut             Kind = "vm_cut"
	VMCrash           Kind = "vm_crash"
	StoreDown         Kind = "store_down"
	StoreResponseLost Kind = "store_lost"
	StoreCompact      Kind = "store_compact"
	KeyChange         Kind = "key_change"
	ZoneOut           Kind = "zone_out"
	WaveRequested     Kind = "wave_asked"
)

// weighted is a kind of fault with its relative frequency.
type weighted struct {
	kind   Kind
	weight int
}

// weights holds the relative frequency of each kind.
var weights = []weighted{
	{NodeKill, 3}, {NodeTerm, 4}, {NodePause, 3}, {NodeReload, 1},
	{LinkReset, 2}, {LinkSilence, 2}, {LinkCutUp, 2}, {LinkCutDown, 2}, {LinkDelay, 2},
	{VMReset, 2}, {VMSilence, 2}, {VMCut, 2}, {VMCrash, 2},
	{StoreDown, 1}, {StoreResponseLost, 2}, {StoreCompact, 2},
	{KeyChange, 2}, {ZoneOut, 1}, {WaveRequested, 1},
}

// Fault is one fault of a schedule.
type Fault struct {
	// At is the time since the start of the schedule.
	At   time.Duration
	Kind Kind
	// Target is the index of the process, VM or availability zone.
	Target int
	// For is the duration of a fault that is reverted.
	For time.Duration
	// Recut has the further parameters of VMRecut, and Burst those of VMBurst.
	Recut Recut
	Burst Burst
}

// String formats the fault for a report.
func (fau Fault) String() string {
	text := fmt.Sprintf("%6d ms %s %d for %d ms", fau.At.Milliseconds(), fau.Kind, fau.Target, fau.For.Milliseconds())
	switch fau.Kind {
	case VMRecut:
		return text + ": " + fau.Recut.String()
	case VMBurst:
		return text + ": " + fau.Burst.String()
	default:
		return text
	}
}

// Intervals between faults and durations of faults.
const (
	meanInterval = 700 * time.Millisecond
	// repeatProbability is the probability that a fault is injected again at the
	// same target after repeatDelay.
	repeatProbability = 0.3
	repeatDelay       = 120 * time.Millisecond
	minFaultTime      = 300 * time.Millisecond
	maxFaultTime      = 4500 * time.Millisecond
)

// Schedule returns the faults of a run. It is a function of its arguments: the
// same seed gives the same faults.
func Schedule(seed uint64, span time.Duration, nodes, vms, zones int) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 7))
	at := time.Second
	for at < span {
		fau := Fault{At: at, Kind: drawKind(rng, weights), For: minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime)))}
		switch fau.Kind {
		case VMReset, VMSilence, VMCut, VMCrash:
			fau.Target = rng.IntN(vms)
		case ZoneOut:
			fau.Target = rng.IntN(zones)
		default:
			fau.Target = rng.IntN(nodes)
		}
		faults = append(faults, fau)
		if rng.Float64() < repeatProbability {
			repeat := fau
			repeat.At += repeatDelay
			faults = append(faults, repeat)
		}
		at += time.Duration(rng.ExpFloat64() * float64(meanInterval))
	}
	return faults
}

// drawKind draws a kind of fault by its weight.
func drawKind(rng *rand.Rand, weights []weighted) Kind {
	total := 0
	for _, wei := range weights {
		total += wei.weight
	}
	at := rng.IntN(total)
	for _, wei := range weights {
		if at -= wei.weight; at < 0 {
			return wei.kind
		}
	}
	panic("soak: draw exceeds the sum of the weights")
}
