package site

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortsAreGivenOnce asks for many ports. None comes twice.
func TestPortsAreGivenOnce(t *testing.T) {
	seen := map[int]bool{}
	for range 2000 {
		port, err := FreePort()
		assert.NilError(t, err)
		assert.Assert(t, !seen[port], "port %d is given twice", port)
		seen[port] = true
	}
}
