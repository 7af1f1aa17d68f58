package manager

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/kv"
	"github.com/balsamgauge/balsamgauge/platform"
	"gotest.tools/v3/assert"
)

// TestDispatcherBeforeFirstConfirmation guards against a dispatcher that takes the
// duty before its process has read the configuration, misses the confirmation and
// dispatches nothing until the operator next changes a key.
func TestDispatcherBeforeFirstConfirmation(t *testing.T) {
	log := decisionlog.New(io.Discard, "entry-0", time.Now)
	synctest.Test(t, func(t *testing.T) {
		opv := newOperatorView(log, time.Now)
		dis := &dispatcher{nod: &Node{log: log, operator: opv}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		read := make(chan snapshot, 1)
		go func() {
			if sna, ok := dis.firstSnapshot(ctx); ok {
				read <- sna
			}
		}()
		synctest.Wait()
		sent := time.Now()
		opv.reset([]kv.Item{{Key: platform.ConfigKey, Value: []byte(`{"version":1}`), Revision: 7}})
		// The dispatcher sees the configuration before it is confirmed.
		synctest.Wait()
		opv.confirm(sent)
		synctest.Wait()
		select {
		case sna := <-read:
			assert.Equal(t, int(sna.view.Catalog.Revision), 7)
		default:
			t.Fatal("the dispatcher still waits for the configuration after it was confirmed")
		}
	})
}
