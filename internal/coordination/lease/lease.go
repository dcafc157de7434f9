// Package lease implements the settings lease, without which an entry process
// takes no new work. It bounds the time for which work is started on outdated
// settings.
//
// An entry renews its lease by asking every control replica directly. Each
// replica answers with the newest settings index and the newest voters in its
// log. Answers with an index above that of the entry's settings are left out.
// The lease is renewed if the remaining answers come from a majority of every
// voter set that one of them contains.
//
// A change is committed only after a majority has it in the log, so every
// lease that was granted for older settings expires within one lease duration
// after the commit. An answer with a higher index does not prevent the
// renewal, because it may come from an isolated replica whose log holds a
// command that will never be committed.
package lease

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// Answer is one replica's answer to a renewal.
type Answer struct {
	// Replica is the ID of the answering replica.
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

// RoundResult is the outcome of one renewal round.
type RoundResult struct {
	// Granted reports whether the lease was renewed.
	Granted bool
	// Duration is the lease duration, which counts from before the first
	// request of the round was sent.
	Duration time.Duration
	// NewestIndex is the highest settings index in any answer.
	NewestIndex uint64
}

// Evaluate decides whether the answers of a round renew the lease of an entry
// whose settings version is inForce.
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

// Extend moves the end of the lease to d after start, which must be an instant
// before the first request of the round was sent. It never shortens the lease.
func (h *Holder) Extend(start clock.Instant, d time.Duration) {
	until := int64(start.Add(d))
	for {
		current := h.until.Load()
		if current >= until || h.until.CompareAndSwap(current, until) {
			return
		}
	}
}

// Until returns the instant at which the lease expires.
func (h *Holder) Until() clock.Instant {
	return clock.Instant(h.until.Load())
}

// Valid reports whether the lease has not expired yet.
func (h *Holder) Valid() bool {
	return h.clock.Now().Before(h.Until())
}
