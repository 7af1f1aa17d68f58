package main

import (
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Exit codes of the command.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a case, with the end of its processes.
const maxRunTime = 110 * time.Second

// cases holds the cases by the name of their folder.
var cases = map[string]func(sce *scene) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: stand3 FOLDER")
		return exitNotRun
	}
	folder := os.Args[1]
	play := cases[filepath.Base(folder)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no such case; there are %v\n", slices.Sorted(maps.Keys(cases)))
		return exitNotRun
	}
	sce, err := newScene(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer sce.close()
	watchdog := time.AfterFunc(maxRunTime, func() {
		sce.note("the case took too long")
		sce.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	go sce.closeOnSignal()
	broken, err := play(sce)
	switch {
	case err != nil:
		sce.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		sce.note("RESULT: the rule was broken")
		return exitBroken
	default:
		sce.note("RESULT: the rule held")
		return exitHeld
	}
}

// closeOnSignal ends the case's processes if it is told to end itself.
func (sce *scene) closeOnSignal() {
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	<-end
	sce.close()
	os.Exit(exitNotRun)
}
