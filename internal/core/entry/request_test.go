package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"gotest.tools/v3/assert"
)

func TestRequestIsAnsweredThroughAnyEntry(t *testing.T) {
	drv := deploy(t, 1, small)
	for i, nod := range drv.nodes {
		drv.request(nod, fmt.Sprint(i), arrival("big", 0, table.UrgencyNormal))
	}
	drv.run(time.Second)
	for i := range drv.nodes {
		assert.Equal(t, drv.reply[fmt.Sprint(i)].outcome, outcome.Answered)
		assert.Equal(t, drv.runs[fmt.Sprint(i)], 1)
	}
}

func TestRefusedRequestDoesNotRun(t *testing.T) {
	drv := deploy(t, 1, small)
	cases := []struct {
		name string
		evt  event.RequestArrived
		code outcome.Code
	}{
		{"no key", event.RequestArrived{Path: "/s0/normal"}, outcome.CodeUnauthorized},
		{"wrong key", event.RequestArrived{Path: "/s0/normal", KeyHash: "00"}, outcome.CodeUnauthorized},
		{"no route", event.RequestArrived{Path: "/nowhere"}, outcome.CodeUnknownRoute},
		{"large", event.RequestArrived{Path: "/s0/normal", KeyHash: arrival("big", 0, "").KeyHash, BodyBytes: 1 << 20}, outcome.CodeBodyTooLarge},
	}
	for _, tc := range cases {
		drv.request(drv.nodes[0], tc.name, tc.evt)
		drv.run(100 * time.Millisecond)
		assert.Equal(t, drv.reply[tc.name].code, tc.code, tc.name)
		assert.Equal(t, drv.reply[tc.name].outcome, outcome.NotRun, tc.name)
		assert.Equal(t, drv.runs[tc.name], 0, tc.name)
	}
}

func TestRequestOverLimitIsRefusedAtDeadline(t *testing.T) {
	drv := deploy(t, 1, small)
	drv.runDuration = func(string) time.Duration { return time.Minute }
	for i := range 10 {
		drv.request(drv.nodes[i%3], fmt.Sprint(i), arrival("tiny", 0, table.UrgencyNormal))
	}
	drv.run(3 * time.Second)
	assert.Equal(t, drv.peak["tiny"], 4)
	refused := 0
	for i := range 10 {
		if drv.reply[fmt.Sprint(i)].code == outcome.CodeOverLimit {
			refused++
		}
	}
	assert.Equal(t, refused, 6)
}

func TestGracefulShutdownHandsOverEverything(t *testing.T) {
	drv := deploy(t, 1, small)
	leaving := drv.nodes[0]
	for i := range 8 {
		drv.request(leaving, fmt.Sprint(i), arrival("big", 0, table.UrgencyNormal))
	}
	drv.feed(leaving, event.ShutdownRequested{})
	drv.run(3 * time.Second)
	assert.Assert(t, leaving.exited)
	for i := range 8 {
		assert.Equal(t, drv.reply[fmt.Sprint(i)].outcome, outcome.Answered)
	}
	left := drv.nodes[1].state
	assert.Equal(t, len(left.config.Voters), 2)
	for _, tea := range small.teams {
		usable := left.HeldPermits(tea.Name) + drv.nodes[2].state.HeldPermits(tea.Name)
		assert.Equal(t, usable, tea.Limit, "permits of %s", tea.Name)
	}
}

func TestPermitsOfLostEntryAreReclaimed(t *testing.T) {
	drv := deploy(t, 1, small)
	drv.kill(drv.nodes[0])
	drv.run(leaseTTL + StopTimeout(drv.nodes[1].state.config) + 6*time.Second)
	left := drv.nodes[1].state
	assert.Equal(t, len(left.config.Voters), 2)
	for _, tea := range small.teams {
		usable := left.HeldPermits(tea.Name) + drv.nodes[2].state.HeldPermits(tea.Name)
		assert.Equal(t, usable, tea.Limit, "permits of %s", tea.Name)
	}
}
