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

// fakeOldSystem is the old system's key registry with its own calls. It is
// guarded by simulation.mu.
type fakeOldSystem struct {
	// owners maps each claimed key to the system that claimed it first.
	owners map[string]keyOwner
	// answers holds the answers to the old system's own calls by key.
	answers map[string]backend.ServiceResponse
	// started holds the keys whose calls the old system has started.
	started map[string]bool
}

type keyOwner int

const (
	unowned keyOwner = iota
	ownedByThisSystem
	ownedByOldSystem
)

// claimKey claims a key for the claimant if it is unowned, and returns its owner.
func (sim *simulation) claimKey(key string, claimant keyOwner) keyOwner {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.oldSystem.owners[key] == unowned {
		sim.oldSystem.owners[key] = claimant
	}
	return sim.oldSystem.owners[key]
}

// Claim implements OldSystem. The request or its answer may be lost.
func (e *entry) Claim(_ context.Context, _ []string, _ string, call backend.ServiceCall) (bool, error) {
	if err := e.stopIfDue(beforeClaim); err != nil {
		return false, err
	}
	r := e.sim.random(e.name, "claim", e.calls.Add(1))
	if r.IntN(10) == 0 {
		return false, errLost
	}
	has := e.sim.claimKey(call.IdempotencyKey, ownedByThisSystem)
	if e.sim.bug == bugIgnoreClaims {
		has = ownedByThisSystem
	}
	if err := e.stopIfDue(afterClaim); err != nil {
		return false, err
	}
	if r.IntN(10) == 0 {
		return false, errLost
	}
	return has == ownedByThisSystem, nil
}

// Forward implements OldSystem.
func (e *entry) Forward(_ context.Context, _ []string, call backend.ServiceCall) (backend.ServiceResponse, error) {
	e.sim.mu.Lock()
	defer e.sim.mu.Unlock()
	if answer, ok := e.sim.oldSystem.answers[call.IdempotencyKey]; ok {
		return answer, nil
	}
	return backend.ServiceResponse{}, errLost
}

// bookThroughOldSystem books through the old system, which forwards keys that
// this system owns to an entry. Its own call takes 50 ms, and one in three of its
// answers is lost.
func bookThroughOldSystem(h *history, client int, e *entry, key string) outcome {
	sim := e.sim
	if sim.claimKey(key, ownedByOldSystem) == ownedByThisSystem {
		return book(h, client, e, key)
	}
	start := time.Duration(sim.clock.Now())
	sim.mu.Lock()
	answer, ran := sim.oldSystem.answers[key]
	first := !ran && !sim.oldSystem.started[key]
	sim.oldSystem.started[key] = true
	sim.mu.Unlock()
	if first {
		time.Sleep(50 * time.Millisecond)
		answer = sim.execute(backend.ServiceCall{IdempotencyKey: key, Attempt: "old"})
		sim.mu.Lock()
		sim.oldSystem.answers[key] = answer
		sim.mu.Unlock()
	}
	var err error
	if len(answer.Body) == 0 || sim.random(client, key, start).IntN(3) == 0 {
		err = &refusal.Error{Kind: refusal.OutcomeUnknown, Executed: refusal.ExecutedUnknown, Cause: errors.New("old system: no answer yet")}
	}
	return h.add(client, key, start, time.Duration(sim.clock.Now()), Answer{ServiceResponse: answer}, err)
}

func drawOldSystemSchedule(t *rapid.T) schedule {
	p := drawSchedule(t)
	p.withOldSystem = true
	p.entryFaults[0].at = rapid.SampledFrom([]step{beforeClaim, afterClaim, beforeSend, afterReserve}).Draw(t, "stop first at")
	return p
}

// TestAtMostOnceWithOldSystem checks at-most-once execution under random schedules
// in which callers repeat their keys through both systems, claims are lost and
// entries are killed or frozen around a claim.
func TestAtMostOnceWithOldSystem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := drawOldSystemSchedule(rt).run(t, ""); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestCheckerDetectsIgnoredClaims checks that the checker reports entries that
// execute keys owned by the old system.
func TestCheckerDetectsIgnoredClaims(t *testing.T) {
	for seed := range uint64(20) {
		p := schedule{seed: seed, entries: 2, callers: 6, keys: 3, withOldSystem: true, entryFaults: []entryFault{{}, {}}}
		if err := p.run(t, bugIgnoreClaims); err != nil {
			return
		}
	}
	t.Fatal("checker found no violation in 20 schedules")
}
