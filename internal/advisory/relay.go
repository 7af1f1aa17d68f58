package advisory

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/transport"
	"github.com/vmihailenco/msgpack/v5"
)

// Path is where an entry serves questions of others.
const Path = "/advice"

// maxBody bounds a question or an answer, in bytes: 100 VMs with their tickets
// take a tenth of it.
const maxBody = 64 << 10

// Relay serves questions of other entries, one at a time.
type Relay struct {
	asker TicketSource
	log   *decisionlog.Log
	turn  chan struct{}
}

// NewRelay returns a handler that puts questions by an asker.
func NewRelay(ask TicketSource, log *decisionlog.Log) *Relay {
	return &Relay{asker: ask, log: log, turn: make(chan struct{}, 1)}
}

// RequestTickets puts a question in its turn.
func (rel *Relay) RequestTickets(ctx context.Context, que Query) (tks Tickets, err error) {
	select {
	case rel.turn <- struct{}{}:
		defer func() { <-rel.turn }()
	case <-ctx.Done():
		return Tickets{}, ctx.Err()
	}
	return rel.asker.RequestTickets(ctx, que)
}

// ServeHTTP serves a question.
func (rel *Relay) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	var que Query
	raw, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	if err == nil {
		err = msgpack.Unmarshal(raw, &que)
	}
	if err != nil {
		rel.log.Event("question_ignored", decisionlog.Fields{"bytes": len(raw), "error": err.Error()})
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	tks, err := rel.RequestTickets(req.Context(), que)
	if err == nil {
		raw, err = msgpack.Marshal(&tks)
	}
	if err != nil {
		rel.log.Event("no_advice", decisionlog.Fields{"job": string(que.Job), "step": que.Step, "error": err.Error()})
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// An asker that has left asks again.
	_, _ = wri.Write(raw)
}

// remote asks by another entry.
type remote struct {
	url    string
	client *http.Client
}

// dialRemote returns an asker at an entry's address.
func dialRemote(address string) TicketSource {
	return &remote{url: "http://" + address + Path, client: &http.Client{Transport: transport.New(1)}}
}

// RequestTickets puts a question.
func (rem *remote) RequestTickets(ctx context.Context, que Query) (tks Tickets, err error) {
	raw, err := msgpack.Marshal(&que)
	if err != nil {
		return Tickets{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, rem.url, bytes.NewReader(raw))
	if err != nil {
		return Tickets{}, err
	}
	rsp, err := rem.client.Do(req)
	if err != nil {
		return Tickets{}, err
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return Tickets{}, fmt.Errorf("%s: status %d", rem.url, rsp.StatusCode)
	}
	raw, err = io.ReadAll(io.LimitReader(rsp.Body, maxBody))
	if err != nil {
		return Tickets{}, err
	}
	err = msgpack.Unmarshal(raw, &tks)
	return tks, err
}

// QueryTimeout returns how long a question may take whose decision takes a span: the
// answer crosses two links, and a busy entry answers late.
func QueryTimeout(decision time.Duration) time.Duration { return 2*decision + time.Second }
