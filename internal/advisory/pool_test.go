package advisory

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"gotest.tools/v3/assert"
)

// gatedAsker answers once its gate opens.
type gatedAsker struct {
	gate  chan error
	asked atomic.Int32
}

func (ask *gatedAsker) RequestTickets(ctx context.Context, _ Query) (Tickets, error) {
	ask.asked.Add(1)
	select {
	case err := <-ask.gate:
		return Tickets{ByVM: map[string]string{"vm": "t"}, Valid: time.Second}, err
	case <-ctx.Done():
		return Tickets{}, ctx.Err()
	}
}

// TestOneQuestionForEachAsker has more questions than askers. The others wait.
func TestOneQuestionForEachAsker(t *testing.T) {
	now := time.Unix(1000, 0)
	poo := NewPool(func() time.Time { return now })
	askers := map[string]*gatedAsker{"a": {gate: make(chan error)}, "b": {gate: make(chan error)}}
	poo.Set([]string{"a", "b"}, func(name string) TicketSource { return askers[name] })
	answers := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := poo.RequestTickets(context.Background(), Query{Job: "j"})
			answers <- err
		}()
	}
	askers["a"].gate <- nil
	askers["b"].gate <- nil
	assert.NilError(t, <-answers)
	assert.NilError(t, <-answers)
	select {
	case askers["a"].gate <- nil:
	case askers["b"].gate <- nil:
	}
	assert.NilError(t, <-answers)
	assert.Equal(t, askers["a"].asked.Load()+askers["b"].asked.Load(), int32(3))
}

// TestAskerThatFailsRests leaves an asker out after a failure, and takes it back
// after a while.
func TestAskerThatFailsRests(t *testing.T) {
	now := time.Unix(1000, 0)
	poo := NewPool(func() time.Time { return now })
	ask := &gatedAsker{gate: make(chan error, 1)}
	poo.Set([]string{"a"}, func(string) TicketSource { return ask })
	ask.gate <- errors.New("connection reset")
	_, err := poo.RequestTickets(context.Background(), Query{Job: "j", Step: 2})
	assert.ErrorContains(t, err, "step 2 of job j by a: connection reset")
	assert.Equal(t, poo.Available(), 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = poo.RequestTickets(ctx, Query{})
	assert.ErrorContains(t, err, "no asker is free")
	now = now.Add(restTime)
	assert.Equal(t, poo.Available(), 1)
	ask.gate <- nil
	ans, err := poo.RequestTickets(context.Background(), Query{})
	assert.NilError(t, err)
	assert.Equal(t, ans.Sent, now)
}

// TestRelay carries a question to another entry and its answer back.
func TestRelay(t *testing.T) {
	ask := &gatedAsker{gate: make(chan error, 2)}
	log := decisionlog.New(io.Discard, "test", time.Now)
	srv := httptest.NewServer(NewRelay(ask, log))
	defer srv.Close()
	rem := dialRemote(strings.TrimPrefix(srv.URL, "http://"))
	ask.gate <- nil
	tks, err := rem.RequestTickets(context.Background(), Query{Job: "j", VMs: []string{"vm"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, tks, Tickets{ByVM: map[string]string{"vm": "t"}, Valid: time.Second})
	ask.gate <- errors.New("status 429")
	_, err = rem.RequestTickets(context.Background(), Query{})
	assert.ErrorContains(t, err, "status 503")
}
