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

// call is one request of a caller, and what it was told.
type call struct {
	runID string
	team  string
	key   string
	// path and method say what was asked for.
	method string
	path   string
	// forbidden calls must never run.
	forbidden  bool
	repeatable bool
	entry      *process
	sentAt     time.Time
	answeredAt time.Time
	status     int
	outcome    outcome.Outcome
	code       outcome.Code
	// whole says that the answer was the whole answer to this very request.
	whole bool
	// err is set when the connection broke before there was an answer.
	err error
}

// submission is one task and what its submitter was told.
type submission struct {
	key        string
	taskID     string
	repeatable bool
	state      string
}

// callers drive work through the balancer and keep what they were told. They
// are safe for concurrent use.
type callers struct {
	cluster *cluster
	http    *http.Client
	next    atomic.Int64
	turn    atomic.Int64

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

// pick returns the entry whose turn it is, as the balancer would.
func (cal *callers) pick() *process {
	live := cal.cluster.live()
	if len(live) == 0 {
		return nil
	}
	return live[int(cal.turn.Add(1))%len(live)]
}

// request makes one call and keeps what came of it.
func (cal *callers) request(cll call, span time.Duration) call {
	cll.runID = fmt.Sprintf("run-%d", cal.next.Add(1))
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
	req.Header.Set(executor.HeaderWork, span.String())
	cal.finish(&cll, req, body)
	cal.mu.Lock()
	defer cal.mu.Unlock()
	cal.calls = append(cal.calls, cll)
	return cll
}

func (cal *callers) finish(cll *call, req *http.Request, body []byte) {
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

// submit submits a task and keeps its ID if it was accepted.
func (cal *callers) submit(key, queue, payload string, repeatable bool) {
	prc := cal.pick()
	if prc == nil {
		return
	}
	address := "http://" + prc.runner.CallersListener.Addr().String() + "/v1/queues/" + queue + "/tasks"
	tsk, status, err := cal.task(http.MethodPost, address, key, payload)
	cal.mu.Lock()
	defer cal.mu.Unlock()
	if err != nil || status != http.StatusAccepted {
		cal.taskRefusals++
		return
	}
	cal.submissions = append(cal.submissions, submission{key: key, taskID: tsk.ID, repeatable: repeatable})
}

func (cal *callers) task(method, address, key, payload string) (tsk runner.TaskResponse, status int, err error) {
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

// settleTasks asks for each accepted task until all have ended or the time is
// up.
func (cal *callers) settleTasks(ctx context.Context) {
	for ctx.Err() == nil {
		open := 0
		cal.mu.Lock()
		subs := cal.submissions
		cal.mu.Unlock()
		for i := range subs {
			if subs[i].state == "done" || subs[i].state == "parked" || subs[i].state == "unknown" {
				continue
			}
			prc := cal.pick()
			address := "http://" + prc.runner.CallersListener.Addr().String() + "/v1/tasks/" + subs[i].taskID
			if tsk, status, err := cal.task(http.MethodGet, address, subs[i].key, ""); err == nil && status == http.StatusOK {
				subs[i].state = tsk.State
			}
			open++
		}
		if open == 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// keepCalling makes calls one after the other until the context ends.
func (cal *callers) keepCalling(ctx context.Context, grp *sync.WaitGroup, cll call, span, pause time.Duration) {
	grp.Add(1)
	go func() {
		defer grp.Done()
		for ctx.Err() == nil {
			cal.request(cll, span)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
		}
	}()
}
