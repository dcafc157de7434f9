// Package platformhttp talks to the platform on which the deployment runs.
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
	// listTimeout bounds one read of the list of VMs.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the list, in bytes.
	maxListBytes = 4 << 20
)

// Client talks to one platform.
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
	// Incarnation is higher at each start of the VM, such as its start time.
	Incarnation uint64 `json:"incarnation"`
	// State is VMLive or VMLeaving.
	State string `json:"state"`
}

// VMList is the answer to GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}

// VMs returns the platform's list. It lags, and may show a VM as live again
// after it was shown as leaving.
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

// observations leaves out VMs without address or incarnation, and those in a
// state that is not known.
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
