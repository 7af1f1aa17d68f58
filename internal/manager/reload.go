package manager

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/platform"
)

// reloadInterval is how often the settings file is read again, as it may change
// without a signal.
const reloadInterval = 5 * time.Second

// followSettings reloads the settings at each SIGHUP and at regular intervals,
// until the context is done.
func (nod *Node) followSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			nod.reload("signal")
		case <-tick.C:
			nod.reload("check")
		}
	}
}

// reload applies the settings file. Settings that are fixed for the lifetime of
// the process keep their values; a file with faults changes nothing.
func (nod *Node) reload(cause string) {
	old := nod.settings()
	set, err := platform.LoadSettings(old.Path)
	if err != nil {
		nod.log.Event("settings_not_reloaded", decisionlog.Fields{"cause": cause, "error": err.Error()})
		return
	}
	fixed := set.WithFixedSettingsOf(old)
	if cause == "check" && fixed == old {
		return
	}
	nod.set.Store(&fixed)
	nod.log.Event("settings_reloaded", decisionlog.Fields{
		"cause": cause, "changed": fixed != old, "restart_needed": fixed != set,
		"revoke_ms": fixed.Bounds.KeyRevocation.Milliseconds(), "config_apply_ms": fixed.Bounds.ConfigApply.Milliseconds(), "grace_ms": fixed.Bounds.Grace.Milliseconds(), "machine_orders": fixed.MachineOrderRate,
	})
}

func (nod *Node) settings() platform.Settings { return *nod.set.Load() }
