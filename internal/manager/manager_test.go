package manager

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"github.com/balsamgauge/balsamgauge/platform"
	"gotest.tools/v3/assert"
)

// rig is a stand-in of the platform with processes of ours.
type rig struct {
	t     *testing.T
	sit   *site.Site
	nodes []*process
}

type process struct {
	callers string
	ready   string
	// settings is the path of its settings file.
	settings string
	nod      *Node
	stop     context.CancelFunc
	done     chan error
}

func freeAddress(t *testing.T) string {
	port, err := site.FreePort()
	assert.NilError(t, err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

func newRig(t *testing.T, nodes, workers int, work time.Duration) *rig {
	return newRigAt(t, nodes, site.Options{Pool: "lots", Workers: workers, Work: work}, testConfig(1, "k1"))
}

// newRigAt starts processes at a stand-in with a configuration.
func newRigAt(t *testing.T, nodes int, opt site.Options, config site.Config) *rig {
	sit, err := site.Start(opt)
	assert.NilError(t, err)
	t.Cleanup(sit.Stop)
	sit.Configure(config)
	rg := &rig{t: t, sit: sit}
	for i := range nodes {
		rg.nodes = append(rg.nodes, rg.startNode(fmt.Sprintf("entry-%d", i)))
	}
	t.Cleanup(func() {
		for _, pro := range rg.nodes {
			pro.stop()
			assert.NilError(t, <-pro.done)
		}
	})
	for _, pro := range rg.nodes {
		rg.await("ready", func() bool { return rg.status(http.MethodGet, "http://"+pro.ready+"/readyz", "", "") == http.StatusOK })
	}
	return rg
}

// testConfig has one queue with a key and one open to all.
func testConfig(version int, key string) site.Config {
	return site.Config{
		Version: version, Pools: []site.Pool{{Name: "lots"}}, GuardsRoom: true,
		Queues: []site.Queue{
			{Name: "gate", Prefix: "/gate/", Pool: "lots", Attempts: 4}, {Name: "open", Prefix: "/open/", Pool: "lots", Attempts: 4, Public: true},
		},
		Accounts: []site.Account{{Name: "city", Keys: []string{key}, Weight: 1}},
	}
}

func (rg *rig) startNode(name string) *process {
	t := rg.t
	pro := &process{callers: freeAddress(t), ready: freeAddress(t), done: make(chan error, 1)}
	_, port, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "node.toml")
	number, err := strconv.Atoi(port)
	assert.NilError(t, err)
	text := site.Process{
		Name: name, Callers: pro.callers, Ready: pro.ready, Port: number, Store: rg.sit.StoreAddress, Machines: rg.sit.MachinesAddress,
		Advisor: rg.sit.AdvisorAddress, Grace: 2 * time.Second, Revoke: 5 * time.Second,
	}.Settings()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	set, err := platform.LoadSettings(path)
	assert.NilError(t, err)
	nod, err := New(set, io.Discard)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	pro.stop, pro.settings, pro.nod = stop, path, nod
	go func() { pro.done <- nod.Run(ctx) }()
	return pro
}

const awaitLimit = 15 * time.Second

func (rg *rig) await(what string, holds func() bool) {
	rg.t.Helper()
	for end := time.Now().Add(awaitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	rg.t.Fatalf("%s did not come about within %s", what, awaitLimit)
}

func (rg *rig) call(method, url, key, body string) (status int, text string) {
	rg.t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(rg.t, err)
	req.Host = site.Host
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	assert.NilError(rg.t, err)
	return rsp.StatusCode, strings.TrimSpace(string(raw))
}

func (rg *rig) status(method, url, key, body string) int {
	status, _ := rg.call(method, url, key, body)
	return status
}

// jobBody is a job of two steps of two tasks each.
var jobBody = site.JobBody("x", []site.Step{
	{Count: 2, CPU: 500, Estimate: 100 * time.Millisecond}, {Count: 2, CPU: 500, Estimate: 100 * time.Millisecond, After: []int{0}},
})

func (rg *rig) jobURL(node int, prefix string, num int) string {
	return fmt.Sprintf("http://%s%s%016x", rg.nodes[node].callers, prefix, num)
}

// TestJobsRunToTheirEnd hands jobs in at every process and asks for them at
// others.
func TestJobsRunToTheirEnd(t *testing.T) {
	rg := newRig(t, 3, 3, 60*time.Millisecond)
	for i := range 30 {
		assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(i%3, "/gate/", i), "k1", jobBody), http.StatusOK)
	}
	for i := range 30 {
		rg.await(fmt.Sprintf("end of job %d", i), func() bool {
			status, text := rg.call(http.MethodGet, rg.jobURL((i+1)%3, "/gate/", i), "k1", "")
			return status == http.StatusOK && text == `{"state":"completed"}`
		})
	}
	assert.Equal(t, rg.sit.Done(), 30*4)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", 3), "k1", jobBody), http.StatusOK)
	assert.Equal(t, rg.status(http.MethodGet, rg.jobURL(0, "/gate/", 99), "k1", ""), http.StatusGone)
	assert.Equal(t, rg.sit.Started(fmt.Sprintf("%016x", 3)), 4)
	assert.DeepEqual(t, rg.sit.Faults(), []string(nil))
}

// TestCallsThatAreNotAllowed get a true refusal, and nothing is stored.
func TestCallsThatAreNotAllowed(t *testing.T) {
	rg := newRig(t, 1, 1, 20*time.Millisecond)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", 1), "", jobBody), http.StatusUnauthorized)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", 1), "other", jobBody), http.StatusUnauthorized)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/none/", 1), "k1", jobBody), http.StatusNotFound)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", 1), "k1", "{"), http.StatusBadRequest)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", 1), "k1", `{"spec":"x","steps":[]}`), http.StatusBadRequest)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/open/", 2), "", jobBody), http.StatusOK)
	assert.Equal(t, rg.status(http.MethodGet, rg.jobURL(0, "/gate/", 2), "k1", ""), http.StatusGone)
	assert.Equal(t, string(rg.sit.Store.Value("live/0000000000000001")), "")
}

// TestKeyIsWithdrawn stops a key that a new version no longer has.
func TestKeyIsWithdrawn(t *testing.T) {
	rg := newRig(t, 2, 1, 20*time.Millisecond)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", 1), "k1", jobBody), http.StatusOK)
	rg.sit.Configure(testConfig(4, "k2"))
	// A submission is conditional on the newest configuration, so that the old
	// key fails at once, whatever a process has heard.
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(1, "/gate/", 2), "k1", jobBody) != http.StatusOK, true)
	rg.await("new key", func() bool {
		return rg.status(http.MethodPost, rg.jobURL(1, "/gate/", 3), "k2", jobBody) == http.StatusOK
	})
}

// TestCancel stops a job's tasks and tells its state.
func TestCancel(t *testing.T) {
	rg := newRig(t, 2, 1, time.Hour)
	url := rg.jobURL(0, "/gate/", 1)
	assert.Equal(t, rg.status(http.MethodPost, url, "k1", jobBody), http.StatusOK)
	rg.await("start", func() bool { return rg.sit.Started("0000000000000001") == 2 })
	assert.Equal(t, rg.status(http.MethodDelete, rg.jobURL(1, "/gate/", 1), "k1", ""), http.StatusOK)
	_, text := rg.call(http.MethodGet, url, "k1", "")
	assert.Equal(t, text, `{"state":"cancelled"}`)
	rg.await("record", func() bool { return rg.sit.Store.Value("ended/0000000000000001") != nil })
	_, text = rg.call(http.MethodGet, url, "k1", "")
	assert.Equal(t, text, `{"state":"cancelled"}`)
	assert.Equal(t, rg.status(http.MethodDelete, rg.jobURL(0, "/gate/", 77), "k1", ""), http.StatusGone)
}

// TestDispatcherLeaves shuts each process down in turn while jobs run. Another
// one goes on; nothing runs twice and nothing is lost.
func TestDispatcherLeaves(t *testing.T) {
	rg := newRig(t, 3, 3, 150*time.Millisecond)
	for i := range 3 {
		for j := range 8 {
			assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(i, "/gate/", i*8+j), "k1", jobBody), http.StatusOK)
		}
		rg.nodes[i].stop()
		assert.NilError(t, <-rg.nodes[i].done)
		rg.nodes[i] = rg.startNode(fmt.Sprintf("again-%d", i))
		rg.await("ready", func() bool {
			return rg.status(http.MethodGet, "http://"+rg.nodes[i].ready+"/readyz", "", "") == http.StatusOK
		})
	}
	for i := range 24 {
		rg.await(fmt.Sprintf("end of job %d", i), func() bool {
			_, text := rg.call(http.MethodGet, rg.jobURL(0, "/gate/", i), "k1", "")
			return text == `{"state":"completed"}`
		})
	}
	assert.DeepEqual(t, rg.sit.Faults(), []string(nil))
}

// TestStoreMisbehaves loses answers of writes, drops the history and refuses
// calls for a while.
func TestStoreMisbehaves(t *testing.T) {
	rg := newRig(t, 2, 2, 50*time.Millisecond)
	accepted := 0
	for i := range 12 {
		switch i {
		case 3:
			rg.sit.Store.LoseAnswers(2)
		case 6:
			rg.sit.Store.Compact()
		case 9:
			rg.sit.Store.SetDown(true)
			assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", 100), "k1", jobBody), http.StatusServiceUnavailable)
			time.Sleep(500 * time.Millisecond)
			rg.sit.Store.SetDown(false)
		}
		rg.await("acceptance", func() bool {
			return rg.status(http.MethodPost, rg.jobURL(i%2, "/gate/", i), "k1", jobBody) == http.StatusOK
		})
		accepted++
	}
	for i := range accepted {
		rg.await(fmt.Sprintf("end of job %d", i), func() bool {
			_, text := rg.call(http.MethodGet, rg.jobURL(0, "/gate/", i), "k1", "")
			return text == `{"state":"completed"}`
		})
	}
	assert.Equal(t, rg.sit.Started(fmt.Sprintf("%016x", 100)), 0)
	assert.DeepEqual(t, rg.sit.Faults(), []string(nil))
}

// TestSilentVM leaves a VM without answers. Its tasks go elsewhere once its
// lease has surely ended.
func TestSilentVM(t *testing.T) {
	rg := newRig(t, 1, 2, 400*time.Millisecond)
	for i := range 4 {
		assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", i), "k1", jobBody), http.StatusOK)
	}
	rg.await("start", func() bool { return rg.sit.Started(fmt.Sprintf("%016x", 0)) > 0 })
	rg.sit.Workers[0].SetSilent(true)
	for i := range 4 {
		rg.await(fmt.Sprintf("end of job %d", i), func() bool {
			_, text := rg.call(http.MethodGet, rg.jobURL(0, "/gate/", i), "k1", "")
			return text == `{"state":"completed"}`
		})
	}
	rg.sit.Workers[0].SetSilent(false)
	assert.DeepEqual(t, rg.sit.Faults(), []string(nil))
}

// TestAdviceByAllEntries has a queue whose steps may start only with tickets. All
// entries ask for them, since the advisor answers each in turn.
func TestAdviceByAllEntries(t *testing.T) {
	config := testConfig(1, "k1")
	config.Queues[0].Advice = 300 * time.Millisecond
	rg := newRigAt(t, 3, site.Options{Pool: "lots", Workers: 3, Work: 50 * time.Millisecond, Advice: 300 * time.Millisecond}, config)
	rg.await("registrations", func() bool {
		return rg.sit.Store.Value("asker/entry-0") != nil && rg.sit.Store.Value("asker/entry-1") != nil && rg.sit.Store.Value("asker/entry-2") != nil
	})
	for i := range 18 {
		assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(i%3, "/gate/", i), "k1", jobBody), http.StatusOK)
	}
	for i := range 18 {
		rg.await(fmt.Sprintf("end of job %d", i), func() bool {
			_, text := rg.call(http.MethodGet, rg.jobURL(0, "/gate/", i), "k1", "")
			return text == `{"state":"completed"}`
		})
	}
	assert.Assert(t, rg.sit.Advisor.Callers() >= 3, "%d entries asked", rg.sit.Advisor.Callers())
	assert.DeepEqual(t, rg.sit.Faults(), []string(nil))
}

// TestSettingsAreReloaded changes the settings file and sends SIGHUP. The process
// goes on with the new bounds, and with the old ones while the file has faults.
func TestSettingsAreReloaded(t *testing.T) {
	rg := newRig(t, 1, 1, 20*time.Millisecond)
	pro := rg.nodes[0]
	text, err := os.ReadFile(pro.settings)
	assert.NilError(t, err)
	changed := strings.Replace(string(text), "revoke-ms = 5000", "revoke-ms = 4000", 1)
	assert.NilError(t, os.WriteFile(pro.settings, []byte(changed), 0o600))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	rg.await("new bound", func() bool { return pro.nod.settings().Bounds.KeyRevocation == 4*time.Second })
	assert.NilError(t, os.WriteFile(pro.settings, []byte("node-name = 7"), 0o600))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, pro.nod.settings().Bounds.KeyRevocation, 4*time.Second)
	assert.Equal(t, rg.status(http.MethodPost, rg.jobURL(0, "/gate/", 1), "k1", jobBody), http.StatusOK)
}
