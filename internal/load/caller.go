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
	overtime = 3
	// defaultPause is the pause before another try when none is told.
	defaultPause = 100 * time.Millisecond
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
	ctx, cancel := context.WithTimeout(ctx, overtime*wait)
	defer cancel()
	r := Result{Arrival: a, Kind: Failed, Lateness: time.Since(start)}
	if a.Completion != nil {
		c.complete(ctx, &r, start)
	} else {
		c.book(ctx, &r, start)
	}
	r.Took = time.Since(start)
	return r
}

func (c *caller) complete(ctx context.Context, r *Result, start time.Time) {
	answer := newAnswer(prompt(r.Arrival), c.verify)
	for r.Tries < c.maxTries {
		pause := c.tryStream(ctx, r, answer, start)
		if r.Kind == Whole || r.Kind == Wrong || !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// tryStream makes one try and returns the pause before the next one.
func (c *caller) tryStream(ctx context.Context, r *Result, answer *answer, start time.Time) time.Duration {
	source := r.Arrival.Completion
	body, _ := json.Marshal(callerhttp.CompletionCall{Prompt: answer.prompt, MaxTokens: r.Arrival.OutputTokens})
	header := http.Header{}
	header.Set(callerhttp.HeaderTeam, source.Team)
	header.Set(callerhttp.HeaderClass, source.Class)
	if answer.next > 0 {
		header.Set("Last-Event-ID", strconv.Itoa(answer.next-1))
		r.Resumes++
	}
	response, pause := c.exchange(ctx, r, "/v1/completions", header, body)
	if response == nil {
		return pause
	}
	defer response.Body.Close()
	err := answer.read(response.Body, func(gap time.Duration) {
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(start)
			return
		}
		r.Gaps = append(r.Gaps, gap)
	})
	r.Kind = answer.kind(err, r.Arrival.OutputTokens)
	if err != nil {
		r.Problem = err.Error()
	}
	return 0
}

// exchange sends one request and returns its answer, if it is one of success.
// Otherwise it records how the try failed and returns the pause before the
// next one.
func (c *caller) exchange(ctx context.Context, r *Result, path string, header http.Header, body []byte) (*http.Response, time.Duration) {
	sent := time.Now()
	response, err := c.post(ctx, r, path, header, body)
	if err != nil {
		r.Kind, r.Problem = Failed, err.Error()
		return nil, defaultPause
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, r.refused(response, time.Since(sent))
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
func (r *Result) refused(response *http.Response, took time.Duration) time.Duration {
	var problem callerhttp.Problem
	_ = json.NewDecoder(response.Body).Decode(&problem)
	r.Kind, r.Status, r.Refusal = Refused, response.StatusCode, took
	r.Executed, r.Problem = string(problem.Executed), problem.Title
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return defaultPause
	}
	return time.Duration(seconds) * time.Second
}

func (c *caller) book(ctx context.Context, r *Result, start time.Time) {
	c.pursue(ctx, r)
	r.FirstToken = time.Since(start)
	if !r.Arrival.Repeat || r.Kind != Whole {
		return
	}
	again := Result{Arrival: r.Arrival, Kind: Failed, Tries: 1}
	c.maxTries++
	c.pursue(ctx, &again)
	r.Again = again.Answer
	if again.Kind == Whole && again.Answer != r.Answer {
		r.Kind, r.Problem = Wrong, "the repeated call got another answer"
	}
}

func (c *caller) pursue(ctx context.Context, r *Result) {
	for r.Tries < c.maxTries {
		pause := c.tryCall(ctx, r)
		if r.Kind == Whole || !clock.Sleep(ctx, pause) {
			return
		}
	}
}

func (c *caller) tryCall(ctx context.Context, r *Result) time.Duration {
	source := r.Arrival.Call
	header := http.Header{}
	header.Set(callerhttp.HeaderKey, r.Arrival.Key)
	body := fmt.Appendf(nil, `{"customer": %q, "number": %d}`, r.Arrival.Customer, r.Arrival.Number)
	response, pause := c.exchange(ctx, r, "/v1/services/"+source.Service+"/"+source.Path, header, body)
	if response == nil {
		return pause
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		r.Kind, r.Problem = Cut, err.Error()
		return defaultPause
	}
	r.Kind, r.Answer = Whole, string(content)
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
