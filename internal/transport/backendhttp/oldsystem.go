package backendhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// errNoOldSystemAnswer means that the old system gave no usable answer: it has
// no address or answered with an unexpected status.
var errNoOldSystemAnswer = errors.New("backendhttp: no valid answer from the old system")

// Claim claims an idempotency key for this system in the old system's key store.
// It reports false if the old system has already taken the key.
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

// Forward sends a call whose key the old system has taken to the old system. The
// old system's key store prevents a second execution.
func (c *Client) Forward(ctx context.Context, baseURLs []string, call backend.ServiceCall) (backend.ServiceResponse, error) {
	return c.sendToOldSystem(ctx, baseURLs, call)
}

// sendToOldSystem sends a call to the addresses of the old system in turn until
// one answers. It returns the last error if none does.
func (c *Client) sendToOldSystem(ctx context.Context, baseURLs []string, call backend.ServiceCall) (backend.ServiceResponse, error) {
	last := errNoOldSystemAnswer
	for _, base := range baseURLs {
		out := call
		out.URL = base + call.URL
		answer, err := c.send(ctx, c.noReuse, out)
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return backend.ServiceResponse{}, last
}
