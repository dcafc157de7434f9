// Package backendhttp talks to model engines and plain services over HTTP.
package backendhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// ErrTruncated means that a stream ended without its last event.
var ErrTruncated = errors.New("backendhttp: stream ended early")

const (
	// loadTimeout bounds one load report.
	loadTimeout = 2 * time.Second
	// maxEvent bounds one line of a stream, in bytes.
	maxEvent = 1 << 20
	// idleConnsPerHost is the number of idle connections kept to a backend
	// server.
	idleConnsPerHost = 64
)

// Client talks to backend servers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client with its own connection pool.
func New() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnsPerHost}
	return &Client{http: &http.Client{Transport: transport}}
}

// StatusError is an answer other than success.
type StatusError struct {
	Step   string
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s at %s: status %d: %s", e.Step, e.URL, e.Status, e.Body)
}

// Stream is a completion stream.
type Stream struct {
	url     string
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// Event is one event of a stream; exactly one field is set.
type Event struct {
	Token *backend.TokenEvent
	Done  *backend.DoneEvent
}

// Complete starts a completion at the engine with the given base URL.
func (c *Client) Complete(ctx context.Context, baseURL string, request *backend.CompletionRequest) (*Stream, error) {
	url := baseURL + "/v1/completions"
	response, err := c.post(ctx, url, request)
	if err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEvent)
	return &Stream{url: url, body: response.Body, scanner: scanner}, nil
}

func (c *Client) post(ctx context.Context, url string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request to %s: %w", url, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, fmt.Errorf("make request to %s: %w", url, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request to %s: %w", url, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError("complete", url, response)
	}
	return response, nil
}

// Next returns the next event, or ErrTruncated if the stream ended before its
// last event.
func (s *Stream) Next() (Event, error) {
	var kind string
	for s.scanner.Scan() {
		field, value, _ := strings.Cut(s.scanner.Text(), ": ")
		switch field {
		case "event":
			kind = value
		case "data":
			return decodeEvent(kind, value)
		}
	}
	if err := s.scanner.Err(); err != nil {
		return Event{}, fmt.Errorf("read stream of %s: %w", s.url, errors.Join(ErrTruncated, err))
	}
	return Event{}, fmt.Errorf("read stream of %s: %w", s.url, ErrTruncated)
}

// Close ends the stream; the engine sees the request cancelled.
func (s *Stream) Close() {
	_ = s.body.Close()
}

func decodeEvent(kind, data string) (Event, error) {
	var e Event
	var target any
	switch kind {
	case backend.EventToken:
		e.Token = &backend.TokenEvent{}
		target = e.Token
	case backend.EventDone:
		e.Done = &backend.DoneEvent{}
		target = e.Done
	default:
		return Event{}, fmt.Errorf("unknown event %q", kind)
	}
	if err := json.Unmarshal([]byte(data), target); err != nil {
		return Event{}, fmt.Errorf("decode %s event: %w", kind, err)
	}
	return e, nil
}

// Load returns an engine's load report.
func (c *Client) Load(ctx context.Context, baseURL string) (backend.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	url := baseURL + "/v1/load"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return backend.LoadReport{}, fmt.Errorf("make request to %s: %w", url, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return backend.LoadReport{}, fmt.Errorf("read load of %s: %w", url, err)
	}
	if response.StatusCode != http.StatusOK {
		return backend.LoadReport{}, statusError("read load", url, response)
	}
	defer response.Body.Close()
	var report backend.LoadReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return backend.LoadReport{}, fmt.Errorf("decode load of %s: %w", url, err)
	}
	return report, nil
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	URL            string
	Method         string
	ContentType    string
	IdempotencyKey string
	Attempt        string
	Body           []byte
}

// ServiceAnswer is the answer to a ServiceCall.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends a call to a plain service and reads the whole answer. An error
// means that the call may have been executed.
func (c *Client) Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return ServiceAnswer{}, fmt.Errorf("make call to %s: %w", call.URL, err)
	}
	// A body that can't be read again keeps net/http from repeating the call
	// on a new connection.
	request.GetBody = nil
	request.Header.Set("Content-Type", call.ContentType)
	request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	request.Header.Set("Lagoonshift-Attempt", call.Attempt)
	response, err := c.http.Do(request)
	if err != nil {
		return ServiceAnswer{}, fmt.Errorf("call %s: %w", call.URL, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ServiceAnswer{}, fmt.Errorf("read answer of %s: %w", call.URL, err)
	}
	return ServiceAnswer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// errorBody bounds how much of an error's text is kept, in bytes.
const errorBody = 512

func statusError(step, url string, response *http.Response) error {
	defer response.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(response.Body, errorBody))
	return &StatusError{Step: step, URL: url, Status: response.StatusCode, Body: string(body)}
}
