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

// gatedSource answers once its gate opens.
type gatedSource struct {
	gate     chan error
	requests atomic.Int32
}

func (src *gatedSource) RequestTickets(ctx context.Context, _ Query) (Tickets, error) {
	src.requests.Add(1)
	select {
	case err := <-src.gate:
		return Tickets{ByVM: map[string]string{"vm": "t"}, Valid: time.Second}, err
	case <-ctx.Done():
		return Tickets{}, ctx.Err()
	}
}

// TestOneQueryPerSource has more queries than sources. The excess queries wait.
func TestOneQueryPerSource(t *testing.T) {
	now := time.Unix(1000, 0)
	poo := NewPool(func() time.Time { return now })
	sources := map[string]*gatedSource{"a": {gate: make(chan error)}, "b": {gate: make(chan error)}}
	poo.Set([]string{"a", "b"}, func(name string) TicketSource { return sources[name] })
	answers := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := poo.RequestTickets(context.Background(), Query{Job: "j"})
			answers <- err
		}()
	}
	sources["a"].gate <- nil
	sources["b"].gate <- nil
	assert.NilError(t, <-answers)
	assert.NilError(t, <-answers)
	select {
	case sources["a"].gate <- nil:
	case sources["b"].gate <- nil:
	}
	assert.NilError(t, <-answers)
	assert.Equal(t, sources["a"].requests.Load()+sources["b"].requests.Load(), int32(3))
}

// TestFailedSourceBacksOff checks that a source gets no queries after a failure
// until the backoff has passed.
func TestFailedSourceBacksOff(t *testing.T) {
	now := time.Unix(1000, 0)
	poo := NewPool(func() time.Time { return now })
	src := &gatedSource{gate: make(chan error, 1)}
	poo.Set([]string{"a"}, func(string) TicketSource { return src })
	src.gate <- errors.New("connection reset")
	_, err := poo.RequestTickets(context.Background(), Query{Job: "j", Step: 2})
	assert.ErrorContains(t, err, "step 2 of job j by a: connection reset")
	assert.Equal(t, poo.Available(), 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = poo.RequestTickets(ctx, Query{})
	assert.ErrorContains(t, err, "no ticket source is free")
	now = now.Add(failureBackoff)
	assert.Equal(t, poo.Available(), 1)
	src.gate <- nil
	ans, err := poo.RequestTickets(context.Background(), Query{})
	assert.NilError(t, err)
	assert.Equal(t, ans.Sent, now)
}

// TestRelay forwards a query to another entry and returns its response.
func TestRelay(t *testing.T) {
	src := &gatedSource{gate: make(chan error, 2)}
	log := decisionlog.New(io.Discard, "test", time.Now)
	srv := httptest.NewServer(NewRelay(src, log))
	defer srv.Close()
	rem := dialRemote(strings.TrimPrefix(srv.URL, "http://"))
	src.gate <- nil
	tks, err := rem.RequestTickets(context.Background(), Query{Job: "j", VMs: []string{"vm"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, tks, Tickets{ByVM: map[string]string{"vm": "t"}, Valid: time.Second})
	src.gate <- errors.New("status 429")
	_, err = rem.RequestTickets(context.Background(), Query{})
	assert.ErrorContains(t, err, "status 503")
}
