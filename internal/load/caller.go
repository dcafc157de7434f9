package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/transport/callerhttp"
)

const (
	// timeoutFactor is the timeout of a request, retries included, as a multiple
	// of its expected wait.
	timeoutFactor = 3
	// defaultRetryDelay is the delay before a retry when the response has no
	// Retry-After header.
	defaultRetryDelay = 100 * time.Millisecond
	// bytesPerToken is the mean length of a prompt token.
	bytesPerToken = 4
)

// caller sends one request as a client of the system does: it looks up
// addresses, tries them in turn and resumes interrupted streams.
type caller struct {
	http      *http.Client
	directory *directory
	maxTries  int
	verify    bool
}

// run sends an arrival, with retries, until it is answered or its attempts or
// time are used up. start is the scheduled time of the arrival.
func (c *caller) run(ctx context.Context, a *Arrival, start time.Time) Result {
	_, wait := a.worth()
	ctx, cancel := context.WithTimeout(ctx, timeoutFactor*wait)
	defer cancel()
	r := Result{Arrival: a, Outcome: Failed, Lateness: time.Since(start)}
	if a.Completion != nil {
		c.runCompletion(ctx, &r, start)
	} else {
		c.runCall(ctx, &r, start)
	}
	r.Latency = time.Since(start)
	return r
}

func (c *caller) runCompletion(ctx context.Context, r *Result, start time.Time) {
	reader := newStreamReader(prompt(r.Arrival), c.verify)
	for r.Tries < c.maxTries {
		delay := c.tryCompletion(ctx, r, reader, start)
		if r.Outcome == Complete || r.Outcome == Invalid || !clock.Sleep(ctx, delay) {
			return
		}
	}
}

// tryCompletion makes one attempt and returns the delay before the next one.
func (c *caller) tryCompletion(ctx context.Context, r *Result, reader *streamReader, start time.Time) time.Duration {
	source := r.Arrival.Completion
	body, _ := json.Marshal(callerhttp.CompletionRequest{Prompt: reader.prompt, MaxTokens: r.Arrival.OutputTokens})
	header := http.Header{}
	header.Set(callerhttp.HeaderTeam, source.Team)
	header.Set(callerhttp.HeaderClass, source.Class)
	if reader.nextOffset > 0 {
		header.Set("Last-Event-ID", strconv.Itoa(reader.nextOffset-1))
		r.Resumes++
	}
	response, delay := c.send(ctx, r, "/v1/completions", header, body)
	if response == nil {
		return delay
	}
	defer response.Body.Close()
	err := reader.read(response.Body, func(gap time.Duration) {
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(start)
			return
		}
		r.Gaps = append(r.Gaps, gap)
	})
	r.Outcome = reader.outcome(err, r.Arrival.OutputTokens)
	if err != nil {
		r.Problem = err.Error()
	}
	return 0
}

// send sends one request and returns the response if its status is 200.
// Otherwise it records the failure in r and returns nil and the delay before
// the next attempt.
func (c *caller) send(ctx context.Context, r *Result, path string, header http.Header, body []byte) (*http.Response, time.Duration) {
	sent := time.Now()
	response, err := c.post(ctx, r, path, header, body)
	if err != nil {
		r.Outcome, r.Problem = Failed, err.Error()
		return nil, defaultRetryDelay
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, r.recordRefusal(response, time.Since(sent))
	}
	return response, 0
}

// post sends one request to the next address in turn.
func (c *caller) post(ctx context.Context, r *Result, path string, header http.Header, body []byte) (*http.Response, error) {
	addresses, err := c.directory.addresses(ctx)
	if err != nil {
		r.Tries++
		return nil, err
	}
	base := addresses[r.Tries%len(addresses)]
	r.Tries++
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request to %s: %w", base, err)
	}
	request.Header = header
	request.Header.Set(callerhttp.HeaderCustomer, r.Arrival.Customer)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send to %s: %w", base, err)
	}
	return response, nil
}

// recordRefusal records a refusal and returns the delay that its Retry-After
// header asks for.
func (r *Result) recordRefusal(response *http.Response, took time.Duration) time.Duration {
	var problem callerhttp.Problem
	_ = json.NewDecoder(response.Body).Decode(&problem)
	r.Outcome, r.Status, r.RefusalLatency = Refused, response.StatusCode, took
	r.Executed, r.Problem = string(problem.Executed), problem.Title
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return defaultRetryDelay
	}
	return time.Duration(seconds) * time.Second
}

func (c *caller) runCall(ctx context.Context, r *Result, start time.Time) {
	c.retryCall(ctx, r)
	r.FirstToken = time.Since(start)
	if !r.Arrival.Repeat || r.Outcome != Complete {
		return
	}
	repeated := Result{Arrival: r.Arrival, Outcome: Failed, Tries: 1}
	c.maxTries++
	c.retryCall(ctx, &repeated)
	r.RepeatAnswer = repeated.Answer
	if repeated.Outcome == Complete && repeated.Answer != r.Answer {
		r.Outcome, r.Problem = Invalid, "the repeated call got a different answer"
	}
}

func (c *caller) retryCall(ctx context.Context, r *Result) {
	for r.Tries < c.maxTries {
		delay := c.tryCall(ctx, r)
		if r.Outcome == Complete || !clock.Sleep(ctx, delay) {
			return
		}
	}
}

func (c *caller) tryCall(ctx context.Context, r *Result) time.Duration {
	source := r.Arrival.Call
	header := http.Header{}
	header.Set(callerhttp.HeaderIdempotencyKey, r.Arrival.Key)
	body := fmt.Appendf(nil, `{"customer": %q, "number": %d}`, r.Arrival.Customer, r.Arrival.Number)
	response, delay := c.send(ctx, r, "/v1/services/"+source.Service+"/"+source.Path, header, body)
	if response == nil {
		return delay
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		r.Outcome, r.Problem = Truncated, err.Error()
		return defaultRetryDelay
	}
	r.Outcome, r.Answer = Complete, string(content)
	return 0
}

// prompt returns the prompt text of an arrival. Up to half of it is a prefix
// shared by all prompts of the customer, as notes and history are in practice.
func prompt(a *Arrival) string {
	length := a.PromptTokens * bytesPerToken
	shared := strings.Repeat(a.Customer+" history. ", 1+length/2/len(a.Customer+" history. "))
	own := fmt.Sprintf("Request %d. ", a.Number)
	text := shared[:min(len(shared), length/2)] + strings.Repeat(own, 1+length/len(own))
	return text[:max(length, len(own))]
}
