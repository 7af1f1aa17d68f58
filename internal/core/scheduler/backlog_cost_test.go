package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"gotest.tools/v3/assert"
)

// underBacklog returns an emulator whose pool is full while a number of jobs
// wait.
func underBacklog(jobs int) *emulator {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 60, 6, job.Size{CPU: 16_000, Memory: 65_536})
	emu.takeOver(testOptions())
	emu.run(time.Second)
	for i := range jobs {
		emu.submit(fanOut(i+1, "large", 1+i%7, 1500+int64(i%5)*500, 300*time.Millisecond+time.Duration(i%11)*100*time.Millisecond))
	}
	emu.run(2 * time.Second)
	return emu
}

// effortPerStart returns the stages that are tried and the VMs that are examined
// for each task that starts in half a second.
func (emu *emulator) effortPerStart() (stages, hosts float64) {
	countStarts := func() (n int) {
		for _, tru := range emu.truth {
			n += len(tru.starts)
		}
		return n
	}
	before, startsBefore := emu.sched.Effort(), countStarts()
	emu.run(emu.now.Sub(emu.start) + 500*time.Millisecond)
	after, starts := emu.sched.Effort(), float64(countStarts()-startsBefore)
	return float64(after.Stages-before.Stages) / starts, float64(after.Hosts-before.Hosts) / starts
}

// TestBacklogDoesNotSlowDecisions guards against a dispatcher that does more for
// each task the more stages wait, and so falls further behind once it is behind.
func TestBacklogDoesNotSlowDecisions(t *testing.T) {
	stages, hosts := underBacklog(150).effortPerStart()
	stagesLong, hostsLong := underBacklog(1500).effortPerStart()
	t.Logf("150 jobs: %.1f stages and %.1f VMs for each start; 1500 jobs: %.1f and %.1f", stages, hosts, stagesLong, hostsLong)
	assert.Check(t, stagesLong <= 2*stages, "stages tried")
	assert.Check(t, hostsLong <= 2*hosts, "VMs examined")
}

// largeFleet returns an emulator with four full pools of 130 VMs, with jobs that
// wait in one of them.
func largeFleet(waiting int, wave bool) *emulator {
	cat := catalog.Catalog{Version: 1, Revision: 1, Accounts: []catalog.Account{{Name: "large"}}}
	pools := []string{"p0", "p1", "p2", "p3"}
	for _, pool := range pools {
		cat.Queues = append(cat.Queues, catalog.Queue{Name: pool, Pool: pool, MaxAttempts: 4, SlackFactor: 1.6, Target: 600 * time.Millisecond})
		cat.Pools = append(cat.Pools, catalog.Pool{Name: pool})
	}
	emu := newEmulator(1, catalog.New(cat))
	for _, pool := range pools {
		emu.addVMs(pool, 130, 8, job.Size{CPU: 64_000, Memory: 131_072})
	}
	opt := testOptions()
	opt.MachineOrdersPerSecond = 0
	emu.takeOver(opt)
	emu.run(time.Second)
	number := 0
	submit := func(pool string, width int, span time.Duration) {
		number++
		spe := fanOut(number, "large", width, 8_600, span)
		spe.Queue = pool
		emu.submit(spe)
	}
	for _, pool := range pools {
		for range 130 {
			submit(pool, 7, 20*time.Second)
		}
	}
	emu.run(2 * time.Second)
	for range waiting {
		submit("p3", 8, 800*time.Millisecond)
	}
	if wave {
		emu.requestWave(upkeep.Wave{Number: 1, Machines: emu.names[:255], Duration: 25 * time.Second, Cap: 100})
	}
	emu.run(2100 * time.Millisecond)
	return emu
}

// BenchmarkRound measures a call of Reduce that starts nothing.
func BenchmarkRound(b *testing.B) {
	for _, wave := range []bool{false, true} {
		for _, waiting := range []int{0, 250, 1000} {
			emu := largeFleet(waiting, wave)
			b.Run(fmt.Sprintf("waiting=%d/wave=%t", waiting, wave), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					emu.sched.Reduce(emu.now, []Event{JobWatchProgressed{At: emu.now}})
				}
			})
		}
	}
}
