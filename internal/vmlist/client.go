// Package vmlist reads the platform's list of VMs, which lags behind what
// happens.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/balsamgauge/balsamgauge/internal/core/vm"
)

// listTimeout bounds a reading of the list.
const listTimeout = 2 * time.Second

// List is the platform's answer.
type List struct {
	VMs []vm.VM `json:"vms"`
}

// Client reads the list at one address. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for an address such as http://127.0.0.1:2381/vms.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: listTimeout}}
}

// List reads the list.
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
	// Only a body that was read to its end leaves the connection for the next
	// call.
	data, err := io.ReadAll(hrs.Body)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &lst); err != nil {
		return nil, err
	}
	return lst.VMs, nil
}
