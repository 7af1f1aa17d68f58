// Package taskworker is a stand-in for a worker, the service of a VM that runs
// tasks. It runs each task under a lease, fences tasks by attempt, and fails
// those whose lease lapses.
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

// PayloadFail is the payload of a task that fails. Any other payload is the
// duration of the task.
const PayloadFail = "fail"

// Run is one start of an attempt of a task.
type Run struct {
	TaskID  string
	Attempt int
	VM      string
	// Began is the time of the start.
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
	tasks map[string]*taskRun
	// fences holds, for each task, the highest attempt that was started, stopped or
	// reported as unknown. Starts of an attempt up to it are refused.
	fences  map[string]int
	failing bool
}

// taskRun is a task on the worker, also after its end.
type taskRun struct {
	attempt int
	// due is the time at which the task ends at its current speed.
	due time.Time
	// percent is the speed, from 1 to 100.
	percent int
	// expires is the end of the lease.
	expires time.Time
	state   event.WorkerState
	result  []byte
	reason  string
	fails   bool
}

// Start starts a worker on a free loopback port.
func Start(vmID string, rec *Recorder) (wkr *Worker, err error) {
	wkr = &Worker{vm: vmID, recorder: rec, tasks: map[string]*taskRun{}, fences: map[string]int{}}
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

// SetFailing makes tasks that start from now on fail, or succeed again.
func (wkr *Worker) SetFailing(failing bool) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.failing = failing
}

// Kill closes the worker and its connections without waiting for tasks.
func (wkr *Worker) Kill() {
	_ = wkr.listener.Close()
	_ = wkr.server.Close()
}

// handle returns a handler that decodes a request, makes the call and encodes the
// response.
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

// start starts an attempt of a task, from its checkpoint if it has one.
func (wkr *Worker) start(now time.Time, req workerclient.StartRequest) (empty, int) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	if req.Attempt <= wkr.fences[req.TaskID] {
		return empty{}, http.StatusConflict
	}
	wkr.fences[req.TaskID] = req.Attempt
	text := strings.TrimSpace(string(req.Payload))
	duration, _ := time.ParseDuration(text)
	if remaining, err := time.ParseDuration(string(req.Checkpoint)); err == nil {
		duration = remaining
	}
	wkr.tasks[req.TaskID] = &taskRun{
		attempt: req.Attempt,
		due:     now.Add(duration),
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

// report returns the state of an attempt and renews its lease. A start of an
// attempt that was reported as unknown is refused from then on.
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

// advance ends a task that is due, or whose lease lapsed before it was due.
func (tsk *taskRun) advance(now time.Time) {
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

// checkpoint returns the remaining duration of a task at full speed. A later start
// may resume from it.
func (wkr *Worker) checkpoint(now time.Time, att effect.TaskAttempt) (workerclient.CheckpointResponse, int) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	tsk, ok := wkr.tasks[att.TaskID]
	if !ok || tsk.attempt != att.Attempt {
		return workerclient.CheckpointResponse{}, http.StatusNotFound
	}
	return workerclient.CheckpointResponse{Checkpoint: []byte(tsk.remaining(now).String())}, http.StatusOK
}

// throttle changes the speed of a task.
func (wkr *Worker) throttle(now time.Time, req workerclient.ThrottleRequest) (empty, int) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	tsk, ok := wkr.tasks[req.TaskID]
	if !ok || tsk.attempt != req.Attempt || req.Percent < 1 || req.Percent > 100 {
		return empty{}, http.StatusNotFound
	}
	remaining := tsk.remaining(now)
	tsk.percent = req.Percent
	tsk.due = now.Add(remaining * 100 / time.Duration(req.Percent))
	return empty{}, http.StatusOK
}

// remaining returns the remaining duration of the task at full speed.
func (tsk *taskRun) remaining(now time.Time) time.Duration {
	return max(0, tsk.due.Sub(now)) * time.Duration(tsk.percent) / 100
}
