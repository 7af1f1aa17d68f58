// Command balsamgauge runs the processes of the system, and is the operators'
// client for running entries. An entry is a process that accepts requests and
// tasks from callers.
package main

import (
	"os"

	"github.com/balsamgauge/balsamgauge/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
