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

// echo answers each byte with itself.
func echo(t *testing.T) (address string) {
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

// answers reports whether a byte comes back within a span.
func answers(t *testing.T, con net.Conn, within time.Duration) bool {
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
	soon  = 2 * time.Second
	quiet = 150 * time.Millisecond
)

// TestCutHeals holds bytes back while a way is cut and delivers them after it.
func TestCutHeals(t *testing.T) {
	pro, err := New(echo(t))
	assert.NilError(t, err)
	defer pro.Close()
	con := dial(t, pro)
	assert.Assert(t, answers(t, con, soon))
	for _, cut := range []struct{ up, down bool }{{true, false}, {false, true}} {
		pro.SetCut(cut.up, cut.down)
		assert.Assert(t, !answers(t, con, quiet))
		pro.SetCut(false, false)
		assert.NilError(t, con.SetReadDeadline(time.Now().Add(soon)))
		_, err := con.Read(make([]byte, 1))
		assert.NilError(t, err)
	}
}

// TestSilenceIsForGood silences what is open; new connections work.
func TestSilenceIsForGood(t *testing.T) {
	pro, err := New(echo(t))
	assert.NilError(t, err)
	defer pro.Close()
	con := dial(t, pro)
	assert.Assert(t, answers(t, con, soon))
	pro.Silence()
	assert.Assert(t, !answers(t, con, quiet))
	assert.Assert(t, answers(t, dial(t, pro), soon))
}

// TestReset ends open connections.
func TestReset(t *testing.T) {
	pro, err := New(echo(t))
	assert.NilError(t, err)
	defer pro.Close()
	con := dial(t, pro)
	assert.Assert(t, answers(t, con, soon))
	pro.Reset()
	assert.NilError(t, con.SetReadDeadline(time.Now().Add(soon)))
	_, err = con.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}
