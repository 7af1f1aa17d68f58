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

// request returns a route for requests to the pool of executors.
func request(name, path string, deadline time.Duration) table.Route {
	return table.Route{
		Name: name, Kind: table.KindRequest, Path: path, Pool: "executors", Urgency: table.UrgencyNormal,
		Deadline: table.Duration(deadline), MaxBodyBytes: 100,
	}
}

func tables() table.Tables {
	only := request("only_one", "/one/", time.Second)
	only.Teams = []string{"one"}
	open := request("open", "/open/", time.Second)
	open.OpenTeam = "one"
	empty := request("empty", "/empty/", 300*time.Millisecond)
	empty.Pool = "empty"
	return table.Tables{
		Teams: []table.Team{{Name: "one", Share: 1, Limit: 50}, {Name: "two", Share: 1, Limit: 1}},
		Routes: []table.Route{
			request("any", "/any/", time.Second), request("brief", "/brief/", 300*time.Millisecond), only, open, empty,
			{Name: "notes", Kind: table.KindTask, Pool: "workers", Urgency: table.UrgencyNormal, Deadline: table.Duration(time.Minute), MaxBodyBytes: 100},
		},
		Pools: []table.Pool{
			{Name: "executors", Service: table.ServiceExecutor, Budget: 1, MaxWaiting: 100, VMs: map[string]int{"az": 1}},
			{Name: "empty", Service: table.ServiceExecutor, Budget: 1, MaxWaiting: 1, VMs: map[string]int{}},
			{Name: "workers", Service: table.ServiceWorker, Budget: 1, MaxWaiting: 100, VMs: map[string]int{"az": 1}},
		},
	}
}

// bench is one entry with the stand-ins.
type bench struct {
	t      *testing.T
	fleet  *fleet.Fleet
	runner *runner.Runner
	admin  *adminclient.Client
	keys   map[string]string
}

func newBench(t *testing.T) *bench {
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
	ben := &bench{t: t, fleet: fle, runner: rnr, keys: map[string]string{"wrong": "bgk_wrong", "none": ""}}
	ben.admin = adminclient.New(rnr.AdminListener.Addr().String(), credential)
	ben.prepare()
	return ben
}

func (ben *bench) prepare() {
	ben.t.Helper()
	ctx := context.Background()
	ben.await(func() bool { sts, err := ben.admin.Status(ctx); return err == nil && sts.Voting })
	_, err := ben.admin.Apply(ctx, tables(), 0)
	assert.NilError(ben.t, err)
	for _, team := range []string{"one", "two"} {
		rsp, err := ben.admin.Grant(ctx, team, team)
		assert.NilError(ben.t, err)
		ben.keys[team] = rsp.Key
	}
	ben.await(func() bool { cfg, err := ben.admin.Config(ctx); return err == nil && len(cfg.VMs) == 2 })
}

func (ben *bench) await(holds func() bool) {
	ben.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	ben.t.Fatal("waited too long")
}

// call makes a caller's request and returns a line that says what it was told.
func (ben *bench) call(method, path, keyName, body, work string, header ...string) string {
	ben.t.Helper()
	req, err := http.NewRequest(method, "http://"+ben.runner.CallersListener.Addr().String()+path, strings.NewReader(body))
	assert.NilError(ben.t, err)
	if secret := ben.keys[keyName]; secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	req.Header.Set(executor.HeaderWork, work)
	req.Header.Set(executor.HeaderRunID, path)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	rsp, err := http.DefaultClient.Do(req)
	assert.NilError(ben.t, err)
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	assert.NilError(ben.t, err)
	var ref outcome.Refusal
	_ = json.Unmarshal(data, &ref)
	return fmt.Sprintf("%d %s %s", rsp.StatusCode, rsp.Header.Get(outcome.Header), ref.Code)
}

// TestAnswers causes each answer of docs/operators/answers.md that one entry can
// give, and compares them with the golden table.
func TestAnswers(t *testing.T) {
	ben := newBench(t)
	var lines []string
	add := func(name, got string) { lines = append(lines, fmt.Sprintf("%-24s %s", name, got)) }
	add("answered", ben.call("POST", "/any/a", "one", "x", "1ms"))
	add("open to all", ben.call("GET", "/open/a", "none", "", "1ms"))
	add("accepted", ben.call("POST", "/v1/queues/notes/tasks", "one", "1ms", ""))
	add("invalid timeout", ben.call("POST", "/any/a", "one", "x", "", "Balsamgauge-Timeout", "soon"))
	add("no key", ben.call("POST", "/any/no-key", "none", "x", ""))
	add("wrong key", ben.call("POST", "/any/wrong-key", "wrong", "x", ""))
	add("wrong team", ben.call("POST", "/one/wrong-team", "two", "x", ""))
	add("unknown route", ben.call("POST", "/nowhere", "one", "x", ""))
	add("unknown queue", ben.call("POST", "/v1/queues/nowhere/tasks", "one", "x", ""))
	add("unknown task", ben.call("GET", "/v1/tasks/nothing", "one", "", ""))
	add("body too large", ben.call("POST", "/any/large", "one", strings.Repeat("x", 101), ""))
	add("payload too large", ben.call("POST", "/v1/queues/notes/tasks", "one", strings.Repeat("x", 101), ""))
	add("key used twice, first", ben.call("POST", "/any/twice", "one", "x", "1ms", "Idempotency-Key", "k"))
	add("key used twice, again", ben.call("POST", "/any/twice", "one", "x", "1ms", "Idempotency-Key", "k"))
	add("deadline passed", ben.call("POST", "/empty/late", "one", "x", ""))
	add("pool full", ben.poolFull())
	add("over limit", ben.overLimit())
	add("upstream lost", ben.withFault(executor.FaultCloseAfter, "/any/lost"))
	add("upstream truncates", ben.withFault(executor.FaultTruncate, "/any/cut"))
	ben.killExecutors()
	add("upstream failed", ben.call("POST", "/any/failed", "one", "x", ""))
	ben.fleet.Store.SetDown(true)
	add("store down", ben.call("POST", "/v1/queues/notes/tasks", "one", "1ms", ""))
	golden.Assert(t, strings.Join(lines, "\n")+"\n", "answers.golden")
	for _, run := range ben.fleet.Runs.Runs() {
		for _, refused := range []string{"no-key", "wrong-key", "wrong-team", "large", "late", "full", "over", "failed"} {
			assert.Assert(t, !strings.HasSuffix(run.RunID, "/"+refused), "%s was refused, and ran", run.RunID)
		}
	}
}

// poolFull lets one request wait for the empty pool, and sends another.
func (ben *bench) poolFull() string {
	waiting := make(chan string, 1)
	go func() { waiting <- ben.call("POST", "/empty/first", "one", "x", "") }()
	ben.await(func() bool {
		sts, err := ben.admin.Status(context.Background())
		return err == nil && sts.Pools[1].Waiting == 1
	})
	got := ben.call("POST", "/empty/full", "one", "x", "")
	<-waiting
	return got
}

// overLimit lets a request use the team's only permit, and sends another.
func (ben *bench) overLimit() string {
	running := make(chan string, 1)
	go func() { running <- ben.call("POST", "/any/long", "two", "x", "600ms") }()
	ben.await(func() bool {
		sts, err := ben.admin.Status(context.Background())
		return err == nil && sts.Teams[1].Running == 1
	})
	got := ben.call("POST", "/brief/over", "two", "x", "1ms")
	<-running
	return got
}

func (ben *bench) withFault(fault executor.Fault, path string) string {
	for _, exe := range ben.fleet.Executors {
		exe.SetFault(fault)
		defer exe.SetFault(executor.FaultNone)
	}
	return ben.call("POST", path, "one", "x", "1ms")
}

func (ben *bench) killExecutors() {
	for _, exe := range ben.fleet.Executors {
		exe.Kill()
	}
}

func TestAdminNeedsTheCredential(t *testing.T) {
	ben := newBench(t)
	stranger := adminclient.New(ben.runner.AdminListener.Addr().String(), "guess")
	_, err := stranger.Status(context.Background())
	assert.ErrorContains(t, err, "unauthorized")
	_, err = stranger.Withdraw(context.Background(), "one")
	assert.ErrorContains(t, err, "unauthorized")
}

// TestNoKeyIsKeptOrTold looks for a granted key in all that the store holds and
// in the time line.
func TestNoKeyIsKeptOrTold(t *testing.T) {
	ben := newBench(t)
	ben.call("POST", "/any/a", "one", "x", "1ms")
	evts, err := ben.admin.Timeline(context.Background())
	assert.NilError(t, err)
	told, err := json.Marshal(evts)
	assert.NilError(t, err)
	for _, text := range append(ben.fleet.Store.Dump(), string(told)) {
		for _, team := range []string{"one", "two"} {
			assert.Assert(t, !strings.Contains(text, ben.keys[team]))
		}
	}
}
