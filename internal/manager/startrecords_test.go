package manager

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/duty"
	"github.com/balsamgauge/balsamgauge/internal/core/job"
	"github.com/balsamgauge/balsamgauge/internal/core/scheduler"
	"github.com/balsamgauge/balsamgauge/internal/core/worker"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/election"
	"github.com/balsamgauge/balsamgauge/internal/hedge"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/platform"
	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// recordFixture is a dispatcher with a store and a VM that count what reaches them.
type recordFixture struct {
	dis *dispatcher
	vm  worker.VM
	// delay is how long the store takes, and refusing whether it refuses writes.
	delay    atomic.Int64
	refusing atomic.Bool
	// writes counts the writes that have reached the store, stored those that it carried
	// out, and starts the starts that have reached the VM.
	writes, stored, starts atomic.Int64
}

func newRecordFixture(t *testing.T) *recordFixture {
	fix := &recordFixture{}
	store := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		_, err := io.ReadAll(req.Body)
		assert.Check(t, err)
		fix.writes.Add(1)
		time.Sleep(time.Duration(fix.delay.Load()))
		if fix.refusing.Load() {
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fix.stored.Add(1)
		_, err = io.WriteString(wri, `{"revision":7}`)
		assert.Check(t, err)
	}))
	t.Cleanup(store.Close)
	executor := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		_, err := io.ReadAll(req.Body)
		assert.Check(t, err)
		fix.starts.Add(1)
		_, err = io.WriteString(wri, `{"clock-ms":5}`)
		assert.Check(t, err)
	}))
	t.Cleanup(executor.Close)
	fix.vm = worker.VM{ID: "i-1", Address: strings.TrimPrefix(executor.URL, "http://")}
	start := time.Now()
	fix.dis = &dispatcher{
		nod: &Node{
			log: decisionlog.New(io.Discard, "test", time.Now), now: time.Now, store: platform.NewStore(strings.TrimPrefix(store.URL, "http://")),
			executors: platform.NewExecutors(), repeats: platform.NewRepeatExecutors(),
		},
		ten:    election.NewTenure(duty.NewTenure(duty.Holder{Name: "entry-0", Term: 1}, 1, 1, start.Add(time.Minute), start)),
		events: make(chan arrival, 16),
	}
	fix.dis.nod.calls = hedge.NewCaller(time.Now, metrics.NewRegistry(), func(hedge.Report) {})
	return fix
}

// start passes the effects of a round with one start to the dispatcher.
func (fix *recordFixture) start(ctx context.Context) {
	name := job.Task{Job: "0123456789abcdef"}
	fix.dis.perform(ctx, time.Now(), scheduler.Start{VM: fix.vm, Token: 1, Task: name, Run: 1, Payload: "x", Deadline: time.Second})
	fix.dis.perform(ctx, time.Now(), scheduler.RecordStarts{Txn: kv.Txn{Puts: []kv.Put{{Key: "starts/1.1", Value: []byte("x")}}}})
}

// next returns the next event for the reducer.
func (fix *recordFixture) next(t *testing.T) scheduler.Event {
	select {
	case arr := <-fix.dis.events:
		return arr.event
	case <-time.After(5 * time.Second):
		t.Fatal("no event")
		return nil
	}
}

// TestStartWithoutRecordIsNotSent guards against a task that runs twice: the next dispatcher
// doesn't know of a start that is not recorded.
func TestStartWithoutRecordIsNotSent(t *testing.T) {
	fix := newRecordFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fix.refusing.Store(true)
	fix.start(ctx)
	evt, ok := fix.next(t).(scheduler.StartsNotRecorded)
	assert.Assert(t, ok && len(evt.Starts) == 1 && evt.Err != nil)
	assert.Equal(t, fix.starts.Load(), int64(0))
	fix.refusing.Store(false)
	fix.start(ctx)
	answered, ok := fix.next(t).(scheduler.StartAnswered)
	assert.Assert(t, ok && answered.Result == worker.ResultOK)
	assert.Equal(t, fix.stored.Load(), int64(1))
}

// TestStartsOnSlowStore guards against starts that wait for a slow store, and against starts
// without a record if the slow write fails: it is repeated, and other starts wait for theirs.
func TestStartsOnSlowStore(t *testing.T) {
	fix := newRecordFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fix.delay.Store(int64(300 * time.Millisecond))
	fix.refusing.Store(true)
	fix.start(ctx)
	_, ok := fix.next(t).(scheduler.StartAnswered)
	assert.Assert(t, ok)
	assert.Equal(t, fix.starts.Load(), int64(1))
	assert.Equal(t, fix.stored.Load(), int64(0))
	for fix.dis.lateRecords.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	fix.start(ctx)
	_, ok = fix.next(t).(scheduler.StartsNotRecorded)
	assert.Assert(t, ok)
	assert.Equal(t, fix.starts.Load(), int64(1), "a start is sent while another one's record is late")
	fix.refusing.Store(false)
	fix.delay.Store(0)
	for fix.dis.lateRecords.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, fix.stored.Load() > 0)
}

// TestStartAfterTenureIsNotSent guards against a start that leaves a process which stood still
// until its duty may have been taken over.
func TestStartAfterTenureIsNotSent(t *testing.T) {
	fix := newRecordFixture(t)
	start := time.Now()
	fix.dis.ten = election.NewTenure(duty.NewTenure(duty.Holder{Name: "entry-0", Term: 1}, 1, 1, start.Add(-duty.TTL), start))
	fix.start(context.Background())
	_, ok := fix.next(t).(scheduler.StartsNotRecorded)
	assert.Assert(t, ok)
	assert.Equal(t, fix.starts.Load(), int64(0))
}
