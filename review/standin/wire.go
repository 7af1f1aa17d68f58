package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// wire is the way to one executor. On demand it delivers one start late. The executor
// is registered under its address, over all lives.
type wire struct {
	exe     *executor
	address string

	mu sync.Mutex
	// hold is how long the next start of a job is on its way; held is closed when
	// there is one.
	hold time.Duration
	job  string
	held chan struct{}
}

// delay makes the next start of a job late.
func (wir *wire) delay(job string, hold time.Duration) (held <-chan struct{}) {
	wir.mu.Lock()
	defer wir.mu.Unlock()
	wir.job, wir.hold, wir.held = job, hold, make(chan struct{})
	return wir.held
}

// takeHold returns how long an order is on its way.
func (wir *wire) takeHold(path string, raw []byte) (hold time.Duration) {
	wir.mu.Lock()
	defer wir.mu.Unlock()
	if wir.job == "" || path != "/run-start" || !strings.Contains(string(raw), wir.job) {
		return 0
	}
	wir.job = ""
	close(wir.held)
	return wir.hold
}

// ServeHTTP passes an order on to the life that is there when it arrives.
func (wir *wire) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := req.Context()
	hold := wir.takeHold(req.URL.Path, raw)
	if hold > 0 {
		wir.exe.wld.rec.note("a start for machine %s is on its way for %v: %s", wir.exe.machine(), hold, raw)
		time.Sleep(hold)
		// Its caller no longer waits.
		ctx = context.WithoutCancel(ctx)
	}
	wir.exe.mu.Lock()
	address := wir.exe.address
	wir.exe.mu.Unlock()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+address+req.URL.RequestURI(), bytes.NewReader(raw))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header.Set("X-Expected-Instance", req.Header.Get("X-Expected-Instance"))
	rsp, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	if err != nil || hold > 0 {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(rsp.StatusCode)
	// An error means that the caller has left.
	_, _ = wri.Write(body)
}
