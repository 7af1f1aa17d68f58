package cli

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/balsamgauge/balsamgauge/internal/manager"
	"github.com/balsamgauge/balsamgauge/platform"
)

// manageCommand is the command that follows its settings file, also at SIGHUP.
const manageCommand = "manage"

// addManage adds the command that runs a process on the users' platform.
func (cmd *command) addManage(app *kingpin.Application, actions map[string]action) {
	clause := app.Command(manageCommand, "Run a process on the users' platform. SIGTERM shuts it down gracefully.")
	path := clause.Flag("settings", "Settings file of the platform.").Envar(platform.SettingsVariable).Required().String()
	actions[clause.FullCommand()] = func(ctx context.Context) error { return cmd.manage(ctx, *path) }
}

func (cmd *command) manage(ctx context.Context, path string) error {
	set, err := platform.LoadSettings(path)
	if err != nil {
		return &usageError{err}
	}
	tuneCollector(set.MemoryBytes)
	nod, err := manager.New(set, os.Stdout)
	if err != nil {
		return fmt.Errorf("start process %s: %w", set.Name, err)
	}
	return nod.Run(ctx)
}

// Parameters of the garbage collector. It takes a large part of the dispatcher's
// time, and machines have several times the memory that is in use.
const (
	collectorPercent = 300
	// softMemoryShare is the share of the machine's memory from which on it
	// collects as often as needed.
	softMemoryShare = 0.6
)

// tuneCollector makes the garbage collector run less often if the memory that the
// process may use is known.
func tuneCollector(memory int64) {
	if memory > 0 {
		debug.SetGCPercent(collectorPercent)
		debug.SetMemoryLimit(int64(softMemoryShare * float64(memory)))
	}
}
