// Package cli is the command line. It reads arguments, calls what does the
// work, and turns errors into exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/balsamgauge/balsamgauge/internal/adminclient"
	"github.com/balsamgauge/balsamgauge/internal/source"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the command ran and what it did failed.
	ExitFailed = 1
	// ExitUsage means that arguments, settings or tables are wrong; nothing
	// was changed.
	ExitUsage = 2
	// ExitUnreachable means that no entry could be asked.
	ExitUnreachable = 3
)

// Formats of the output.
const (
	formatText = "text"
	formatJSON = "json"
)

// credentialVariable is the environment variable with the operators'
// credential, so that it does not stand on the command line.
const credentialVariable = "BALSAMGAUGE_OPERATOR_KEY"

// command is one call of the program.
type command struct {
	out    io.Writer
	err    io.Writer
	format string
	// admins are the admin addresses of the entries to ask.
	admins     []string
	credential string
}

// action does the work of a subcommand.
type action func(ctx context.Context) error

// errViolation means that the command did its work and found something broken.
var errViolation = errors.New("an invariant broke")

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	cmd := &command{out: out, err: errOut}
	app := kingpin.New("balsamgauge", "Fleet capacity and maintenance manager. Exit codes: 0 done, 1 failed, 2 wrong arguments or files (nothing changed), 3 no entry reachable.")
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	exit := -1
	app.Terminate(func(code int) { exit = code })
	app.Flag("format", "Output for a person or a program.").Default(formatText).EnumVar(&cmd.format, formatText, formatJSON)
	actions := map[string]action{}
	cmd.addLocal(app, actions)
	cmd.addManage(app, actions)
	cmd.addStandin(app, actions)
	cmd.addSoak(app, actions)
	cmd.addExplain(app, actions)
	cmd.addRemote(app, actions)
	selected, err := app.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "balsamgauge: %v\n", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return cmd.exitCode(actions[selected](ctx))
}

func (cmd *command) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if !errors.Is(err, errViolation) {
		_, _ = fmt.Fprintf(cmd.err, "%v\n", err)
	}
	var dgs source.Diagnostics
	var refused *adminclient.RefusedError
	var usage *usageError
	switch {
	case errors.As(err, &dgs), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &refused), errors.Is(err, errViolation):
		return ExitFailed
	case adminclient.IsUnreachable(err):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// usageError means that what the caller gave can't be used.
type usageError struct{ err error }

// Error returns the message.
func (use *usageError) Error() string { return use.err.Error() }

// Unwrap returns the cause.
func (use *usageError) Unwrap() error { return use.err }
