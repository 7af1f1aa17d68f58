// Package adminclient calls an entry's admin listener.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/effect"
	"github.com/balsamgauge/balsamgauge/internal/runner"
	"github.com/balsamgauge/balsamgauge/internal/timeline"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// callTimeout bounds a call. It is longer than an edit may take.
const callTimeout = 15 * time.Second

// Client calls one entry. It is safe for concurrent use.
type Client struct {
	address    string
	credential string
	http       *http.Client
}

// New returns a client for an address, host:port, with the operators'
// credential.
func New(address, credential string) *Client {
	return &Client{address: address, credential: credential, http: &http.Client{Timeout: callTimeout}}
}

// Status returns the entry's status.
func (cli *Client) Status(ctx context.Context) (sts effect.Status, err error) {
	return sts, cli.call(ctx, http.MethodGet, "/v1/status", nil, &sts)
}

// Config returns the configuration that the entry runs by.
func (cli *Client) Config(ctx context.Context) (cfg runner.ConfigResponse, err error) {
	return cfg, cli.call(ctx, http.MethodGet, "/v1/config", nil, &cfg)
}

// Apply puts new tables in force.
func (cli *Client) Apply(ctx context.Context, tbs table.Tables, base int64) (rsp runner.ChangeResponse, err error) {
	return rsp, cli.call(ctx, http.MethodPost, "/v1/tables", runner.ApplyRequest{Tables: tbs, Base: base}, &rsp)
}

// Grant grants a new key.
func (cli *Client) Grant(ctx context.Context, name, team string) (rsp runner.ChangeResponse, err error) {
	return rsp, cli.call(ctx, http.MethodPost, "/v1/keys", runner.GrantRequest{Name: name, Team: team}, &rsp)
}

// Withdraw withdraws a key.
func (cli *Client) Withdraw(ctx context.Context, name string) (rsp runner.ChangeResponse, err error) {
	return rsp, cli.call(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(name), nil, &rsp)
}

// SetAZ takes an availability zone out or back in.
func (cli *Client) SetAZ(ctx context.Context, az string, out bool) (rsp runner.ChangeResponse, err error) {
	direction := "in"
	if out {
		direction = "out"
	}
	return rsp, cli.call(ctx, http.MethodPost, "/v1/azs/"+url.PathEscape(az)+"/"+direction, nil, &rsp)
}

// Forget vouches that a member runs no more.
func (cli *Client) Forget(ctx context.Context, member string) (rsp runner.ChangeResponse, err error) {
	return rsp, cli.call(ctx, http.MethodPost, "/v1/members/"+url.PathEscape(member)+"/gone", nil, &rsp)
}

// Timeline returns the entry's latest events.
func (cli *Client) Timeline(ctx context.Context) (evts []timeline.Event, err error) {
	return evts, cli.call(ctx, http.MethodGet, "/v1/timeline", nil, &evts)
}

// Metrics returns the entry's metrics, as go-metrics writes them.
func (cli *Client) Metrics(ctx context.Context) (raw json.RawMessage, err error) {
	return raw, cli.call(ctx, http.MethodGet, "/v1/metrics", nil, &raw)
}

// RefusedError is an entry's refusal of a call.
type RefusedError struct{ Response runner.ChangeResponse }

// Error returns the code and the message.
func (rfe *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", rfe.Response.Code, rfe.Response.Message)
}

func (cli *Client) call(ctx context.Context, method, path string, req, rsp any) (err error) {
	var body []byte
	if req != nil {
		if body, err = json.Marshal(req); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	hrq, err := http.NewRequestWithContext(ctx, method, "http://"+cli.address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	hrq.Header.Set("Authorization", "Bearer "+cli.credential)
	hrs, err := cli.http.Do(hrq)
	if err != nil {
		return fmt.Errorf("call entry at %s: %w", cli.address, err)
	}
	defer func() { _ = hrs.Body.Close() }()
	if hrs.StatusCode != http.StatusOK {
		var refused runner.ChangeResponse
		if err := json.NewDecoder(hrs.Body).Decode(&refused); err != nil {
			return fmt.Errorf("entry at %s answered %s", cli.address, hrs.Status)
		}
		return &RefusedError{Response: refused}
	}
	if err := json.NewDecoder(hrs.Body).Decode(rsp); err != nil {
		return fmt.Errorf("read answer of entry at %s: %w", cli.address, err)
	}
	return nil
}

// IsUnreachable reports whether a call failed because no entry answered.
func IsUnreachable(err error) bool {
	var urlErr *url.Error
	return errors.As(err, &urlErr)
}
