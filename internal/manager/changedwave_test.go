package manager

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaveThatChanges guards against a wave that is said to be completed while machines that
// the operator has named later, or again, haven't had their upkeep.
func TestWaveThatChanges(t *testing.T) {
	machines := func(numbers ...int) (names []string) {
		for _, number := range numbers {
			names = append(names, fmt.Sprintf("m-vm-%d", number))
		}
		return names
	}
	begun := func(clu *cluster, count int) func() bool {
		return func() bool { return clu.sit.UpkeepsBegun() == count }
	}
	for name, tst := range map[string]struct {
		// change changes wave 1, which names the machines 0 and 1, and upkeeps is how many
		// upkeeps begin in the end.
		change  func(t *testing.T, clu *cluster)
		upkeeps int
	}{
		"under way": {func(_ *testing.T, clu *cluster) {
			clu.await("first upkeep", begun(clu, 1))
			clu.sit.RequestWave(1, machines(1, 2, 3), time.Minute, 1)
		}, 4},
		"completed": {func(_ *testing.T, clu *cluster) {
			clu.await("completed", func() bool { return clu.sit.WaveStatus(1) == "completed" })
			clu.sit.RequestWave(1, machines(0, 1, 2), time.Minute, 1)
		}, 3},
		"withdrawn and requested again": {func(_ *testing.T, clu *cluster) {
			clu.await("completed", func() bool { return clu.sit.WaveStatus(1) == "completed" })
			clu.sit.WithdrawWave(1)
			clu.sit.RequestWave(1, machines(0), time.Minute, 1)
		}, 3},
		"withdrawn, and requested again with another dispatcher": {func(t *testing.T, clu *cluster) {
			clu.await("completed", func() bool { return clu.sit.WaveStatus(1) == "completed" })
			clu.sit.WithdrawWave(1)
			clu.nodes[0].stop()
			assert.NilError(t, <-clu.nodes[0].done)
			clu.sit.RequestWave(1, machines(0), time.Minute, 1)
			clu.nodes[0] = clu.startNode("entry-1")
		}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clu := newCluster(t, 1, 4, time.Hour)
			clu.sit.RequestWave(1, machines(0, 1), time.Minute, 1)
			tst.change(t, clu)
			clu.await("all upkeeps", begun(clu, tst.upkeeps))
			clu.await("completed", func() bool { return clu.sit.WaveStatus(1) == "completed" })
			assert.DeepEqual(t, clu.sit.Violations(), []string(nil))
		})
	}
}

// TestLateStatusOfChangedWave guards against a wave that is said to be completed by a write
// without an answer, which the store carries out after the operator has named another machine.
func TestLateStatusOfChangedWave(t *testing.T) {
	clu := newCluster(t, 1, 4, time.Hour)
	lost := make(chan struct{}, 1)
	clu.sit.Store.LoseAnswers(func(puts map[string][]byte) (time.Duration, bool) {
		if !strings.Contains(string(puts["status/wave/1"]), "completed") {
			return 0, false
		}
		select {
		case lost <- struct{}{}:
		default:
		}
		return 300 * time.Millisecond, true
	})
	clu.sit.RequestWave(1, []string{"m-vm-0"}, time.Minute, 1)
	<-lost
	clu.sit.RequestWave(1, []string{"m-vm-0", "m-vm-1"}, time.Minute, 1)
	clu.await("all upkeeps", func() bool { return clu.sit.UpkeepsBegun() == 2 })
	clu.sit.Store.LoseAnswers(nil)
	clu.await("completed", func() bool { return clu.sit.WaveStatus(1) == "completed" })
	assert.DeepEqual(t, clu.sit.Violations(), []string(nil))
}
