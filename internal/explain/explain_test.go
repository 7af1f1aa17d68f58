package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestFollow follows a job through the logs of three processes of a played day: it
// was handed in at one, taken over by another, and ended late.
func TestFollow(t *testing.T) {
	const id = "b41755ab3606abc5"
	var lines []Line
	unread := 0
	paths, err := filepath.Glob("testdata/*.log")
	assert.NilError(t, err)
	for _, path := range paths {
		file, err := os.Open(path)
		assert.NilError(t, err)
		found, bad, err := Collect(file, id)
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
		lines, unread = append(lines, found...), unread+bad
	}
	Sort(lines)
	var out strings.Builder
	for _, lin := range lines {
		out.WriteString(lin.String() + "\n")
	}
	out.WriteString(Summary(lines) + "\n")
	golden.Assert(t, out.String(), "follow.golden")
	assert.Equal(t, unread, 2)
}
