package servicecall

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

const (
	beforeClaim step = "before claim"
	afterClaim  step = "after claim"
)

// oldSystem is the old system's key memory. The world's lock guards it.
type oldSystem struct {
	// taken holds the keys by who took them first.
	taken map[string]side
	// answers holds what came of the old system's own calls.
	answers map[string]backend.ServiceAnswer
	// running holds the keys whose call it has begun.
	running map[string]bool
}

type side int

const (
	free side = iota
	ours
	theirs
)

// take returns who has a key; it is the asking side if the key was free.
func (w *world) take(key string, by side) side {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.old.taken[key] == free {
		w.old.taken[key] = by
	}
	return w.old.taken[key]
}

// Claim implements OldSystem. The question or its answer may be lost.
func (e *entry) Claim(_ context.Context, _ []string, _ string, call backend.ServiceCall) (bool, error) {
	if err := e.pass(beforeClaim); err != nil {
		return false, err
	}
	r := e.w.random(e.name, "claim", e.calls.Add(1))
	if r.IntN(10) == 0 {
		return false, errLost
	}
	has := e.w.take(call.IdempotencyKey, ours)
	if e.w.planted == ignoreClaims {
		has = ours
	}
	if err := e.pass(afterClaim); err != nil {
		return false, err
	}
	if r.IntN(10) == 0 {
		return false, errLost
	}
	return has == ours, nil
}

// Forward implements OldSystem.
func (e *entry) Forward(_ context.Context, _ []string, call backend.ServiceCall) (backend.ServiceAnswer, error) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if answer, ok := e.w.old.answers[call.IdempotencyKey]; ok {
		return answer, nil
	}
	return backend.ServiceAnswer{}, errLost
}

// bookOld books through the old system, which passes our keys on to an entry.
// Its own call takes a while, and every third answer is lost on the way.
func bookOld(h *history, client int, e *entry, key string) outcome {
	w := e.w
	if w.take(key, theirs) == ours {
		return book(h, client, e, key)
	}
	start := time.Duration(w.clock.Now())
	w.mu.Lock()
	answer, ran := w.old.answers[key]
	first := !ran && !w.old.running[key]
	w.old.running[key] = true
	w.mu.Unlock()
	if first {
		time.Sleep(50 * time.Millisecond)
		answer = w.execute(backend.ServiceCall{IdempotencyKey: key, Attempt: "old"})
		w.mu.Lock()
		w.old.answers[key] = answer
		w.mu.Unlock()
	}
	var err error
	if len(answer.Body) == 0 || w.random(client, key, start).IntN(3) == 0 {
		err = &refusal.Error{Kind: refusal.OutcomeUnknown, Executed: refusal.Unknown, Cause: errors.New("old system: no answer yet")}
	}
	return h.add(client, key, start, time.Duration(w.clock.Now()), Answer{ServiceAnswer: answer}, err)
}

func drawOldPlan(t *rapid.T) plan {
	p := drawPlan(t)
	p.old = true
	p.stops[0].at = rapid.SampledFrom([]step{beforeClaim, afterClaim, beforeSend, afterReserve}).Draw(t, "stop first at")
	return p
}

// TestAtMostOnceBesideOldSystem runs drawn schedules in which callers repeat
// their keys through both systems, claims are lost and entries stopped around
// them.
func TestAtMostOnceBesideOldSystem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := drawOldPlan(rt).run(t, ""); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestIgnoredClaimIsFound plants an entry that runs keys of the old system and
// shows that the checker reports it.
func TestIgnoredClaimIsFound(t *testing.T) {
	for seed := range uint64(20) {
		p := plan{seed: seed, entries: 2, callers: 6, keys: 3, old: true, stops: []stop{{}, {}}}
		if err := p.run(t, ignoreClaims); err != nil {
			return
		}
	}
	t.Fatal("the checker found nothing")
}
