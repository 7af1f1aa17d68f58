package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/balsamgauge/balsamgauge/internal/explain"
)

// addExplain adds the command that traces a job, a task or a VM through log files.
func (cmd *command) addExplain(app *kingpin.Application, actions map[string]action) {
	clause := app.Command("explain", "Trace a job, a task or a VM through the logs of all processes.")
	id := clause.Arg("id", "ID of a job, name of a task, or ID of a VM.").Required().String()
	paths := clause.Arg("log", "Log files.").Required().ExistingFiles()
	actions[clause.FullCommand()] = func(context.Context) error { return cmd.explain(*id, *paths) }
}

func (cmd *command) explain(id string, paths []string) (err error) {
	var lines []explain.Line
	for _, path := range paths {
		found, unparsed, err := collect(path, id)
		if err != nil {
			return err
		}
		if unparsed > 0 {
			_, _ = fmt.Fprintf(cmd.err, "%s: skipped %d lines that mention %s but are not log lines\n", path, unparsed, id)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line mentions %s: none of these processes received it, or its lines were dropped under load", id)
	}
	explain.Sort(lines)
	for _, lin := range lines {
		if _, err := fmt.Fprintln(cmd.out, lin); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(cmd.out, explain.Summary(lines))
	return err
}

// collect returns the lines of a log file that mention an ID, and the number of
// lines that mention it but could not be parsed.
func collect(path, id string) (lines []explain.Line, unparsed int, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, &usageError{err}
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return explain.Collect(file, id)
}
