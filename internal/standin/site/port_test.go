package site

import (
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
