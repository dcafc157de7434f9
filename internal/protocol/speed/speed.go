// Package speed describes how fast an engine works in each role and what a
// request costs there, in engine seconds.
package speed

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Speed is how fast one engine works in one role. All times are in seconds.
type Speed struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepBase is the part of a decode step that does not depend on the batch.
	StepBase float64
	// StepPerSequence is what each sequence of the batch adds to a step.
	StepPerSequence float64
	// MaxSequences bounds the batch.
	MaxSequences int
	// PrefillShare is the part of the engine's time that prefill takes while
	// sequences are being decoded.
	PrefillShare float64
}

// Table holds the speed in each role.
type Table struct {
	Prefill Speed
	Decode  Speed
	Mixed   Speed
}

// Default is the table of a model whose settings give no speeds.
var Default = Table{
	Prefill: Speed{PrefillRate: 30000, StepBase: 0.030, StepPerSequence: 0.0015, MaxSequences: 48, PrefillShare: 0.8},
	Decode:  Speed{PrefillRate: 10000, StepBase: 0.010, StepPerSequence: 0.0005, MaxSequences: 48, PrefillShare: 0.5},
	Mixed:   Speed{PrefillRate: 20000, StepBase: 0.015, StepPerSequence: 0.00075, MaxSequences: 48, PrefillShare: 0.5},
}

// Roles lists all roles in the order in which tables and plans use them.
var Roles = [...]settings.Role{settings.RolePrefill, settings.RoleDecode, settings.RoleMixed}

// FromModel returns the table of a model's settings.
func FromModel(model *settings.Model) *Table {
	t := Default
	for role, s := range model.Speeds {
		*t.Of(role) = Speed{
			PrefillRate:     s.PrefillRate,
			StepBase:        s.StepBase.Std().Seconds(),
			StepPerSequence: s.StepPerSequence.Std().Seconds(),
			MaxSequences:    s.MaxSequences,
			PrefillShare:    s.PrefillShare,
		}
	}
	return &t
}

// Of returns the speed in a role; an unknown role counts as mixed.
func (t *Table) Of(role settings.Role) *Speed {
	switch role {
	case settings.RolePrefill:
		return &t.Prefill
	case settings.RoleDecode:
		return &t.Decode
	}
	return &t.Mixed
}

// Step returns the length of a decode step with n sequences, in seconds.
func (s *Speed) Step(n float64) float64 {
	return s.StepBase + s.StepPerSequence*n
}

// Prefill returns the time that prefill of the tokens takes, in seconds.
func (s *Speed) Prefill(tokens float64) float64 {
	return tokens / s.PrefillRate
}

// Cost returns the engine seconds that a request takes in a full batch.
func (s *Speed) Cost(promptTokens, outputTokens float64) float64 {
	perToken := s.StepBase/float64(s.MaxSequences) + s.StepPerSequence
	return s.Prefill(promptTokens) + outputTokens*perToken
}

// Cheapest returns the least cost of a request over all roles, in engine
// seconds.
func (t *Table) Cheapest(promptTokens, outputTokens float64) float64 {
	least := t.Mixed.Cost(promptTokens, outputTokens)
	least = min(least, t.Prefill.Cost(promptTokens, outputTokens))
	return min(least, t.Decode.Cost(promptTokens, outputTokens))
}

// Seconds converts seconds to a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
