package servicecall

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

// outcome is the result that a caller received.
type outcome struct {
	// receipt is the answer; empty if the call was refused.
	receipt  string
	executed refusal.Executed
}

// history records the calls and their outcomes for the checker.
type history struct {
	mu  sync.Mutex // guards ops
	ops []porcupine.Operation
}

// observedOutcome is the output of a call in the history: its key and outcome.
type observedOutcome struct {
	key string
	outcome
}

func (h *history) add(client int, key string, start, end time.Duration, answer Answer, err error) outcome {
	o := outcome{receipt: string(answer.Body)}
	var refused *refusal.Error
	if errors.As(err, &refused) {
		o = outcome{executed: refused.Executed}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client,
		Input:    key,
		Call:     int64(start),
		Output:   observedOutcome{key: key, outcome: o},
		Return:   int64(end),
	})
	return o
}

// States of the at-most-once register; any other state is a receipt.
const (
	stateNotRun    = ""
	stateRunUnseen = "run, receipt not seen"
	checkTimeout   = 20 * time.Second
)

// atMostOnceRegister models a register that is written at most once: a call either
// runs or returns the receipt of the one earlier run. A call with an unknown
// outcome may or may not have run.
var atMostOnceRegister = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range ops {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var out [][]porcupine.Operation
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Init: func() []any { return []any{stateNotRun} },
	Step: func(state, _, output any) []any {
		s, o := state.(string), output.(observedOutcome)
		switch {
		case o.receipt != "" && (s == stateNotRun || s == stateRunUnseen || s == o.receipt):
			return []any{o.receipt}
		case o.receipt == "" && o.executed == refusal.ExecutedNo && s == stateNotRun:
			return []any{stateNotRun}
		case o.receipt == "" && o.executed == refusal.ExecutedUnknown && s == stateNotRun:
			return []any{stateNotRun, stateRunUnseen}
		case o.receipt == "" && o.executed != refusal.ExecutedNo:
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkHistory checks a run against the callers' history and the executions that
// the service recorded.
func checkHistory(sim *simulation, h *history) error {
	model := atMostOnceRegister.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, h.ops, checkTimeout); result != porcupine.Ok {
		return fmt.Errorf("history is not linearizable as an at-most-once register (%s): %+v", result, h.ops)
	}
	runs := make(map[string][]execution)
	for _, e := range sim.executions {
		runs[e.key] = append(runs[e.key], e)
	}
	for _, e := range sim.executions {
		if sim.cancelled[e.attempt] {
			return fmt.Errorf("key %s: attempt %s was executed although it was cancelled", e.key, e.attempt)
		}
	}
	for key, list := range runs {
		if len(list) > 1 {
			return fmt.Errorf("key %s was executed %d times, want at most 1: %+v", key, len(list), list)
		}
	}
	return checkRefusals(h, runs)
}

// checkRefusals finds refusals that say "not executed" although the service had
// executed the key before the call.
func checkRefusals(h *history, runs map[string][]execution) error {
	for _, op := range h.ops {
		o := op.Output.(observedOutcome)
		if o.executed != refusal.ExecutedNo {
			continue
		}
		for _, e := range runs[o.key] {
			if int64(e.at) <= op.Call {
				return fmt.Errorf("key %s: refused at %d as not executed, but executed at %d", o.key, op.Return, e.at)
			}
		}
	}
	return nil
}
