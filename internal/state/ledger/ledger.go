// Package ledger is the replicated idempotency ledger. A non-idempotent call
// is reserved under its key before it is sent, so that it runs at most once.
//
// The ledger is deterministic: its time is the highest wall time that any
// committed reservation carried, and its horizon only moves forward. A key
// older than the horizon is refused, never run again.
package ledger

import (
	"container/heap"
	"crypto/sha256"
)

const (
	// MaxAnswer bounds the body of a stored answer, in bytes.
	MaxAnswer = 64 << 10
	// maxRecords bounds the number of records.
	maxRecords = 1 << 20
	// maxFingerprints bounds the number of fingerprints of pruned keys that
	// carry no issue time.
	maxFingerprints = 1 << 20
	// maxCustomerFingerprints bounds one customer's part of them.
	maxCustomerFingerprints = maxFingerprints / 8
	// maxAheadMillis is how far the issue time of a key may lie ahead of the
	// entry's wall time, in milliseconds.
	maxAheadMillis = 5 * 60 * 1000
	// pruneBatch bounds the records pruned by one command.
	pruneBatch = 64
)

// fingerprint is the head of the SHA-256 of a pruned key.
type fingerprint [16]byte

// Ledger holds the records. It is not safe for concurrent use.
type Ledger struct {
	// records holds the keys within retention.
	records map[Key]Record
	// fingerprints holds the pruned keys without an issue time, and the
	// customer of each.
	fingerprints map[fingerprint]string
	// fingerprintsByCustomer counts fingerprints by customer.
	fingerprintsByCustomer map[string]int
	// expiry orders the records by their stamp.
	expiry expiryQueue
	// now is the ledger's time and horizon the stamp below which keys are
	// too old, both in Unix milliseconds. Neither ever steps back.
	now     int64
	horizon int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		records:      make(map[Key]Record),
		fingerprints: make(map[fingerprint]string),
		fingerprintsByCustomer:    make(map[string]int),
	}
}

// Reserve executes a committed reservation.
func (l *Ledger) Reserve(r Reserve) Result {
	l.advance(r.AtUnixMilli, r.RetentionMilli)
	if record, ok := l.records[r.Key]; ok {
		return l.reserveExisting(record, r)
	}
	if verdict := l.admit(r); verdict != Granted {
		return Result{Verdict: verdict}
	}
	return l.grant(r)
}

// reserveExisting answers a reservation of a key that has a record.
func (l *Ledger) reserveExisting(record Record, r Reserve) Result {
	switch {
	case string(record.Reserve.RequestDigest) != string(r.RequestDigest):
		return Result{Verdict: Mismatch, Record: record}
	case record.Reserve.Attempt == r.Attempt && record.Outcome.State == Reserved:
		return Result{Verdict: Granted, Record: record}
	case record.Reserve.Attempt == r.Attempt && record.Outcome.State == Cancelled:
		return Result{Verdict: Stale, Record: record}
	case record.Outcome.State == Cancelled:
		record.Reserve = withStamp(r, record.Reserve.Stamp)
		record.Outcome = Outcome{State: Reserved}
		l.records[r.Key] = record
		return Result{Verdict: Granted, Record: record}
	}
	return Result{Verdict: Taken, Record: record}
}

// admit decides whether a key without a record may be reserved.
func (l *Ledger) admit(r Reserve) Verdict {
	issued, timed := IssuedAt(r.Key.IdempotencyKey)
	switch {
	case timed && issued < l.horizon:
		return TooOld
	case timed && issued > r.AtUnixMilli+maxAheadMillis:
		return Ahead
	case len(l.records) >= maxRecords:
		return Full
	case timed:
		return Granted
	}
	if _, pruned := l.fingerprints[fingerprintOf(r.Key)]; pruned {
		return TooOld
	}
	if len(l.fingerprints) >= maxFingerprints || l.fingerprintsByCustomer[r.Key.Customer] >= maxCustomerFingerprints {
		return Full
	}
	return Granted
}

// grant records a first reservation. A key's stamp is its issue time, or the
// ledger's time if it carries none.
func (l *Ledger) grant(r Reserve) Result {
	stamp, timed := IssuedAt(r.Key.IdempotencyKey)
	if !timed {
		stamp = l.now
	}
	record := Record{Reserve: withStamp(r, stamp), Outcome: Outcome{State: Reserved}}
	l.records[r.Key] = record
	heap.Push(&l.expiry, expiryItem{stamp: stamp, key: r.Key})
	return Result{Verdict: Granted, Record: record}
}

func withStamp(r Reserve, stamp int64) Reserve {
	r.Stamp = stamp
	return r
}

// Settle executes a committed outcome. A cancellation is kept even if its
// reservation has not arrived, so that the reservation can't be granted later.
func (l *Ledger) Settle(s Settle) Result {
	record, ok := l.records[s.Key]
	if !ok && s.Outcome.State == Cancelled {
		return l.cancelBeforeReservation(s)
	}
	if !ok || record.Reserve.Attempt != s.Attempt {
		return Result{Verdict: Stale, Record: record}
	}
	if validTransition(record.Outcome.State, s.Outcome.State) {
		record.Outcome = s.Outcome
		l.records[s.Key] = record
	}
	if record.Outcome.State != s.Outcome.State {
		return Result{Verdict: Stale, Record: record}
	}
	return Result{Verdict: Stored, Record: record}
}

// validTransition reports whether an outcome in state next replaces one in state
// current. A settled outcome is final; a call whose answer was lost may still
// be settled by a late answer, but never cancelled.
func validTransition(current, next State) bool {
	switch current {
	case Reserved:
		return next == Settled || next == Unknown || next == Cancelled || next == OldSystem
	case Unknown:
		return next == Settled
	}
	return false
}

// cancelBeforeReservation records a cancellation whose reservation was not committed yet.
func (l *Ledger) cancelBeforeReservation(s Settle) Result {
	l.now = max(l.now, s.AtUnixMilli)
	reserve := Reserve{Key: s.Key, RequestDigest: s.RequestDigest, Attempt: s.Attempt, AtUnixMilli: l.now}
	if verdict := l.admit(reserve); verdict != Granted {
		return Result{Verdict: verdict}
	}
	l.grant(reserve)
	record := l.records[s.Key]
	record.Outcome = Outcome{State: Cancelled}
	l.records[s.Key] = record
	return Result{Verdict: Stored, Record: record}
}

// Lookup returns a key's record.
func (l *Ledger) Lookup(key Key) (Record, bool) {
	record, ok := l.records[key]
	return record, ok
}

// Len returns the number of records and of fingerprints.
func (l *Ledger) Len() (records, fingerprints int) {
	return len(l.records), len(l.fingerprints)
}

// advance moves the ledger's time and horizon forward and prunes.
func (l *Ledger) advance(at, retention int64) {
	l.now = max(l.now, at)
	if retention > 0 {
		l.horizon = max(l.horizon, l.now-retention)
	}
	for range pruneBatch {
		if len(l.expiry) == 0 || l.expiry[0].stamp >= l.horizon {
			return
		}
		l.prune(heap.Pop(&l.expiry).(expiryItem).key)
	}
}

// prune forgets a record; a key without an issue time leaves a fingerprint.
func (l *Ledger) prune(key Key) {
	delete(l.records, key)
	if _, timed := IssuedAt(key.IdempotencyKey); timed {
		return
	}
	l.fingerprints[fingerprintOf(key)] = key.Customer
	l.fingerprintsByCustomer[key.Customer]++
}

func fingerprintOf(key Key) fingerprint {
	h := sha256.New()
	for _, part := range []string{key.Service, key.Customer, key.IdempotencyKey} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	var f fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
