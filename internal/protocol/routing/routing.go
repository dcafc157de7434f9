// Package routing chooses the engine for a request. Choices are made over an
// immutable snapshot, so that they take no lock on a request's path and can be
// repeated in experiments.
package routing

import (
	"errors"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fluid"
	"github.com/lagoonshift/lagoonshift/internal/protocol/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// ErrNoEngine means that no engine of the model takes new work.
var ErrNoEngine = errors.New("routing: no engine takes new work")

// OverloadedError means that the request would not be answered in time.
type OverloadedError struct {
	// RetryAfter is when the backlog is expected to allow another try.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return "routing: no engine answers in time, retry after " + e.RetryAfter.String()
}

// Request describes a request as far as routing needs it.
type Request struct {
	Model    string
	Team     string
	Class    string
	Customer string
	// PromptTokens and OutputTokens are counts; OutputTokens is an upper bound.
	PromptTokens int
	OutputTokens int
	// OutputRatio is the expected length of the answer as a part of
	// OutputTokens; 0 counts as 1. Package admission sets it.
	OutputRatio float64
	// Prefix holds the hashes of the prompt's prefixes, piece by piece.
	Prefix []uint64
	// Priority is the class's priority.
	Priority int
	// Worth is the class's worth.
	Worth float64
	// ExpectedWait is the class's expected wait.
	ExpectedWait time.Duration
	// Zone is the zone of the entry that decides.
	Zone string
	// Retry is true if the request was admitted before and is tried again.
	Retry bool
	// Exclude names engines that already failed this request.
	Exclude []string
}

// expectedOutputTokens is the expected length of the answer, in tokens.
func (r *Request) expectedOutputTokens() float64 {
	if r.OutputRatio == 0 {
		return float64(r.OutputTokens)
	}
	return r.OutputRatio * float64(r.OutputTokens)
}

// Engine is one engine as an entry sees it.
type Engine struct {
	Name  string
	URL   string
	Zone  string
	Model string
	Role  settings.Role
	// Accepting is false for an engine that is leaving, draining, changing
	// its role or failing.
	Accepting bool
	// Report is the newest load report and ReportedAt when it was made.
	Report     backend.LoadReport
	ReportedAt clock.Instant
	// ExternalWork estimates the work that others than this entry have there.
	ExternalWork Work
	// PrefillFraction is the part of the recent load reports that showed prompts
	// not yet prefilled.
	PrefillFraction float64
	// Slowdown is the learned ratio of real to predicted times.
	Slowdown float64

	// position identifies the engine in the prefix index.
	position uint16
	// own is this entry's own work there; nil in a hand-made snapshot.
	own *ownWork
}

// Work is an amount of work at an engine.
type Work struct {
	// Requests counts requests waiting or running.
	Requests float64
	// PromptTokens counts prompt tokens not yet prefilled.
	PromptTokens float64
}

// Load returns the estimated work at the engine: what others have there and
// this entry's own work, which is exact.
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
	// Capacity counts the accepting engines by role; a slow engine counts as
	// a part of one.
	Capacity fluid.Capacity

	prefixes *prefixIndex
}

// Snapshot is an immutable view of all engines, ordered by model and name.
type Snapshot struct {
	At      clock.Instant
	Engines []Engine

	models map[string]*ModelView
}

// Model returns the view of one model. A snapshot that was made by hand is
// searched; one of a Tracker holds the views ready.
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

// slowdownTolerance is the slowdown that the spread of predictions explains; only what
// goes beyond it means that an engine is slow.
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

// Choice is a picked engine.
type Choice struct {
	Engine *Engine
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
	// TotalTime is the predicted time to the whole answer.
	TotalTime time.Duration
	// CachedTokens is the part of the prompt that the engine seems to hold.
	CachedTokens int
}

// Picker chooses the engine for a request.
type Picker interface {
	// Pick returns ErrNoEngine or an *OverloadedError if it refuses.
	Pick(s *Snapshot, r *Request) (Choice, error)
}

// LeastRequests picks the accepting engine with the fewest requests, reported
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
