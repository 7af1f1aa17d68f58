package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"github.com/balsamgauge/balsamgauge/platform"
)

// Figures of the deployments in SYSTEM.md.
const (
	grace        = 6 * time.Second
	revoke       = 5 * time.Second
	leaseTime    = 3 * time.Second
	callDeadline = 3 * time.Second
	maxAttempts  = 4
)

// binary is the program as the deploy file builds it, from the root of the repository.
const binary = "target/balsamgauge"

// tenantKey is the API key of the only tenant.
const tenantKey = "key-of-team"

// scene holds the platform, the processes and the record of a case.
type scene struct {
	trouble bool
	dir     string
	sit     *site.Site
	client  *http.Client

	mu    sync.Mutex
	out   *os.File
	begin time.Time
	nodes []*node
	// onStart is called when a VM has started a run; nil if nobody listens.
	onStart func(vm, task string, run int)
	// onEnd is called when a run has ended; nil if nobody listens.
	onEnd func(vm, task string, run int, outcome string)
	// onAck is called when the end of a run was acknowledged; nil if nobody listens.
	onAck func(task, outcome string)
}

func newScene(folder string, trouble bool) (sce *scene, err error) {
	sce = &scene{trouble: trouble, begin: time.Now(), client: &http.Client{Timeout: callDeadline}}
	if sce.out, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if sce.dir, err = os.MkdirTemp("", "stand3-"); err != nil {
		return nil, errors.Join(err, sce.out.Close())
	}
	sce.note("case %s, disruption %v", filepath.Base(folder), trouble)
	return sce, nil
}

// note writes a line to the record and to standard output.
func (sce *scene) note(format string, args ...any) {
	sce.mu.Lock()
	defer sce.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(sce.begin).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	// The record is checked by its reader.
	_, _ = sce.out.WriteString(line)
}

// close ends all that the case has started.
func (sce *scene) close() {
	for _, nod := range sce.nodes {
		nod.kill()
	}
	if sce.sit != nil {
		sce.sit.Stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(sce.dir)
	}
	sce.mu.Lock()
	defer sce.mu.Unlock()
	_ = sce.out.Close()
}

// Started notes a run that has started.
func (sce *scene) Started(vm, pool, _, task string, run int, _ string) {
	if !strings.HasPrefix(task, "e0") {
		sce.note("%s of %s starts run %d of %s", vm, pool, run, task)
	}
	if sce.onStart != nil {
		sce.onStart(vm, task, run)
	}
}

// Ended notes a run that has ended.
func (sce *scene) Ended(vm, task string, run int, outcome string) {
	if !strings.HasPrefix(task, "e0") {
		sce.note("%s ends run %d of %s: %s", vm, run, task, outcome)
	}
	if sce.onEnd != nil {
		sce.onEnd(vm, task, run, outcome)
	}
}

// Acknowledged passes on that the end of a run was acknowledged.
func (sce *scene) Acknowledged(_, task string, _ int, outcome string) {
	if sce.onAck != nil {
		sce.onAck(task, outcome)
	}
}

// Violation notes what the stand-in finds. The cases judge by their own rule.
func (sce *scene) Violation(text string) { sce.note("stand-in: %s", text) }

// node is a process of the program.
type node struct {
	sce   *scene
	name  string
	front string
	ready string
	path  string
	cmd   *exec.Cmd
	done  chan struct{}
}

// addNode prepares a process that may use a number of cores.
func (sce *scene) addNode(name string, cores float64, store, machines string) (nod *node, err error) {
	var ports [3]int
	for i := range ports {
		if ports[i], err = site.FreePort(); err != nil {
			return nil, err
		}
	}
	nod = &node{sce: sce, name: name, path: filepath.Join(sce.dir, name+".toml")}
	nod.front, nod.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	text := site.Process{
		Name: name, Callers: nod.front, Ready: nod.ready, Port: ports[2], Store: store, Machines: machines, Grace: grace, Revoke: revoke,
	}.Settings() + fmt.Sprintf("config-apply-ms = 2000\nstatus_s = 120\n[limits]\ncpu-share = %g\ncores = 1\nmemory-mb = 284\n[fault-tolerance]\nmachines = 2\nzones = 1\n", cores)
	sce.nodes = append(sce.nodes, nod)
	return nod, os.WriteFile(nod.path, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (nod *node) start() (err error) {
	log, err := os.OpenFile(filepath.Join(nod.sce.dir, nod.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, "manage")
	cmd.Env = []string{platform.SettingsVariable + "=" + nod.path, "PATH=" + os.Getenv("PATH"), "HOME=" + nod.sce.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan struct{})
	nod.cmd, nod.done = cmd, done
	nod.sce.note("process %s starts", nod.name)
	go func() {
		// The end is noted; its cause is a signal of the case.
		_ = cmd.Wait()
		_ = log.Close()
		nod.sce.note("process %s has ended: %s", nod.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

// kill sends SIGKILL and waits for the end of the process.
func (nod *node) kill() {
	if nod.cmd == nil {
		return
	}
	_ = nod.cmd.Process.Kill()
	<-nod.done
}

// awaitReady waits until the process answers the health check with 200.
func (nod *node) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		rsp, err := nod.sce.client.Get("http://" + nod.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = rsp.Body.Close()
		if rsp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("process %s is not ready", nod.name)
}

// call makes a client's call and returns the status and the body, or 0 without an answer.
func (sce *scene) call(nod *node, method, path, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+nod.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = site.Host
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callDeadline.Milliseconds()))
	rsp, err := sce.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = rsp.Body.Close() }()
	raw, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return rsp.StatusCode, strings.TrimSpace(string(raw))
}

// submit submits a job until it is accepted, and notes the answers.
func (sce *scene) submit(nod *node, path, body string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		status, answer := sce.call(nod, http.MethodPost, path, body)
		sce.note("client: POST %s to %s -> %d %s", path, nod.name, status, answer)
		if status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// state asks for the state of a job; empty without a 200.
func (sce *scene) state(nod *node, path string) (state string) {
	status, answer := sce.call(nod, http.MethodGet, path, "")
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(answer), &body) != nil {
		return ""
	}
	return body.State
}

// awaitAnyHolder waits until a process whose name begins so holds the duty. The record of the
// holder contains its name.
func (sce *scene) awaitAnyHolder(name string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if strings.Contains(string(sce.sit.Store.Value("duty/holder")), name) {
			sce.note("a process %s holds the duty", name)
			return nil
		}
	}
	return fmt.Errorf("no process %s holds the duty", name)
}

// worker returns the machine that runs a VM; nil if there is none.
func (sce *scene) worker(vm string) *site.Worker {
	for _, wor := range sce.sit.Workers {
		if id, _, ok := wor.RunningVM(); ok && id == vm {
			return wor
		}
	}
	return nil
}

// startNodes starts processes of equal size, and waits until they are ready.
func (sce *scene) startNodes(count int) (nodes []*node, err error) {
	for i := range count {
		nod, err := sce.addNode("frontend-"+string(rune('a'+i)), 0.4, sce.sit.StoreAddress, sce.sit.MachinesAddress)
		if err != nil {
			return nil, err
		}
		if err := nod.start(); err != nil {
			return nil, err
		}
		nodes = append(nodes, nod)
	}
	for _, nod := range nodes {
		if err := nod.awaitReady(); err != nil {
			return nil, err
		}
	}
	// The system starts 10 s before its traffic.
	time.Sleep(5 * time.Second)
	return nodes, nil
}
