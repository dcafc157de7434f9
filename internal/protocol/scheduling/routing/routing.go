// Package routing chooses the engine for a request. An entry, the process that
// accepts client requests, keeps its view of the engines in immutable
// snapshots: choosing from a snapshot takes no lock on the request path, and
// experiments can reproduce the choice.
package routing

import (
	"errors"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/fluid"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// ErrNoEngine is returned when no engine of the model accepts new work.
var ErrNoEngine = errors.New("routing: no engine takes new work")

// OverloadedError is returned when the request would not be answered in time.
type OverloadedError struct {
	// RetryAfter is the time after which the backlog is expected to allow a
	// retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return "routing: no engine answers in time, retry after " + e.RetryAfter.String()
}

// Request holds the properties of a request that routing needs.
type Request struct {
	Model    string
	Team     string
	Class    string
	Customer string
	// PromptTokens and OutputTokens are token counts; OutputTokens is an upper
	// bound.
	PromptTokens int
	OutputTokens int
	// OutputRatio is the expected length of the answer as a fraction of
	// OutputTokens; 0 means 1. Package admission sets it.
	OutputRatio float64
	// PrefixHashes holds the hashes of the prompt's prefixes, one per block, as
	// PrefixHashes returns them.
	PrefixHashes []uint64
	// Priority is the class's priority.
	Priority int
	// Worth is the value of one request of the class, as its settings give it.
	Worth float64
	// ExpectedWait is the class's expected wait; 0 or less accepts any wait.
	ExpectedWait time.Duration
	// Zone is the availability zone of the entry that chooses.
	Zone string
	// Retry is true if the request was admitted before and is being retried.
	Retry bool
	// Software is the software version that began the answer, or nil before its first
	// token. Only engines of that version may go on with it.
	Software *string
	// Exclude names the engines that already failed this request.
	Exclude []string
}

// expectedOutputTokens is the expected length of the answer, in tokens.
func (r *Request) expectedOutputTokens() float64 {
	if r.OutputRatio == 0 {
		return float64(r.OutputTokens)
	}
	return r.OutputRatio * float64(r.OutputTokens)
}

// Engine is the view that an entry has of one engine.
type Engine struct {
	Name  string
	URL   string
	Zone  string
	Model string
	Role  settings.Role
	// Accepting is false while the engine is leaving, draining, changing its
	// role or failing.
	Accepting bool
	// Report is the newest load report and ReportedAt the time at which the
	// engine made it.
	Report     backend.LoadReport
	ReportedAt clock.Instant
	// ExternalWork estimates the work at the engine that did not come from this
	// entry.
	ExternalWork Work
	// PrefillFraction is the fraction of the recent load reports that showed
	// prompts waiting for prefill, as a moving average.
	PrefillFraction float64
	// Slowdown is the moving average of the ratio of measured to predicted
	// token times.
	Slowdown float64

	// position is the engine's index in Snapshot.Engines; it identifies the
	// engine in the prefix index.
	position uint16
	// own is this entry's own work at the engine; nil in a snapshot that no
	// Tracker built.
	own *ownWork
}

// Work is an amount of work at an engine.
type Work struct {
	// Requests counts requests waiting or running.
	Requests float64
	// PromptTokens counts prompt tokens not yet prefilled.
	PromptTokens float64
}

// Load returns the estimated work at the engine: the estimate of external work
// plus this entry's own work, which is known exactly.
func (e *Engine) Load() Work {
	own := e.own.current()
	return Work{
		Requests:     e.ExternalWork.Requests + own.Requests,
		PromptTokens: e.ExternalWork.PromptTokens + own.PromptTokens,
	}
}

// ModelView is the part of a snapshot that concerns one model.
type ModelView struct {
	Engines []Engine
	Speeds  *speed.Table
	// Capacity counts the accepting engines by role; a slow engine counts as a
	// fraction of one.
	Capacity fluid.Capacity

	prefixes *prefixIndex
}

// Snapshot is an immutable view of all engines, sorted by model and name.
type Snapshot struct {
	At      clock.Instant
	Engines []Engine

	models map[string]*ModelView
}

// Model returns the view of one model, which is empty for an unknown model.
// Snapshots built by a Tracker hold the views ready; for any other snapshot the
// view is built on each call.
func (s *Snapshot) Model(name string) *ModelView {
	if s.models != nil {
		if v := s.models[name]; v != nil {
			return v
		}
		return &ModelView{Speeds: &speed.Default}
	}
	v := &ModelView{Speeds: &speed.Default}
	for _, e := range s.Engines {
		if e.Model == name {
			v.Engines = append(v.Engines, e)
		}
	}
	v.Capacity = capacityOf(v.Engines)
	return v
}

// slowdownTolerance is the slowdown that the normal error of predictions
// explains. Only a slowdown beyond it reduces an engine's capacity.
const slowdownTolerance = 1.2

func capacityOf(engines []Engine) fluid.Capacity {
	var c fluid.Capacity
	for i := range engines {
		if !engines[i].Accepting {
			continue
		}
		c[roleIndex(engines[i].Role)] += min(slowdownTolerance/max(engines[i].Slowdown, 1), 1)
	}
	return c
}

func roleIndex(role settings.Role) int {
	index := slices.Index(speed.Roles[:], role)
	if index < 0 {
		index = slices.Index(speed.Roles[:], settings.RoleMixed)
	}
	return index
}

// Choice is the engine chosen for a request, with the prediction for it.
type Choice struct {
	Engine *Engine
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
	// TotalTime is the predicted time to the end of the answer.
	TotalTime time.Duration
	// CachedTokens is the number of leading prompt tokens that the engine is
	// estimated to have in its prefix cache.
	CachedTokens int
}

// Picker chooses the engine for a request.
type Picker interface {
	// Pick returns ErrNoEngine or an *OverloadedError if it refuses the
	// request.
	Pick(s *Snapshot, r *Request) (Choice, error)
}

// LeastRequests picks the accepting engine with the fewest requests, external
// and own.
type LeastRequests struct{}

// Pick implements Picker.
func (LeastRequests) Pick(s *Snapshot, r *Request) (Choice, error) {
	var best *Engine
	for _, e := range candidates(s.Model(r.Model), r, defaultFilters) {
		if best == nil || e.Load().Requests < best.Load().Requests {
			best = e
		}
	}
	if best == nil {
		return Choice{}, ErrNoEngine
	}
	return Choice{Engine: best}, nil
}
