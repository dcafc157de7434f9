package reconcile_test

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// operation is one step of an order as observed by its caller or by the engine.
type operation struct {
	engine, kind, id string
}

// outcome is the result of an operation as far as the caller knows.
type outcome int

const (
	succeeded outcome = iota
	refused
	unknown
)

// history records operations for the porcupine checker.
type history struct {
	mu   sync.Mutex // guards the fields below
	now  int64
	list []porcupine.Operation
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now++
	return h.now
}

func (h *history) add(call int64, o operation, result outcome) {
	end := h.tick()
	if result == unknown {
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, porcupine.Operation{Input: o, Output: result, Call: call, Return: end})
}

func (h *history) instant(engine, kind, id string) {
	h.add(h.tick(), operation{engine, kind, id}, succeeded)
}

func (h *history) count(engine, kind string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, o := range h.list {
		in := o.Input.(operation)
		if in.engine == engine && in.kind == kind && o.Output.(outcome) == succeeded {
			count++
		}
	}
	return count
}

// check checks that each engine's operations are linearizable for an order book
// with one outstanding order, in which only that order takes effect.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if porcupine.CheckOperationsTimeout(orderBookModel.ToModel(), h.list, 20*time.Second) != porcupine.Ok {
		return []string{"porcupine: history is not linearizable for an order book with one outstanding order"}
	}
	return nil
}

var orderBookModel = porcupine.NondeterministicModel{
	Partition: func(list []porcupine.Operation) [][]porcupine.Operation {
		byEngine := make(map[string][]porcupine.Operation)
		for _, o := range list {
			engine := o.Input.(operation).engine
			byEngine[engine] = append(byEngine[engine], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byEngine {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		outstanding, o := state.(string), input.(operation)
		next, legal := nextOutstanding(outstanding, o)
		switch output.(outcome) {
		case refused:
			return []any{outstanding}
		case unknown:
			if legal {
				return []any{outstanding, next}
			}
			return []any{outstanding}
		}
		if legal {
			return []any{next}
		}
		return nil
	},
}

// nextOutstanding returns the outstanding order after the operation and whether the
// operation is legal.
func nextOutstanding(outstanding string, o operation) (next string, legal bool) {
	switch o.kind {
	case "place":
		return o.id, outstanding == "" || outstanding == o.id
	case "settle":
		if outstanding == o.id {
			return "", true
		}
		return outstanding, true
	}
	return outstanding, outstanding == o.id
}

// recordingLog records the order commands that are submitted to a log.
type recordingLog struct {
	replog.Log
	ops *history
}

func (r *recordingLog) Submit(ctx context.Context, encoded []byte) (replog.Applied, error) {
	var command store.Command
	if err := cbor.Unmarshal(encoded, &command); err != nil {
		return replog.Applied{}, err
	}
	call := r.ops.tick()
	applied, err := r.Log.Submit(ctx, encoded)
	result := submitOutcome(applied, err)
	switch o := command.Order; {
	case o.Place != nil:
		r.ops.add(call, operation{o.Place.Order.Engine, "place", o.Place.Order.ID}, result)
	case o.Settle != nil:
		r.ops.add(call, operation{o.Settle.Engine, "settle", o.Settle.ID}, result)
	}
	return applied, err
}

func submitOutcome(applied replog.Applied, err error) outcome {
	switch {
	case errors.Is(err, replog.ErrNotLeader):
		return refused
	case err != nil:
		return unknown
	}
	result, err := store.DecodeResult(applied.Result)
	if err != nil || result.Order.Verdict != orderbook.Accepted {
		return refused
	}
	return succeeded
}
