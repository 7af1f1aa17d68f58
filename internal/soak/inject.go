package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/soak/proxy"
)

// linkDelay is the delay that LinkDelay adds in each direction.
const linkDelay = 150 * time.Millisecond

// droppedResponses is the number of responses to transactions that the store drops
// per fault.
const droppedResponses = 2

// injectFault injects a fault. A fault that lasts is reverted after its duration.
func (run *Run) injectFault(fau Fault) {
	afterFault := func(revert func()) {
		run.pending.Go(func() {
			time.Sleep(fau.For)
			revert()
		})
	}
	switch fau.Kind {
	case NodeKill, NodeTerm, NodePause, NodeReload:
		run.injectNodeFault(fau, run.nodes[fau.Target], afterFault)
	case LinkReset, LinkSilence, LinkCutUp, LinkCutDown, LinkDelay:
		injectLinkFault(fau, run.nodes[fau.Target].store, afterFault)
	case VMReset, VMSilence:
		injectLinkFault(fau, run.vmProxies[fau.Target], afterFault)
	case VMCut:
		run.cutVM(fau, afterFault)
	case VMCrash:
		run.sit.Workers[fau.Target].Crash(fau.For)
	case StoreDown:
		run.sit.Store.SetDown(true)
		afterFault(func() { run.sit.Store.SetDown(false) })
	case StoreResponseLost:
		run.sit.Store.DropResponses(droppedResponses)
	case StoreCompact:
		run.sit.Store.Compact()
	case KeyChange:
		run.rotateKeys(accounts[fau.Target%len(accounts)])
	case ZoneOut:
		zone := run.sit.Zones()[fau.Target]
		run.sit.SetZoneOut(zone, true)
		run.ledger.ZoneOut(time.Now(), zone)
		afterFault(func() {
			run.sit.SetZoneOut(zone, false)
			run.ledger.ZoneIn(zone)
		})
	case WaveRequested:
		run.requestWave()
	default:
		run.injectSeries(fau, afterFault)
	}
}

// injectNodeFault injects a fault of one process.
func (run *Run) injectNodeFault(fau Fault, nod *node, afterFault func(func())) {
	switch fau.Kind {
	case NodeReload:
		nod.signal(syscall.SIGHUP)
	case NodePause:
		run.pauseNode(nod, fau.For, afterFault)
	case NodeKill:
		run.killNode(nod, fau.For)
	case NodeTerm:
		run.terminateNode(nod)
	}
}

// pauseNode pauses a process for a time, unless it is down.
func (run *Run) pauseNode(nod *node, span time.Duration, afterFault func(func())) {
	if !nod.setDown(true) {
		return
	}
	nod.markDisrupted(time.Now().Add(span + callTimeout))
	nod.signal(syscall.SIGSTOP)
	afterFault(func() {
		nod.setDown(false)
		nod.signal(syscall.SIGCONT)
	})
}

// killNode kills a process, unless it is down, and restarts it after a time.
func (run *Run) killNode(nod *node, down time.Duration) {
	if !nod.setDown(true) {
		return
	}
	nod.markDisrupted(time.Now().Add(down + callTimeout + readyTimeout))
	nod.kill()
	run.pending.Go(func() {
		time.Sleep(down)
		run.restart(nod)
	})
}

// terminateNode shuts a process down gracefully and restarts it. A process that is
// paused or has ended can't shut down gracefully.
func (run *Run) terminateNode(nod *node) {
	if !nod.setDown(true) {
		return
	}
	run.pending.Go(func() {
		if violation := nod.terminate(); violation != "" {
			run.ledger.AddViolation(time.Now(), violation)
		}
		run.restart(nod)
	})
}

// restart starts the process of a node again after it has ended.
func (run *Run) restart(nod *node) {
	if err := nod.start(); err != nil {
		run.ledger.AddViolation(time.Now(), err.Error())
	}
	nod.setDown(false)
}

// cutVM cuts the connections to a VM in both directions. Orders delayed by the cut
// arrive after it is reverted.
func (run *Run) cutVM(fau Fault, afterFault func(func())) {
	// The ledger identifies a machine by the name of its first VM.
	machine := fmt.Sprintf("vm-%d", fau.Target)
	run.cutLink(fau.Target, 1)
	run.ledger.LinkCut(time.Now(), machine)
	afterFault(func() {
		run.ledger.LinkCut(time.Now().Add(cutDrainTime), machine)
		run.cutLink(fau.Target, -1)
	})
}

// cutLink changes by how many faults the connections to a VM are cut, by -1 or 1.
func (run *Run) cutLink(vm, change int) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.linkCuts[vm] += change
	run.vmProxies[vm].SetCut(run.linkCuts[vm] > 0, run.linkCuts[vm] > 0)
}

// cutDrainTime is the longest time after the end of a cut at which delayed data
// arrives.
const cutDrainTime = 200 * time.Millisecond

// injectLinkFault injects a fault of the connections through a proxy.
func injectLinkFault(fau Fault, prx *proxy.Proxy, afterFault func(func())) {
	switch fau.Kind {
	case LinkReset, VMReset:
		prx.Reset()
	case LinkSilence, VMSilence:
		prx.Silence()
	case LinkCutUp:
		prx.SetCut(true, false)
		afterFault(func() { prx.SetCut(false, false) })
	case LinkCutDown:
		prx.SetCut(false, true)
		afterFault(func() { prx.SetCut(false, false) })
	case LinkDelay:
		prx.SetDelay(linkDelay)
		afterFault(func() { prx.SetDelay(0) })
	}
}

// requestWave requests the upkeep of half of the machines, alternating between
// the two halves.
func (run *Run) requestWave() {
	run.waves++
	run.sit.RequestWave(run.waves, run.machinesOf(2, run.waves%2), waveTimeout, waveMaxDown)
}

// machinesOf returns those of every so many machines that come at a place among them.
func (run *Run) machinesOf(every, place int) (machines []string) {
	for i, wor := range run.sit.Workers {
		if i%every == place {
			machines = append(machines, wor.MachineName())
		}
	}
	return machines
}

// awaitReady waits until every process reports that it is ready.
func (run *Run) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, nod := range run.nodes {
		end := time.Now().Add(readyTimeout)
		for ready := false; !ready; {
			rsp, err := client.Get("http://" + nod.readyAddress + "/readyz")
			if err == nil {
				ready = rsp.StatusCode == http.StatusOK
				_ = rsp.Body.Close()
			}
			if time.Now().After(end) {
				return fmt.Errorf("process %s is not ready after %v", nod.name, readyTimeout)
			}
			if !ready {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}
