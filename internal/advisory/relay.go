package advisory

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/packed"
	"github.com/balsamgauge/balsamgauge/internal/decisionlog"
	"github.com/balsamgauge/balsamgauge/internal/transport"
	"github.com/vmihailenco/msgpack/v5"
)

// Path is the HTTP path under which an entry serves queries of other entries.
const Path = "/advice"

// maxBodyBytes bounds the body of a query or a response: 100 VMs with their
// tickets take a tenth of it.
const maxBodyBytes = 64 << 10

// Relay serves queries of other entries, one at a time.
type Relay struct {
	source TicketSource
	log    *decisionlog.Log
	slot   chan struct{}
}

// NewRelay returns a relay that forwards queries to a source.
func NewRelay(src TicketSource, log *decisionlog.Log) *Relay {
	return &Relay{source: src, log: log, slot: make(chan struct{}, 1)}
}

// RequestTickets forwards a query once the queries before it have been
// answered.
func (rel *Relay) RequestTickets(ctx context.Context, que Query) (tks Tickets, err error) {
	select {
	case rel.slot <- struct{}{}:
		defer func() { <-rel.slot }()
	case <-ctx.Done():
		return Tickets{}, ctx.Err()
	}
	return rel.source.RequestTickets(ctx, que)
}

// ServeHTTP serves a query of another entry.
func (rel *Relay) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	var que Query
	raw, err := transport.ReadBody(req.Body, maxBodyBytes)
	if err == nil {
		err = packed.Unmarshal(raw, &que)
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
	// The write fails only if the other entry has disconnected. Its dispatcher
	// repeats the query.
	_, _ = wri.Write(raw)
}

// remoteSource requests tickets through another entry.
type remoteSource struct {
	url    string
	client *http.Client
}

// dialRemote returns a source that uses the relay at an entry's address.
func dialRemote(address string) TicketSource {
	return &remoteSource{url: "http://" + address + Path, client: &http.Client{Transport: transport.New(1)}}
}

// RequestTickets sends a query to the entry's relay.
func (rem *remoteSource) RequestTickets(ctx context.Context, que Query) (tks Tickets, err error) {
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
	raw, err = transport.ReadBody(rsp.Body, maxBodyBytes)
	if err != nil {
		return Tickets{}, err
	}
	err = packed.Unmarshal(raw, &tks)
	return tks, err
}

// QueryTimeout returns the timeout of a query whose decision takes a given
// time: the response crosses two links, and a busy entry responds late.
func QueryTimeout(decision time.Duration) time.Duration { return 2*decision + time.Second }
