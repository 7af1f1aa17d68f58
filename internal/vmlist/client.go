// Package vmlist is a client of the platform's list of VMs. The platform is the
// system that runs the VMs. Its list lags behind their actual state.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/vm"
	"github.com/balsamgauge/balsamgauge/internal/transport"
)

// listTimeout is the time that reading the list may take.
const listTimeout = 2 * time.Second

// List is the body of the platform's response.
type List struct {
	VMs []vm.VM `json:"vms"`
}

// Client reads the list from one address. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for an address such as http://127.0.0.1:2381/vms.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: listTimeout}}
}

// List returns the VMs in the list.
func (cli *Client) List(ctx context.Context) (vms []vm.VM, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read the list of VMs: %w", err)
		}
	}()
	hrq, err := http.NewRequestWithContext(ctx, http.MethodGet, cli.address, nil)
	if err != nil {
		return nil, err
	}
	hrs, err := cli.http.Do(hrq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = hrs.Body.Close() }()
	if hrs.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", hrs.StatusCode)
	}
	var lst List
	// The body is read to its end; otherwise the connection could not be reused.
	data, err := transport.ReadBody(hrs.Body, transport.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &lst); err != nil {
		return nil, err
	}
	return lst.VMs, nil
}
