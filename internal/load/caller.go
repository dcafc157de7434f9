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
	// overtime is how long past its expected wait a request is pursued, as a
	// multiple of that wait.
	timeoutFactor = 3
	// defaultPause is the pause before another try when none is told.
	defaultRetryDelay = 100 * time.Millisecond
	// bytesPerToken is the mean length of a token of prompt text.
	bytesPerToken = 4
)

// caller makes one request as a caller of the system would: it asks for
// addresses, tries one after the other and resumes streams that were cut.
type caller struct {
	http      *http.Client
	directory *directory
	maxTries  int
	verify    bool
}

// run pursues an arrival until it is answered or given up. The start is when
// the arrival was due.
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

// tryStream makes one try and returns the pause before the next one.
func (c *caller) tryCompletion(ctx context.Context, r *Result, reader *streamReader, start time.Time) time.Duration {
	source := r.Arrival.Completion
	body, _ := json.Marshal(callerhttp.CompletionCall{Prompt: reader.prompt, MaxTokens: r.Arrival.OutputTokens})
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

// exchange sends one request and returns its answer, if it is one of success.
// Otherwise it records how the try failed and returns the pause before the
// next one.
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

// post sends one request to the address whose turn it is.
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
		return nil, fmt.Errorf("make request to %s: %w", base, err)
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

// refused records a refusal and returns the pause that it asks for.
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
		r.Outcome, r.Problem = Invalid, "the repeated call got another answer"
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
	header.Set(callerhttp.HeaderKey, r.Arrival.Key)
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

// prompt makes the text of an arrival's prompt. Prompts of one customer share
// a prefix, as notes and history do.
func prompt(a *Arrival) string {
	length := a.PromptTokens * bytesPerToken
	shared := strings.Repeat(a.Customer+" history. ", 1+length/2/len(a.Customer+" history. "))
	own := fmt.Sprintf("Request %d. ", a.Number)
	text := shared[:min(len(shared), length/2)] + strings.Repeat(own, 1+length/len(own))
	return text[:max(length, len(own))]
}
