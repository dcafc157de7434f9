package callerhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// defaultTimeoutFactor times the expected wait of the class is the timeout of a
// request that states none.
const defaultTimeoutFactor = 3

// CompletionRequest is the body of a completion request.
type CompletionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// completions handles POST /v1/completions.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	body, release, err := s.bodies.read(w, r, refusal.ExecutedNo)
	if err != nil {
		refuse(w, err)
		return
	}
	defer release()
	call, class, err := s.readCompletion(r, body)
	if err != nil {
		refuse(w, err)
		return
	}
	executed := executedBeforeSend(call)
	if !s.Lease.Valid() {
		s.refuse(w, call.Labels, noLease(executed))
		return
	}
	leave, err := s.enter(call.Team, call.Customer)
	if err != nil {
		s.refuse(w, call.Labels, limited(err, executed))
		return
	}
	defer leave()
	timeout, err := requestTimeout(r, defaultTimeoutFactor*class.ExpectedWait.Std())
	if err != nil {
		refuse(w, invalid(err.Error(), executed))
		return
	}
	ctx, cancel := withTimeout(r, timeout)
	defer cancel()
	sink := newSink(w)
	if err := s.Requests.Run(ctx, call, class, sink); err != nil {
		s.Log.Debug("completion not delivered in full", "team", call.Team, "class", call.Class, "error", err)
		sink.fail(err)
	}
}

// executedBeforeSend states whether a request was executed if it is refused
// before it is sent to an engine. A resumed request may have been executed in
// part by an earlier attempt.
func executedBeforeSend(call *request.Call) refusal.Executed {
	if call.ResumeFrom > 0 {
		return refusal.ExecutedUnknown
	}
	return refusal.ExecutedNo
}

// readCompletion decodes and validates a completion request and returns the
// settings of its class.
func (s *Server) readCompletion(r *http.Request, content []byte) (*request.Call, settings.Class, error) {
	var body CompletionRequest
	if err := json.Unmarshal(content, &body); err != nil {
		return nil, settings.Class{}, invalid("decode body: "+err.Error(), refusal.ExecutedNo)
	}
	call := &request.Call{
		Labels:    request.Labels{Team: r.Header.Get(HeaderTeam), Class: r.Header.Get(HeaderClass), Customer: r.Header.Get(HeaderCustomer)},
		Prompt:    body.Prompt,
		MaxTokens: body.MaxTokens,
	}
	class, ok := s.Settings.Load().Teams[call.Team].Classes[call.Class]
	if !ok {
		return nil, class, invalid("unknown team or class", refusal.ExecutedNo)
	}
	from, err := resumeOffset(r)
	if err != nil {
		return nil, class, invalid(err.Error(), refusal.ExecutedNo)
	}
	call.ResumeFrom = from
	if call.MaxTokens < 1 || call.ResumeFrom > call.MaxTokens {
		return nil, class, invalid("max_tokens must be at least 1 and reach the offset to resume from", refusal.ExecutedNo)
	}
	return call, class, nil
}

// errHeader means that a header has an invalid value.
var errHeader = errors.New("bad header")

// resumeOffset returns the offset of the first token to send: the one after the
// last event that the caller received, or zero for a new request.
func resumeOffset(r *http.Request) (int, error) {
	text := r.Header.Get(HeaderLastEventID)
	if text == "" {
		return 0, nil
	}
	last, err := strconv.Atoi(text)
	if err != nil || last < 0 {
		return 0, fmt.Errorf("%w: %s is not the id of an event: %q", errHeader, HeaderLastEventID, text)
	}
	return last + 1, nil
}

// requestTimeout returns the timeout from the request's HeaderTimeout, or
// standard if it has none.
func requestTimeout(r *http.Request, standard time.Duration) (time.Duration, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return standard, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("%w: %s is not a positive duration with its unit: %q", errHeader, HeaderTimeout, text)
	}
	return d, nil
}
