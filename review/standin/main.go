// Command standin plays the platform, the executors and the clients of one case
// of the review against processes of `balsamgauge manage` on loopback, and judges
// one rule by what they see. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play runs a case. It returns the broken rule's evidence, empty if the rule held.
type play func(wld *world) (broken []string, err error)

var plays = map[string]struct {
	setup options
	play  play
}{
	"twice":   {twiceSetup, playTwice},
	"limit":   {limitSetup, playLimit},
	"lost":    {lostSetup, playLost},
	"advice":  {adviceSetup, playAdvice},
	"stale":   {staleSetup, playStale},
	"pending": {pendingSetup, playPending},
	"one":     {oneSetup, playOne},
	"reborn":  {rebornSetup, playReborn},
	"avail":   {givenUpSetup, playGivenUp},
}

func main() { os.Exit(playCase()) }

func playCase() (status int) {
	name := flag.String("case", "", "Name of the case.")
	program := flag.String("program", "target/balsamgauge", "The program to test.")
	record := flag.String("record", "", "File for the record.")
	flag.Parse()
	one, ok := plays[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitFailed
	}
	rec, err := newRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	wld, err := newWorld(one.setup, *program, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer wld.stop()
	broken, err := one.play(wld)
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, line := range broken {
		rec.note("BROKEN: %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.note("the rule held")
	return exitHeld
}

// await polls a condition until it holds or the time is over.
func await(what string, limit time.Duration, holds func() bool) (err error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}
