package fakeengine

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/speed"
)

// prefillTime returns how long prefill of the tokens takes.
func (e *Engine) prefillTime(tokens int) time.Duration {
	if e.options.PrefillRate > 0 {
		return speed.Seconds(float64(tokens) / e.options.PrefillRate)
	}
	return speed.Seconds(e.pace().Prefill(float64(tokens)))
}

// tokenInterval returns the time between two output tokens now.
func (e *Engine) tokenInterval() time.Duration {
	if e.options.TokenInterval > 0 {
		return e.options.TokenInterval
	}
	_, running := e.inFlight()
	return speed.Seconds(e.pace().Step(float64(running)))
}

// pace returns the speed in the engine's present role.
func (e *Engine) pace() *speed.Speed {
	table := speed.Default
	return table.Of(e.orders.State().Role)
}
