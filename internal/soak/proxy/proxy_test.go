package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEcho starts a server that returns what it receives.
func startEcho(t *testing.T) (address string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(con, con) }()
		}
	}()
	return lis.Addr().String()
}

func dial(t *testing.T, pro *Proxy) net.Conn {
	con, err := net.Dial("tcp", pro.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = con.Close() })
	return con
}

// echoes reports whether a byte is returned within a given time.
func echoes(t *testing.T, con net.Conn, within time.Duration) bool {
	_, err := con.Write([]byte{1})
	assert.NilError(t, err)
	assert.NilError(t, con.SetReadDeadline(time.Now().Add(within)))
	_, err = con.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	assert.NilError(t, err)
	return true
}

const (
	replyTimeout = 2 * time.Second
	silenceTime  = 150 * time.Millisecond
)

// TestCutDelaysBytes checks that a cut in either direction blocks data and that the
// data is delivered after the cut.
func TestCutDelaysBytes(t *testing.T) {
	pro, err := New(startEcho(t))
	assert.NilError(t, err)
	defer pro.Close()
	con := dial(t, pro)
	assert.Assert(t, echoes(t, con, replyTimeout))
	for _, cut := range []struct{ up, down bool }{{true, false}, {false, true}} {
		pro.SetCut(cut.up, cut.down)
		assert.Assert(t, !echoes(t, con, silenceTime))
		pro.SetCut(false, false)
		assert.NilError(t, con.SetReadDeadline(time.Now().Add(replyTimeout)))
		_, err := con.Read(make([]byte, 1))
		assert.NilError(t, err)
	}
}

// TestSilenceIsPermanent checks that Silence stops open connections for good and
// leaves new ones working.
func TestSilenceIsPermanent(t *testing.T) {
	pro, err := New(startEcho(t))
	assert.NilError(t, err)
	defer pro.Close()
	con := dial(t, pro)
	assert.Assert(t, echoes(t, con, replyTimeout))
	pro.Silence()
	assert.Assert(t, !echoes(t, con, silenceTime))
	assert.Assert(t, echoes(t, dial(t, pro), replyTimeout))
}

// TestReset checks that Reset ends open connections.
func TestReset(t *testing.T) {
	pro, err := New(startEcho(t))
	assert.NilError(t, err)
	defer pro.Close()
	con := dial(t, pro)
	assert.Assert(t, echoes(t, con, replyTimeout))
	pro.Reset()
	assert.NilError(t, con.SetReadDeadline(time.Now().Add(replyTimeout)))
	_, err = con.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}
