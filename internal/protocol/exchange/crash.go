package exchange

import (
	"context"
	"errors"
	"fmt"
)

// ErrQuarantined means that a part of the prompt is in quarantine, because it
// crashed engines.
var ErrQuarantined = errors.New("prompt part in quarantine")

// checkQuarantine returns ErrQuarantined if no engine may get the prompt.
func (x *exchange) checkQuarantine() error {
	part, left, blocked := x.options.Quarantine.Blocked(x.sharedParts)
	if !blocked {
		return nil
	}
	x.quarantineLeft = left
	return fmt.Errorf("%w: %s, for %v more", ErrQuarantined, part, left)
}

// checkCrash handles an attempt that ended without an event of the stream. If its
// engine has ended too, the prompt may be the cause. begun is set if the engine
// had begun to answer: then the prompt is the most likely cause, and the request
// is not sent to another engine.
func (x *exchange) checkCrash(ctx context.Context, a Attempt, err error, begun bool) {
	resumed := x.timeToFirstByte > 0 // an engine has answered the prompt
	if x.request.Prompt == nil || resumed || errors.Is(err, errSilent) || ctx.Err() != nil || !x.sender.Ended(ctx, a.Engine) {
		return
	}
	x.options.Outlier.Unreachable(a.Engine.ID)
	x.options.Quarantine.Crashed(a.Engine, x.request.ID, x.sharedParts, begun)
	x.crashedEngine = begun
	x.options.Log.Info("engine ended before its first event", "request", x.request.ID, "engine", a.Engine.ID, "peer", a.Engine.Address,
		"begun", begun, "shared_parts", x.sharedParts)
}
