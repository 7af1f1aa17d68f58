package advisory

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"gotest.tools/v3/assert"
)

// TestOddRelayAddress guards against ticket sources that can't be reached, which
// count as available and take queries.
func TestOddRelayAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	poo := NewPool(func() time.Time { return now })
	wat := &Watcher{Pool: poo, Name: "own", Local: emptySource{}, Log: decisionlog.New(io.Discard, "test", time.Now)}
	wat.reset([]kv.Item{
		{Key: Prefix + "own", Value: []byte("10.0.0.1:7000"), Revision: 1},
		{Key: Prefix + "good", Value: []byte("10.0.0.2:7000"), Revision: 2},
		{Key: Prefix + "empty", Revision: 3},
		{Key: Prefix + "port", Value: []byte("10.0.0.3:8345678"), Revision: 4},
		{Key: Prefix + "path", Value: []byte("10.0.0.3:80/x"), Revision: 5},
		{Key: Prefix + "long", Value: []byte(strings.Repeat("h", 100_000) + ":80"), Revision: 6},
		{Key: Prefix + "bytes", Value: []byte{0xff, 0, ':', '8'}, Revision: 7},
	})
	assert.Equal(t, poo.Available(), 2)
	wat.change(kv.Change{Item: kv.Item{Key: Prefix + "good", Value: []byte("10.0.0.2:0"), Revision: 8}})
	assert.Equal(t, poo.Available(), 1)
	_, err := poo.RequestTickets(context.Background(), Query{Job: "j"})
	assert.NilError(t, err)
	wat.change(kv.Change{Item: kv.Item{Key: Prefix + "good", Value: []byte("10.0.0.2:7000"), Revision: 9}})
	assert.Equal(t, poo.Available(), 2)
}
