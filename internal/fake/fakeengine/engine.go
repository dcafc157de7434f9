// Package fakeengine is a fake inference engine for tests and trials. It implements
// the engines' published HTTP protocol and generates deterministic text, so that
// a stream can be resumed at another engine. Faults can be injected while it
// runs.
package fakeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// BytesPerToken is the mean length in bytes of a token of prompt text.
const BytesPerToken = 4

// Options configures a fake engine.
type Options struct {
	Name  string
	Model string
	// Incarnation is the prefix of the identities of the engine's runs.
	Incarnation string
	// PrefillRate is in prompt tokens per second; 0 means the rate of the
	// engine's role in speed.Default.
	PrefillRate float64
	// TokenInterval is the time between two output tokens of a stream; 0 means
	// the step time for the engine's role and batch size in speed.Default.
	TokenInterval time.Duration
	// ChecksFencing and ChangeTime are as in OrderOptions.
	ChecksFencing bool
	ChangeTime    time.Duration
	// WeightStore is the base URL of the weight store from which weights are
	// pulled; if it is empty, none are pulled.
	WeightStore string
	// Software is the version that the engine reports; empty if it reports none.
	Software string
	// Slots is the maximum number of requests that run concurrently; 0 means
	// no limit. Waiting requests are started in order of priority.
	Slots int
}

// Engine is a fake engine. It is safe for concurrent use.
type Engine struct {
	options Options
	orders  *Orders
	starts  atomic.Uint64
	slots   *slots

	mu                 sync.Mutex // guards the fields below
	queued             int
	running            int
	queuedPromptTokens int
	cancelled          int
	faults             Faults
	// moveStreams is closed when running streams are to be handed back to
	// the caller, which continues them at another engine.
	moveStreams chan struct{}
}

// New returns an idle engine.
func New(o Options) *Engine {
	e := &Engine{options: o, slots: newSlots(o.Slots), moveStreams: make(chan struct{})}
	e.orders = NewOrders(OrderOptions{
		Pull:          e.pull(),
		Model:         o.Model,
		Role:          settings.RoleMixed,
		Incarnation:   e.nextIncarnation,
		ChecksFencing: o.ChecksFencing,
		ChangeTime:    o.ChangeTime,
		InFlight:      e.inFlight,
	})
	return e
}

// pull returns the function that pulls weights, or nil without a weight store.
func (e *Engine) pull() func(backend.OrderRequest) (end func()) {
	if e.options.WeightStore == "" {
		return nil
	}
	return weightPuller(e.options.WeightStore, e.options.Name)
}

// nextIncarnation returns the identity of the engine's next run.
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
	mux.HandleFunc("POST /fake/faults", e.handleSetFaults)
	return mux
}

// Token returns the text of the token at an offset of the answer to a prompt.
func Token(prompt string, offset int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprintf("%d:%s", offset, prompt))&0xffff)
}

// Answer returns the complete answer to a prompt, of the given length in tokens.
func Answer(prompt string, tokens int) string {
	text := ""
	for offset := range tokens {
		text += Token(prompt, offset)
	}
	return text
}

// Cancelled returns the number of requests whose caller disconnected before they
// completed.
func (e *Engine) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// Running returns the number of queued and running requests.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queued + e.running
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	state := e.orders.State()
	e.mu.Lock()
	report := backend.LoadReport{
		Incarnation:        state.Incarnation,
		Model:              e.options.Model,
		Role:               state.Role,
		Draining:           e.faults.Draining || state.Draining || state.Changing,
		Queued:             e.queued,
		Running:            e.running,
		QueuedPromptTokens: e.queuedPromptTokens,
		Software:           e.options.Software,
		AtUnixMilli:        time.Now().UnixMilli(),
	}
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request backend.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "decode completion request: "+err.Error(), http.StatusBadRequest)
		return
	}
	if e.currentFaults().Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if !e.prefill(r, &request) {
		e.countCancelled()
		return
	}
	defer e.slots.release()
	defer e.count(0, -1, 0)
	out := &stream{w: w, flush: http.NewResponseController(w), engine: e, request: &request}
	if !out.run(r.Context()) {
		e.countCancelled()
	}
}

// prefill waits for a slot and then for the prefill time of the prompt. It
// returns false if the caller disconnected. On success the request holds a slot
// and counts as running.
func (e *Engine) prefill(r *http.Request, request *backend.CompletionRequest) bool {
	tokens := len(request.Prompt) / BytesPerToken
	e.count(1, 0, tokens)
	defer e.count(-1, 0, -tokens)
	if !e.slots.acquire(r.Context(), request.Priority) {
		return false
	}
	if !clock.Sleep(r.Context(), e.prefillTime(tokens)) {
		e.slots.release()
		return false
	}
	e.count(0, 1, 0)
	return true
}

func (e *Engine) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
}

// count adds the arguments, which may be negative, to the load counters.
func (e *Engine) count(queued, running, prompt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued += queued
	e.running += running
	e.queuedPromptTokens += prompt
}
