package site

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDelayedOrderEndsWithItsVM guards against an order that a VM receives late and
// that the next VM with the same id carries out.
func TestDelayedOrderEndsWithItsVM(t *testing.T) {
	sit, err := Start(Options{Pool: "lots", Workers: 1, TaskDuration: time.Hour})
	assert.NilError(t, err)
	defer sit.Stop()
	wor := sit.Workers[0]
	wor.SetOrderDelay(300 * time.Millisecond)
	answered := make(chan error, 1)
	go func() {
		body := `{"task":"j.0.0.0","run":1,"fencing-token":1,"deadline-ms":60000}`
		req, err := http.NewRequest(http.MethodPost, "http://"+wor.address+"/run-start", strings.NewReader(body))
		if err != nil {
			answered <- err
			return
		}
		req.Header.Set("X-Expected-Instance", "vm-0")
		rsp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = rsp.Body.Close()
		}
		answered <- err
	}()
	time.Sleep(100 * time.Millisecond)
	wor.Restart(10 * time.Millisecond)
	assert.ErrorContains(t, <-answered, "EOF")
	id, _, ok := wor.RunningVM()
	assert.Assert(t, ok && id == "vm-0")
	assert.Equal(t, sit.StartedRuns("j"), 0)
}

// TestPollEndsWithItsVM guards against a poll of a VM that the next VM with the same id
// answers.
func TestPollEndsWithItsVM(t *testing.T) {
	sit := startSite(t, 1)
	wor := sit.Workers[0]
	answered := make(chan error, 1)
	go func() {
		_, err := post(wor.address, "/hold", "vm-0", `{"fencing-token":1,"deadline-ms":4000,"wait-ms":2000}`)
		answered <- err
	}()
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	wor.Restart(10 * time.Millisecond)
	err := <-answered
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Assert(t, time.Since(began) < time.Second)
}

// TestRestartUnderOneID checks that a VM that starts again under its id begins with a new
// start time, a new clock and no fencing token, and that a poll that was meant for its
// former incarnation gives it the longest lease.
func TestRestartUnderOneID(t *testing.T) {
	sit, err := Start(Options{Pool: "lots", Workers: 1, TaskDuration: time.Hour, LongestLease: 2 * time.Second})
	assert.NilError(t, err)
	defer sit.Stop()
	wor := sit.Workers[0]
	status, err := post(wor.address, "/hold", "vm-0", `{"fencing-token":7,"deadline-ms":1000}`)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	former := wor.born
	time.Sleep(200 * time.Millisecond)
	// A poll of the former incarnation that the next one carries out.
	wor.SetCallsLate(300 * time.Millisecond)
	_, err = post(wor.address, "/hold", "vm-0", `{"fencing-token":7,"deadline-ms":900000,"wait-ms":2000}`)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	wor.SetCallsLate(0)
	wor.Restart(100 * time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	wor.mu.Lock()
	assert.Assert(t, wor.isUpSince(wor.born) && wor.born.UnixMilli() > former.UnixMilli())
	assert.Assert(t, wor.clock() < 150*time.Millisecond, "%v", wor.clock())
	assert.Assert(t, wor.vmToken == 0 && wor.deadline == 0)
	wor.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	// The deadline of the start is short, and that of the late poll holds.
	status, err = post(wor.address, "/run-start", "vm-0", `{"task":"j.0.0.0","run":1,"fencing-token":7,"deadline-ms":1000}`)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	wor.mu.Lock()
	assert.Assert(t, wor.deadline > 2*time.Second && wor.deadline < 2500*time.Millisecond, "%v", wor.deadline)
	wor.mu.Unlock()
	// The start itself needs a deadline that the clock has not reached.
	assert.Equal(t, sit.StartedRuns("j"), 1)
	time.Sleep(1200 * time.Millisecond)
	assert.Equal(t, sit.runningRuns("j.0.0.0"), 1)
	time.Sleep(1300 * time.Millisecond)
	assert.Equal(t, sit.runningRuns("j.0.0.0"), 0)
}

// runningRuns returns the number of runs of a task in progress.
func (sit *Site) runningRuns(task string) int {
	sit.mu.Lock()
	defer sit.mu.Unlock()
	return sit.running[task]
}

// TestCutVMWorksOn checks that the registration of a VM that doesn't reach the store
// expires, that the VM works on, also once it has started again under its id, and that
// its registration is back after the cut.
func TestCutVMWorksOn(t *testing.T) {
	sit := startSite(t, 1)
	wor := sit.Workers[0]
	registration := func() []byte { return sit.Store.Value(registrationPrefix + "vm-0") }
	before := registration()
	wor.Cut()
	status, err := post(wor.address, "/run-start", "vm-0", `{"task":"j.0.0.0","run":1,"fencing-token":1,"deadline-ms":60000}`)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	time.Sleep(2 * heartbeat)
	assert.DeepEqual(t, registration(), before)
	wor.Restart(10 * time.Millisecond)
	time.Sleep(registrationExpiry - 2*heartbeat + 100*time.Millisecond)
	assert.Equal(t, len(registration()), 0)
	status, err = post(wor.address, "/run-start", "vm-0", `{"task":"j.0.0.0","run":2,"fencing-token":1,"deadline-ms":60000}`)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(registration()), 0)
	wor.Cut()
	wor.Uncut()
	assert.Equal(t, len(registration()), 0)
	wor.Uncut()
	time.Sleep(heartbeat + 100*time.Millisecond)
	after := registration()
	assert.Assert(t, len(after) > 0 && string(after) != string(before), "%s", after)
	assert.Equal(t, sit.runningRuns("j.0.0.0"), 1)
}
