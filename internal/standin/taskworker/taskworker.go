// Package taskworker is a stand-in for a worker of the platform. It runs tasks
// under leases, fences them by attempt, and stops those whose lease lapses.
package taskworker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/workerclient"
)

// Payload words that tell the stand-in what a task should do. Anything else is
// a duration.
const (
	// PayloadFail makes a task fail.
	PayloadFail = "fail"
)

// Run is one start of a task.
type Run struct {
	TaskID  string
	Attempt int
	VM      string
	// Began is when the task was started.
	Began time.Time
}

// Recorder collects the runs of several workers. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns the runs so far.
func (rec *Recorder) Runs() []Run {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append([]Run(nil), rec.runs...)
}

func (rec *Recorder) add(run Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs = append(rec.runs, run)
}

// Worker is the stand-in. It is safe for concurrent use.
type Worker struct {
	vm       string
	recorder *Recorder
	server   *http.Server
	listener net.Listener

	mu    sync.Mutex
	tasks map[string]*running
	// fences holds the highest attempt that was asked about or started.
	fences  map[string]int
	failing bool
}

type running struct {
	attempt int
	// due is when the task ends if nothing stops it, at its present speed.
	due time.Time
	// percent is the speed, from 1 to 100.
	percent int
	expires time.Time
	state   event.WorkerState
	result  []byte
	reason  string
	fails   bool
}

// Start starts a worker on a loopback address.
func Start(vmID string, rec *Recorder) (wkr *Worker, err error) {
	wkr = &Worker{vm: vmID, recorder: rec, tasks: map[string]*running{}, fences: map[string]int{}}
	wkr.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start worker %s: %w", vmID, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+workerclient.PathStart, handle(wkr.start))
	mux.HandleFunc("POST "+workerclient.PathPoll, handle(wkr.poll))
	mux.HandleFunc("POST "+workerclient.PathStop, handle(wkr.stop))
	mux.HandleFunc("POST "+workerclient.PathCheckpoint, handle(wkr.checkpoint))
	mux.HandleFunc("POST "+workerclient.PathThrottle, handle(wkr.throttle))
	wkr.server = &http.Server{Handler: mux}
	go func() { _ = wkr.server.Serve(wkr.listener) }()
	return wkr, nil
}

// Address returns the address of the worker.
func (wkr *Worker) Address() string { return wkr.listener.Addr().String() }

// SetFailing makes every task that starts from now on fail.
func (wkr *Worker) SetFailing(failing bool) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.failing = failing
}

// Kill ends the worker at once, with all its tasks.
func (wkr *Worker) Kill() {
	_ = wkr.listener.Close()
	_ = wkr.server.Close()
}

func handle[Q, S any](call func(now time.Time, req Q) (S, int)) http.HandlerFunc {
	return func(wrt http.ResponseWriter, hrq *http.Request) {
		var req Q
		if err := json.NewDecoder(hrq.Body).Decode(&req); err != nil {
			http.Error(wrt, err.Error(), http.StatusBadRequest)
			return
		}
		rsp, status := call(time.Now(), req)
		wrt.WriteHeader(status)
		_ = json.NewEncoder(wrt).Encode(rsp)
	}
}

type empty struct{}

func (wkr *Worker) start(now time.Time, req workerclient.StartRequest) (empty, int) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	if req.Attempt <= wkr.fences[req.TaskID] {
		return empty{}, http.StatusConflict
	}
	wkr.fences[req.TaskID] = req.Attempt
	text := strings.TrimSpace(string(req.Payload))
	span, _ := time.ParseDuration(text)
	if left, err := time.ParseDuration(string(req.Checkpoint)); err == nil {
		span = left
	}
	wkr.tasks[req.TaskID] = &running{
		attempt: req.Attempt,
		due:     now.Add(span),
		percent: 100,
		expires: now.Add(time.Duration(req.LeaseMS) * time.Millisecond),
		state:   event.WorkerRunning,
		result:  []byte(fmt.Sprintf("%s done by %s", req.TaskID, wkr.vm)),
		fails:   wkr.failing || text == PayloadFail,
	}
	wkr.recorder.add(Run{TaskID: req.TaskID, Attempt: req.Attempt, VM: wkr.vm, Began: now})
	return empty{}, http.StatusOK
}

func (wkr *Worker) poll(now time.Time, req workerclient.PollRequest) (workerclient.PollResponse, int) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	var rsp workerclient.PollResponse
	for _, att := range req.Tasks {
		rsp.Tasks = append(rsp.Tasks, wkr.report(now, att, time.Duration(req.LeaseMS)*time.Millisecond))
	}
	return rsp, http.StatusOK
}

// report tells the state of an attempt and renews its lease. An attempt that
// the worker does not know is refused from then on.
func (wkr *Worker) report(now time.Time, att effect.TaskAttempt, lease time.Duration) event.WorkerTask {
	wtk := event.WorkerTask{TaskID: att.TaskID, Attempt: att.Attempt, State: event.WorkerUnknown}
	tsk, ok := wkr.tasks[att.TaskID]
	if !ok || tsk.attempt != att.Attempt {
		wkr.fences[att.TaskID] = max(wkr.fences[att.TaskID], att.Attempt)
		return wtk
	}
	tsk.advance(now)
	if tsk.state == event.WorkerRunning {
		tsk.expires = now.Add(lease)
	}
	wtk.State, wtk.Reason = tsk.state, tsk.reason
	if tsk.state == event.WorkerDone {
		wtk.Result = tsk.result
	}
	return wtk
}

// advance ends a task that is due, or whose lease lapsed before it was.
func (tsk *running) advance(now time.Time) {
	if tsk.state != event.WorkerRunning {
		return
	}
	ended := tsk.due
	if tsk.expires.Before(ended) && now.After(tsk.expires) {
		tsk.state, tsk.reason = event.WorkerFailed, "the lease lapsed"
		return
	}
	if now.Before(ended) {
		return
	}
	tsk.state = event.WorkerDone
	if tsk.fails {
		tsk.state, tsk.reason = event.WorkerFailed, "the task failed"
	}
}

func (wkr *Worker) stop(_ time.Time, att effect.TaskAttempt) (empty, int) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.fences[att.TaskID] = max(wkr.fences[att.TaskID], att.Attempt)
	if tsk, ok := wkr.tasks[att.TaskID]; ok && tsk.attempt <= att.Attempt {
		delete(wkr.tasks, att.TaskID)
	}
	return empty{}, http.StatusOK
}

// checkpoint tells how much of a task is left, as a span at full speed. A later
// start may go on from there.
func (wkr *Worker) checkpoint(now time.Time, att effect.TaskAttempt) (workerclient.CheckpointResponse, int) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	tsk, ok := wkr.tasks[att.TaskID]
	if !ok || tsk.attempt != att.Attempt {
		return workerclient.CheckpointResponse{}, http.StatusNotFound
	}
	return workerclient.CheckpointResponse{Checkpoint: []byte(tsk.left(now).String())}, http.StatusOK
}

// throttle changes the speed of a task.
func (wkr *Worker) throttle(now time.Time, req workerclient.ThrottleRequest) (empty, int) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	tsk, ok := wkr.tasks[req.TaskID]
	if !ok || tsk.attempt != req.Attempt || req.Percent < 1 || req.Percent > 100 {
		return empty{}, http.StatusNotFound
	}
	left := tsk.left(now)
	tsk.percent = req.Percent
	tsk.due = now.Add(left * 100 / time.Duration(req.Percent))
	return empty{}, http.StatusOK
}

// left returns how long the task would still take at full speed.
func (tsk *running) left(now time.Time) time.Duration {
	return max(0, tsk.due.Sub(now)) * time.Duration(tsk.percent) / 100
}
