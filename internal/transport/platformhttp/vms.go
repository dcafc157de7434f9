// Package platformhttp is a client for the API of the platform on which the
// deployment runs.
package platformhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

const (
	// listTimeout bounds one request for the list of VMs.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the encoded list.
	maxListBytes = 4 << 20
)

// Client is a client of one platform.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the platform at the given base URL.
func New(baseURL string) *Client {
	return &Client{base: baseURL, http: &http.Client{}}
}

// VM states in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is one VM in the platform's list.
type VM struct {
	// Address is the VM's IP address.
	Address string `json:"address"`
	// Incarnation increases with each start of the VM; it may be its start time.
	Incarnation uint64 `json:"incarnation"`
	// State is VMLive or VMLeaving.
	State string `json:"state"`
}

// VMList is the response to GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}

// VMs returns the platform's list of VMs. The list lags behind the VMs' real
// state, and it may show a VM as live again after showing it as leaving.
func (c *Client) VMs(ctx context.Context) ([]member.Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	url := c.base + "/v1/vms"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("make request to %s: %w", url, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read VMs of %s: %w", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read VMs of %s: status %d", url, response.StatusCode)
	}
	var list VMList
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("decode VMs of %s: %w", url, err)
	}
	return observations(list.VMs), nil
}

// observations converts VMs to observations. It skips VMs without an address or
// incarnation and those in an unknown state.
func observations(vms []VM) []member.Observation {
	var out []member.Observation
	for _, vm := range vms {
		known := vm.State == VMLive || vm.State == VMLeaving
		if vm.Address == "" || vm.Incarnation == 0 || !known {
			continue
		}
		out = append(out, member.Observation{Address: vm.Address, Incarnation: vm.Incarnation, Leaving: vm.State == VMLeaving})
	}
	return out
}
