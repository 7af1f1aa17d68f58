package table_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/balsamgauge/balsamgauge/pkg/table"
	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// archiveFile returns the file with the given name from an archive.
func archiveFile(arc *txtar.Archive, name string) []byte {
	for _, fil := range arc.Files {
		if fil.Name == name {
			return fil.Data
		}
	}
	return nil
}

// TestParse runs one case for each archive in testdata: it parses the two
// tables and compares the diagnostics with the golden file. `go test -update`
// rewrites the golden files.
func TestParse(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) {
			arc, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			_, err = table.Parse("routes.toml", archiveFile(arc, "routes.toml"), "pools.toml", archiveFile(arc, "pools.toml"))
			text := "fine\n"
			if err != nil {
				text = err.Error() + "\n"
			}
			golden.Assert(t, text, name+".golden")
		})
	}
}

func TestFormatRoundTrip(t *testing.T) {
	arc, err := txtar.ParseFile("testdata/fine.txtar")
	assert.NilError(t, err)
	tbs, err := table.Parse("routes.toml", archiveFile(arc, "routes.toml"), "pools.toml", archiveFile(arc, "pools.toml"))
	assert.NilError(t, err)
	routes, pools, err := tbs.Format()
	assert.NilError(t, err)
	again, err := table.Parse("routes.toml", routes, "pools.toml", pools)
	assert.NilError(t, err)
	assert.Equal(t, len(table.Diff(tbs, again)), 0)
}
