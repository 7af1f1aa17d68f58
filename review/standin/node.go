package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"github.com/balsamgauge/balsamgauge/platform"
)

// node is a process of `balsamgauge manage`, started as deploy/system.toml says.
type node struct {
	name  string
	front string
	ready string
	// link is its way to the store.
	link *storeLink
	cmd  *exec.Cmd
}

// newNode writes the settings of a process and starts it.
func newNode(wld *world, program string, index int) (nod *node, err error) {
	var ports [3]int
	for i := range ports {
		if ports[i], err = site.FreePort(); err != nil {
			return nil, err
		}
	}
	nod = &node{name: fmt.Sprintf("frontend-%d", index), front: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1])}
	nod.link = &storeLink{wld: wld, name: nod.name}
	store, err := listen(nod.link)
	if err != nil {
		return nil, err
	}
	text := site.Process{
		Name: nod.name, Callers: nod.front, Ready: nod.ready, Port: ports[2], Store: store, Machines: wld.cloud.address, Advisor: wld.advisor,
		Grace: 6 * time.Second, Revoke: 5 * time.Second,
	}.Settings()
	path := wld.path(nod.name + ".toml")
	if err = os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var log *os.File
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		if log, err = os.Create(dir + "/" + nod.name + ".log"); err != nil {
			return nil, err
		}
	}
	nod.cmd = exec.Command(program, "manage")
	nod.cmd.Env = []string{platform.SettingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + wld.dir}
	nod.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if log != nil {
		nod.cmd.Stdout, nod.cmd.Stderr = log, log
	}
	if err = nod.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", nod.name, err)
	}
	return nod, nil
}

// isReady asks as the balancer does.
func (nod *node) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	rsp, err := client.Get("http://" + nod.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// kill ends the process.
func (nod *node) kill() {
	_ = nod.cmd.Process.Kill()
	_ = nod.cmd.Wait()
}
