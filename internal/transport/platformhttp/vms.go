// Package platformhttp is a client for the API of the platform on which the
// deployment runs.
package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/lenientjson"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
)

const (
	// listTimeout bounds one request for the list of VMs.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the encoded list.
	maxListBytes = 4 << 20
	// fieldVMs is the field of VMList that holds the VMs.
	fieldVMs = "vms"
)

// Client is a client of one platform.
type Client struct {
	base string
	http *http.Client
	log  hclog.Logger
	// skipped is the number of entries of the newest list that were skipped.
	skipped atomic.Int64
}

// New returns a client for the platform at the given base URL.
func New(baseURL string, log hclog.Logger) *Client {
	return &Client{base: baseURL, http: &http.Client{}, log: log}
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
// state, and it may show a VM as live again after showing it as leaving. Entries
// that can't be read or are invalid are skipped. A VM that isn't in the list is not
// taken as gone, so a list that is cut off is used as far as it goes.
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("read VMs of %s: %w", url, err)
	}
	list, err := lenientjson.ReadList(content, fieldVMs, func(raw json.RawMessage) bool {
		_, ok := observation(raw)
		return ok
	})
	if err == nil && list.Incomplete && len(list.Elements) == 0 {
		err = errIncomplete
	}
	if err != nil {
		return nil, fmt.Errorf("decode VMs of %s: %w", url, err)
	}
	out, skipped := observations(list.Elements)
	c.logSkipped(skipped + list.Unreadable)
	return out, nil
}

// errIncomplete means that a list of VMs is cut off before its first VM.
var errIncomplete = errors.New("list is incomplete")

// logSkipped logs the number of entries that were skipped if it has changed.
func (c *Client) logSkipped(skipped int) {
	if before := c.skipped.Swap(int64(skipped)); before != int64(skipped) {
		c.log.Warn("entries of the list of VMs skipped", "skipped", skipped, "before", before)
	}
}

// observations converts the entries of the list to observations and counts those
// that it skips.
func observations(entries []json.RawMessage) (out []member.Observation, skipped int) {
	for _, raw := range entries {
		if o, ok := observation(raw); ok {
			out = append(out, o)
			continue
		}
		skipped++
	}
	return out, skipped
}

// observation converts an entry of the list. ok is false for VMs without an IP
// address or incarnation and those in an unknown state.
func observation(raw json.RawMessage) (o member.Observation, ok bool) {
	var vm VM
	if err := json.Unmarshal(raw, &vm); err != nil {
		return member.Observation{}, false
	}
	if _, err := netip.ParseAddr(vm.Address); err != nil || vm.Incarnation == 0 || vm.State != VMLive && vm.State != VMLeaving {
		return member.Observation{}, false
	}
	return member.Observation{Address: vm.Address, Incarnation: vm.Incarnation, Leaving: vm.State == VMLeaving}, true
}
