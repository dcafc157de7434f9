package backendhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/buffer"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// Headers that this system adds to calls of plain services.
const (
	headerKey      = "Idempotency-Key"
	headerAttempt  = "Lagoonshift-Attempt"
	headerCustomer = "Lagoonshift-Customer"
)

// Call sends a call that may be repeated and reads its whole answer.
func (c *Client) Call(ctx context.Context, call backend.ServiceCall) (backend.ServiceResponse, error) {
	return c.send(ctx, c.noReuse, call)
}

// Lookup reads the outcome of a call by its idempotency key. found is true only
// if the service answers with status 200; any other status counts as an unknown
// key.
func (c *Client) Lookup(ctx context.Context, call backend.ServiceCall) (answer backend.ServiceResponse, found bool, err error) {
	call.Method = http.MethodGet
	call.Body = nil
	answer, err = c.send(ctx, c.noReuse, call)
	return answer, err == nil && answer.Status == http.StatusOK, err
}

func (c *Client) send(ctx context.Context, client *http.Client, call backend.ServiceCall) (backend.ServiceResponse, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return backend.ServiceResponse{}, fmt.Errorf("make call to %s: %w", call.URL, errors.Join(backend.ErrNotSent, err))
	}
	request.Header.Set("Content-Type", call.ContentType)
	request.Header.Set(headerAttempt, call.Attempt)
	request.Header.Set(headerCustomer, call.Customer)
	if call.IdempotencyKey != "" {
		request.Header.Set(headerKey, call.IdempotencyKey)
	}
	response, err := client.Do(request)
	if err != nil {
		return backend.ServiceResponse{}, fmt.Errorf("call %s: %w", call.URL, markNotSent(err))
	}
	defer response.Body.Close()
	claim := c.buffers.Claim()
	defer claim.Release()
	body, err := buffer.ReadAll(response.Body, maxResponseBytes, &claim)
	if err != nil {
		return backend.ServiceResponse{}, fmt.Errorf("read answer of %s: %w", call.URL, err)
	}
	return backend.ServiceResponse{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}
