// Package executor is a stand-in for an upstream: an executor on a VM, with a
// fixed number of slots. It records every run of a request and the peak number of
// open connections, and can inject faults: graceful shutdown, silent connections,
// truncated responses and lost responses.
package executor

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/upstream"
)

// Headers with which a caller of the stand-in controls the run of a request.
const (
	// HeaderRunID identifies the request, so that its runs can be counted.
	HeaderRunID = "Test-Run-Id"
	// HeaderTeam is the name of the caller's team.
	HeaderTeam = "Test-Team"
	// HeaderWork is the duration of the run, as in "20ms".
	HeaderWork = "Test-Work"
)

// Fault is a fault injected into every request.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultCloseBefore closes the connection without running the request.
	FaultCloseBefore
	// FaultCloseAfter runs the request and closes the connection without a response.
	FaultCloseAfter
	// FaultTruncate runs the request and closes the connection in the middle of the
	// response.
	FaultTruncate
	// FaultSilent runs the request and never responds.
	FaultSilent
)

// Run is one run of a request.
type Run struct {
	RunID string
	Team  string
	VM    string
	Began time.Time
	// Ended is zero while the run is in progress.
	Ended time.Time
}

// Recorder collects the runs of several executors. It is safe for concurrent
// use.
type Recorder struct {
	mu   sync.Mutex
	runs []*Run
	// running and peaks hold the current and the highest number of concurrent runs
	// by team.
	running map[string]int
	peaks   map[string]int
}

// NewRecorder returns a recorder without runs.
func NewRecorder() *Recorder {
	return &Recorder{running: map[string]int{}, peaks: map[string]int{}}
}

func (rec *Recorder) begin(run *Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs = append(rec.runs, run)
	rec.running[run.Team]++
	rec.peaks[run.Team] = max(rec.peaks[run.Team], rec.running[run.Team])
}

func (rec *Recorder) end(run *Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	run.Ended = time.Now()
	rec.running[run.Team]--
}

// Runs returns the runs so far, in the order of their start.
func (rec *Recorder) Runs() []Run {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	runs := make([]Run, 0, len(rec.runs))
	for _, run := range rec.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Peak returns the highest number of concurrent runs of a team.
func (rec *Recorder) Peak(team string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.peaks[team]
}

// Executor is the stand-in. It is safe for concurrent use.
type Executor struct {
	vm       string
	slots    chan struct{}
	recorder *Recorder
	server   *http.Server
	listener net.Listener

	mu         sync.Mutex
	fault      Fault
	draining   bool
	doubleRuns bool
	idle       map[net.Conn]bool
	open       map[net.Conn]bool
	// silent holds the connections on which requests get no response.
	silent map[net.Conn]bool

	// connsMu guards conns and peak. It is separate from mu, because CloseIdle closes
	// connections, and so changes conns, while it holds mu.
	connsMu sync.Mutex
	// conns is the number of open connections, peak its highest value.
	conns int
	peak  int
}

// countingListener counts the open connections. The server's ConnState hook does
// not serve for this: it reports a closed connection only some time after the
// other end has seen the close.
type countingListener struct {
	net.Listener
	exe *Executor
}

// Accept accepts a connection and counts it until it is closed.
func (lis countingListener) Accept() (conn net.Conn, err error) {
	conn, err = lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lis.exe.addConns(1)
	return &countedConn{Conn: conn, exe: lis.exe}, nil
}

// countedConn is a connection that is counted until Close is first called.
type countedConn struct {
	net.Conn
	exe  *Executor
	once sync.Once
}

// Close removes the connection from the count and closes it.
func (con *countedConn) Close() error {
	con.once.Do(func() { con.exe.addConns(-1) })
	return con.Conn.Close()
}

func (exe *Executor) addConns(delta int) {
	exe.connsMu.Lock()
	defer exe.connsMu.Unlock()
	exe.conns += delta
	exe.peak = max(exe.peak, exe.conns)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Start starts an executor on a free loopback port.
func Start(vmID string, slots int, rec *Recorder) (exe *Executor, err error) {
	exe = &Executor{vm: vmID, slots: make(chan struct{}, slots), recorder: rec, idle: map[net.Conn]bool{}, open: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	exe.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start executor %s: %w", vmID, err)
	}
	exe.server = &http.Server{
		Handler: http.HandlerFunc(exe.serve), ConnState: exe.trackConn,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = exe.server.Serve(countingListener{exe.listener, exe}) }()
	return exe, nil
}

// Address returns the address of the executor.
func (exe *Executor) Address() string { return exe.listener.Addr().String() }

// SetFault injects a fault into every request from now on. FaultNone ends it.
func (exe *Executor) SetFault(fault Fault) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	exe.fault = fault
}

// SetDoubleRuns makes the executor run every request twice, as a faulty system
// would, to show that the checks detect it.
func (exe *Executor) SetDoubleRuns(doubleRuns bool) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	exe.doubleRuns = doubleRuns
}

// Drain starts a graceful shutdown: running requests complete, and their
// responses announce that the connection closes. New requests are refused as not
// run.
func (exe *Executor) Drain() {
	exe.mu.Lock()
	exe.draining = true
	exe.mu.Unlock()
	exe.server.SetKeepAlivesEnabled(false)
}

// Stop shuts the executor down once its running requests have completed.
func (exe *Executor) Stop(ctx context.Context) error { return exe.server.Shutdown(ctx) }

// Kill closes the executor and all its connections without waiting for requests.
func (exe *Executor) Kill() {
	_ = exe.listener.Close()
	_ = exe.server.Close()
}

// PeakConns returns the highest number of connections that were open at the same
// time.
func (exe *Executor) PeakConns() int {
	exe.connsMu.Lock()
	defer exe.connsMu.Unlock()
	return exe.peak
}

// SilenceOpen makes every open connection permanently silent, as when a NAT or
// firewall between the two ends has dropped its state. New connections work.
func (exe *Executor) SilenceOpen() {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	for conn := range exe.open {
		exe.silent[conn] = true
	}
}

func (exe *Executor) isSilent(req *http.Request) bool {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	conn, _ := req.Context().Value(connKey{}).(net.Conn)
	return exe.silent[conn]
}

// CloseIdle closes the idle connections.
func (exe *Executor) CloseIdle() {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	for conn := range exe.idle {
		_ = conn.Close()
	}
}

// trackConn updates the sets of open and idle connections.
func (exe *Executor) trackConn(conn net.Conn, sta http.ConnState) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	delete(exe.idle, conn)
	switch sta {
	case http.StateNew:
		exe.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(exe.open, conn)
	case http.StateIdle:
		exe.idle[conn] = true
	}
}

func (exe *Executor) serve(wrt http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	exe.mu.Lock()
	fault, draining, doubleRuns := exe.fault, exe.draining, exe.doubleRuns
	exe.mu.Unlock()
	if draining {
		wrt.Header().Set(upstream.NotRunHeader, "draining")
		wrt.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if exe.isSilent(req) {
		<-req.Context().Done()
		return
	}
	if fault == FaultCloseBefore {
		panic(http.ErrAbortHandler)
	}
	exe.slots <- struct{}{}
	defer func() { <-exe.slots }()
	exe.work(req)
	if doubleRuns {
		exe.work(req)
	}
	exe.respond(wrt, req, fault, body)
}

// work records a run that takes the duration in the request's HeaderWork.
func (exe *Executor) work(req *http.Request) {
	duration, _ := time.ParseDuration(req.Header.Get(HeaderWork))
	run := &Run{RunID: req.Header.Get(HeaderRunID), Team: req.Header.Get(HeaderTeam), VM: exe.vm, Began: time.Now()}
	exe.recorder.begin(run)
	time.Sleep(duration)
	exe.recorder.end(run)
}

// respond writes the response, which echoes the request, or injects the fault.
func (exe *Executor) respond(wrt http.ResponseWriter, req *http.Request, fault Fault, body []byte) {
	switch fault {
	case FaultCloseAfter:
		panic(http.ErrAbortHandler)
	case FaultSilent:
		<-req.Context().Done()
		return
	}
	text := fmt.Sprintf("%s %s %s\n%s", req.Method, req.URL.Path, req.Header.Get(HeaderRunID), body)
	wrt.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if fault == FaultTruncate {
		_, _ = io.WriteString(wrt, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(wrt, text)
}
