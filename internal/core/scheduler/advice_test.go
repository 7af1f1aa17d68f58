package scheduler

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// emulatedAdvisor allows each step on a third of the VMs. It processes one
// query at a time per slot, as the platform's advisor does per calling
// machine.
type emulatedAdvisor struct {
	advice   job.Advice
	slots    int
	inFlight int
	tickets  map[string]time.Time
	// rejected counts starts without a valid ticket; queries counts the queries.
	rejected, queries int
}

func (adv *emulatedAdvisor) allows(now time.Time, ord Start) bool {
	until, ok := adv.tickets[ord.Ticket]
	return ok && now.Before(until) && strings.HasPrefix(ord.Ticket, ord.VM.ID+"/")
}

func (emu *emulator) performQueryAdvisor(eff QueryAdvisor) {
	adv := emu.advisor
	adv.queries++
	adv.inFlight++
	if adv.inFlight > adv.slots {
		emu.fail("%d concurrent queries with %d slots", adv.inFlight, adv.slots)
	}
	sent, term := emu.now, emu.term
	emu.after(adv.advice.BaseLatency+time.Duration(len(eff.VMs))*adv.advice.LatencyPerVM, func() {
		if term != emu.term {
			return
		}
		adv.inFlight--
		evt := AdvisorAnswered{Job: eff.Job, Occurrence: eff.Occurrence, Step: eff.Step, Sent: sent, VMs: eff.VMs, Tickets: map[string]string{}, Valid: adv.advice.Valid}
		hash := fnv.New32()
		fmt.Fprintf(hash, "%s.%d", eff.Job, eff.Step)
		for _, vm := range eff.VMs {
			index := slices.IndexFunc(emu.names, func(name string) bool { return strings.HasPrefix(vm, name+".") })
			if (hash.Sum32()+uint32(index))%3 == 0 {
				text := fmt.Sprintf("%s/%s.%d/%d", vm, eff.Job, eff.Step, adv.queries)
				evt.Tickets[vm] = text
				adv.tickets[text] = emu.now.Add(adv.advice.Valid)
			}
		}
		emu.deliver(evt)
	})
}

// advisedEmulator returns an emulator with a queue that needs advice.
func advisedEmulator(slots int) *emulator {
	emu := newEmulator(1, testCatalog())
	emu.advisor = &emulatedAdvisor{
		advice: job.Advice{BaseLatency: 300 * time.Millisecond, LatencyPerVM: 2 * time.Millisecond, Valid: 3 * time.Second},
		slots:  slots, tickets: map[string]time.Time{},
	}
	emu.catalog.Queues[0].Advice = &emu.advisor.advice
	emu.addVMs("lots", 12, 4, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	return emu
}

// advisedScenario submits jobs faster than a single slot could handle their
// queries.
func advisedScenario(slots int) *emulator {
	emu := advisedEmulator(slots)
	for i := range 100 {
		emu.after(time.Duration(i)*100*time.Millisecond, func() { emu.submit(fanOut(i, "large", 3, 1000, 500*time.Millisecond)) })
	}
	return emu
}

// TestConcurrentAdvisorQueries checks that nine slots keep up with 10 jobs a
// second of two steps each, every one of which needs a query of 0.3 s.
func TestConcurrentAdvisorQueries(t *testing.T) {
	emu := advisedScenario(9)
	emu.run(20 * time.Second)
	late := 0
	for id, spe := range emu.specs {
		// The objective is 1.6 times the critical path, with one query per step,
		// plus 0.6 s.
		objective := time.Duration(1.6*float64(2*(500+360)*time.Millisecond)) + 600*time.Millisecond
		end, ok := emu.finished[id]
		if !ok || end.Sub(spe.Accepted) > objective {
			late++
		}
	}
	assert.Equal(t, late, 0)
	assert.Equal(t, emu.advisor.rejected, 0, "starts without a ticket")
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestAdviceRenewedAfterExpiry checks that the dispatcher queries again when
// tickets expire while tasks still wait for capacity.
func TestAdviceRenewedAfterExpiry(t *testing.T) {
	emu := advisedScenario(9)
	emu.advisor.advice.Valid = 700 * time.Millisecond
	emu.duration = func(job.Task, job.Step) time.Duration { return 3 * time.Second }
	emu.run(60 * time.Second)
	assert.Equal(t, len(emu.finished), 100)
	assert.Equal(t, emu.advisor.rejected, 0, "starts without a ticket")
}

// TestAdviceAcrossTakeover checks that all jobs end when the dispatcher is
// killed while queries are in flight.
func TestAdviceAcrossTakeover(t *testing.T) {
	emu := advisedScenario(3)
	emu.after(5*time.Second, emu.killDispatcher)
	emu.run(60 * time.Second)
	assert.Equal(t, len(emu.finished), 100)
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}

// TestAdviceOfRemovedQueue guards against a job that never ends: its queue needs advice
// and is removed between its steps, and the starts of the second step are rejected for
// ever, as no ticket is asked for.
func TestAdviceOfRemovedQueue(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		emu := advisedEmulator(3)
		spe := emu.catalog.Queue("gate").Record(fanOut(1, "large", 3, 1000, 2*time.Second))
		emu.after(time.Second, func() { emu.submit(spe) })
		emu.after(2500*time.Millisecond, func() {
			emu.catalog = withoutGate()
			emu.deliver(CatalogChanged{Catalog: emu.catalog})
		})
		if takeover {
			emu.after(2600*time.Millisecond, emu.killDispatcher)
		}
		emu.run(30 * time.Second)
		assert.Equal(t, len(emu.finished), 1, "takeover: %v", takeover)
		assert.Equal(t, emu.advisor.rejected, 0, "starts without a ticket")
		assert.Assert(t, emu.sched.NeedsAdvice())
	}
}
