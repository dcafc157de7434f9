package adminhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// BaseURLs lists the administration addresses of control processes; they
	// are tried in this order.
	BaseURLs []string
	// Token is the operator's token.
	Token string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Client is a client of the administration API.
type Client struct {
	options ClientOptions
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	return &Client{options: o}
}

// Settings returns the newest accepted settings that the operator may read.
func (c *Client) Settings(ctx context.Context) (SettingsAnswer, error) {
	var answer SettingsAnswer
	err := c.get(ctx, "/v1/settings", &answer)
	return answer, err
}

// History returns up to limit accepted changes of the subtree at path, newest
// first; an empty path selects the changes of all subtrees.
func (c *Client) History(ctx context.Context, path string, limit int) (HistoryAnswer, error) {
	var answer HistoryAnswer
	query := url.Values{"path": {path}, "limit": {strconv.Itoa(limit)}}
	err := c.get(ctx, "/v1/settings/history?"+query.Encode(), &answer)
	return answer, err
}

// WaitInForce waits up to wait until the settings version is in force everywhere,
// and reports how far it is.
func (c *Client) WaitInForce(ctx context.Context, version uint64, wait time.Duration) (inforce.Report, error) {
	var report inforce.Report
	query := url.Values{"version": {strconv.FormatUint(version, 10)}, "wait": {wait.String()}}
	err := c.get(ctx, "/v1/settings/in-force?"+query.Encode(), &report)
	return report, err
}

// PerBaseURL returns one client per base URL, in the order of the base URLs.
func (c *Client) PerBaseURL() []*Client {
	var out []*Client
	for _, base := range c.options.BaseURLs {
		one := c.options
		one.BaseURLs = []string{base}
		out = append(out, NewClient(one))
	}
	return out
}

// Status returns the status as seen by the first replica that responds.
func (c *Client) Status(ctx context.Context) (StatusAnswer, error) {
	var answer StatusAnswer
	err := c.get(ctx, "/v1/status", &answer)
	return answer, err
}

// Change sends a change. The change may be sent several times under the same
// number, by Change itself to several replicas or by a caller that retries.
func (c *Client) Change(ctx context.Context, request ChangeRequest) (ChangeAnswer, error) {
	var answer ChangeAnswer
	encoded, err := json.Marshal(request)
	if err != nil {
		return answer, fmt.Errorf("encode change: %w", err)
	}
	err = c.tryEach(ctx, http.MethodPost, "/v1/settings/changes", encoded, &answer)
	return answer, err
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.tryEach(ctx, http.MethodGet, path, nil, out)
}

// tryEach sends the request to one base URL after the other until one gives a
// final response, that is, one whose error is not Retryable.
func (c *Client) tryEach(ctx context.Context, method, path string, body []byte, out any) error {
	err := errors.New("no administration address given")
	for _, base := range c.options.BaseURLs {
		err = c.try(ctx, method, base+path, body, out)
		if err == nil || !Retryable(err) {
			return err
		}
	}
	return err
}

func (c *Client) try(ctx context.Context, method, target string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request to %s: %w", target, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read response of %s: %w", target, err)
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		problem := &Problem{Status: response.StatusCode}
		_ = json.Unmarshal(content, problem)
		return fmt.Errorf("response of %s: %w", target, problem)
	}
	if err := json.Unmarshal(content, out); err != nil {
		return fmt.Errorf("decode response of %s, status %d: %w", target, response.StatusCode, err)
	}
	return nil
}

// Retryable reports whether a failed request may succeed if it is sent again:
// there was no valid response, or one with a 5xx status.
func Retryable(err error) bool {
	var problem *Problem
	return !errors.As(err, &problem) || problem.Status >= http.StatusInternalServerError
}
