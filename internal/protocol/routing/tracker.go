package routing

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Tracker keeps the entry's view of the engines. Writers build a new snapshot
// under a lock; readers load the current one without any.
type Tracker struct {
	clock    clock.Clock
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex // guards engines
	engines map[string]*Engine
}

// NewTracker returns a tracker that knows no engine.
func NewTracker(c clock.Clock) *Tracker {
	t := &Tracker{clock: c, engines: make(map[string]*Engine)}
	t.snapshot.Store(&Snapshot{At: c.Now()})
	return t
}

// Snapshot returns the current view.
func (t *Tracker) Snapshot() *Snapshot {
	return t.snapshot.Load()
}

// Configure takes the engines from a new configuration.
func (t *Tracker) Configure(c *settings.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]*Engine)
	for model, deployment := range c.Models {
		for name, engine := range deployment.Engines {
			e := t.engines[name]
			if e == nil || e.URL != engine.URL {
				e = &Engine{Name: name, URL: engine.URL, Role: settings.RoleMixed, Accepting: true}
			}
			e.Model = model
			e.Zone = engine.Zone
			e.Accepting = !engine.Drain && !e.Report.Draining && !c.Leaving(engine.URL)
			next[name] = e
		}
	}
	t.engines = next
	t.publish()
}

// Report takes an engine's load report.
func (t *Tracker) Report(engine string, report backend.LoadReport, at clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[engine]
	if !ok {
		return
	}
	e.Report = report
	e.ReportedAt = at
	e.Role = report.Role
	if report.Draining {
		e.Accepting = false
	}
	t.publish()
}

// Flight is one request in progress at an engine.
type Flight struct {
	tracker *Tracker
	engine  string
	prompt  int
}

// Start counts a dispatched request.
func (t *Tracker) Start(engine string, r *Request) *Flight {
	t.add(engine, 1, r.PromptTokens)
	return &Flight{tracker: t, engine: engine, prompt: r.PromptTokens}
}

// FirstToken tells that the request's prompt is prefilled.
func (f *Flight) FirstToken() {
	f.tracker.add(f.engine, 0, -f.prompt)
	f.prompt = 0
}

// Done tells that the request left the engine.
func (f *Flight) Done() {
	f.tracker.add(f.engine, -1, -f.prompt)
	f.prompt = 0
}

func (t *Tracker) add(engine string, requests, promptTokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.engines[engine]
	if !ok {
		return
	}
	e.OwnRequests += requests
	e.OwnPromptTokens += promptTokens
	t.publish()
}

// publish replaces the snapshot. The caller holds mu.
func (t *Tracker) publish() {
	s := &Snapshot{At: t.clock.Now(), Engines: make([]Engine, 0, len(t.engines))}
	for _, name := range slices.Sorted(maps.Keys(t.engines)) {
		s.Engines = append(s.Engines, *t.engines[name])
	}
	t.snapshot.Store(s)
}
