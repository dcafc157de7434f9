package fakeengine

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// prefillTime returns the prefill time of a prompt of the given length.
func (e *Engine) prefillTime(tokens int) time.Duration {
	if e.options.PrefillRate > 0 {
		return speed.Seconds(float64(tokens) / e.options.PrefillRate)
	}
	return speed.Seconds(speedForRole(e.orders.State().Role).Prefill(float64(tokens)))
}

// tokenInterval returns the current time between two output tokens.
func (e *Engine) tokenInterval() time.Duration {
	if e.options.TokenInterval > 0 {
		return e.options.TokenInterval
	}
	state := e.orders.State()
	return speed.Seconds(speedForRole(state.Role).Step(float64(state.Running)))
}

// speedForRole returns the default speed of an engine in a role.
func speedForRole(role settings.Role) *speed.Speed {
	return speed.Default.ForRole(role)
}
