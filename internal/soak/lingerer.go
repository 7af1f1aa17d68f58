package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/clock"
	"github.com/balsamgauge/balsamgauge/internal/standin/site"
)

// lingerInterval is the time between two requests of all lingerers together.
const lingerInterval = 8 * time.Millisecond

// lingerer is a caller that sends its requests to one process on one connection, and
// uses it until the process closes it, whatever the process announces.
type lingerer struct {
	run *Run
	nod *node
	rng *rand.Rand
}

func newLingerer(run *Run, nod *node, number int) *lingerer {
	return &lingerer{run: run, nod: nod, rng: rand.New(rand.NewPCG(run.opt.Seed, uint64(1000+number)))}
}

// work connects to the process again and again until ctx is done.
func (lin *lingerer) work(ctx context.Context) {
	for ctx.Err() == nil {
		con, err := net.DialTimeout("tcp", lin.nod.callersAddress, callTimeout)
		if err == nil {
			lin.use(ctx, con)
			_ = con.Close()
		}
		clock.Pause(ctx, retryInterval)
	}
}

// use sends requests on a connection until it ends.
func (lin *lingerer) use(ctx context.Context, con net.Conn) {
	received := &countingReader{from: con}
	answers := bufio.NewReader(received)
	for ctx.Err() == nil {
		clock.Pause(ctx, time.Duration(lin.rng.Int64N(2*int64(lingerInterval)*int64(len(lin.run.nodes)))))
		before := received.bytes
		text, err := lin.send(ctx, con)
		// The process has not read a request that could not be sent.
		if err != nil {
			return
		}
		sent := time.Now()
		if err := con.SetDeadline(sent.Add(callTimeout)); err != nil {
			return
		}
		rsp, err := http.ReadResponse(answers, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, rsp.Body)
			_ = rsp.Body.Close()
		}
		if err == nil {
			continue
		}
		took, partial := time.Since(sent), received.bytes > before
		if (partial || took > unreadWindow && took < callTimeout-unreadWindow) && !lin.nod.disruptedAt(sent) && !lin.nod.disruptedAt(time.Now()) {
			lin.run.ledger.AddViolation(time.Now(), fmt.Sprintf("%s on an open connection was cut by %s after %v and %d bytes: %v",
				text, lin.nod.name, took, received.bytes-before, err))
		}
		return
	}
}

// invalidJob is the body of a submission that every process rejects.
const invalidJob = "{}"

// send sends a request and returns its first line: a query of a queue, a query of a
// job that doesn't exist, or at times an invalid submission whose body arrives late
// and thus keeps a process that shuts down waiting.
func (lin *lingerer) send(ctx context.Context, con net.Conn) (line string, err error) {
	late := lin.rng.IntN(lateBodyRatio) == 0
	line = "GET " + queuePrefix
	switch {
	case late:
		line = fmt.Sprintf("POST %s%016x", queuePrefix, lin.rng.Uint64())
	case lin.rng.IntN(2) == 0:
		line += fmt.Sprintf("%016x", lin.rng.Uint64())
	}
	head := fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Deadline-Ms: %d\r\n", line, site.Host, lin.run.key(accounts[0]), callTimeout.Milliseconds())
	if !late {
		_, err = io.WriteString(con, head+"\r\n")
		return line, err
	}
	if _, err := fmt.Fprintf(con, "%sContent-Length: %d\r\n\r\n", head, len(invalidJob)); err != nil {
		return line, err
	}
	clock.Pause(ctx, time.Duration(lin.rng.Int64N(int64(maxBodyDelay))))
	_, err = io.WriteString(con, invalidJob)
	return line, err
}

// One request in lateBodyRatio has a body that is sent up to maxBodyDelay after its
// head.
const (
	lateBodyRatio = 30
	maxBodyDelay  = 1500 * time.Millisecond
)

// countingReader counts the bytes that it has read.
type countingReader struct {
	from  io.Reader
	bytes int
}

// Read reads from the underlying reader.
func (rea *countingReader) Read(buf []byte) (num int, err error) {
	num, err = rea.from.Read(buf)
	rea.bytes += num
	return num, err
}
