package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/runner"
	"github.com/balsamgauge/balsamgauge/internal/standin/executor"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
)

// call is a request by a caller and its result.
type call struct {
	runID  string
	team   string
	key    string
	method string
	path   string
	// forbidden calls carry no valid key and must never run.
	forbidden bool
	// repeatable calls may run more than once.
	repeatable bool
	// entry is the entry that the call was sent to, or nil if none was live.
	entry      *process
	sentAt     time.Time
	answeredAt time.Time
	status     int
	outcome    outcome.Outcome
	code       outcome.Code
	// whole reports whether the response was the complete response to this request.
	whole bool
	// err is set if the connection broke before the response was complete.
	err error
}

// submission is an accepted task.
type submission struct {
	key        string
	taskID     string
	repeatable bool
	// state is the task's state in the last reply to a query.
	state string
}

// callers generates load: it sends requests and tasks to the entries, as a
// balancer would, and records the responses. It is safe for concurrent use.
type callers struct {
	cluster *cluster
	http    *http.Client
	// lastRun is the number of the last run ID, nextEntry the position of the next
	// entry in the round-robin order.
	lastRun   atomic.Int64
	nextEntry atomic.Int64

	mu          sync.Mutex
	calls       []call
	submissions []submission
	// taskRefusals counts the submissions that were not accepted.
	taskRefusals int
}

func newCallers(cls *cluster) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &callers{cluster: cls, http: &http.Client{Transport: transport, Timeout: 10 * time.Second}}
}

// pick returns the next live entry in round-robin order, or nil if there is none.
func (cal *callers) pick() *process {
	live := cal.cluster.live()
	if len(live) == 0 {
		return nil
	}
	return live[int(cal.nextEntry.Add(1))%len(live)]
}

// request makes a call whose run takes a duration, and records its result.
func (cal *callers) request(cll call, duration time.Duration) call {
	cll.runID = fmt.Sprintf("run-%d", cal.lastRun.Add(1))
	cll.entry = cal.pick()
	cll.sentAt = time.Now()
	if cll.entry == nil {
		return cll
	}
	body := []byte("body of " + cll.runID)
	address := "http://" + cll.entry.runner.CallersListener.Addr().String() + cll.path
	req, err := http.NewRequest(cll.method, address, bytes.NewReader(body))
	if err != nil {
		cll.err = err
		return cll
	}
	if cll.key != "" {
		req.Header.Set("Authorization", "Bearer "+cll.key)
	}
	req.Header.Set(executor.HeaderRunID, cll.runID)
	req.Header.Set(executor.HeaderTeam, cll.team)
	req.Header.Set(executor.HeaderWork, duration.String())
	cal.send(&cll, req, body)
	cal.mu.Lock()
	defer cal.mu.Unlock()
	cal.calls = append(cal.calls, cll)
	return cll
}

// send sends a request and stores the response in the call.
func (cal *callers) send(cll *call, req *http.Request, body []byte) {
	rsp, err := cal.http.Do(req)
	if err != nil {
		cll.err = err
		return
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	cll.answeredAt = time.Now()
	cll.err = err
	cll.status = rsp.StatusCode
	cll.outcome = outcome.Outcome(rsp.Header.Get(outcome.Header))
	if cll.outcome == outcome.Answered {
		want := fmt.Sprintf("%s %s %s\n%s", cll.method, cll.path, cll.runID, body)
		cll.whole = string(data) == want
		return
	}
	var ref outcome.Refusal
	if json.Unmarshal(data, &ref) == nil {
		cll.code = ref.Code
	}
}

// submit submits a task and records it if it was accepted.
func (cal *callers) submit(key, queue, payload string, repeatable bool) {
	prc := cal.pick()
	if prc == nil {
		return
	}
	address := "http://" + prc.runner.CallersListener.Addr().String() + "/v1/queues/" + queue + "/tasks"
	tsk, status, err := cal.doTaskRequest(http.MethodPost, address, key, payload)
	cal.mu.Lock()
	defer cal.mu.Unlock()
	if err != nil || status != http.StatusAccepted {
		cal.taskRefusals++
		return
	}
	cal.submissions = append(cal.submissions, submission{key: key, taskID: tsk.ID, repeatable: repeatable})
}

// doTaskRequest submits or queries a task and decodes the reply.
func (cal *callers) doTaskRequest(method, address, key, payload string) (tsk runner.TaskResponse, status int, err error) {
	req, err := http.NewRequest(method, address, bytes.NewReader([]byte(payload)))
	if err != nil {
		return runner.TaskResponse{}, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	rsp, err := cal.http.Do(req)
	if err != nil {
		return runner.TaskResponse{}, 0, err
	}
	defer func() { _ = rsp.Body.Close() }()
	return tsk, rsp.StatusCode, json.NewDecoder(rsp.Body).Decode(&tsk)
}

// awaitTasks polls each accepted task until all have ended or the context is done.
func (cal *callers) awaitTasks(ctx context.Context) {
	for ctx.Err() == nil {
		pending := 0
		cal.mu.Lock()
		subs := cal.submissions
		cal.mu.Unlock()
		for i := range subs {
			if subs[i].state == "done" || subs[i].state == "parked" || subs[i].state == "unknown" {
				continue
			}
			prc := cal.pick()
			address := "http://" + prc.runner.CallersListener.Addr().String() + "/v1/tasks/" + subs[i].taskID
			if tsk, status, err := cal.doTaskRequest(http.MethodGet, address, subs[i].key, ""); err == nil && status == http.StatusOK {
				subs[i].state = tsk.State
			}
			pending++
		}
		if pending == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// callRepeatedly starts a goroutine that makes calls one after the other, with a
// pause between them, until the context is done.
func (cal *callers) callRepeatedly(ctx context.Context, grp *sync.WaitGroup, cll call, duration, pause time.Duration) {
	grp.Add(1)
	go func() {
		defer grp.Done()
		for ctx.Err() == nil {
			cal.request(cll, duration)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}()
}
