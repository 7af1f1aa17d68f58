package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestCollectFollowsJob traces a job through the logs of three processes: one
// gets no answer from the store for the submission, another dispatches the job,
// the third answers the retry, and the job ends late.
func TestCollectFollowsJob(t *testing.T) {
	const id = "b41755ab3606abc5"
	var lines []Line
	unparsed := 0
	paths, err := filepath.Glob("testdata/*.log")
	assert.NilError(t, err)
	for _, path := range paths {
		file, err := os.Open(path)
		assert.NilError(t, err)
		found, skipped, err := Collect(file, id)
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
		lines, unparsed = append(lines, found...), unparsed+skipped
	}
	Sort(lines)
	var out strings.Builder
	for _, lin := range lines {
		out.WriteString(lin.String() + "\n")
	}
	out.WriteString(Summary(lines) + "\n")
	golden.Assert(t, out.String(), "follow.golden")
	assert.Equal(t, unparsed, 2)
}
