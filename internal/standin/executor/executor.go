// Package executor is a stand-in for an upstream: an executor with slots and a
// bound on its connections. It counts every run, and has switches for a
// graceful shutdown, silent connections, truncated answers and failures.
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

// Headers by which a caller of the stand-in says what a request should do.
const (
	// HeaderRunID names the request, so that its runs can be counted.
	HeaderRunID = "Test-Run-Id"
	// HeaderTeam names the team that the caller acts for.
	HeaderTeam = "Test-Team"
	// HeaderWork is how long the request runs, as in "20ms".
	HeaderWork = "Test-Work"
)

// Fault is what goes wrong with the next request.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultCloseBefore closes the connection before anything ran.
	FaultCloseBefore
	// FaultCloseAfter runs the request and closes the connection unanswered.
	FaultCloseAfter
	// FaultTruncate runs the request and sends only a part of the answer.
	FaultTruncate
	// FaultSilent runs the request and never answers.
	FaultSilent
)

// Run is one run of a request.
type Run struct {
	RunID string
	Team  string
	VM    string
	Began time.Time
	// Ended is zero while the run goes on.
	Ended time.Time
}

// Recorder collects the runs of several executors. It is safe for concurrent
// use.
type Recorder struct {
	mu   sync.Mutex
	runs []*Run
	// peaks holds the most runs of a team that went on at once.
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

// Runs returns the runs so far, in the order in which they began.
func (rec *Recorder) Runs() []Run {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	runs := make([]Run, 0, len(rec.runs))
	for _, run := range rec.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Peak returns the most runs of a team that went on at once.
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

	mu       sync.Mutex
	fault    Fault
	draining bool
	doubling bool
	idle     map[net.Conn]bool
	open     map[net.Conn]bool
	// silent holds the connections on which nothing arrives any more.
	silent map[net.Conn]bool

	// connsMu is apart, for connections are closed while mu is held.
	connsMu sync.Mutex
	// conns counts the open connections, peak the most at once.
	conns int
	peak  int
}

// countingListener counts the connections that are open. The server tells of a
// closed connection only some time after the other end has learned of it.
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
	lis.exe.count(1)
	return &countedConn{Conn: conn, exe: lis.exe}, nil
}

// countedConn is no longer counted once it begins to close.
type countedConn struct {
	net.Conn
	exe  *Executor
	once sync.Once
}

// Close closes the connection.
func (con *countedConn) Close() error {
	con.once.Do(func() { con.exe.count(-1) })
	return con.Conn.Close()
}

func (exe *Executor) count(change int) {
	exe.connsMu.Lock()
	defer exe.connsMu.Unlock()
	exe.conns += change
	exe.peak = max(exe.peak, exe.conns)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Start starts an executor on a loopback address.
func Start(vmID string, slots int, rec *Recorder) (exe *Executor, err error) {
	exe = &Executor{vm: vmID, slots: make(chan struct{}, slots), recorder: rec, idle: map[net.Conn]bool{}, open: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	exe.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start executor %s: %w", vmID, err)
	}
	exe.server = &http.Server{
		Handler: http.HandlerFunc(exe.serve), ConnState: exe.countConn,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = exe.server.Serve(countingListener{exe.listener, exe}) }()
	return exe, nil
}

// Address returns the address of the executor.
func (exe *Executor) Address() string { return exe.listener.Addr().String() }

// SetFault makes every request from now on go wrong, until FaultNone.
func (exe *Executor) SetFault(fault Fault) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	exe.fault = fault
}

// SetDoubleRuns makes the executor run every request twice, as a broken system
// would. It shows that the checks notice.
func (exe *Executor) SetDoubleRuns(doubling bool) {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	exe.doubling = doubling
}

// Drain begins a graceful shutdown: running requests end, and their answers say
// that the connection closes. New requests are refused as not run.
func (exe *Executor) Drain() {
	exe.mu.Lock()
	exe.draining = true
	exe.mu.Unlock()
	exe.server.SetKeepAlivesEnabled(false)
}

// Stop ends the executor after its running requests.
func (exe *Executor) Stop(ctx context.Context) error { return exe.server.Shutdown(ctx) }

// Kill ends the executor at once.
func (exe *Executor) Kill() {
	_ = exe.listener.Close()
	_ = exe.server.Close()
}

// PeakConns returns the most connections that were open at once.
func (exe *Executor) PeakConns() int {
	exe.connsMu.Lock()
	defer exe.connsMu.Unlock()
	return exe.peak
}

// SilenceOpen makes every open connection silent for good, as when something
// between the two ends has lost track of it. New ones work.
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

// CloseIdle closes the connections that are idle.
func (exe *Executor) CloseIdle() {
	exe.mu.Lock()
	defer exe.mu.Unlock()
	for conn := range exe.idle {
		_ = conn.Close()
	}
}

func (exe *Executor) countConn(conn net.Conn, sta http.ConnState) {
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
	fault, draining, doubling := exe.fault, exe.draining, exe.doubling
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
	if doubling {
		exe.work(req)
	}
	exe.answer(wrt, req, fault, body)
}

func (exe *Executor) work(req *http.Request) {
	span, _ := time.ParseDuration(req.Header.Get(HeaderWork))
	run := &Run{RunID: req.Header.Get(HeaderRunID), Team: req.Header.Get(HeaderTeam), VM: exe.vm, Began: time.Now()}
	exe.recorder.begin(run)
	time.Sleep(span)
	exe.recorder.end(run)
}

func (exe *Executor) answer(wrt http.ResponseWriter, req *http.Request, fault Fault, body []byte) {
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
