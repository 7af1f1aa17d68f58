// Package workerclient speaks the platform's protocol for workers: tasks are started
// under leases, polled and stopped.
package workerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/netfail"
)

// callTimeout bounds a call to a worker.
const callTimeout = time.Second

// Paths of the protocol.
const (
	PathStart = "/v1/start"
	PathPoll  = "/v1/poll"
	PathStop  = "/v1/stop"
	// PathCheckpoint and PathThrottle are part of the platform's protocol. The
	// entries do not use them yet.
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
)

// StartRequest asks a worker to run a task.
type StartRequest struct {
	TaskID string `json:"task_id"`
	// Attempt fences earlier starts of the task.
	Attempt int    `json:"attempt"`
	Queue   string `json:"queue"`
	Payload []byte `json:"payload,omitempty"`
	LeaseMS int64  `json:"lease_ms"`
	// Checkpoint is where an earlier attempt left off, or empty.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// CheckpointResponse is where a task stands.
type CheckpointResponse struct {
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// ThrottleRequest asks a worker to run a task at a part of its speed.
type ThrottleRequest struct {
	effect.TaskAttempt
	// Percent is from 1 to 100.
	Percent int `json:"percent"`
}

// PollRequest asks for the state of tasks and renews their leases.
type PollRequest struct {
	Tasks   []effect.TaskAttempt `json:"tasks"`
	LeaseMS int64                `json:"lease_ms"`
}

// PollResponse is a worker's report.
type PollResponse struct {
	Tasks []event.WorkerTask `json:"tasks"`
}

// Client calls workers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Timeout: callTimeout}}
}

// Start asks a worker to run a task. The event says what is known of it.
func (cli *Client) Start(ctx context.Context, eff effect.StartTask) event.TaskStartEnded {
	end := event.TaskStartEnded{Work: eff.Work, Attempt: eff.Attempt}
	req := StartRequest{
		TaskID: eff.TaskID, Attempt: eff.Attempt, Queue: eff.Queue,
		Payload: eff.Payload, LeaseMS: eff.Lease.Milliseconds(),
	}
	status, err := cli.post(ctx, eff.Address, PathStart, req, nil)
	switch {
	case err != nil:
		end.Reason = err.Error()
		end.Refused = netfail.IsRefused(err)
	case status == http.StatusOK:
		end.Accepted = true
	default:
		end.Refused = true
		end.Reason = fmt.Sprintf("the worker answered %d", status)
	}
	return end
}

// Poll asks a worker for its tasks.
func (cli *Client) Poll(ctx context.Context, eff effect.PollWorker) event.WorkerReported {
	var rsp PollResponse
	req := PollRequest{Tasks: eff.Tasks, LeaseMS: eff.Lease.Milliseconds()}
	status, err := cli.post(ctx, eff.Address, PathPoll, req, &rsp)
	if err != nil || status != http.StatusOK {
		return event.WorkerReported{VM: eff.VM}
	}
	return event.WorkerReported{VM: eff.VM, Reached: true, Tasks: rsp.Tasks}
}

// Stop asks a worker to stop a task. It is tried once; a worker that misses it
// stops the task when its lease lapses.
func (cli *Client) Stop(ctx context.Context, eff effect.StopTask) {
	_, _ = cli.post(ctx, eff.Address, PathStop, eff.TaskAttempt, nil)
}

func (cli *Client) post(ctx context.Context, address, path string, req, rsp any) (status int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("call worker at %s: %w", address, err)
		}
	}()
	body, err := json.Marshal(req)
	if err != nil {
		return 0, err
	}
	hrq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	hrq.GetBody = nil
	hrs, err := cli.http.Do(hrq)
	if err != nil {
		return 0, err
	}
	defer func() { _ = hrs.Body.Close() }()
	data, err := io.ReadAll(hrs.Body)
	if err == nil && rsp != nil && hrs.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, rsp)
	}
	return hrs.StatusCode, err
}
