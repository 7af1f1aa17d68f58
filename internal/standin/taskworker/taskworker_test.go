package taskworker

import (
	"net/http"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/core/event"
	"github.com/balsamgauge/balsamgauge/internal/workerclient"
	"gotest.tools/v3/assert"
)

var began = time.Unix(1_800_000_000, 0)

func newWorker() *Worker {
	return &Worker{vm: "w", recorder: &Recorder{}, tasks: map[string]*taskRun{}, fences: map[string]int{}}
}

func (wkr *Worker) stateAt(after time.Duration, attempt int) event.WorkerState {
	rsp, _ := wkr.poll(began.Add(after), workerclient.PollRequest{
		Tasks: []effect.TaskAttempt{{TaskID: "t", Attempt: attempt}}, LeaseMS: 5000,
	})
	return rsp.Tasks[0].State
}

func start(attempt int, checkpoint string) workerclient.StartRequest {
	return workerclient.StartRequest{TaskID: "t", Attempt: attempt, Payload: []byte("10s"), LeaseMS: 5000, Checkpoint: []byte(checkpoint)}
}

// TestLeaseThatLapsesStopsTheTask guards against a task that completes although
// its lease lapsed before its end.
func TestLeaseThatLapsesStopsTheTask(t *testing.T) {
	wkr := newWorker()
	wkr.start(began, start(1, ""))
	assert.Equal(t, wkr.stateAt(4*time.Second, 1), event.WorkerRunning)
	assert.Equal(t, wkr.stateAt(10*time.Second, 1), event.WorkerFailed)
}

// TestAttemptIsFenced guards against a delayed start that runs an attempt after a
// poll has reported it as unknown.
func TestAttemptIsFenced(t *testing.T) {
	wkr := newWorker()
	assert.Equal(t, wkr.stateAt(0, 2), event.WorkerUnknown)
	_, status := wkr.start(began, start(2, ""))
	assert.Equal(t, status, http.StatusConflict, "an attempt that was reported as unknown is refused")
	_, status = wkr.start(began, start(3, ""))
	assert.Equal(t, status, http.StatusOK)
}

// TestThrottleAndCheckpoint guards against a checkpoint that ignores the speed of
// the task, and a start that ignores the checkpoint.
func TestThrottleAndCheckpoint(t *testing.T) {
	wkr := newWorker()
	wkr.start(began, start(1, ""))
	half := workerclient.ThrottleRequest{TaskAttempt: effect.TaskAttempt{TaskID: "t", Attempt: 1}, Percent: 50}
	_, status := wkr.throttle(began.Add(2*time.Second), half)
	assert.Equal(t, status, http.StatusOK)
	rsp, _ := wkr.checkpoint(began.Add(4*time.Second), half.TaskAttempt)
	assert.Equal(t, string(rsp.Checkpoint), "7s")
	wkr.stop(began.Add(4*time.Second), half.TaskAttempt)
	wkr.start(began.Add(4*time.Second), start(2, "7s"))
	assert.Equal(t, wkr.stateAt(8*time.Second, 2), event.WorkerRunning)
	assert.Equal(t, wkr.stateAt(11*time.Second, 2), event.WorkerDone)
}
