package advisory

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/vmihailenco/msgpack/v5"
)

type emptySource struct{}

func (emptySource) RequestTickets(context.Context, Query) (Tickets, error) { return Tickets{}, nil }

// FuzzQuery serves queries of other entries. Each must be answered or rejected
// as malformed.
func FuzzQuery(f *testing.F) {
	raw, err := msgpack.Marshal(&Query{Job: "j", Step: 1, VMs: []string{"vm"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x81, 0xa1, 'v', 0xdd, 0xff, 0xff, 0xff, 0xff})
	rel := NewRelay(emptySource{}, decisionlog.New(io.Discard, "fuzz", time.Now))
	f.Fuzz(func(t *testing.T, raw []byte) {
		rec := httptest.NewRecorder()
		rel.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(raw)))
		if rec.Code != http.StatusOK && rec.Code != http.StatusBadRequest {
			t.Errorf("status %d", rec.Code)
		}
	})
}
