package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// emulatedLink is a network link with one queue in each direction.
type emulatedLink struct {
	bytesPerSecond float64
	// sendFreeAt and receiveFreeAt are when the queues become empty.
	sendFreeAt, receiveFreeAt time.Time
}

// Sizes of messages on an emulated link.
const (
	emulatedOrderBytes   = 900
	emulatedAnswerBytes  = 300
	emulatedRowBytes     = 50
	emulatedMachineBytes = 160
)

// send queues a message and returns the time until it arrives.
func (lin *emulatedLink) send(now time.Time, size int) time.Duration {
	if lin == nil {
		return emulatedLatency
	}
	return lin.enqueue(&lin.sendFreeAt, now, size)
}

// receive queues a message in the other direction and returns the time until it
// arrives.
func (lin *emulatedLink) receive(now time.Time, size int) time.Duration {
	if lin == nil {
		return emulatedLatency
	}
	return lin.enqueue(&lin.receiveFreeAt, now, size)
}

func (lin *emulatedLink) enqueue(freeAt *time.Time, now time.Time, size int) time.Duration {
	if freeAt.Before(now) {
		*freeAt = now
	}
	*freeAt = freeAt.Add(time.Duration(float64(size) / lin.bytesPerSecond * float64(time.Second)))
	return freeAt.Sub(now) + emulatedLatency
}

// TestBurstOnNarrowLink checks that a burst of starts does not fill the
// dispatcher's own link for so long that polls time out: VMs that are merely
// slow to reach would lose their leases, and finished tasks would run again.
func TestBurstOnNarrowLink(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.addVMs("lots", 60, 10, job.Size{CPU: 64_000, Memory: 131_072})
	emu.link = &emulatedLink{bytesPerSecond: 250_000}
	opt := testOptions()
	opt.LinkBytesPerSecond = emu.link.bytesPerSecond
	emu.takeOver(opt)
	emu.run(time.Second)
	for i := range 60 {
		emu.submit(fanOut(i+1, "large", 40, 500, 1500*time.Millisecond))
	}
	emu.run(60 * time.Second)
	assert.Equal(t, emu.decisions["leases_ended"], 0, "VMs that run lost their leases")
	assert.Equal(t, emu.decisions["vm_silent"], 0, "VMs that run were taken for silent")
	assert.Equal(t, len(emu.finished), len(emu.specs))
	starts := 0
	for _, tru := range emu.truth {
		starts += len(tru.starts)
	}
	assert.Equal(t, starts, len(emu.truth), "tasks ran more than once")
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestFailedListIsRepeated checks that a list of machines that failed after its
// whole timeout is requested again without the pause that follows a long list.
func TestFailedListIsRepeated(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	opt := testOptions()
	opt.Since = now
	sta := New(opt)
	sta.Reduce(now, []Event{JobsLoaded{}})
	later := now.Add(2 * time.Second)
	effects := sta.Reduce(later, []Event{MachinesListed{RequestedAt: now}})
	listed := false
	for _, eff := range effects {
		_, ok := eff.(ListMachines)
		listed = listed || ok
	}
	assert.Assert(t, listed)
}
