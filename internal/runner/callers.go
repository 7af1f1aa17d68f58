package runner

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/core/key"
	"github.com/balsamgauge/balsamgauge/internal/exchange"
	"github.com/balsamgauge/balsamgauge/pkg/outcome"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// timeoutHeader lets a caller shorten the route's deadline, as in "1.5s".
const timeoutHeader = "Balsamgauge-Timeout"

// ReadyPath is the path of the load balancer's readiness check on the callers'
// listener.
const ReadyPath = "/-/ready"

// TaskResponse is the body of a response about a task.
type TaskResponse struct {
	Outcome outcome.Outcome `json:"outcome"`
	ID      string          `json:"id"`
	Queue   string          `json:"queue,omitempty"`
	State   string          `json:"state,omitempty"`
	Attempt int             `json:"attempt,omitempty"`
	Result  []byte          `json:"result,omitempty"`
	Reason  string          `json:"reason,omitempty"`
}

func (rnr *Runner) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReadyPath, rnr.serveReady)
	mux.HandleFunc("POST /v1/queues/{queue}/tasks", rnr.serveSubmit)
	mux.HandleFunc("GET /v1/tasks/{task}", rnr.serveTask)
	mux.HandleFunc("DELETE /v1/tasks/{task}", rnr.serveTaskCancel)
	mux.HandleFunc("/", rnr.serveRequest)
	return mux
}

func (rnr *Runner) serveReady(wrt http.ResponseWriter, _ *http.Request) {
	if !rnr.ready.Load() {
		wrt.WriteHeader(http.StatusServiceUnavailable)
	}
}

// keyHash returns the hash of the API key in a request's Authorization header,
// or "" if there is none.
func keyHash(req *http.Request) string {
	secret, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return ""
	}
	return key.Hash(secret)
}

// errBodyIncomplete is returned for a request body that could not be read to
// its end.
var errBodyIncomplete = errors.New("request body is incomplete")

func readBody(wrt http.ResponseWriter, req *http.Request, limit int64) (body []byte, err error) {
	body, err = io.ReadAll(http.MaxBytesReader(wrt, req.Body, limit))
	var tooLarge *http.MaxBytesError
	if err != nil && !errors.As(err, &tooLarge) {
		return nil, errBodyIncomplete
	}
	return body, err
}

func writeBodyRefusal(wrt http.ResponseWriter, err error) {
	ref := outcome.Refusal{Outcome: outcome.NotRun, Code: outcome.CodeBodyTooLarge, Message: "The body is larger than the route allows."}
	if errors.Is(err, errBodyIncomplete) {
		ref = outcome.Refusal{Outcome: outcome.NotRun, Code: outcome.CodeInvalid, Message: "The body did not arrive whole."}
	}
	writeRefusal(wrt, ref)
}

func (rnr *Runner) serveRequest(wrt http.ResponseWriter, req *http.Request) {
	timeout, err := parseTimeout(req.Header.Get(timeoutHeader))
	if err != nil {
		writeRefusal(wrt, outcome.Refusal{Outcome: outcome.NotRun, Code: outcome.CodeInvalid, Message: err.Error()})
		return
	}
	body, err := readBody(wrt, req, rnr.bodyLimit(req.URL.Path))
	if err != nil {
		writeBodyRefusal(wrt, err)
		return
	}
	exc := rnr.exchanges.Open(exchange.Request{
		Method: req.Method, Target: req.URL.RequestURI(), Header: req.Header, Body: body,
	})
	rnr.Post(event.RequestArrived{
		Request: exc.ID, Path: req.URL.Path, KeyHash: keyHash(req),
		Idempotent:     isIdempotent(req.Method),
		IdempotencyKey: req.Header.Get("Idempotency-Key"),
		BodyBytes:      int64(len(body)), Timeout: timeout,
	})
	rnr.serveReply(wrt, req, exc)
}

// bodyLimit returns the largest number of body bytes to read for a path. It is
// one byte more than the route allows: a body of that size is refused by the
// reducer, and a larger one by the handler, so that no more of it is held in
// memory. For a path without a route the limit is table.DefaultMaxBody.
func (rnr *Runner) bodyLimit(path string) int64 {
	if rou, ok := rnr.config.Load().RouteFor(path); ok {
		return rou.MaxBodyBytes + 1
	}
	return table.DefaultMaxBody
}

// serveReply waits for the reply of an exchange and writes it. If the caller
// disconnects first, the request is cancelled.
func (rnr *Runner) serveReply(wrt http.ResponseWriter, req *http.Request, exc *exchange.Exchange) {
	select {
	case rep := <-exc.Reply():
		writeReply(wrt, rep)
	case <-req.Context().Done():
		rnr.Post(event.RequestCancelled{Request: exc.ID})
		rnr.exchanges.Drop(exc.ID)
	case <-rnr.callsCtx.Done():
		// The entry has exited: the connection is closed without a response.
		panic(http.ErrAbortHandler)
	}
}

func (rnr *Runner) serveSubmit(wrt http.ResponseWriter, req *http.Request) {
	payload, err := readBody(wrt, req, table.MaxTaskPayload+1)
	if err != nil {
		writeBodyRefusal(wrt, err)
		return
	}
	exc := rnr.exchanges.Open(exchange.Request{})
	rnr.Post(event.TaskSubmitted{
		Request: exc.ID, Queue: req.PathValue("queue"), KeyHash: keyHash(req), Payload: payload,
	})
	// A caller that disconnects does not cancel its submission: the record of
	// the task may already be on its way to the store.
	rnr.serveReply(wrt, req, exc)
}

func (rnr *Runner) serveTask(wrt http.ResponseWriter, req *http.Request) {
	exc := rnr.exchanges.Open(exchange.Request{})
	rnr.Post(event.TaskQueried{Request: exc.ID, TaskID: req.PathValue("task"), KeyHash: keyHash(req)})
	rnr.serveReply(wrt, req, exc)
}

func (rnr *Runner) serveTaskCancel(wrt http.ResponseWriter, req *http.Request) {
	exc := rnr.exchanges.Open(exchange.Request{})
	rnr.Post(event.TaskCancelled{Request: exc.ID, TaskID: req.PathValue("task"), KeyHash: keyHash(req)})
	rnr.serveReply(wrt, req, exc)
}

func writeReply(wrt http.ResponseWriter, rep exchange.Reply) {
	switch rep := rep.(type) {
	case exchange.HTTPResponse:
		writeHTTPResponse(wrt, rep)
	case exchange.Refusal:
		writeRefusal(wrt, rep.Refusal)
	case exchange.Accepted:
		writeOutcome(wrt, http.StatusAccepted, outcome.Accepted, TaskResponse{Outcome: outcome.Accepted, ID: rep.TaskID})
	case exchange.TaskStatus:
		sts := rep.Status
		writeOutcome(wrt, http.StatusOK, outcome.Answered, TaskResponse{
			Outcome: outcome.Answered, ID: sts.ID, Queue: sts.Queue, State: string(sts.State),
			Attempt: sts.Attempt, Result: sts.Result, Reason: sts.Reason,
		})
	}
}

// writeHTTPResponse relays an upstream's response. It leaves out the headers
// that concern only the connection to the upstream or that net/http sets.
func writeHTTPResponse(wrt http.ResponseWriter, rsp exchange.HTTPResponse) {
	for name, values := range rsp.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer":
		default:
			wrt.Header()[name] = values
		}
	}
	wrt.Header().Set(outcome.Header, string(outcome.Answered))
	wrt.WriteHeader(rsp.Status)
	_, _ = wrt.Write(rsp.Body)
}

func writeRefusal(wrt http.ResponseWriter, ref outcome.Refusal) {
	writeOutcome(wrt, ref.Code.HTTPStatus(), ref.Outcome, ref)
}

func writeOutcome(wrt http.ResponseWriter, status int, out outcome.Outcome, body any) {
	wrt.Header().Set(outcome.Header, string(out))
	writeJSON(wrt, status, body)
}

func writeJSON(wrt http.ResponseWriter, status int, body any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(body)
}

// isIdempotent reports whether RFC 9110, section 9.2.2, defines a method as
// idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, errors.New(timeoutHeader + " must be a positive span such as 1.5s")
	}
	return timeout, nil
}
