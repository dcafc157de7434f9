// Package speed models how fast an engine works in each role and what a request
// costs there, in engine seconds.
package speed

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Speed is the speed of one engine in one role. All times are in seconds.
type Speed struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepBase is the part of a decode step's time that does not depend on the
	// batch size.
	StepBase float64
	// StepPerSequence is the time that each sequence of the batch adds to a
	// decode step.
	StepPerSequence float64
	// MaxSequences is the maximum batch size.
	MaxSequences int
	// PrefillShare is the fraction of the engine's time that prefill gets while
	// sequences are being decoded.
	PrefillShare float64
}

// Table holds an engine's speed in each role.
type Table struct {
	Prefill Speed
	Decode  Speed
	Mixed   Speed
}

// Default applies to models whose settings contain no speeds.
var Default = Table{
	Prefill: Speed{PrefillRate: 30000, StepBase: 0.030, StepPerSequence: 0.0015, MaxSequences: 48, PrefillShare: 0.8},
	Decode:  Speed{PrefillRate: 10000, StepBase: 0.010, StepPerSequence: 0.0005, MaxSequences: 48, PrefillShare: 0.5},
	Mixed:   Speed{PrefillRate: 20000, StepBase: 0.015, StepPerSequence: 0.00075, MaxSequences: 48, PrefillShare: 0.5},
}

// Roles lists all roles in the order in which tables and plans use them.
var Roles = [...]settings.Role{settings.RolePrefill, settings.RoleDecode, settings.RoleMixed}

// FromModel returns the table for a model's settings; roles without a speed there
// have the default.
func FromModel(model *settings.Model) *Table {
	t := Default
	for role, s := range model.Speeds {
		*t.ForRole(role) = Speed{
			PrefillRate:     s.PrefillRate,
			StepBase:        s.StepBase.Std().Seconds(),
			StepPerSequence: s.StepPerSequence.Std().Seconds(),
			MaxSequences:    s.MaxSequences,
			PrefillShare:    s.PrefillShare,
		}
	}
	return &t
}

// ForRole returns the speed in a role; an unknown role counts as mixed.
func (t *Table) ForRole(role settings.Role) *Speed {
	switch role {
	case settings.RolePrefill:
		return &t.Prefill
	case settings.RoleDecode:
		return &t.Decode
	}
	return &t.Mixed
}

// Step returns the duration of a decode step with n sequences, in seconds.
func (s *Speed) Step(n float64) float64 {
	return s.StepBase + s.StepPerSequence*n
}

// Prefill returns the time to prefill the given number of tokens, in seconds.
func (s *Speed) Prefill(tokens float64) float64 {
	return tokens / s.PrefillRate
}

// Cost returns the cost of a request in a full batch, in engine seconds.
func (s *Speed) Cost(promptTokens, outputTokens float64) float64 {
	perToken := s.StepBase/float64(s.MaxSequences) + s.StepPerSequence
	return s.Prefill(promptTokens) + outputTokens*perToken
}

// Cheapest returns the lowest cost of a request in any role, in engine seconds.
func (t *Table) Cheapest(promptTokens, outputTokens float64) float64 {
	least := t.Mixed.Cost(promptTokens, outputTokens)
	least = min(least, t.Prefill.Cost(promptTokens, outputTokens))
	return min(least, t.Decode.Cost(promptTokens, outputTokens))
}

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
