// Package lease keeps the settings lease by which an entry may take new work.
//
// An entry renews its lease by asking every control replica directly. Each
// replica answers with the newest settings index and the newest voters in its
// log. The lease is renewed by a set of answers of which none names an index
// above the settings that the entry has in force, and which is a majority of
// every set of voters that one of them names. Since a change is committed only
// after a majority has it in the log, every lease that was granted on older
// settings ends within one lease duration after the commit. An answer that
// names a higher index is left out of the set: it may come from a replica that
// was cut off with a command that never will be committed.
package lease

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// Answer is one replica's answer to a renewal.
type Answer struct {
	// Replica is the identity of the answering replica.
	Replica uint64
	// LogSettingsIndex is the newest settings index in the replica's log.
	LogSettingsIndex uint64
	// Voters is the newest membership configuration in the replica's log and
	// VotersIndex its log index.
	Voters      []uint64
	VotersIndex uint64
	// Duration is the length of the lease.
	Duration time.Duration
}

// RoundResult is the outcome of one round of renewal.
type RoundResult struct {
	// Granted reports whether a majority agreed to the settings in force.
	Granted bool
	// Duration is the length of the lease from before the round's start.
	Duration time.Duration
	// NewestIndex is the newest settings index that any answer named.
	NewestIndex uint64
}

// Evaluate decides a round from the answers that came in.
func Evaluate(answers []Answer, inForce uint64) RoundResult {
	var result RoundResult
	var agreeing []Answer
	for _, a := range answers {
		result.NewestIndex = max(result.NewestIndex, a.LogSettingsIndex)
		if a.LogSettingsIndex <= inForce && len(a.Voters) > 0 {
			agreeing = append(agreeing, a)
		}
	}
	result.Granted = len(agreeing) > 0
	for _, a := range agreeing {
		result.Granted = result.Granted && isMajority(agreeing, a.Voters)
		if result.Duration == 0 || a.Duration < result.Duration {
			result.Duration = a.Duration
		}
	}
	return result
}

// isMajority reports whether the answers come from a majority of the voters.
func isMajority(answers []Answer, voters []uint64) bool {
	answered := make(map[uint64]bool, len(answers))
	for _, a := range answers {
		if slices.Contains(voters, a.Replica) {
			answered[a.Replica] = true
		}
	}
	return len(answered) > len(voters)/2
}

// Holder is the entry's side of the lease. It is safe for concurrent use.
type Holder struct {
	clock clock.Clock
	until atomic.Int64
}

// NewHolder returns a holder without a lease.
func NewHolder(c clock.Clock) *Holder {
	return &Holder{clock: c}
}

// Extend moves the lease's end to d after start, the instant before the first
// request of the round was sent.
func (h *Holder) Extend(start clock.Instant, d time.Duration) {
	until := int64(start.Add(d))
	for {
		current := h.until.Load()
		if current >= until || h.until.CompareAndSwap(current, until) {
			return
		}
	}
}

// Until returns the lease's end.
func (h *Holder) Until() clock.Instant {
	return clock.Instant(h.until.Load())
}

// Valid reports whether the lease holds now.
func (h *Holder) Valid() bool {
	return h.clock.Now().Before(h.Until())
}
