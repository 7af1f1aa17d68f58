package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
	"github.com/balsamgauge/balsamgauge/internal/soak/proxy"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"github.com/balsamgauge/balsamgauge/platform"
)

// gracePeriod is the time between SIGTERM and SIGKILL on the platform.
const gracePeriod = 6 * time.Second

// node is one process of the program, with the proxy to its store.
type node struct {
	name   string
	binary string
	dir    string
	// callersAddress and readyAddress are the listen addresses for callers and for
	// readiness checks.
	callersAddress string
	readyAddress   string
	store          *proxy.Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
	// down is set while the process is paused, or stopped for a restart.
	down bool
	// disruptedUntil is the time until which connections of callers to the
	// process may end without a reply.
	disruptedUntil time.Time
	// starts counts the starts of the process and numbers its log files.
	starts int
	// mayEnd is set once the process was sent a signal that ends it.
	mayEnd bool
	// endedItself is called if the process ends without such a signal. It may be nil.
	endedItself func(state string)
}

// newNode opens the proxy to the store and writes the settings file of a process.
func newNode(name, binary, dir string, sit *site.Site) (nod *node, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("prepare process %s: %w", name, err)
		}
	}()
	nod = &node{name: name, binary: binary, dir: dir}
	if nod.store, err = proxy.New(sit.StoreAddress); err != nil {
		return nil, err
	}
	var ports [3]int
	for i := range ports {
		if ports[i], err = site.FreePort(); err != nil {
			return nil, err
		}
	}
	nod.callersAddress, nod.readyAddress = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	text := site.Process{
		Name: name, Callers: nod.callersAddress, Ready: nod.readyAddress, Port: ports[2], Store: nod.store.Address(), Machines: sit.MachinesAddress,
		Grace: gracePeriod, Revoke: ledger.PlatformBounds.Revoke, LongestLease: sit.LongestLease(),
	}.Settings()
	return nod, os.WriteFile(nod.settingsPath(), []byte(text), 0o600)
}

func (nod *node) settingsPath() string { return filepath.Join(nod.dir, nod.name+".toml") }

// start starts the process. Each start writes to a log file of its own.
func (nod *node) start() (err error) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.starts++
	out, err := os.Create(nod.outputPath())
	if err != nil {
		return err
	}
	cmd := exec.Command(nod.binary, "manage")
	cmd.Env = []string{platform.SettingsVariable + "=" + nod.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + nod.dir}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start process %s: %w", nod.name, err), out.Close())
	}
	done := make(chan struct{})
	nod.cmd, nod.done, nod.mayEnd = cmd, done, false
	go func() {
		// The callers of signal read the exit status from the process state.
		_ = cmd.Wait()
		_ = out.Close()
		nod.mu.Lock()
		itself := !nod.mayEnd && nod.endedItself != nil
		nod.mu.Unlock()
		close(done)
		if itself {
			nod.endedItself(cmd.ProcessState.String())
		}
	}()
	return nil
}

// signal sends a signal to the process. It returns the command and a channel that
// is closed when the process has ended.
func (nod *node) signal(sig syscall.Signal) (cmd *exec.Cmd, done <-chan struct{}) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.mayEnd = nod.mayEnd || sig == syscall.SIGTERM || sig == syscall.SIGKILL
	// If the process has already ended, done is closed.
	_ = nod.cmd.Process.Signal(sig)
	return nod.cmd, nod.done
}

// markDisrupted extends the time until which connections of callers may end
// without a reply.
func (nod *node) markDisrupted(until time.Time) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	if until.After(nod.disruptedUntil) {
		nod.disruptedUntil = until
	}
}

// disruptedAt reports whether connections of callers may end without a reply at a
// given time.
func (nod *node) disruptedAt(now time.Time) bool {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return now.Before(nod.disruptedUntil)
}

// setDown sets whether the process is down, and reports whether that changed.
func (nod *node) setDown(down bool) bool {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	changed := nod.down != down
	nod.down = down
	return changed
}

// terminate shuts the process down gracefully. It returns the violation if the
// process exceeds the grace period or its exit status is not 0.
func (nod *node) terminate() (violation string) { return nod.terminateWithin(gracePeriod) }

// terminateWithin is terminate with another time limit.
func (nod *node) terminateWithin(limit time.Duration) (violation string) {
	cmd, done := nod.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(limit):
		nod.signal(syscall.SIGKILL)
		<-done
		return fmt.Sprintf("process %s has not ended %v after SIGTERM", nod.name, limit)
	}
	if cmd.ProcessState.Success() || nod.outputEmpty() && cmd.ProcessState.ExitCode() < 0 {
		return ""
	}
	return fmt.Sprintf("process %s ended with %v after SIGTERM", nod.name, cmd.ProcessState)
}

// outputEmpty reports whether the process has not written a line yet. SIGTERM may
// reach a process that was just started before it can handle signals; it has not
// read a request then, and ending by the signal is no violation.
func (nod *node) outputEmpty() bool {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	inf, err := os.Stat(nod.outputPath())
	return err == nil && inf.Size() == 0
}

// outputPath returns the path of the log file of the current process.
func (nod *node) outputPath() string {
	return filepath.Join(nod.dir, fmt.Sprintf("%s.%d.log", nod.name, nod.starts))
}

// kill sends SIGKILL and waits for the end of the process.
func (nod *node) kill() {
	_, done := nod.signal(syscall.SIGKILL)
	<-done
}
