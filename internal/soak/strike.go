package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/soak/proxy"
)

// linkDelay is how much a slow way delays, each way.
const linkDelay = 150 * time.Millisecond

// lostAnswers is how many answers of writes the store loses at a time.
const lostAnswers = 2

// strike injects a fault. What lasts is ended later.
func (run *Run) strike(fau Fault) {
	later := func(end func()) {
		run.waits.Go(func() {
			time.Sleep(fau.For)
			end()
		})
	}
	switch fau.Kind {
	case NodeKill, NodeTerm, NodePause, NodeReload:
		run.strikeNode(fau, run.nodes[fau.Target], later)
	case LinkReset, LinkSilence, LinkCutUp, LinkCutDown, LinkDelay:
		strikeWay(fau, run.nodes[fau.Target].store, later)
	case VMReset, VMSilence:
		strikeWay(fau, run.ways[fau.Target], later)
	case VMCut:
		run.cutVM(fau, later)
	case VMCrash:
		run.sit.Workers[fau.Target].Crash(fau.For)
	case StoreDown:
		run.sit.Store.SetDown(true)
		later(func() { run.sit.Store.SetDown(false) })
	case StoreLost:
		run.sit.Store.DropResponses(lostAnswers)
	case StoreCompact:
		run.sit.Store.Compact()
	case KeyChange:
		run.changeKeys(accounts[fau.Target%len(accounts)])
	case ZoneOut:
		zone := run.sit.Zones()[fau.Target]
		run.sit.SetZoneOut(zone, true)
		run.ledger.ZoneOut(time.Now(), zone)
		later(func() {
			run.sit.SetZoneOut(zone, false)
			run.ledger.ZoneIn(zone)
		})
	case WaveAsked:
		run.askWave()
	default:
		panic(fmt.Sprintf("soak: unknown fault %q", fau.Kind))
	}
}

func (run *Run) strikeNode(fau Fault, nod *node, later func(func())) {
	now := time.Now()
	switch fau.Kind {
	case NodeReload:
		nod.signal(syscall.SIGHUP)
	case NodePause:
		if !nod.setPaused(true) {
			return
		}
		nod.harm(now.Add(fau.For + callTimeout))
		nod.signal(syscall.SIGSTOP)
		later(func() {
			nod.setPaused(false)
			nod.signal(syscall.SIGCONT)
		})
	case NodeKill:
		if !nod.setPaused(true) {
			return
		}
		nod.harm(now.Add(fau.For + callTimeout + readyTime))
		nod.kill()
		later(func() { run.restart(nod) })
	case NodeTerm:
		// A process that is paused or gone can't end gracefully.
		if !nod.setPaused(true) {
			return
		}
		run.waits.Go(func() {
			if wrong := nod.terminate(); wrong != "" {
				run.ledger.Fail(time.Now(), wrong)
			}
			run.restart(nod)
		})
	}
}

// restart starts a process that has ended.
func (run *Run) restart(nod *node) {
	if err := nod.start(); err != nil {
		run.ledger.Fail(time.Now(), err.Error())
	}
	nod.setPaused(false)
}

// cutVM cuts the way to a VM. Orders that are held up come after it heals.
func (run *Run) cutVM(fau Fault, later func(func())) {
	way, machine := run.ways[fau.Target], fmt.Sprintf("vm-%d", fau.Target)
	way.SetCut(true, true)
	run.ledger.Harmed(time.Now(), machine)
	later(func() {
		run.ledger.Harmed(time.Now().Add(heldUpTime), machine)
		way.SetCut(false, false)
	})
}

// heldUpTime is how long after a cut what was held up arrives at the latest.
const heldUpTime = 200 * time.Millisecond

func strikeWay(fau Fault, way *proxy.Proxy, later func(func())) {
	switch fau.Kind {
	case LinkReset, VMReset:
		way.Reset()
	case LinkSilence, VMSilence:
		way.Silence()
	case LinkCutUp:
		way.SetCut(true, false)
		later(func() { way.SetCut(false, false) })
	case LinkCutDown:
		way.SetCut(false, true)
		later(func() { way.SetCut(false, false) })
	case LinkDelay:
		way.SetDelay(linkDelay)
		later(func() { way.SetDelay(0) })
	}
}

// askWave asks for the upkeep of half of the machines.
func (run *Run) askWave() {
	run.waves++
	machines := []string{}
	for i, wor := range run.sit.Workers {
		if i%2 == run.waves%2 {
			machines = append(machines, wor.MachineName())
		}
	}
	run.sit.RequestWave(run.waves, machines, waveTime, waveCap)
}

// awaitReady waits until all processes take calls.
func (run *Run) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, nod := range run.nodes {
		end := time.Now().Add(readyTime)
		for ready := false; !ready; {
			rsp, err := client.Get("http://" + nod.ready + "/readyz")
			if err == nil {
				ready = rsp.StatusCode == http.StatusOK
				_ = rsp.Body.Close()
			}
			if time.Now().After(end) {
				return fmt.Errorf("process %s is not ready after %v", nod.name, readyTime)
			}
			if !ready {
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}
