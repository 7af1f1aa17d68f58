package site

import (
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
