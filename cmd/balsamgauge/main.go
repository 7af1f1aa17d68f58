// Command balsamgauge runs entries and other processes of the system, and is the
// operators' client for running entries.
package main

import (
	"os"

	"github.com/balsamgauge/balsamgauge/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
