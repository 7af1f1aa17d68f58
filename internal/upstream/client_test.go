package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/exchange"
	"github.com/balsamgauge/balsamgauge/internal/standin/executor"
	"github.com/balsamgauge/balsamgauge/internal/upstream"
	"gotest.tools/v3/assert"
)

// fixture is an executor and a client that calls it.
type fixture struct {
	t        *testing.T
	recorder *executor.Recorder
	executor *executor.Executor
	client   *upstream.Client
}

func newFixture(t *testing.T, conns int) *fixture {
	t.Helper()
	rec := executor.NewRecorder()
	exe, err := executor.Start("vm", 8, rec)
	assert.NilError(t, err)
	t.Cleanup(exe.Kill)
	return &fixture{t: t, recorder: rec, executor: exe, client: upstream.New(conns)}
}

func (fix *fixture) do(method, runID string, repeatable bool, work time.Duration) upstream.Result {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	header := http.Header{}
	header.Set(executor.HeaderRunID, runID)
	header.Set(executor.HeaderWork, work.String())
	return fix.client.Do(ctx, upstream.Attempt{
		VM: "vm", Address: fix.executor.Address(), Repeatable: repeatable,
		Request: exchange.Request{Method: method, Target: "/x", Header: header, Body: []byte(runID)},
	})
}

func (fix *fixture) runsOf(runID string) int {
	runs := 0
	for _, run := range fix.recorder.Runs() {
		if run.RunID == runID {
			runs++
		}
	}
	return runs
}

// TestFaultsAreClassified injects each fault and compares the client's result
// with the number of runs at the executor.
func TestFaultsAreClassified(t *testing.T) {
	cases := []struct {
		name  string
		fault executor.Fault
		kind  event.AttemptResult
		runs  int
	}{
		{"none", executor.FaultNone, event.AttemptAnswered, 1},
		{"closes before it ran", executor.FaultCloseBefore, event.AttemptUnknown, 0},
		{"closes after it ran", executor.FaultCloseAfter, event.AttemptUnknown, 1},
		{"truncates", executor.FaultTruncate, event.AttemptUnknown, 1},
		{"stays silent", executor.FaultSilent, event.AttemptUnknown, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fix := newFixture(t, 4)
			fix.executor.SetFault(tc.fault)
			res := fix.do(http.MethodPost, "r", false, 0)
			assert.Equal(t, res.Kind, tc.kind, res.Reason)
			assert.Equal(t, fix.runsOf("r"), tc.runs)
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	fix := newFixture(t, 4)
	fix.executor.Kill()
	res := fix.do(http.MethodPost, "r", false, 0)
	assert.Equal(t, res.Kind, event.AttemptNotRun)
}

func TestDrainingUpstreamIsReportedAsLeaving(t *testing.T) {
	fix := newFixture(t, 4)
	fix.executor.Drain()
	res := fix.do(http.MethodPost, "r", false, 0)
	assert.Equal(t, res.Kind, event.AttemptNotRun)
	assert.Assert(t, res.Leaving)
	assert.Equal(t, fix.runsOf("r"), 0)
}

// TestUnrepeatableRequestNeverUsesAnIdleConnection closes an idle connection at
// the executor. If a request were sent on it, the client could not determine
// whether the request was run.
func TestUnrepeatableRequestNeverUsesAnIdleConnection(t *testing.T) {
	fix := newFixture(t, 4)
	assert.Equal(t, fix.do(http.MethodGet, "first", true, 0).Kind, event.AttemptAnswered)
	fix.executor.CloseIdle()
	for i := range 5 {
		run := fmt.Sprint("post ", i)
		assert.Equal(t, fix.do(http.MethodPost, run, false, 0).Kind, event.AttemptAnswered)
		assert.Equal(t, fix.runsOf(run), 1)
	}
}

// TestConnectionsStayWithinLimit sends repeatable and other requests
// concurrently and checks the number of connections that the executor saw.
func TestConnectionsStayWithinLimit(t *testing.T) {
	const conns = 7
	fix := newFixture(t, conns)
	var grp sync.WaitGroup
	for i := range 60 {
		grp.Add(1)
		go func() {
			defer grp.Done()
			method := http.MethodGet
			if i%2 == 0 {
				method = http.MethodPost
			}
			fix.do(method, fmt.Sprint(i), i%2 != 0, 5*time.Millisecond)
		}()
	}
	grp.Wait()
	assert.Assert(t, fix.executor.PeakConns() <= conns, "%d", fix.executor.PeakConns())
	assert.Equal(t, len(fix.recorder.Runs()), 60)
}

// TestSilentConnections makes every open connection unresponsive without
// closing it. Repeatable requests, which may be sent on such a connection, and
// all others, which never are, must still be answered.
func TestSilentConnections(t *testing.T) {
	fix := newFixture(t, 7)
	var grp sync.WaitGroup
	for i := range 3 {
		grp.Add(1)
		go func() {
			defer grp.Done()
			fix.do(http.MethodGet, fmt.Sprint("warm ", i), true, 20*time.Millisecond)
		}()
	}
	grp.Wait()
	fix.executor.SilenceOpen()
	for i := range 3 {
		run := fmt.Sprint("get ", i)
		assert.Equal(t, fix.do(http.MethodGet, run, true, 0).Kind, event.AttemptAnswered)
		assert.Equal(t, fix.runsOf(run), 1)
	}
	assert.Equal(t, fix.do(http.MethodPost, "post", false, 0).Kind, event.AttemptAnswered)
}

// TestSlowResponseOnReusedConnection sends a request that takes longer than the
// delay before the second one is sent on a new connection. The client must not
// discard the slow response.
func TestSlowResponseOnReusedConnection(t *testing.T) {
	fix := newFixture(t, 7)
	fix.do(http.MethodGet, "warm", true, 0)
	res := fix.do(http.MethodGet, "slow", true, 700*time.Millisecond)
	assert.Equal(t, res.Kind, event.AttemptAnswered)
	assert.Assert(t, fix.runsOf("slow") <= 2)
}
