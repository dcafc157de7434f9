// Package backendhttp talks to model engines and plain services over HTTP.
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

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

const (
	// loadTimeout bounds one load report.
	loadTimeout = 2 * time.Second
	// dialTimeout bounds one connection attempt.
	dialTimeout = time.Second
	// idleConnsPerHost is the number of idle connections kept to a backend
	// server.
	idleConnsPerHost = 64
	// maxResponseBytes bounds a service's answer, in bytes.
	maxResponseBytes = 4 << 20
	// maxReportBytes bounds a report, a state or an answer to an order, in bytes.
	maxReportBytes = 256 << 10
	// maxErrorBodyBytes bounds how much of an error's text is kept, in bytes.
	maxErrorBodyBytes = 512
)

// Client talks to backend servers. It is safe for concurrent use.
type Client struct {
	// http keeps connections; single uses each for one call only. Calls of
	// plain services carry nothing by which an answer could be matched to
	// its call, so a second answer on a kept connection could pass for the
	// answer to the next call.
	http    *http.Client
	noReuse *http.Client
	dialer  *net.Dialer
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		DisableCompression:  true,
	}
	single := transport.Clone()
	single.DisableKeepAlives = true
	return &Client{
		http:    &http.Client{Transport: transport, CheckRedirect: returnRedirect},
		noReuse: &http.Client{Transport: single, CheckRedirect: returnRedirect},
		dialer:  dialer,
	}
}

// returnRedirect hands a redirect on as the answer: following it would send the
// request again.
func returnRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// StatusError is an answer other than success.
type StatusError struct {
	Op     string
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s at %s: status %d: %s", e.Op, e.URL, e.Status, e.Body)
}

// Unwrap marks the answers of an engine that takes no work now.
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

// markNotSent adds backend.ErrNotSent to an error that arose before there was a
// connection.
func markNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", backend.ErrNotSent, err)
	}
	return err
}

// Load returns an engine's load report.
func (c *Client) Load(ctx context.Context, baseURL string) (backend.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var report backend.LoadReport
	err := getJSON(ctx, c.http, "read load", baseURL+"/v1/load", &report)
	return report, err
}

// getJSON reads an answer of at most maxReport bytes. The step names what is
// read in errors.
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

func decodeResponse(response *http.Response, into any) error {
	defer response.Body.Close()
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(into)
}

func statusError(op, url string, response *http.Response) error {
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	return &StatusError{Op: op, URL: url, Status: response.StatusCode, Body: string(body)}
}
