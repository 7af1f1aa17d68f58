package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
)

// Kinds of faults after which a late write, or a change by the operator, may belie what
// processes have said.
const (
	// StoreWritesLate leaves some writes to the store unanswered and carries them out
	// later.
	StoreWritesLate Kind = "store_writes_late"
	// WaveChanged changes the machines of the last wave.
	WaveChanged Kind = "wave_changed"
	// WaveReplaced withdraws the last wave and requests one with its number, at once or
	// after a time.
	WaveReplaced Kind = "wave_replaced"
)

// lateWriteKinds are drawn in rounds, as lagKinds.
var lateWriteKinds = []Kind{StoreWritesLate, WaveChanged, WaveReplaced}

// Parameters of faults of ScheduleLateWrites.
const (
	// lateWriteRatio is the ratio of all writes to those that get no answer.
	lateWriteRatio = 3
	minWriteDelay  = time.Second
	maxWriteDelay  = 6 * time.Second
	// minLateWrites is long enough for a submission and its repeats to get no answer.
	minLateWrites = 3 * time.Second
	// changedWaveRatio is the ratio of all machines to those of a wave that is changed.
	changedWaveRatio = 3
	// waveVariants is the number of variants of a changed wave: which machines, and whether
	// it is requested again at once.
	waveVariants = 2 * changedWaveRatio
)

// ScheduleLateWrites returns the faults of a run with late writes and waves that change.
// Like Schedule, it is a function of its arguments.
func ScheduleLateWrites(seed uint64, span time.Duration) (faults []Fault) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for at := time.Second; at < span; {
		for _, i := range rng.Perm(len(lateWriteKinds)) {
			fau := Fault{At: at, Kind: lateWriteKinds[i], Target: rng.IntN(waveVariants), For: minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime)))}
			if fau.Kind == StoreWritesLate {
				fau.For = max(fau.For, minLateWrites)
			}
			if at < span {
				faults = append(faults, fau)
			}
			at += minLagInterval + time.Duration(rng.Int64N(int64(lagInterval-minLagInterval)))
		}
	}
	return faults
}

// injectLateWrites injects a fault of ScheduleLateWrites.
func (run *Run) injectLateWrites(fau Fault, afterFault func(func())) {
	if fau.Kind != StoreWritesLate && run.waves == 0 {
		run.requestWave()
	}
	number := run.waves
	change := func() {
		run.sit.RequestWave(number, run.machinesOf(changedWaveRatio, fau.Target%changedWaveRatio), waveTimeout, waveMaxDown)
	}
	switch {
	case fau.Kind == StoreWritesLate:
		run.setWritesLate(1)
		afterFault(func() { run.setWritesLate(-1) })
	case fau.Kind == WaveChanged:
		change()
	case fau.Target%2 == 0:
		run.sit.WithdrawWave(number)
		change()
	default:
		run.sit.WithdrawWave(number)
		afterFault(change)
	}
}

// setWritesLate changes by how many faults writes are late, by -1 or 1.
func (run *Run) setWritesLate(change int) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.lateWrites += change
	if run.lateWrites == 0 {
		run.sit.Store.LoseAnswers(nil)
		return
	}
	// The store calls the function by one goroutine at a time.
	run.sit.Store.LoseAnswers(func(map[string][]byte) (time.Duration, bool) {
		delay := minWriteDelay + time.Duration(run.lateRNG.Int64N(int64(maxWriteDelay-minWriteDelay)))
		return delay, run.lateRNG.IntN(lateWriteRatio) == 0
	})
}

// giveUp cancels a job whose submission got no answer, until the cancelling is acknowledged
// or submitTimeout is over.
func (cal *caller) giveUp(ctx context.Context, job ledger.Job) {
	for end := time.Now().Add(submitTimeout); time.Now().Before(end) && ctx.Err() == nil; clock.Pause(ctx, retryInterval) {
		_, status, _ := cal.call(cal.rng, http.MethodDelete, job, cal.run.key(job.Account), "")
		if status == http.StatusOK || status == http.StatusGone {
			cal.run.ledger.Cancelled(time.Now(), job.ID)
			return
		}
	}
}
