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
		lin.run.checkCut(lin.nod, text, sent, received.bytes-before, err)
		return
	}
}

// checkCut checks that a process was allowed to end a connection. A request was sent
// completely at a given time, and that many bytes of its answer were received.
func (run *Run) checkCut(nod *node, line string, sent time.Time, received int, err error) {
	took := time.Since(sent)
	if (received > 0 || took > unreadWindow && took < callTimeout-unreadWindow) && !nod.disruptedAt(sent) && !nod.disruptedAt(time.Now()) {
		run.ledger.AddViolation(time.Now(), fmt.Sprintf("%s on an open connection was cut by %s after %v and %d bytes: %v", line, nod.name, took, received, err))
	}
}

// holdCall opens a call to a process and sends its body after a time. It returns
// once the process has probably read the head. A process that shuts down waits for
// the body and answers.
func (run *Run) holdCall(nod *node, span time.Duration) {
	con, err := net.DialTimeout("tcp", nod.callersAddress, callTimeout)
	if err != nil {
		return
	}
	const line = "POST " + queuePrefix + "ffffffffffffffff"
	if _, err := fmt.Fprintf(con, "%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", line, site.Host, len(invalidJob)); err != nil {
		_ = con.Close()
		return
	}
	time.Sleep(headReadTime)
	run.pending.Go(func() {
		defer func() { _ = con.Close() }()
		time.Sleep(span)
		if _, err := io.WriteString(con, invalidJob); err != nil {
			return
		}
		sent, received := time.Now(), &countingReader{from: con}
		if err := con.SetDeadline(sent.Add(callTimeout)); err != nil {
			return
		}
		if _, err := http.ReadResponse(bufio.NewReader(received), nil); err != nil {
			run.checkCut(nod, line, sent, received.bytes, err)
		}
	})
}

// headReadTime is the time within which a process reads the head of a request.
const headReadTime = 10 * time.Millisecond

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
