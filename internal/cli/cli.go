// Package cli implements the command line: it parses arguments, runs the selected
// subcommand and maps errors to exit codes.
//
// An entry is a process of the serve command, which accepts requests and tasks
// from callers. The commands that connect to running entries use their admin
// addresses.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/balsamgauge/balsamgauge/internal/adminclient"
	"github.com/balsamgauge/balsamgauge/internal/source"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the command ran and failed, or that an invariant was
	// violated.
	ExitFailed = 1
	// ExitUsage means that arguments, settings or tables are invalid. Nothing
	// was changed.
	ExitUsage = 2
	// ExitUnreachable means that an entry could not be reached.
	ExitUnreachable = 3
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// credentialVariable is the environment variable that holds the operators'
// credential. It keeps the credential out of the process list.
const credentialVariable = "BALSAMGAUGE_OPERATOR_KEY"

// command holds the global options and the output streams of one invocation.
type command struct {
	out    io.Writer
	err    io.Writer
	format string
	// admins are the admin addresses of the entries to query. A change goes to the
	// first.
	admins     []string
	credential string
}

// action runs a subcommand.
type action func(ctx context.Context) error

// errViolation means that the command completed and found a violated invariant.
var errViolation = errors.New("an invariant was violated")

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	// Without a receiver SIGHUP would end a process of manageCommand, also while it
	// starts or shuts down, when the settings are not followed.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cmd := &command{out: out, err: errOut}
	app := kingpin.New("balsamgauge", "Fleet capacity and maintenance manager. Exit codes: 0 done, 1 failed, 2 invalid arguments or files (nothing changed), 3 entry unreachable.")
	app.UsageWriter(out)
	app.ErrorWriter(errOut)
	exit := -1
	app.Terminate(func(code int) { exit = code })
	app.Flag("format", "Output format: text for people, json for programs.").Default(formatText).EnumVar(&cmd.format, formatText, formatJSON)
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
	if selected != manageCommand {
		signal.Stop(hup)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return cmd.exitCode(actions[selected](ctx))
}

// exitCode prints an error and returns the exit code for it.
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

// usageError is an error in the arguments or files that the user passed.
type usageError struct{ err error }

// Error returns the message.
func (use *usageError) Error() string { return use.err.Error() }

// Unwrap returns the cause.
func (use *usageError) Unwrap() error { return use.err }
