package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// openPipe opens a named pipe once a process reads it.
func openPipe(t *testing.T, path string) (pipe *os.File) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		pipe, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return pipe
		}
		assert.ErrorIs(t, err, syscall.ENXIO)
	}
	t.Fatalf("no process has read %s for 20 s", path)
	return nil
}

// TestHangupDuringStart guards against a process that SIGHUP ends while it starts: the
// operators may change its settings at any time. It gets the signal while it reads its
// arguments, before it knows its command.
func TestHangupDuringStart(t *testing.T) {
	prg := build(t)
	arguments := filepath.Join(prg.dir, "arguments")
	assert.NilError(t, syscall.Mkfifo(arguments, 0o600))
	cmd := prg.start("@" + arguments)
	pipe := openPipe(t, arguments)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	// The write fails if the process has ended, which its state below shows.
	_, _ = pipe.WriteString("manage\n--settings\n" + filepath.Join(prg.dir, "none") + "\n")
	assert.NilError(t, pipe.Close())
	state, err := cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Equal(t, state.String(), "exit status 2", "the settings file doesn't exist")
}

// TestHangupEndsOtherCommands checks that a command that doesn't follow settings ends with
// its terminal.
func TestHangupEndsOtherCommands(t *testing.T) {
	prg := build(t)
	pools := filepath.Join(prg.dir, "pools")
	assert.NilError(t, syscall.Mkfifo(pools, 0o600))
	cmd := prg.start("standin", "--pools", pools)
	pipe := openPipe(t, pools)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	state, err := cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Equal(t, state.String(), "signal: hangup")
	assert.NilError(t, pipe.Close())
}
