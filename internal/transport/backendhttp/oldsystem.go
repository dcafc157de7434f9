package backendhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// errNoOldSystemAnswer means that no address of the old system answered.
var errNoOldSystemAnswer = errors.New("backendhttp: old system not reached")

// Claim takes a key for this system in the old system's key memory. It
// reports false if the old system took the key first.
func (c *Client) Claim(ctx context.Context, baseURLs []string, service string, call backend.ServiceCall) (bool, error) {
	query := url.Values{"customer": {call.Customer}, "key": {call.IdempotencyKey}}
	call.Method = http.MethodPut
	call.URL = "/v1/keys/" + url.PathEscape(service) + "?" + query.Encode()
	call.Body = nil
	answer, err := c.sendToOldSystem(ctx, baseURLs, call)
	switch {
	case err != nil:
		return false, err
	case answer.Status == http.StatusOK:
		return true, nil
	case answer.Status == http.StatusConflict:
		return false, nil
	}
	return false, fmt.Errorf("claim key: %w: status %d", errNoOldSystemAnswer, answer.Status)
}

// Forward sends a call whose key the old system has taken. The old system's
// key memory keeps it from being run twice.
func (c *Client) Forward(ctx context.Context, baseURLs []string, call backend.ServiceCall) (backend.ServiceResponse, error) {
	return c.sendToOldSystem(ctx, baseURLs, call)
}

// sendToOldSystem sends a call to one address after the other until one answers.
func (c *Client) sendToOldSystem(ctx context.Context, baseURLs []string, call backend.ServiceCall) (backend.ServiceResponse, error) {
	last := errNoOldSystemAnswer
	for _, base := range baseURLs {
		out := call
		out.URL = base + call.URL
		answer, err := send(ctx, c.noReuse, out)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return backend.ServiceResponse{}, last
}
