package soak

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/soak/ledger"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
	"gotest.tools/v3/assert"
)

// TestReloadDuringShutdown guards against a process that SIGHUP ends while it shuts
// down, before it has answered its open calls.
func TestReloadDuringShutdown(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "balsamgauge")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/balsamgauge").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	sit, err := site.Start(site.Options{Pool: queuePool, Workers: 1})
	assert.NilError(t, err)
	defer sit.Stop()
	sit.Configure(site.Config{Version: 1, Pools: []site.Pool{{Name: queuePool}}})
	nod, err := newNode("entry-0", binary, dir, sit)
	assert.NilError(t, err)
	defer nod.store.Close()
	assert.NilError(t, nod.start())
	defer nod.kill()
	run := &Run{nodes: []*node{nod}, ledger: ledger.New(ledger.PlatformBounds, nil)}
	assert.NilError(t, run.awaitReady())
	run.holdCall(nod, time.Second)
	run.pending.Go(func() {
		time.Sleep(400 * time.Millisecond)
		nod.signal(syscall.SIGHUP)
	})
	assert.Equal(t, nod.terminate(), "")
	run.pending.Wait()
	assert.DeepEqual(t, run.ledger.Violations(), []string(nil))
}
