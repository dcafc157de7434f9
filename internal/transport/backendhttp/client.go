// Package backendhttp is the HTTP client for model engines, plain services, the
// old system and other entries.
package backendhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/buffer"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

const (
	// loadTimeout limits the time to fetch one load report.
	loadTimeout = 2 * time.Second
	// dialTimeout limits the time for one connection attempt.
	dialTimeout = time.Second
	// idleConnsPerHost is the maximum number of idle connections to one backend
	// server.
	idleConnsPerHost = 64
	// maxHeaderBytes limits the headers of a response.
	maxHeaderBytes = 256 << 10
	// maxResponseBytes limits the body of a service's answer.
	maxResponseBytes = 4 << 20
	// maxReportBytes limits the body of a load report, an engine state or an
	// answer to an order.
	maxReportBytes = 256 << 10
	// maxErrorBodyBytes limits how much of an error response's body a
	// StatusError keeps.
	maxErrorBodyBytes = 512
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	// http reuses connections; noReuse opens a connection for each call. Calls
	// of plain services carry no ID that matches an answer to its call, so on a
	// reused connection a duplicate answer could be taken for the answer to the
	// next call.
	http    *http.Client
	noReuse *http.Client
	dialer  *net.Dialer
	// buffers bounds the bodies that are being read, in sum.
	buffers *buffer.Pool
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	single := transport.Clone()
	single.DisableKeepAlives = true
	return &Client{
		http:    &http.Client{Transport: transport, CheckRedirect: returnRedirect},
		noReuse: &http.Client{Transport: single, CheckRedirect: returnRedirect},
		dialer:  dialer,
		buffers: buffer.NewPool(buffer.DefaultBytes),
	}
}

// returnRedirect makes an http.Client return a redirect as the response.
// Following it would send the request a second time.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// StatusError is a response whose status is not the expected one.
type StatusError struct {
	// Op names the operation that failed.
	Op     string
	URL    string
	Status int
	// Body is the start of the response body.
	Body string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s at %s: status %d: %s", e.Op, e.URL, e.Status, e.Body)
}

// Unwrap returns backend.ErrRefused for the status codes of a server that takes
// no work at present, 429 and 503.
func (e *StatusError) Unwrap() error {
	if e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests {
		return backend.ErrRefused
	}
	return nil
}

// Complete starts a completion at the engine with the given base URL.
func (c *Client) Complete(ctx context.Context, baseURL string, request *backend.CompletionRequest) (backend.Stream, error) {
	url := baseURL + "/v1/completions"
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request to %s: %w", url, err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request to %s: %w", url, err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, fmt.Errorf("send request to %s: %w", url, markNotSent(err))
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError("complete", url, response)
	}
	return newStream(url, response.Body), nil
}

// markNotSent adds backend.ErrNotSent to an error that occurred before a
// connection was established.
func markNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", backend.ErrNotSent, err)
	}
	return err
}

// Load fetches an engine's load report.
func (c *Client) Load(ctx context.Context, baseURL string) (backend.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var report backend.LoadReport
	err := getJSON(ctx, c.http, "read load", baseURL+"/v1/load", &report)
	return report, err
}

// getJSON fetches a JSON document of at most maxReportBytes. op names the
// operation in errors.
func getJSON(ctx context.Context, client *http.Client, op, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("make request to %s: %w", url, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", op, url, err)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(op, url, response)
	}
	if err := decodeResponse(response, into); err != nil {
		return fmt.Errorf("%s at %s: decode: %w", op, url, err)
	}
	return nil
}

// decodeResponse decodes and closes the body of a response.
func decodeResponse(response *http.Response, into any) error {
	defer response.Body.Close()
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(into)
}

// statusError returns the StatusError of a response and closes its body.
func statusError(op, url string, response *http.Response) error {
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	return &StatusError{Op: op, URL: url, Status: response.StatusCode, Body: string(body)}
}
