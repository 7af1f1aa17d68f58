package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/core/duty"
)

// Parameters of series of faults.
const (
	// pairDelay is the time between two shutdowns that overlap, and between SIGTERM
	// and a signal that interrupts the shutdown.
	pairDelay = 25 * time.Millisecond
	// maxHold bounds the time for which an open call keeps a shutdown waiting.
	maxHold = 2 * time.Second
	// maxTermPause bounds a pause during a shutdown, which must still end within the
	// grace period.
	maxTermPause = 2 * time.Second
	rollInterval = 300 * time.Millisecond
	// maxRolled bounds the processes that NodeRoll shuts down.
	maxRolled = 8
	// shortDown is the time for which a process is down if others follow it at once.
	shortDown = 300 * time.Millisecond
	// holderChanges is the number of holders that HolderSeries ends; each next one is
	// awaited for holderTimeout.
	holderChanges = 4
	holderTimeout = 4 * time.Second
	holderPoll    = 20 * time.Millisecond
	// orderDelay is the time after which late orders are carried out. It exceeds the
	// timeout of an order.
	orderDelay = 1200 * time.Millisecond
	// configChanges is the number of configurations that ConfigSeries writes.
	configChanges  = 6
	configInterval = 120 * time.Millisecond
	// finalCrashInterval is the time between the crashes of two availability zones at
	// the end, and finalCrashTime the time for which their VMs are down.
	finalCrashInterval = 300 * time.Millisecond
	finalCrashTime     = time.Second
)

// injectSeries injects a fault of ScheduleSeries.
func (run *Run) injectSeries(fau Fault, afterFault func(func())) {
	switch fau.Kind {
	case NodeTermPair:
		for i := range 2 {
			nod := run.nodes[(fau.Target+i)%len(run.nodes)]
			run.holdCall(nod, min(fau.For, maxHold))
			run.terminateNode(nod)
			time.Sleep(pairDelay)
		}
	case NodeTermKill, NodeTermPause:
		run.interruptShutdown(fau, run.nodes[fau.Target])
	case NodeRoll:
		run.pending.Go(func() {
			for i := range min(len(run.nodes), maxRolled) {
				run.terminateNode(run.nodes[(fau.Target+i)%len(run.nodes)])
				time.Sleep(rollInterval)
			}
		})
	case NodeKillAll:
		for _, nod := range run.nodes {
			run.killNode(nod, shortDown)
		}
	case NodeAckKill:
		run.killAfterAnswer.Store(int64(fau.For))
	case HolderSeries:
		run.pending.Go(run.endHolders)
	case HolderPause:
		if nod := run.holder(); nod != nil {
			run.pauseNode(nod, fau.For, afterFault)
		}
	case ConfigSeries:
		run.pending.Go(func() {
			for i := range configChanges {
				run.rotateKeys(accounts[:i%2]...)
				time.Sleep(configInterval)
			}
		})
	case OddEntry:
		afterFault(run.sit.RegisterOdd(fau.Target))
	case ListsLate, UpkeepAnswersLost, VMReborn, QueueRemoved, StoreWritesLate, WaveChanged, WaveReplaced:
		run.injectLag(fau, afterFault)
	case VMRecut, VMBurst:
		run.injectRestarts(fau)
	default:
		run.injectVMSeries(fau, afterFault)
	}
}

// injectVMSeries injects a fault of VMs.
func (run *Run) injectVMSeries(fau Fault, afterFault func(func())) {
	wor := run.sit.Workers[fau.Target%len(run.sit.Workers)]
	switch fau.Kind {
	case VMRestart:
		wor.Restart(fau.For)
	case VMZoneDown:
		run.crashZone(run.sit.Zones()[fau.Target], fau.For)
	case VMOrdersLate:
		machine := fmt.Sprintf("vm-%d", fau.Target)
		wor.SetOrderDelay(orderDelay)
		run.ledger.LinkCut(time.Now(), machine)
		afterFault(func() {
			wor.SetOrderDelay(0)
			run.ledger.LinkCut(time.Now().Add(orderDelay+cutDrainTime), machine)
		})
	case VMAnswersLost:
		wor.SetAnswersLost(true)
		afterFault(func() { wor.SetAnswersLost(false) })
	case VMMute:
		wor.SetSilent(true)
		afterFault(func() { wor.SetSilent(false) })
	case OddRegistration:
		wor.RegisterOdd(fau.Target)
		afterFault(wor.Register)
	default:
		panic(fmt.Sprintf("soak: unknown fault %q", fau.Kind))
	}
}

// crashZone crashes all VMs of an availability zone. New ones start after a time.
func (run *Run) crashZone(zone string, downtime time.Duration) {
	for _, wor := range run.sit.Workers {
		if wor.Zone() == zone {
			wor.Crash(downtime)
		}
	}
}

// crashZones crashes the VMs of one availability zone after the other, once all
// other faults have ended: no takeover of the duty repairs what these crashes leave
// behind.
func (run *Run) crashZones(ctx context.Context) {
	clock.Pause(ctx, finalCrashTime)
	for _, zone := range run.sit.Zones() {
		run.crashZone(zone, finalCrashTime)
		clock.Pause(ctx, finalCrashInterval)
	}
	clock.Pause(ctx, finalCrashTime)
}

// interruptShutdown kills a process while it shuts down, or pauses it.
func (run *Run) interruptShutdown(fau Fault, nod *node) {
	if !nod.setDown(true) {
		return
	}
	nod.markDisrupted(time.Now().Add(fau.For + callTimeout + readyTimeout))
	run.holdCall(nod, min(fau.For, maxHold))
	run.pending.Go(func() {
		if fau.Kind == NodeTermKill {
			nod.signal(syscall.SIGTERM)
			time.Sleep(pairDelay)
			nod.kill()
		} else {
			pause := min(fau.For, maxTermPause)
			run.pending.Go(func() {
				time.Sleep(pairDelay)
				nod.signal(syscall.SIGSTOP)
				time.Sleep(pause)
				nod.signal(syscall.SIGCONT)
			})
			if violation := nod.terminate(); violation != "" {
				run.ledger.AddViolation(time.Now(), violation)
			}
			// The process that starts next must not receive the signals.
			time.Sleep(pairDelay + pause)
		}
		run.restart(nod)
	})
}

// holder returns the process that holds the duty, or nil if there is none.
func (run *Run) holder() *node {
	raw := run.sit.Store.Value(duty.HolderKey)
	if raw == nil {
		return nil
	}
	hol, err := duty.DecodeHolder(raw)
	if err != nil {
		run.ledger.AddViolation(time.Now(), err.Error())
		return nil
	}
	for _, nod := range run.nodes {
		if nod.name == hol.Name {
			return nod
		}
	}
	return nil
}

// endHolders kills or shuts down the holder, then the process that takes over from
// it, and so on.
func (run *Run) endHolders() {
	var last *node
	for i := range holderChanges {
		hol := run.holder()
		for end := time.Now().Add(holderTimeout); (hol == nil || hol == last) && time.Now().Before(end); hol = run.holder() {
			time.Sleep(holderPoll)
		}
		switch {
		case hol == nil:
		case i%2 == 0:
			run.killNode(hol, shortDown)
		default:
			run.terminateNode(hol)
		}
		last = hol
	}
}

// answered is called when a process has accepted a job. It kills the process if
// NodeAckKill asked for that.
func (run *Run) answered(nod *node) {
	if down := time.Duration(run.killAfterAnswer.Swap(0)); down > 0 {
		run.killNode(nod, down)
	}
}

// usableVMs returns the VMs of the queues' pool that run, and the numbers of their
// machines.
func (run *Run) usableVMs() (ids []string, machines []int) {
	for i, wor := range run.sit.Workers {
		if id, pool, ok := wor.RunningVM(); ok && pool == queuePool {
			ids, machines = append(ids, id), append(machines, i)
		}
	}
	return ids, machines
}
