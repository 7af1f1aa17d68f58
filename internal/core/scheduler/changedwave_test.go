package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/upkeep"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"gotest.tools/v3/assert"
)

// TestWavesThatChange guards against waves whose changes have no effect, or that count upkeep
// of a request that was withdrawn: the operator changes the machines and the cap, withdraws
// the wave and requests it again under its number, also at once, while dispatchers are killed
// and answers are lost. In the end the upkeep of all machines of the last request has begun.
func TestWavesThatChange(t *testing.T) {
	seeds := uint64(100)
	if testing.Short() {
		seeds = 15
	}
	for seed := range seeds {
		emu := newEmulator(seed, testCatalog())
		emu.addVMs("lots", 8, 4, job.Size{CPU: 16_000, Memory: 32_768})
		emu.loseMachineAnswer = 0.2
		emu.takeOver(testOptions())
		for i := range 20 {
			emu.after(time.Duration(i)*time.Second, func() { emu.submit(fanOut(i+1, "large", 3, 2000, 700*time.Millisecond)) })
		}
		last := emu.changeWaves(20 * time.Second)
		emu.endTenures(3, 1)
		emu.after(30*time.Second, func() { emu.loseMachineAnswer = 0 })
		emu.run(90 * time.Second)
		for _, name := range last() {
			if !emu.vms[name].upkeepBegun[1] {
				emu.fail("the upkeep of %s has not begun", name)
			}
		}
		assert.Equal(t, len(emu.violations), 0, "seed %d: %s", seed, strings.Join(emu.violations, "\n"))
		assert.Assert(t, emu.waveCompleted, "seed %d", seed)
	}
}

// changeWaves changes a wave again and again for a time. It returns a function for the
// machines of the wave.
func (emu *emulator) changeWaves(span time.Duration) (last func() []string) {
	draw := func() upkeep.Wave {
		wav := upkeep.Wave{Number: 1, Duration: time.Duration(5+emu.rng.IntN(30)) * time.Second, Cap: 1 + emu.rng.IntN(3)}
		for _, name := range emu.names {
			if emu.rng.IntN(2) == 0 {
				wav.Machines = append(wav.Machines, name)
			}
		}
		return wav
	}
	emu.after(time.Second, func() { emu.requestWave(draw()) })
	for range 8 {
		emu.after(time.Second+time.Duration(emu.rng.Int64N(int64(span))), func() {
			wav := draw()
			switch kind := emu.rng.IntN(4); {
			case emu.wave == nil || kind == 0:
				emu.requestWave(wav)
			case kind == 1:
				emu.withdrawWave()
				emu.after(time.Duration(emu.rng.IntN(2))*time.Second, func() { emu.requestWave(wav) })
			default:
				wav.Revision = emu.wave.Revision
				emu.changeWave(wav)
			}
		})
	}
	return func() []string { return emu.wave.Machines }
}

// newOrderedWave returns a dispatcher that has ordered the upkeep of the only machine of a wave.
func newOrderedWave(t *testing.T) (fix *outageFixture, wav upkeep.Wave) {
	fix = newOutageFixture(4)
	fix.run(5 * time.Second)
	wav = upkeep.Wave{Number: 1, Machines: []string{"m-vm-0"}, Duration: 40 * time.Second, Cap: 1, Revision: 7, Changed: 7}
	fix.reduce(WaveRequested{Wave: wav})
	fix.run(300 * time.Millisecond)
	assert.DeepEqual(t, fix.orders, []string{"m-vm-0"})
	return fix, wav
}

// TestRefusalByChangedWave guards against a machine that counts as done in a wave because the
// platform refused an order for it while the wave didn't name it.
func TestRefusalByChangedWave(t *testing.T) {
	fix, wav := newOrderedWave(t)
	wav.Changed = 9
	fix.reduce(WaveRequested{Wave: wav})
	fix.reduce(MachineAnswered{Machine: "m-vm-0", Wave: 1, Result: worker.MachineNotInWave})
	fix.run(3 * time.Second)
	assert.DeepEqual(t, fix.orders, []string{"m-vm-0", "m-vm-0"})
	assert.Assert(t, !fix.sta.waves[1].completed)
}

// TestAnswerToOrderOfFormerRequest guards against upkeep that counts for a wave that was
// requested after it, as the answer arrives late.
func TestAnswerToOrderOfFormerRequest(t *testing.T) {
	fix, wav := newOrderedWave(t)
	wav.Revision, wav.Changed = 9, 9
	fix.reduce(WaveRequested{Wave: wav})
	fix.reduce(MachineAnswered{Machine: "m-vm-0", Wave: 1, Result: worker.MachineOK})
	fix.run(200 * time.Millisecond)
	assert.Equal(t, len(fix.sta.waves[1].plan.Begun), 0)
	assert.Assert(t, !fix.sta.waves[1].completed)
}
