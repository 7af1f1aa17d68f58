package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"gotest.tools/v3/assert"
)

// TestAccountOverEntitlement checks that an account that submits ten times its
// entitlement, more than the pool can hold, does not delay another one: once
// the burst is used up, the jobs of the account that stays within its rate end
// in time.
func TestAccountOverEntitlement(t *testing.T) {
	emu := newEmulator(1, testCatalog())
	emu.catalog.Accounts[0].JobRate, emu.catalog.Accounts[0].Cap = 6, job.Size{}
	emu.catalog.Accounts[1].JobRate = 4
	emu.addVMs("lots", 6, 3, job.Size{CPU: 16_000, Memory: 32_768})
	emu.takeOver(testOptions())
	number := 0
	submit := func(account string, from, pause time.Duration) {
		for at := from; at < 9*time.Second; at += pause {
			number++
			spe := fanOut(number, account, 4, 1500, 500*time.Millisecond)
			emu.after(at, func() { emu.submit(spe) })
		}
	}
	submit("small", 3*time.Second, 200*time.Millisecond)
	submit("large", time.Second, 25*time.Millisecond)
	emu.run(60 * time.Second)
	late := map[string]int{}
	// The objective is 1.6 times the critical path of two tasks, plus 0.6 s.
	objective := time.Duration(1.6*float64(time.Second)) + 600*time.Millisecond
	for id, spe := range emu.specs {
		if end, ok := emu.finished[id]; !ok || end.Sub(spe.Accepted) > objective {
			late[spe.Account]++
		}
	}
	assert.Equal(t, late["small"], 0)
	assert.Assert(t, late["large"] > 0, "the pool is not overloaded, so nothing is tested")
	assert.Equal(t, len(emu.finished), number)
	assert.Equal(t, len(emu.violations), 0, "%s", strings.Join(emu.violations, "\n"))
}
