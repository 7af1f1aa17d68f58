package site

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreGivenOnce guards against two servers of a process with the same
// port, which FreePort returned twice before the first one was bound.
func TestPortsAreGivenOnce(t *testing.T) {
	seen := map[int]bool{}
	for range 2000 {
		port, err := FreePort()
		assert.NilError(t, err)
		assert.Assert(t, !seen[port], "port %d is returned twice", port)
		seen[port] = true
	}
}

// TestPortsOfTwoProcesses guards against a port that two processes, each with servers
// of its own to start, got at the same time: the second server couldn't listen and was
// never ready.
func TestPortsOfTwoProcesses(t *testing.T) {
	cmd := exec.Command(os.Args[0], "-test.run=^TestPrintPorts$")
	cmd.Env = append(os.Environ(), printPorts+"=1")
	in, err := cmd.StdinPipe()
	assert.NilError(t, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	other, lines := map[int]bool{}, bufio.NewScanner(out)
	for len(other) < portCount && lines.Scan() {
		port, err := strconv.Atoi(lines.Text())
		assert.NilError(t, err)
		other[port] = true
	}
	assert.Equal(t, len(other), portCount)
	both := 0
	for range portCount {
		port, err := FreePort()
		assert.NilError(t, err)
		if other[port] {
			both++
		}
	}
	assert.NilError(t, in.Close())
	assert.NilError(t, cmd.Wait())
	assert.Equal(t, both, 0, "of %d ports each, this many are returned to both processes", portCount)
}

// printPorts is the variable that makes TestPrintPorts the other process of
// TestPortsOfTwoProcesses.
const (
	printPorts = "SITE_TEST_PRINT_PORTS"
	portCount  = 500
)

// TestPrintPorts prints ports and holds them until its input ends.
func TestPrintPorts(t *testing.T) {
	if os.Getenv(printPorts) == "" {
		return
	}
	for range portCount {
		port, err := FreePort()
		assert.NilError(t, err)
		_, err = fmt.Println(port)
		assert.NilError(t, err)
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	assert.NilError(t, err)
}
