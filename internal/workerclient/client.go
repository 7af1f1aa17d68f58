// Package workerclient is a client of the platform's protocol for workers. A
// worker is a VM's service that runs tasks. Each task is started under a lease; polls
// return the state of tasks and renew their leases.
package workerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/netfail"
	"github.com/balsamgauge/balsamgauge/internal/transport"
)

// callTimeout is the time a worker has to respond to a call.
const callTimeout = time.Second

// Paths of the protocol.
const (
	PathStart = "/v1/start"
	PathPoll  = "/v1/poll"
	PathStop  = "/v1/stop"
	// PathCheckpoint and PathThrottle are part of the platform's protocol but not
	// used by the entries yet.
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
)

// StartRequest is a request to run a task.
type StartRequest struct {
	TaskID string `json:"task_id"`
	// Attempt is the fencing token: a worker refuses earlier attempts at the
	// task.
	Attempt int    `json:"attempt"`
	Queue   string `json:"queue"`
	Payload []byte `json:"payload,omitempty"`
	LeaseMS int64  `json:"lease_ms"`
	// Checkpoint is the state from which to resume an earlier attempt, or empty.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// CheckpointResponse contains a checkpoint of a running task.
type CheckpointResponse struct {
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// ThrottleRequest is a request to run a task at reduced speed.
type ThrottleRequest struct {
	effect.TaskAttempt
	// Percent is the percentage of full speed, from 1 to 100.
	Percent int `json:"percent"`
}

// PollRequest queries the state of tasks and renews their leases.
type PollRequest struct {
	Tasks   []effect.TaskAttempt `json:"tasks"`
	LeaseMS int64                `json:"lease_ms"`
}

// PollResponse contains the state of the tasks that a worker reports.
type PollResponse struct {
	Tasks []event.WorkerTask `json:"tasks"`
}

// Client sends requests to workers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	return &Client{http: &http.Client{Timeout: callTimeout}}
}

// Start requests that a worker runs a task. The event reports whether the
// worker accepted it, refused it or may have accepted it.
func (cli *Client) Start(ctx context.Context, eff effect.StartTask) event.TaskStartEnded {
	ended := event.TaskStartEnded{Work: eff.Work, Attempt: eff.Attempt}
	req := StartRequest{
		TaskID: eff.TaskID, Attempt: eff.Attempt, Queue: eff.Queue,
		Payload: eff.Payload, LeaseMS: eff.Lease.Milliseconds(),
	}
	status, err := cli.post(ctx, eff.Address, PathStart, req, nil)
	switch {
	case err != nil:
		ended.Reason = err.Error()
		ended.NotAccepted = netfail.IsDialError(err)
	case status == http.StatusOK:
		ended.Accepted = true
	default:
		ended.NotAccepted = true
		ended.Reason = fmt.Sprintf("the worker answered %d", status)
	}
	return ended
}

// Poll queries the state of tasks at a worker and renews their leases.
func (cli *Client) Poll(ctx context.Context, eff effect.PollWorker) event.WorkerReported {
	var rsp PollResponse
	req := PollRequest{Tasks: eff.Tasks, LeaseMS: eff.Lease.Milliseconds()}
	status, err := cli.post(ctx, eff.Address, PathPoll, req, &rsp)
	if err != nil || status != http.StatusOK {
		return event.WorkerReported{VM: eff.VM}
	}
	return event.WorkerReported{VM: eff.VM, Reached: true, Tasks: rsp.Tasks}
}

// Stop requests that a worker stops a task. The request is sent once and errors
// are ignored: a worker that does not receive it stops the task when the lease
// expires.
func (cli *Client) Stop(ctx context.Context, eff effect.StopTask) {
	_, _ = cli.post(ctx, eff.Address, PathStop, eff.TaskAttempt, nil)
}

// post sends a request and decodes the response into rsp, if rsp is not nil and
// the status is 200.
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
	// Without GetBody the transport can't send the body a second time by itself.
	// Only the reducer may decide to retry.
	hrq.GetBody = nil
	hrs, err := cli.http.Do(hrq)
	if err != nil {
		return 0, err
	}
	defer func() { _ = hrs.Body.Close() }()
	data, err := transport.ReadBody(hrs.Body, transport.MaxBodyBytes)
	if err == nil && rsp != nil && hrs.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, rsp)
	}
	return hrs.StatusCode, err
}
