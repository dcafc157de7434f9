// Package routing chooses the engine for a request. Choices are made over an
// immutable snapshot, so that they take no lock on a request's path and can be
// repeated in experiments.
package routing

import (
	"errors"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
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
	// Exclude names engines that already failed this request.
	Exclude []string
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
	// OwnRequests counts this entry's requests in progress there.
	OwnRequests int
	// OwnPromptTokens counts their prompt tokens not yet prefilled.
	OwnPromptTokens int
}

// Snapshot is an immutable view of all engines, ordered by name.
type Snapshot struct {
	At      clock.Instant
	Engines []Engine
}

// Choice is a picked engine.
type Choice struct {
	Engine *Engine
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Whole is the predicted time to the whole answer.
	Whole time.Duration
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
	for i := range s.Engines {
		e := &s.Engines[i]
		if !eligible(e, r) {
			continue
		}
		if best == nil || requests(e) < requests(best) {
			best = e
		}
	}
	if best == nil {
		return Choice{}, ErrNoEngine
	}
	return Choice{Engine: best}, nil
}

func eligible(e *Engine, r *Request) bool {
	if !e.Accepting || e.Model != r.Model {
		return false
	}
	for _, name := range r.Exclude {
		if name == e.Name {
			return false
		}
	}
	return true
}

func requests(e *Engine) int {
	return e.Report.Queued + e.Report.Running + e.OwnRequests
}
