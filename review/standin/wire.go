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

// wire is the way to one executor. The executor is registered under its address, over
// all lives.
type wire struct {
	exe     *executor
	address string
}

// lateStart is a start that is delivered late, on any wire.
type lateStart struct {
	mu sync.Mutex
	// job is that of the start; empty if there is none to delay.
	job  string
	hold time.Duration
	// taken gets the executor for which the start is.
	taken chan *executor
	// since is when the delay was asked for, and orders counts the orders from then on.
	since  time.Time
	orders int
}

// delay makes the next start of a job late.
func (lat *lateStart) delay(job string, hold time.Duration) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	lat.job, lat.hold, lat.since, lat.orders = job, hold, time.Now(), 0
}

// lateWindow is the time in which orders are counted, that of the site file's
// applied_late.
const lateWindow = 5200 * time.Millisecond

// take counts an order and returns how long it is on its way.
func (lat *lateStart) take(exe *executor, path string, raw []byte) (hold time.Duration) {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	if time.Since(lat.since) < lateWindow {
		lat.orders++
	}
	if lat.job == "" || path != "/run-start" || !strings.Contains(string(raw), lat.job) {
		return 0
	}
	lat.job = ""
	lat.taken <- exe
	return lat.hold
}

// count returns the number of orders in the window.
func (lat *lateStart) count() int {
	lat.mu.Lock()
	defer lat.mu.Unlock()
	return lat.orders
}

// ServeHTTP passes an order on to the life that is there when it arrives.
func (wir *wire) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx := req.Context()
	hold := wir.exe.wld.lateStart.take(wir.exe, req.URL.Path, raw)
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
