package fakeengine

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// prefillTime returns how long prefill of the tokens takes.
func (e *Engine) prefillTime(tokens int) time.Duration {
	if e.options.PrefillRate > 0 {
		return speed.Seconds(float64(tokens) / e.options.PrefillRate)
	}
	return speed.Seconds(speedForRole(e.orders.State().Role).Prefill(float64(tokens)))
}

// tokenInterval returns the time between two output tokens now.
func (e *Engine) tokenInterval() time.Duration {
	if e.options.TokenInterval > 0 {
		return e.options.TokenInterval
	}
	state := e.orders.State()
	return speed.Seconds(speedForRole(state.Role).Step(float64(state.Running)))
}

// speedForRole returns the speed in a role.
func speedForRole(role settings.Role) *speed.Speed {
	return speed.Default.ForRole(role)
}
