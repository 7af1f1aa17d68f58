// Command lab plays the cases of the second review. It starts the processes of the
// deploy file against small stand-ins of the platform's store, executors and machines
// on loopback addresses, disrupts them, and checks one rule from what the stand-ins and
// clients have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// couldn't run.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds the stand-ins and the processes of a case.
type lab struct {
	dir     string
	trouble bool
	begun   time.Time
	store   *store
	cloud   string
	nodes   []*node

	recMu  sync.Mutex
	record io.Writer

	mu        sync.Mutex
	executors []*executor
	jobs      map[string]*job
	// late returns the delay of an order that is left unanswered; 0 answers it. It may
	// be nil.
	late func(exe *executor, path string, ord order) time.Duration
	// lateAt is when the late order of a case arrived.
	lateAt time.Time
	// onStart is called with the lock held when a run starts. It may be nil.
	onStart func(exe *executor, ord order)
	// runs lists all runs in the order of their starts.
	runs   []*seenRun
	broken []string
}

// seenRun is a run as its executor saw it.
type seenRun struct {
	task, vm, how string
	labels        []string
	run           int
	token         int64
	from, to      time.Time
}

// node is a process of the system.
type node struct {
	name, callers, ready, settings string
	cmd                            *exec.Cmd
	done                           chan struct{}
}

// note writes a line of the record.
func (lab *lab) note(format string, args ...any) {
	lab.recMu.Lock()
	defer lab.recMu.Unlock()
	_, _ = fmt.Fprintf(lab.record, "%8.3f %s\n", time.Since(lab.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule is broken.
func (lab *lab) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	lab.note("BROKEN: %s", text)
	lab.broken = append(lab.broken, text)
}

func (lab *lab) delayOf(exe *executor, path string, ord order) time.Duration {
	if lab.late == nil {
		return 0
	}
	return lab.late(exe, path, ord)
}

func (lab *lab) sizeOf(task string) size {
	if jb := lab.jobs[jobOf(task)]; jb != nil {
		return size{CPU: jb.Steps[stepOf(task)].CPU, Mem: jb.Steps[stepOf(task)].Mem}
	}
	return size{}
}

// durationOf returns how long a task works; 0 if until it is stopped.
func (lab *lab) durationOf(task string) time.Duration {
	jb := lab.jobs[jobOf(task)]
	if jb == nil || jb.Steps[stepOf(task)].Lasting {
		return 0
	}
	return time.Duration(jb.Steps[stepOf(task)].Estimate) * time.Millisecond
}

func (lab *lab) started(exe *executor, ord order) {
	lab.runs = append(lab.runs, &seenRun{task: ord.Task, vm: exe.id, run: ord.Run, token: ord.Token, labels: exe.labels, from: time.Now()})
	lab.note("%s run %d starts on %s, token %d", ord.Task, ord.Run, exe.id, ord.Token)
	if lab.onStart != nil {
		lab.onStart(exe, ord)
	}
}

func (lab *lab) ended(exe *executor, task string, run int, how string) {
	for i := len(lab.runs) - 1; i >= 0; i-- {
		if see := lab.runs[i]; see.task == task && see.run == run && see.vm == exe.id && see.to.IsZero() {
			see.to, see.how = time.Now(), how
			break
		}
	}
	lab.note("%s run %d on %s ends %s", task, run, exe.id, how)
}

func (lab *lab) acked(exe *executor, end endedRun) {
	lab.note("end %s of %s run %d on %s is acknowledged", end.how, end.task, end.run, exe.id)
}

// listen serves a handler on a free loopback port.
func listen(handler http.Handler) (address string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), nil
}

// newLab starts the stand-ins with some executors of one service.
func newLab(dir string, record io.Writer, trouble bool) (lab1 *lab, err error) {
	lab1 = &lab{dir: dir, record: record, trouble: trouble, begun: time.Now(), store: newStore(), jobs: map[string]*job{}}
	if lab1.cloud, err = listen(http.HandlerFunc(lab1.serveMachines)); err != nil {
		return nil, err
	}
	go lab1.tick()
	return lab1, nil
}

// addExecutor starts an executor on a machine of its own.
func (lab *lab) addExecutor(pool string, labels []string) (exe *executor, err error) {
	num := len(lab.executors)
	exe = &executor{lab: lab, machine: fmt.Sprintf("m-%d", num), zone: zones[num%len(zones)], pool: pool, labels: labels, begun: map[int64]bool{}}
	if exe.address, err = listen(exe); err != nil {
		return nil, err
	}
	lab.mu.Lock()
	defer lab.mu.Unlock()
	lab.executors = append(lab.executors, exe)
	exe.boot(fmt.Sprintf("i-%04d", num), time.Now())
	return exe, nil
}

var zones = []string{"van-core", "fraser", "island"}

const tickInterval = 5 * time.Millisecond

// tick lets time pass for the executors.
func (lab *lab) tick() {
	for {
		time.Sleep(tickInterval)
		lab.mu.Lock()
		now := time.Now()
		for _, exe := range lab.executors {
			if !exe.upkeepUntil.IsZero() && now.After(exe.upkeepUntil) {
				exe.upkeepUntil = time.Time{}
				exe.boot(exe.id+"-kept", now)
			}
			if exe.up {
				exe.step(now)
				exe.beat(now)
			}
		}
		lab.mu.Unlock()
	}
}

// settingsText is the settings file of a process, in the platform's format.
const settingsText = `node-name = "%s"
role = "manager"
machine-class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "%s"
region = "bc-south"
internal-ports = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
orders = "call"
[listen-addrs]
front = "%s"
ready = "%s"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
[bounds]
contact-ms = 3000
ack-ms = 4000
grace-s = 6
config-apply-ms = 2000
revoke-strict = true
revoke-ms = 5000
quota-window-s = 5
evacuate-ms = 5000
hold-max-ms = 6000
stop-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
maintenance-s = 2
migrate-s = 1.5
fencing-enforced = false
lease-ms = 3000
[platform]
address = "%s"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
[cloud]
address = "%s"
rate-per-s = 64.0
duty-per-s = 64.0
`

// addNode writes the settings of a process and starts it. The store has an address of
// its own for each process.
func (lab *lab) addNode() (nod *node, err error) {
	num := len(lab.nodes)
	storeAddress, err := listen(lab.store)
	if err != nil {
		return nil, err
	}
	var ports [3]int
	for i := range ports {
		if ports[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	nod = &node{name: fmt.Sprintf("frontend-%d", num), callers: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1])}
	nod.settings = filepath.Join(lab.dir, nod.name+".toml")
	text := fmt.Sprintf(settingsText, nod.name, zones[num%len(zones)], ports[2], ports[2], nod.callers, nod.ready, storeAddress, lab.cloud)
	if err := os.WriteFile(nod.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	lab.nodes = append(lab.nodes, nod)
	return nod, lab.startNode(nod)
}

// Ports of the processes are below those that the kernel gives to connections.
const firstPort, portCount, portTries = 20000, 12000, 50

func freePort() (port int, err error) {
	for range portTries {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			return lis.Addr().(*net.TCPAddr).Port, lis.Close()
		}
	}
	return 0, errors.New("no free port")
}

// startNode starts a process with the command of the deploy file.
func (lab *lab) startNode(nod *node) error {
	out, err := os.OpenFile(filepath.Join(lab.dir, nod.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/balsamgauge", "manage")
	cmd.Env = []string{"BALSAMGAUGE_NODE_FILE=" + nod.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + lab.dir}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	nod.cmd, nod.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		lab.note("process %s ended: %v", nod.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

// signal sends a signal to a process.
func (lab *lab) signal(nod *node, sig syscall.Signal) {
	lab.note("%v is sent to %s", sig, nod.name)
	_ = nod.cmd.Process.Signal(sig)
}

// awaitReady waits until all processes are ready.
func (lab *lab) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, nod := range lab.nodes {
			rsp, err := http.Get("http://" + nod.ready + "/readyz")
			if err == nil {
				_ = rsp.Body.Close()
				if rsp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(lab.nodes) {
			return nil
		}
	}
	return fmt.Errorf("the processes are not ready")
}

// leader returns the process that holds the duty, as it logs it.
func (lab *lab) leader() *node {
	var last *node
	best := ""
	for _, nod := range lab.nodes {
		raw, err := os.ReadFile(filepath.Join(lab.dir, nod.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, `"event":"duty_taken"`) {
				at := line[strings.Index(line, `"at":"`):]
				if at > best {
					best, last = at, nod
				}
			}
		}
	}
	return last
}

// stop ends all processes.
func (lab *lab) stop() {
	for _, nod := range lab.nodes {
		if nod.cmd != nil {
			_ = nod.cmd.Process.Kill()
			<-nod.done
		}
	}
}
