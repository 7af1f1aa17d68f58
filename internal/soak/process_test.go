package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startScript starts a shell script in place of the program.
func startScript(t *testing.T, script string) *node {
	dir := t.TempDir()
	binary := filepath.Join(dir, "program")
	assert.NilError(t, os.WriteFile(binary, []byte("#!/bin/sh\n"+script+"\n"), 0o700))
	nod := &node{name: "n", binary: binary, dir: dir}
	assert.NilError(t, nod.start())
	return nod
}

// TestTerminate checks that an exit status other than 0 and an unhandled SIGTERM
// are violations, unless the signal arrived before the process wrote a line.
func TestTerminate(t *testing.T) {
	for _, tst := range []struct{ name, script, want string }{
		{"handled", "trap 'exit 0' TERM; echo started; while :; do sleep 0.01; done", ""},
		{"failed", "trap 'exit 3' TERM; echo started; while :; do sleep 0.01; done", "exit status 3"},
		{"not handled", "echo started; while :; do sleep 0.01; done", "signal: terminated"},
		{"not yet handled", "while :; do sleep 0.01; done", ""},
	} {
		t.Run(tst.name, func(t *testing.T) {
			nod := startScript(t, tst.script)
			for end := time.Now().Add(5 * time.Second); strings.Contains(tst.script, "started") && nod.outputEmpty() && time.Now().Before(end); {
				time.Sleep(5 * time.Millisecond)
			}
			violation := nod.terminate()
			if tst.want == "" {
				assert.Equal(t, violation, "")
				return
			}
			assert.Assert(t, strings.Contains(violation, tst.want), "%q", violation)
		})
	}
}
