// Command balsamgauge runs an entry and speaks to running ones.
package main

import (
	"os"

	"github.com/balsamgauge/balsamgauge/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
