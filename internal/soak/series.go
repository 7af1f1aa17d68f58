package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

// Kinds of faults that come in series or overlap with others. The holder is the
// process that holds the duty.
const (
	// NodeTermPair shuts a process down while another one shuts down.
	NodeTermPair Kind = "node_term_pair"
	// NodeTermKill kills a process while it shuts down.
	NodeTermKill Kind = "node_term_kill"
	// NodeTermPause pauses a process while it shuts down.
	NodeTermPause Kind = "node_term_pause"
	// NodeRoll shuts the processes down one after the other, each while the one
	// before still starts.
	NodeRoll Kind = "node_roll"
	// NodeKillAll kills all processes at the same moment.
	NodeKillAll Kind = "node_kill_all"
	// NodeAckKill kills the process that next accepts a job, right after the answer.
	NodeAckKill Kind = "node_ack_kill"
	// HolderSeries kills or shuts down one holder after the other.
	HolderSeries Kind = "holder_series"
	// HolderPause pauses the holder.
	HolderPause Kind = "holder_pause"
	// VMRestart crashes a VM that starts again under its id.
	VMRestart Kind = "vm_restart"
	// VMZoneDown crashes all VMs of an availability zone.
	VMZoneDown Kind = "vm_zone_down"
	// VMOrdersLate delays the orders to a VM, VMAnswersLost drops its answers, and
	// VMMute drops both.
	VMOrdersLate  Kind = "vm_orders_late"
	VMAnswersLost Kind = "vm_answers_lost"
	VMMute        Kind = "vm_mute"
	// OddEntry writes a registration that names no VM to use, OddRegistration writes
	// one over that of a VM.
	OddEntry        Kind = "odd_entry"
	OddRegistration Kind = "odd_registration"
	// ConfigSeries changes the configuration several times in a row.
	ConfigSeries Kind = "config_series"
)

// seriesWeights holds the relative frequency of each kind of series.
var seriesWeights = []weighted{
	{NodeTermPair, 3}, {NodeTermKill, 2}, {NodeTermPause, 2}, {NodeRoll, 1}, {NodeKillAll, 1}, {NodeAckKill, 3},
	{HolderSeries, 2}, {HolderPause, 2},
	{VMCrash, 4}, {VMRestart, 3}, {VMZoneDown, 2}, {VMCut, 2}, {VMOrdersLate, 3}, {VMAnswersLost, 2}, {VMMute, 2},
	{OddEntry, 4}, {OddRegistration, 1}, {ConfigSeries, 1},
}

// Intervals between the faults of a schedule of series.
const (
	seriesInterval = 1300 * time.Millisecond
	// clusterProbability is the probability that a fault follows the one before
	// within clusterDelay.
	clusterProbability = 0.4
	clusterDelay       = 250 * time.Millisecond
)

// ScheduleSeries returns the faults of a run that come in series. Like Schedule, it
// is a function of its arguments.
func ScheduleSeries(seed uint64, span time.Duration, nodes, vms, zones int) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 8))
	at := time.Second
	for at < span {
		fau := Fault{At: at, Kind: drawKind(rng, seriesWeights), For: minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime)))}
		switch fau.Kind {
		case VMCrash, VMRestart, VMCut, VMOrdersLate, VMAnswersLost, VMMute, OddRegistration:
			fau.Target = rng.IntN(vms)
		case VMZoneDown:
			fau.Target = rng.IntN(zones)
		case OddEntry:
			fau.Target = rng.IntN(site.OddRegistrations())
		default:
			fau.Target = rng.IntN(nodes)
		}
		faults = append(faults, fau)
		if rng.Float64() < clusterProbability {
			at += time.Duration(rng.Int64N(int64(clusterDelay)))
		} else {
			at += time.Duration(rng.ExpFloat64() * float64(seriesInterval))
		}
	}
	return faults
}

// merge returns the faults of two schedules in the order of their times.
func merge(one, oth []Fault) []Fault {
	all := slices.Concat(one, oth)
	slices.SortStableFunc(all, func(one, oth Fault) int { return cmp.Compare(one.At, oth.At) })
	return all
}
