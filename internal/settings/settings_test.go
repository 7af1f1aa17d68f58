package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/balsamgauge/balsamgauge/internal/settings"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestParse compares the errors of each settings file in testdata with its
// golden file.
func TestParse(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.toml")
	assert.NilError(t, err)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			_, err = settings.Parse("entry.toml", data)
			text := "fine\n"
			if err != nil {
				text = err.Error() + "\n"
			}
			golden.Assert(t, text, strings.TrimSuffix(filepath.Base(path), ".toml")+".golden")
		})
	}
}

// TestExamplesAreValid checks the settings files of both example deployments.
// All entries together must stay within the connections that an executor
// allows.
func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/e*.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 17)
	for _, path := range paths {
		set, err := settings.Load(path)
		assert.NilError(t, err)
		assert.Assert(t, set.ConnectionShare()*set.MaxEntries <= set.ConnectionsPerExecutor)
	}
}
