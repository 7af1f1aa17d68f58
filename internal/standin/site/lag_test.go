package site

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// post sends an order to an address, for a VM if it names one.
func post(address, path, vm, body string) (status int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Expected-Instance", vm)
	req.Header.Set("X-Fencing-Token", "1")
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return rsp.StatusCode, rsp.Body.Close()
}

// startSite starts a site with machines of one pool.
func startSite(t *testing.T, machines int) *Site {
	sit, err := Start(Options{Pool: "lots", Workers: machines, TaskDuration: time.Hour})
	assert.NilError(t, err)
	t.Cleanup(sit.Stop)
	return sit
}

// listedState returns the state of the first machine in the list of machines.
func listedState(sit *Site) (state machineState, err error) {
	rsp, err := http.Get("http://" + sit.MachinesAddress + "/machines")
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, rsp.Body.Close()) }()
	var list struct {
		Machines []struct {
			State machineState `json:"state"`
		} `json:"machines"`
	}
	if err := json.NewDecoder(rsp.Body).Decode(&list); err != nil {
		return "", err
	}
	return list.Machines[0].State, nil
}

// TestDelayedListShowsWhatWas checks that a list of machines that is delayed shows the
// machines as they were before the delay, and that the delay ends.
func TestDelayedListShowsWhatWas(t *testing.T) {
	sit := startSite(t, 1)
	sit.SetListDelay(400 * time.Millisecond)
	began := time.Now()
	time.AfterFunc(200*time.Millisecond, func() { sit.Workers[0].Crash(time.Hour) })
	state, err := listedState(sit)
	assert.NilError(t, err)
	assert.Equal(t, state, machineUp)
	assert.Assert(t, time.Since(began) >= 400*time.Millisecond)
	sit.SetListDelay(0)
	state, err = listedState(sit)
	assert.NilError(t, err)
	assert.Equal(t, state, machineDown)
}

// TestLostAnswersOfUpkeep checks that an order for upkeep whose answer is lost is
// carried out, and that the fault ends.
func TestLostAnswersOfUpkeep(t *testing.T) {
	sit := startSite(t, 2)
	sit.RequestWave(1, []string{"m-vm-0", "m-vm-1"}, time.Minute, 2)
	sit.SetMachineAnswersLost(true)
	_, err := post(sit.MachinesAddress, "/machine-upkeep", "", `{"machine":"m-vm-0","wave":1}`)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	state, err := listedState(sit)
	assert.NilError(t, err)
	assert.Equal(t, state, machineUpkeep)
	sit.SetMachineAnswersLost(false)
	status, err := post(sit.MachinesAddress, "/machine-upkeep", "", `{"machine":"m-vm-1","wave":1}`)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.DeepEqual(t, sit.Violations(), []string(nil))
}

// TestWaveCompletedTooSoon checks that a wave that is reported as completed before the
// upkeep of each of its machines has begun is a violation.
func TestWaveCompletedTooSoon(t *testing.T) {
	sit := startSite(t, 2)
	sit.RequestWave(1, []string{"m-vm-0", "m-vm-1"}, time.Minute, 2)
	complete := func() {
		// The value is {"state":"completed"} in base64.
		status, err := post(sit.StoreAddress, "/kv-txn", "", `{"puts":[{"key":"status/wave/1","value":"eyJzdGF0ZSI6ImNvbXBsZXRlZCJ9"}]}`)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	_, err := post(sit.MachinesAddress, "/machine-upkeep", "", `{"machine":"m-vm-0","wave":1}`)
	assert.NilError(t, err)
	complete()
	assert.DeepEqual(t, sit.Violations(), []string{"wave 1 is reported as completed, but the upkeep of m-vm-1 has not begun"})
	_, err = post(sit.MachinesAddress, "/machine-upkeep", "", `{"machine":"m-vm-1","wave":1}`)
	assert.NilError(t, err)
	complete()
	assert.Equal(t, len(sit.Violations()), 1)
}

// TestLateOrderReachesRebornVM checks that a start without an answer is carried out
// late by the VM that has the id by then, but not after a stop of its run.
func TestLateOrderReachesRebornVM(t *testing.T) {
	for _, tst := range []struct {
		name  string
		stop  bool
		begin func(wor *Worker, downtime time.Duration)
		want  int
	}{
		{"same id", false, (*Worker).Restart, 1},
		{"same id, stopped", true, (*Worker).Restart, 0},
		{"another id", false, (*Worker).Crash, 0},
	} {
		t.Run(tst.name, func(t *testing.T) {
			sit := startSite(t, 1)
			wor := sit.Workers[0]
			wor.SetOrdersLate(500 * time.Millisecond)
			_, err := post(wor.address, "/run-start", "vm-0", `{"task":"j.0.0.0","run":1,"fencing-token":1,"deadline-ms":60000}`)
			assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
			wor.SetOrdersLate(0)
			tst.begin(wor, 10*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			if tst.stop {
				_, err := post(wor.address, "/run-stop", "vm-0", `{"task":"j.0.0.0","run":1,"fencing-token":1}`)
				assert.NilError(t, err)
			}
			assert.Equal(t, sit.StartedRuns("j"), 0)
			time.Sleep(700 * time.Millisecond)
			assert.Equal(t, sit.StartedRuns("j"), tst.want)
		})
	}
}

// TestLeaseIsBounded guards against a VM that runs tasks without end by the deadline of
// an order to the incarnation before it, whose clock was far ahead.
func TestLeaseIsBounded(t *testing.T) {
	sit := startSite(t, 1)
	wor := sit.Workers[0]
	_, err := post(wor.address, "/hold", "vm-0", `{"fencing-token":1,"deadline-ms":3600000}`)
	assert.NilError(t, err)
	wor.mu.Lock()
	defer wor.mu.Unlock()
	assert.Assert(t, wor.deadline > 0 && wor.deadline <= wor.clock()+maxLease, "%v", wor.deadline)
}
