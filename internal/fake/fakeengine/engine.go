// Package fakeengine is a small stand-in for a model engine. It speaks the
// engines' published HTTP protocol and produces deterministic text, so that a
// stream can be resumed at another engine.
package fakeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Options configures a fake engine.
type Options struct {
	Name  string
	Model string
	// Incarnation is the identity of this run.
	Incarnation string
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// TokenInterval is the time between two output tokens of a stream.
	TokenInterval time.Duration
	// ChecksFencing and ChangeTime are as in OrderOptions.
	ChecksFencing bool
	ChangeTime    time.Duration
}

// Engine is a fake engine. It is safe for concurrent use.
type Engine struct {
	options Options
	orders  *Orders
	starts  atomic.Uint64

	mu      sync.Mutex // guards the fields below
	queued  int
	running int
	prompt  int
}

// New returns an idle engine.
func New(o Options) *Engine {
	e := &Engine{options: o}
	e.orders = NewOrders(OrderOptions{
		Model:         o.Model,
		Role:          settings.RoleMixed,
		Incarnation:   e.nextIncarnation,
		ChecksFencing: o.ChecksFencing,
		ChangeTime:    o.ChangeTime,
		InFlight:      e.inFlight,
	})
	return e
}

// nextIncarnation names the engine's runs.
func (e *Engine) nextIncarnation() string {
	return fmt.Sprintf("%s-%d", e.options.Incarnation, e.starts.Add(1))
}

func (e *Engine) inFlight() (queued, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queued, e.running
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /v1/load", e.load)
	e.orders.Register(mux)
	return mux
}

// Token returns the text of one token of the answer to a prompt.
func Token(prompt string, offset int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprintf("%d:%s", offset, prompt))&0xffff)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	state := e.orders.State()
	e.mu.Lock()
	report := backend.LoadReport{
		Incarnation:        state.Incarnation,
		Model:              e.options.Model,
		Role:               state.Role,
		Draining:           state.Draining || state.Changing,
		Queued:             e.queued,
		Running:            e.running,
		QueuedPromptTokens: e.prompt,
		AtUnixMilli:        time.Now().UnixMilli(),
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request backend.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "decode completion request: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	stream := &stream{w: w, flush: http.NewResponseController(w)}
	if !e.prefill(r, &request) {
		return
	}
	defer e.count(0, -1, 0)
	digest := backend.NewDigest()
	for offset := range request.MaxTokens {
		text := Token(request.Prompt, offset)
		digest.Add(text)
		if offset < request.ResumeFrom {
			continue
		}
		event := backend.TokenEvent{Attempt: request.Attempt, Offset: offset, Text: text}
		if stream.send(backend.EventToken, offset, event) != nil {
			return
		}
		if !sleep(r, e.options.TokenInterval) {
			return
		}
	}
	done := backend.DoneEvent{Attempt: request.Attempt, Tokens: request.MaxTokens, Digest: digest.Hex()}
	_ = stream.send(backend.EventDone, request.MaxTokens, done)
}

// prefill waits as long as the prompt takes. It reports false if the caller
// went away.
func (e *Engine) prefill(r *http.Request, request *backend.CompletionRequest) bool {
	tokens := len(request.Prompt) / BytesPerToken
	e.count(1, 0, tokens)
	ok := sleep(r, time.Duration(float64(tokens)/e.options.PrefillRate*float64(time.Second)))
	e.count(-1, 0, -tokens)
	if ok {
		e.count(0, 1, 0)
	}
	return ok
}

// BytesPerToken is the mean length of a token of prompt text.
const BytesPerToken = 4

func (e *Engine) count(queued, running, prompt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.running += running
	e.prompt += prompt
}

func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stream writes server-sent events.
type stream struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

func (s *stream) send(event string, id int, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("encode %s event: %w", event, err)
	}
	if _, err := fmt.Fprintf(s.w, "id: %d\nevent: %s\ndata: %s\n\n", id, event, encoded); err != nil {
		return fmt.Errorf("write %s event: %w", event, err)
	}
	return s.flush.Flush()
}
