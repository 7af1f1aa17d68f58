package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	troubleGone  = "0"
	troubleName  = "TROUBLE"
	wantedArgs   = 3
	keepLogsName = "KEEP_LOGS"
)

func main() { os.Exit(run()) }

// run plays the case that the first argument names. The second is the path of the record.
func run() int {
	if len(os.Args) != wantedArgs {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	out := bufio.NewWriter(file)
	defer func() { _ = out.Flush() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	lab, err := newLab(dir, out, os.Getenv(troubleName) != troubleGone)
	if err == nil {
		err = lab.play(os.Args[1])
		lab.stop()
	}
	lab.recMu.Lock()
	defer lab.recMu.Unlock()
	if keep := os.Getenv(keepLogsName); keep != "" {
		for _, nod := range lab.nodes {
			raw, _ := os.ReadFile(filepath.Join(dir, nod.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, nod.name+".log"), raw, 0o600)
		}
	}
	_ = os.RemoveAll(dir)
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(out, "not run:", err)
		return exitNotRun
	case len(lab.broken) > 0:
		_, _ = fmt.Fprintln(out, "the rule was broken:\n"+strings.Join(lab.broken, "\n"))
		return exitBroken
	}
	_, _ = fmt.Fprintln(out, "the rule held")
	return exitHeld
}

func (lab *lab) play(name string) error {
	switch name {
	case "twice":
		return lab.twice()
	case "cancel":
		return lab.cancelUnanswered()
	case "foreign":
		return lab.foreignEntry()
	case "operators":
		return lab.racingOperators()
	case "crash":
		return lab.crashLoop()
	}
	return fmt.Errorf("no case is named %q", name)
}
