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

// bench is an executor and a client that calls it.
type bench struct {
	t        *testing.T
	recorder *executor.Recorder
	executor *executor.Executor
	client   *upstream.Client
}

func newBench(t *testing.T, conns int) *bench {
	t.Helper()
	rec := executor.NewRecorder()
	exe, err := executor.Start("vm", 8, rec)
	assert.NilError(t, err)
	t.Cleanup(exe.Kill)
	return &bench{t: t, recorder: rec, executor: exe, client: upstream.New(conns)}
}

func (ben *bench) do(method, runID string, repeatable bool, work time.Duration) upstream.Result {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	header := http.Header{}
	header.Set(executor.HeaderRunID, runID)
	header.Set(executor.HeaderWork, work.String())
	return ben.client.Do(ctx, upstream.Attempt{
		VM: "vm", Address: ben.executor.Address(), Repeatable: repeatable,
		Request: exchange.Request{Method: method, Target: "/x", Header: header, Body: []byte(runID)},
	})
}

func (ben *bench) runsOf(runID string) int {
	runs := 0
	for _, run := range ben.recorder.Runs() {
		if run.RunID == runID {
			runs++
		}
	}
	return runs
}

// TestFaultsAreToldTruthfully causes each fault and compares what the client
// says with what the executor ran.
func TestFaultsAreToldTruthfully(t *testing.T) {
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
			ben := newBench(t, 4)
			ben.executor.SetFault(tc.fault)
			res := ben.do(http.MethodPost, "r", false, 0)
			assert.Equal(t, res.Kind, tc.kind, res.Reason)
			assert.Equal(t, ben.runsOf("r"), tc.runs)
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	ben := newBench(t, 4)
	ben.executor.Kill()
	res := ben.do(http.MethodPost, "r", false, 0)
	assert.Equal(t, res.Kind, event.AttemptNotRun)
}

func TestDrainingUpstreamIsSeenLeaving(t *testing.T) {
	ben := newBench(t, 4)
	ben.executor.Drain()
	res := ben.do(http.MethodPost, "r", false, 0)
	assert.Equal(t, res.Kind, event.AttemptNotRun)
	assert.Assert(t, res.Leaving)
	assert.Equal(t, ben.runsOf("r"), 0)
}

// TestUnrepeatableRequestNeverUsesAnIdleConnection lets the executor close a
// connection while it is idle. A request on it could not be told from one that
// ran.
func TestUnrepeatableRequestNeverUsesAnIdleConnection(t *testing.T) {
	ben := newBench(t, 4)
	assert.Equal(t, ben.do(http.MethodGet, "first", true, 0).Kind, event.AttemptAnswered)
	ben.executor.CloseIdle()
	for i := range 5 {
		run := fmt.Sprint("post ", i)
		assert.Equal(t, ben.do(http.MethodPost, run, false, 0).Kind, event.AttemptAnswered)
		assert.Equal(t, ben.runsOf(run), 1)
	}
}

// TestConnectionsStayWithinTheirBound sends both kinds of requests at once.
func TestConnectionsStayWithinTheirBound(t *testing.T) {
	const conns = 7
	ben := newBench(t, conns)
	var grp sync.WaitGroup
	for i := range 60 {
		grp.Add(1)
		go func() {
			defer grp.Done()
			method := http.MethodGet
			if i%2 == 0 {
				method = http.MethodPost
			}
			ben.do(method, fmt.Sprint(i), i%2 != 0, 5*time.Millisecond)
		}()
	}
	grp.Wait()
	assert.Assert(t, ben.executor.PeakConns() <= conns, "%d", ben.executor.PeakConns())
	assert.Equal(t, len(ben.recorder.Runs()), 60)
}

// TestSilentConnections lets every open connection go silent for good. Repeatable
// requests, which may use one, and the others, which never do, are answered all
// the same.
func TestSilentConnections(t *testing.T) {
	ben := newBench(t, 7)
	var grp sync.WaitGroup
	for i := range 3 {
		grp.Add(1)
		go func() {
			defer grp.Done()
			ben.do(http.MethodGet, fmt.Sprint("warm ", i), true, 20*time.Millisecond)
		}()
	}
	grp.Wait()
	ben.executor.SilenceOpen()
	for i := range 3 {
		run := fmt.Sprint("get ", i)
		assert.Equal(t, ben.do(http.MethodGet, run, true, 0).Kind, event.AttemptAnswered)
		assert.Equal(t, ben.runsOf(run), 1)
	}
	assert.Equal(t, ben.do(http.MethodPost, "post", false, 0).Kind, event.AttemptAnswered)
}

// TestSlowAnswerOnAUsedConnectionIsNotLost lets a request take longer than the
// time after which a second try goes out.
func TestSlowAnswerOnAUsedConnectionIsNotLost(t *testing.T) {
	ben := newBench(t, 7)
	ben.do(http.MethodGet, "warm", true, 0)
	res := ben.do(http.MethodGet, "slow", true, 700*time.Millisecond)
	assert.Equal(t, res.Kind, event.AttemptAnswered)
	assert.Assert(t, ben.runsOf("slow") <= 2)
}
