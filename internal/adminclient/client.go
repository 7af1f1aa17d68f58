// Package adminclient is a client of the admin API of an entry, a process that
// accepts requests and tasks from callers.
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
	"github.com/balsamgauge/balsamgauge/internal/transport"
	"github.com/balsamgauge/balsamgauge/pkg/table"
)

// callTimeout bounds a call. It exceeds the time in which an entry answers a
// change.
const callTimeout = 15 * time.Second

// Client is a client of one entry. It is safe for concurrent use.
type Client struct {
	address    string
	credential string
	http       *http.Client
}

// New returns a client for the entry with the given admin address, host:port. It
// authenticates with the operators' credential.
func New(address, credential string) *Client {
	return &Client{address: address, credential: credential, http: &http.Client{Timeout: callTimeout}}
}

// Status returns the entry's status.
func (cli *Client) Status(ctx context.Context) (sts effect.Status, err error) {
	return sts, cli.call(ctx, http.MethodGet, "/v1/status", nil, &sts)
}

// Config returns the configuration that the entry has applied.
func (cli *Client) Config(ctx context.Context) (cfg runner.ConfigResponse, err error) {
	return cfg, cli.call(ctx, http.MethodGet, "/v1/config", nil, &cfg)
}

// Apply applies new tables. If base is not 0, the change is refused if the tables
// were changed after revision base.
func (cli *Client) Apply(ctx context.Context, tbs table.Tables, base int64) (rsp runner.ChangeResponse, err error) {
	return rsp, cli.call(ctx, http.MethodPost, "/v1/tables", runner.ApplyRequest{Tables: tbs, Base: base}, &rsp)
}

// Grant grants a new key to a team. The key is only in this response.
func (cli *Client) Grant(ctx context.Context, name, team string) (rsp runner.ChangeResponse, err error) {
	return rsp, cli.call(ctx, http.MethodPost, "/v1/keys", runner.GrantRequest{Name: name, Team: team}, &rsp)
}

// Withdraw withdraws the key with the given name.
func (cli *Client) Withdraw(ctx context.Context, name string) (rsp runner.ChangeResponse, err error) {
	return rsp, cli.call(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(name), nil, &rsp)
}

// SetAZ takes an availability zone out, or back in.
func (cli *Client) SetAZ(ctx context.Context, az string, out bool) (rsp runner.ChangeResponse, err error) {
	direction := "in"
	if out {
		direction = "out"
	}
	return rsp, cli.call(ctx, http.MethodPost, "/v1/azs/"+url.PathEscape(az)+"/"+direction, nil, &rsp)
}

// Forget declares that a member is guaranteed not to run any more, so that it can
// be removed.
func (cli *Client) Forget(ctx context.Context, member string) (rsp runner.ChangeResponse, err error) {
	return rsp, cli.call(ctx, http.MethodPost, "/v1/members/"+url.PathEscape(member)+"/gone", nil, &rsp)
}

// Timeline returns the entry's latest events.
func (cli *Client) Timeline(ctx context.Context) (evts []timeline.Event, err error) {
	return evts, cli.call(ctx, http.MethodGet, "/v1/timeline", nil, &evts)
}

// Metrics returns the entry's metrics in the JSON format of go-metrics.
func (cli *Client) Metrics(ctx context.Context) (raw json.RawMessage, err error) {
	return raw, cli.call(ctx, http.MethodGet, "/v1/metrics", nil, &raw)
}

// RefusedError is an error response of an entry.
type RefusedError struct{ Response runner.ChangeResponse }

// Error returns the code and the message of the response.
func (rfe *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", rfe.Response.Code, rfe.Response.Message)
}

// call sends a request with a JSON body and decodes the response into rsp.
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
	raw, err := transport.ReadBody(hrs.Body, transport.MaxBodyBytes)
	if err != nil {
		return fmt.Errorf("read response of entry at %s: %w", cli.address, err)
	}
	if hrs.StatusCode != http.StatusOK {
		var refused runner.ChangeResponse
		if err := json.Unmarshal(raw, &refused); err != nil {
			return fmt.Errorf("entry at %s answered %s", cli.address, hrs.Status)
		}
		return &RefusedError{Response: refused}
	}
	if err := json.Unmarshal(raw, rsp); err != nil {
		return fmt.Errorf("decode response of entry at %s: %w", cli.address, err)
	}
	return nil
}

// IsUnreachable reports whether a call failed because the entry could not be
// reached or did not answer.
func IsUnreachable(err error) bool {
	var urlErr *url.Error
	return errors.As(err, &urlErr)
}
