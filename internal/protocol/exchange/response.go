package exchange

import (
	"context"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/buffer"
)

// relay writes the response of an attempt to the caller.
func (x *exchange) relay(ctx context.Context, s *startedAttempt) (done bool, err error) {
	x.untilClose = s.response.UntilClose
	if s.response.Success && s.response.EventStream {
		return x.relayStream(ctx, s)
	}
	return x.relayResponse(ctx, s)
}

// relayResponse reads a plain response and writes it to the caller. It holds
// an error response back, to be written only if no further attempt succeeds.
func (x *exchange) relayResponse(ctx context.Context, s *startedAttempt) (done bool, err error) {
	a, response := s.attempt, s.response
	s.guard.restart()
	claim := x.options.Buffers.Claim()
	defer claim.Release()
	body, err := buffer.ReadAll(response.Body, maxBodyBytes, &claim)
	if err = s.guard.stopAfter(err); err == nil {
		err = x.checkClose(ctx, a, response)
	}
	if err != nil {
		x.recordFailure(ctx, a, "answer cut", err)
		x.checkCrash(ctx, a, err, false)
		return false, err
	}
	a.waiter.answered()
	if !response.Success {
		err = &ServerError{Status: response.Status, Engine: a.Engine.ID}
		x.recordFailure(ctx, a, "server error", err)
		x.holdFailure(&heldResponse{Response: response, body: body, claim: claim})
		claim = buffer.Claim{} // held until the exchange ends
		return false, err
	}
	if x.streamBegun {
		x.recordFailure(ctx, a, "plain response", errPlainResponse)
		return false, errPlainResponse
	}
	x.learnCall(s)
	x.options.Outlier.Success(a.Engine.ID)
	x.options.Quarantine.Answered(x.request.Service.Name, x.quarantineKeys())
	return true, x.writeResponse(response, body)
}

// heldResponse is a server's error response. It is written to the caller if no
// other attempt succeeds.
type heldResponse struct {
	*Response
	body  []byte
	claim buffer.Claim
}

// holdFailure holds an error response in place of an earlier one, or none if it is nil.
func (x *exchange) holdFailure(h *heldResponse) {
	if x.heldFailure != nil {
		x.heldFailure.claim.Release()
	}
	x.heldFailure = h
}

func (x *exchange) writeResponse(response *Response, body []byte) error {
	x.timeToFirstByte = time.Since(x.started)
	return x.sink.WriteResponse(response, body)
}
