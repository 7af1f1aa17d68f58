package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"gotest.tools/v3/assert"
)

const credential = "a test's credential"

// program is the built binary with the directory for its files.
type program struct {
	t    *testing.T
	path string
	dir  string
}

// build compiles the program.
func build(t *testing.T) program {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "balsamgauge")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program{t: t, path: path, dir: dir}
}

// start starts a process that is killed at the end of the test.
func (prg program) start(args ...string) *exec.Cmd {
	prg.t.Helper()
	cmd := exec.Command(prg.path, args...)
	logFile, err := os.Create(filepath.Join(prg.dir, fmt.Sprintf("log-%d", time.Now().UnixNano())))
	assert.NilError(prg.t, err)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	assert.NilError(prg.t, cmd.Start())
	prg.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if prg.t.Failed() {
			text, _ := os.ReadFile(logFile.Name())
			prg.t.Logf("%v:\n%s", args, text)
		}
	})
	return cmd
}

// run runs a command and returns what it printed and its exit code.
func (prg program) run(args ...string) (out string, exit int) {
	prg.t.Helper()
	cmd := exec.Command(prg.path, args...)
	cmd.Env = append(os.Environ(), "BALSAMGAUGE_OPERATOR_KEY="+credential)
	text, err := cmd.CombinedOutput()
	if err != nil {
		exit = cmd.ProcessState.ExitCode()
	}
	return string(text), exit
}

// eventually repeats a command until its output contains a text.
func (prg program) eventually(text string, args ...string) string {
	prg.t.Helper()
	var out string
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		out, _ = prg.run(args...)
		if strings.Contains(out, text) {
			return out
		}
	}
	prg.t.Fatalf("output of %v does not contain %q after 20 s:\n%s", args, text, out)
	return ""
}

// freePorts returns loopback addresses with free ports.
func freePorts(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		port, err := site.FreePort()
		assert.NilError(t, err)
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", port))
	}
	return addresses
}

const routes = `
[[team]]
name = "dispatch"
share = 1
limit = 8

[[route]]
name = "plan"
kind = "request"
path = "/plan/"
pool = "planning"
urgency = "urgent"
repeatable = true
deadline = "3s"

[[route]]
name = "note"
kind = "task"
pool = "notes"
urgency = "normal"
deadline = "1m"
`

const pools = `
[[pool]]
name = "planning"
service = "executor"
budget = 1
max_waiting = 100
vms = { az-1 = 1, az-2 = 1 }

[[pool]]
name = "notes"
service = "worker"
budget = 1
max_waiting = 100
vms = { az-1 = 1, az-2 = 1 }
`

// call sends a request with a key and returns the status and the body of the
// response.
func call(t *testing.T, method, address, secret, body string) (status int, text string) {
	t.Helper()
	req, err := http.NewRequest(method, address, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+secret)
	client := http.Client{Timeout: 10 * time.Second}
	rsp, err := client.Do(req)
	assert.NilError(t, err)
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	assert.NilError(t, err)
	return rsp.StatusCode, string(data)
}

// TestThreeProcesses sends requests and tasks through three entries in separate
// processes, and shuts one of them down. It guards against a task that is lost
// with the entry that accepted it, and against a withdrawn key that still works.
func TestThreeProcesses(t *testing.T) {
	prg := build(t)
	write := func(name, text string) string {
		path := filepath.Join(prg.dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	routesPath, poolsPath := write("routes.toml", routes), write("pools.toml", pools)
	ports := freePorts(t, 11)
	prg.start("standin", "--pools", poolsPath, "--store", ports[9], "--vm-list", ports[10], "--lag", "100ms")
	var entries []*exec.Cmd
	var admins, callers []string
	for i := range 3 {
		text := fmt.Sprintf("name = \"e%d\"\nregion = \"r\"\naz = \"az-%d\"\ncallers = %q\npeer_listener = %q\nadmin = %q\npeers = [%q, %q]\nstore = \"http://%s\"\nvm_list = \"http://%s/vms\"\noperator_key_hash = %q\nmax_entries = 3\n",
			i+1, i%2+1, ports[i], ports[3+i], ports[6+i], ports[3+(i+1)%3], ports[3+(i+2)%3], ports[9], ports[10], key.Hash(credential))
		entries = append(entries, prg.start("serve", "--settings", write(fmt.Sprintf("e%d.toml", i+1), text)))
		callers, admins = append(callers, "http://"+ports[i]), append(admins, ports[6+i])
	}
	for _, admin := range admins {
		prg.eventually("fresh true, voting true", "status", "--admin", admin)
	}
	out, exit := prg.run("apply", "--admin", admins[0], "--routes", routesPath, "--pools", poolsPath)
	assert.Equal(t, exit, 0, out)
	out, exit = prg.run("--format", "json", "grant", "--admin", admins[1], "app", "dispatch")
	assert.Equal(t, exit, 0, out)
	var granted struct{ Key string }
	assert.NilError(t, json.Unmarshal([]byte(out), &granted))
	prg.eventually(`"usable_vms": 2`, "--format", "json", "status", "--admin", admins[2])

	for _, address := range callers {
		status, text := call(t, http.MethodPost, address+"/plan/x", granted.Key, "body")
		assert.Equal(t, status, http.StatusOK, text)
		assert.Assert(t, strings.HasSuffix(text, "body"), text)
	}
	status, text := call(t, http.MethodPost, callers[0]+"/v1/queues/note/tasks", granted.Key, "20ms")
	assert.Equal(t, status, http.StatusAccepted, text)
	var accepted struct{ ID string }
	assert.NilError(t, json.Unmarshal([]byte(text), &accepted))
	awaitTask(t, callers[2], granted.Key, accepted.ID)

	// The first entry shuts down gracefully, and another one adopts its tasks.
	assert.NilError(t, entries[0].Process.Signal(syscall.SIGTERM))
	assert.NilError(t, entries[0].Wait())
	prg.eventually("log_adopted", "timeline", "--admin", admins[1], "--admin", admins[2])
	awaitTask(t, callers[1], granted.Key, accepted.ID)

	out, exit = prg.run("withdraw", "--admin", admins[1], "app")
	assert.Equal(t, exit, 0, out)
	status, _ = call(t, http.MethodPost, callers[2]+"/plan/x", granted.Key, "")
	assert.Equal(t, status, http.StatusUnauthorized)
	out, exit = prg.run("withdraw", "--admin", admins[1], "app")
	assert.Equal(t, exit, 1, out)
	_, exit = prg.run("status", "--admin", "127.0.0.1:1")
	assert.Equal(t, exit, 3)
}

// awaitTask polls a task until it is done.
func awaitTask(t *testing.T, address, secret, id string) {
	t.Helper()
	var text string
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		_, text = call(t, http.MethodGet, address+"/v1/tasks/"+id, secret, "")
		if bytes.Contains([]byte(text), []byte(`"state":"done"`)) {
			return
		}
	}
	t.Fatalf("task %s is not done after 20 s: %s", id, text)
}
