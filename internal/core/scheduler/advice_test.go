package scheduler

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/catalog"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// emulatedAdvisor lets each step run on a third of the VMs. Each asker waits its
// turn, as each calling machine does at the platform's advisor.
type emulatedAdvisor struct {
	advice  catalog.Advice
	askers  int
	busy    int
	tickets map[string]time.Time
	// rejected counts starts without a valid ticket, asked the questions.
	rejected, asked int
}

func (adv *emulatedAdvisor) allows(now time.Time, ord Start) bool {
	until, ok := adv.tickets[ord.Ticket]
	return ok && now.Before(until) && strings.HasPrefix(ord.Ticket, ord.VM.ID+"/")
}

func (emu *emulator) performAdvise(eff QueryAdvisor) {
	adv := emu.advisor
	adv.asked++
	adv.busy++
	if adv.busy > adv.askers {
		emu.fail("%d questions at once for %d askers", adv.busy, adv.askers)
	}
	sent, term := emu.now, emu.term
	emu.after(adv.advice.Decision+time.Duration(len(eff.VMs))*adv.advice.PerVM, func() {
		if term != emu.term {
			return
		}
		adv.busy--
		evt := AdvisorAnswered{Job: eff.Job, Occurrence: eff.Occurrence, Step: eff.Step, Sent: sent, VMs: eff.VMs, Tickets: map[string]string{}, Valid: adv.advice.Valid}
		hash := fnv.New32()
		fmt.Fprintf(hash, "%s.%d", eff.Job, eff.Step)
		for _, vm := range eff.VMs {
			index := slices.IndexFunc(emu.names, func(name string) bool { return strings.HasPrefix(vm, name+".") })
			if (hash.Sum32()+uint32(index))%3 == 0 {
				text := fmt.Sprintf("%s/%s.%d/%d", vm, eff.Job, eff.Step, adv.asked)
				evt.Tickets[vm] = text
				adv.tickets[text] = emu.now.Add(adv.advice.Valid)
			}
		}
		emu.tell(evt)
	})
}

// advisedDay plays jobs that come faster than one asker could ask about them.
func advisedDay(askers int) *emulator {
	emu := newEmulator(1, testCatalog())
	emu.advisor = &emulatedAdvisor{
		advice: catalog.Advice{Decision: 300 * time.Millisecond, PerVM: 2 * time.Millisecond, Valid: 3 * time.Second},
		askers: askers, tickets: map[string]time.Time{},
	}
	emu.catalog.Queues[0].Advice = &emu.advisor.advice
	emu.addVMs("lots", 12, 4, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	for i := range 100 {
		emu.after(time.Duration(i)*100*time.Millisecond, func() { emu.submit(fanOut(i, "large", 3, 1000, 500*time.Millisecond)) })
	}
	return emu
}

// TestAdviceByManyAskers has 10 jobs of two steps a second, of which each step
// needs a question of 0.3 s. Nine askers keep up with them.
func TestAdviceByManyAskers(t *testing.T) {
	emu := advisedDay(9)
	emu.run(20 * time.Second)
	late := 0
	for id, spe := range emu.specs {
		// The objective is 1.6 chains, each step with one question, and 0.6 s.
		aim := time.Duration(1.6*float64(2*(500+360)*time.Millisecond)) + 600*time.Millisecond
		end, ok := emu.finished[id]
		if !ok || end.Sub(spe.Accepted) > aim {
			late++
		}
	}
	assert.Equal(t, late, 0)
	assert.Equal(t, emu.advisor.rejected, 0, "starts without a ticket")
	assert.Equal(t, len(emu.broken), 0, "%s", strings.Join(emu.broken, "\n"))
}

// TestAdviceOutlastsTickets has tickets expire while tasks still wait for room.
// The dispatcher asks again, and all jobs end.
func TestAdviceOutlastsTickets(t *testing.T) {
	emu := advisedDay(9)
	emu.advisor.advice.Valid = 700 * time.Millisecond
	emu.duration = func(job.Task, job.Step) time.Duration { return 3 * time.Second }
	emu.run(60 * time.Second)
	assert.Equal(t, len(emu.finished), 100)
	assert.Equal(t, emu.advisor.rejected, 0, "starts without a ticket")
}

// TestAdviceThroughTakeover ends the dispatcher with questions under way.
func TestAdviceThroughTakeover(t *testing.T) {
	emu := advisedDay(3)
	emu.after(5*time.Second, emu.killDispatcher)
	emu.run(60 * time.Second)
	assert.Equal(t, len(emu.finished), 100)
	assert.Equal(t, len(emu.broken), 0, "%s", strings.Join(emu.broken, "\n"))
}
