package runner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/adminclient"
	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/runner"
	"github.com/balsamgauge/balsamgauge/internal/settings"
	"github.com/balsamgauge/balsamgauge/internal/standin/executor"
	"github.com/balsamgauge/balsamgauge/internal/standin/fleet"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const credential = "operators"

// requestRoute returns a route of kind request to the executors pool.
func requestRoute(name, path string, deadline time.Duration) table.Route {
	return table.Route{
		Name: name, Kind: table.KindRequest, Path: path, Pool: "executors", Urgency: table.UrgencyNormal,
		Deadline: table.Duration(deadline), MaxBodyBytes: 100,
	}
}

func tables() table.Tables {
	only := requestRoute("only_one", "/one/", time.Second)
	only.Teams = []string{"one"}
	open := requestRoute("open", "/open/", time.Second)
	open.OpenTeam = "one"
	empty := requestRoute("empty", "/empty/", 300*time.Millisecond)
	empty.Pool = "empty"
	return table.Tables{
		Teams: []table.Team{{Name: "one", Share: 1, Limit: 50}, {Name: "two", Share: 1, Limit: 1}},
		Routes: []table.Route{
			requestRoute("any", "/any/", time.Second), requestRoute("brief", "/brief/", 300*time.Millisecond), only, open, empty,
			{Name: "notes", Kind: table.KindTask, Pool: "workers", Urgency: table.UrgencyNormal, Deadline: table.Duration(time.Minute), MaxBodyBytes: 100},
		},
		Pools: []table.Pool{
			{Name: "executors", Service: table.ServiceExecutor, Budget: 1, MaxWaiting: 100, VMs: map[string]int{"az": 1}},
			{Name: "empty", Service: table.ServiceExecutor, Budget: 1, MaxWaiting: 1, VMs: map[string]int{}},
			{Name: "workers", Service: table.ServiceWorker, Budget: 1, MaxWaiting: 100, VMs: map[string]int{"az": 1}},
		},
	}
}

// fixture is one entry with simulated store, platform, executors and workers.
type fixture struct {
	t      *testing.T
	fleet  *fleet.Fleet
	runner *runner.Runner
	admin  *adminclient.Client
	keys   map[string]string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	fle, err := fleet.Start(fleet.Options{StoreAddress: anyPort, ListAddress: anyPort, Pools: tables().Pools})
	assert.NilError(t, err)
	t.Cleanup(fle.Stop)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rnr, err := runner.New(settings.Settings{
		Name: "e1", Region: "r", AZ: "az", Callers: anyPort, PeerListener: anyPort, Admin: anyPort,
		Store: fle.StoreURL, StorePrefix: "/p/", VMList: fle.ListURL + "/vms", OperatorKeyHash: key.Hash(credential),
		MaxEntries: 1, ConnectionsPerExecutor: 64, StoreWritesPerSecond: 100, TimelineEvents: 100,
	}, logger)
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() { _ = rnr.Run(); close(done) }()
	t.Cleanup(func() { rnr.Kill(); <-done })
	fix := &fixture{t: t, fleet: fle, runner: rnr, keys: map[string]string{"wrong": "bgk_wrong", "none": ""}}
	fix.admin = adminclient.New(rnr.AdminListener.Addr().String(), credential)
	fix.prepare()
	return fix
}

func (fix *fixture) prepare() {
	fix.t.Helper()
	ctx := context.Background()
	fix.await(func() bool { sts, err := fix.admin.Status(ctx); return err == nil && sts.Voting })
	_, err := fix.admin.Apply(ctx, tables(), 0)
	assert.NilError(fix.t, err)
	for _, team := range []string{"one", "two"} {
		rsp, err := fix.admin.Grant(ctx, team, team)
		assert.NilError(fix.t, err)
		fix.keys[team] = rsp.Key
	}
	fix.await(func() bool { cfg, err := fix.admin.Config(ctx); return err == nil && len(cfg.VMs) == 2 })
}

func (fix *fixture) await(condition func() bool) {
	fix.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	fix.t.Fatal("timed out")
}

// call sends a caller's request and returns the status, outcome and refusal
// code of its response. The API key is the one in keys under keyName; work is
// the time that the executor spends on the request.
func (fix *fixture) call(method, path, keyName, body, work string, header ...string) string {
	fix.t.Helper()
	req, err := http.NewRequest(method, "http://"+fix.runner.CallersListener.Addr().String()+path, strings.NewReader(body))
	assert.NilError(fix.t, err)
	if secret := fix.keys[keyName]; secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	req.Header.Set(executor.HeaderWork, work)
	req.Header.Set(executor.HeaderRunID, path)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	rsp, err := http.DefaultClient.Do(req)
	assert.NilError(fix.t, err)
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	assert.NilError(fix.t, err)
	var ref outcome.Refusal
	_ = json.Unmarshal(data, &ref)
	return fmt.Sprintf("%d %s %s", rsp.StatusCode, rsp.Header.Get(outcome.Header), ref.Code)
}

// TestAnswers causes each response in docs/operators/answers.md that a single
// entry can give and compares them with a golden file. No refused request may
// have been executed.
func TestAnswers(t *testing.T) {
	fix := newFixture(t)
	var lines []string
	add := func(name, got string) { lines = append(lines, fmt.Sprintf("%-24s %s", name, got)) }
	add("answered", fix.call("POST", "/any/a", "one", "x", "1ms"))
	add("open to all", fix.call("GET", "/open/a", "none", "", "1ms"))
	add("accepted", fix.call("POST", "/v1/queues/notes/tasks", "one", "1ms", ""))
	add("invalid timeout", fix.call("POST", "/any/a", "one", "x", "", "Balsamgauge-Timeout", "soon"))
	add("no key", fix.call("POST", "/any/no-key", "none", "x", ""))
	add("wrong key", fix.call("POST", "/any/wrong-key", "wrong", "x", ""))
	add("wrong team", fix.call("POST", "/one/wrong-team", "two", "x", ""))
	add("unknown route", fix.call("POST", "/nowhere", "one", "x", ""))
	add("unknown queue", fix.call("POST", "/v1/queues/nowhere/tasks", "one", "x", ""))
	add("unknown task", fix.call("GET", "/v1/tasks/nothing", "one", "", ""))
	add("body too large", fix.call("POST", "/any/large", "one", strings.Repeat("x", 101), ""))
	add("payload too large", fix.call("POST", "/v1/queues/notes/tasks", "one", strings.Repeat("x", 101), ""))
	add("key used twice, first", fix.call("POST", "/any/twice", "one", "x", "1ms", "Idempotency-Key", "k"))
	add("key used twice, again", fix.call("POST", "/any/twice", "one", "x", "1ms", "Idempotency-Key", "k"))
	add("deadline passed", fix.call("POST", "/empty/late", "one", "x", ""))
	add("pool full", fix.poolFull())
	add("over limit", fix.overLimit())
	add("upstream lost", fix.withFault(executor.FaultCloseAfter, "/any/lost"))
	add("upstream truncates", fix.withFault(executor.FaultTruncate, "/any/cut"))
	fix.killExecutors()
	add("upstream failed", fix.call("POST", "/any/failed", "one", "x", ""))
	fix.fleet.Store.SetDown(true)
	add("store down", fix.call("POST", "/v1/queues/notes/tasks", "one", "1ms", ""))
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "answers.golden")
	for _, run := range fix.fleet.Runs.Runs() {
		for _, refused := range []string{"no-key", "wrong-key", "wrong-team", "large", "late", "full", "over", "failed"} {
			assert.Assert(t, !strings.HasSuffix(run.RunID, "/"+refused), "%s was refused but executed", run.RunID)
		}
	}
}

// poolFull fills the queue of the empty pool with one request and sends
// another.
func (fix *fixture) poolFull() string {
	waiting := make(chan string, 1)
	go func() { waiting <- fix.call("POST", "/empty/first", "one", "x", "") }()
	fix.await(func() bool {
		sts, err := fix.admin.Status(context.Background())
		return err == nil && sts.Pools[1].Waiting == 1
	})
	got := fix.call("POST", "/empty/full", "one", "x", "")
	<-waiting
	return got
}

// overLimit holds the team's only permit with one request and sends another.
func (fix *fixture) overLimit() string {
	running := make(chan string, 1)
	go func() { running <- fix.call("POST", "/any/long", "two", "x", "600ms") }()
	fix.await(func() bool {
		sts, err := fix.admin.Status(context.Background())
		return err == nil && sts.Teams[1].Running == 1
	})
	got := fix.call("POST", "/brief/over", "two", "x", "1ms")
	<-running
	return got
}

func (fix *fixture) withFault(fault executor.Fault, path string) string {
	for _, exe := range fix.fleet.Executors {
		exe.SetFault(fault)
		defer exe.SetFault(executor.FaultNone)
	}
	return fix.call("POST", path, "one", "x", "1ms")
}

func (fix *fixture) killExecutors() {
	for _, exe := range fix.fleet.Executors {
		exe.Kill()
	}
}

func TestAdminRequiresCredential(t *testing.T) {
	fix := newFixture(t)
	unauthorized := adminclient.New(fix.runner.AdminListener.Addr().String(), "guess")
	_, err := unauthorized.Status(context.Background())
	assert.ErrorContains(t, err, "unauthorized")
	_, err = unauthorized.Withdraw(context.Background(), "one")
	assert.ErrorContains(t, err, "unauthorized")
}

// TestKeysAreNotDisclosed guards against a granted key that appears in clear in
// the store or in the timeline.
func TestKeysAreNotDisclosed(t *testing.T) {
	fix := newFixture(t)
	fix.call("POST", "/any/a", "one", "x", "1ms")
	evts, err := fix.admin.Timeline(context.Background())
	assert.NilError(t, err)
	encoded, err := json.Marshal(evts)
	assert.NilError(t, err)
	for _, text := range append(fix.fleet.Store.Dump(), string(encoded)) {
		for _, team := range []string{"one", "two"} {
			assert.Assert(t, !strings.Contains(text, fix.keys[team]))
		}
	}
}
