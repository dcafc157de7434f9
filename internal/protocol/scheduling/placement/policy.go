package placement

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
)

// Work describes a request to a [Policy].
type Work struct {
	Service string
	Route   string
	// Prompt is empty for calls of plain services.
	Prompt Prompt
	// Priority is the request's rank; zero is the highest.
	Priority int
	// Objective is the time within which the first event is due, of which Elapsed has
	// passed. EventGap is the longest pause that is in time, zero if there is no limit.
	Objective, Elapsed, EventGap time.Duration
	// Output is the expected length of the output. It is empty where costs are not learned.
	Output cost.Output
	// Waiting is the number of prompt tokens of the service that wait at other entries.
	Waiting int
	// Staleness is about how old the load of other entries is.
	Staleness time.Duration
}

// Estimate states why a server was chosen.
type Estimate struct {
	// CostMs is the lateness, in milliseconds, that the choice adds to the request and to
	// those alongside it, and NextMs that of the next best choice. Both are zero if the policy
	// doesn't estimate them.
	CostMs, NextMs float64
	// FirstEventMs is the predicted time from the arrival of the request to its first
	// event, or zero.
	FirstEventMs float64
}

// Choice is a chosen server.
type Choice struct {
	Candidate
	Estimate
}

// Policy decides which servers do a request's work. Candidates have passed all filters. It
// is safe for concurrent use.
type Policy interface {
	// PrefillLocally reports whether an engine that decodes should prefill the prompt.
	PrefillLocally(w *Work, prefill, decode []Candidate) bool
	// SparesPrefill reports the same for a prompt that was to go to a prefill engine, in
	// view of engines that fail.
	SparesPrefill(w *Work, prefill, decode []Candidate) bool
	// ForPrefill chooses the engine that prefills the prompt; see [ForPrefill].
	ForPrefill(w *Work, holders []fleet.Engine, prefill, decode []Candidate) (PrefillChoice, bool)
	// ForDecode chooses the engine that decodes. zone is where the prompt was prefilled. If
	// local is set, it was not, and zone is the entry's.
	ForDecode(w *Work, zone string, local bool, candidates []Candidate) (Choice, bool)
	// ForCall chooses a plain server for a call; zone is the entry's.
	ForCall(w *Work, zone string, candidates []Candidate) (Choice, bool)
}

// Scoring is the policy of the fixed scores of [ForPrefill], [ForDecode] and [ForCall].
type Scoring struct {
	// Random returns a random integer in [0, n).
	Random func(n int) int
}

// PrefillLocally implements [Policy].
func (s Scoring) PrefillLocally(w *Work, prefill, _ []Candidate) bool {
	return PrefillLocally(w.Prompt, prefill)
}

// SparesPrefill implements [Policy].
func (s Scoring) SparesPrefill(w *Work, prefill, decode []Candidate) bool {
	return SparesPrefill(w.Prompt, prefill, decode)
}

// ForPrefill implements [Policy].
func (s Scoring) ForPrefill(w *Work, holders []fleet.Engine, prefill, decode []Candidate) (PrefillChoice, bool) {
	return ForPrefill(w.Prompt, holders, prefill, decode, s.Random)
}

// ForDecode implements [Policy].
func (s Scoring) ForDecode(_ *Work, zone string, _ bool, candidates []Candidate) (Choice, bool) {
	chosen, ok := ForDecode(zone, candidates, s.Random)
	return Choice{Candidate: chosen}, ok
}

// ForCall implements [Policy].
func (s Scoring) ForCall(_ *Work, zone string, candidates []Candidate) (Choice, bool) {
	chosen, ok := ForCall(zone, candidates, s.Random)
	return Choice{Candidate: chosen}, ok
}
