package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/balsamgauge/balsamgauge/internal/manager"
	"github.com/balsamgauge/balsamgauge/platform"
)

// addManage adds the command that runs a process on the users' platform.
func (cmd *command) addManage(app *kingpin.Application, actions map[string]action) {
	clause := app.Command("manage", "Run a process on the users' platform. SIGTERM shuts it down gracefully.")
	path := clause.Flag("settings", "Settings file of the platform.").Envar(platform.SettingsVariable).Required().String()
	actions[clause.FullCommand()] = func(ctx context.Context) error { return cmd.manage(ctx, *path) }
}

func (cmd *command) manage(ctx context.Context, path string) error {
	// Without a receiver SIGHUP would end the process, also while it starts or shuts
	// down, when the settings are not followed.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	set, err := platform.LoadSettings(path)
	if err != nil {
		return &usageError{err}
	}
	nod, err := manager.New(set, os.Stdout)
	if err != nil {
		return fmt.Errorf("start process %s: %w", set.Name, err)
	}
	return nod.Run(ctx)
}
