// Package ledger implements the replicated idempotency ledger. A non-idempotent
// call is reserved under its idempotency key before it is sent, so that it runs
// at most once.
//
// The ledger is a deterministic state machine. It reads no clock: its time is the
// highest wall time carried by any committed reservation, and its retention horizon
// never moves back. A key issued before the horizon is refused, so its call never
// runs again.
package ledger

import (
	"container/heap"
	"crypto/sha256"
)

const (
	// MaxResponseBytes is the largest response body that is stored, in bytes.
	MaxResponseBytes = 64 << 10
	// maxRecords is the maximum number of records within retention.
	maxRecords = 1 << 20
	// maxFingerprints is the maximum number of fingerprints of pruned keys
	// that carry no issue time.
	maxFingerprints = 1 << 20
	// maxCustomerFingerprints is the maximum number of fingerprints of one
	// customer.
	maxCustomerFingerprints = maxFingerprints / 8
	// maxAheadMillis is how far the issue time of a key may be ahead of the
	// entry's wall time, in milliseconds.
	maxAheadMillis = 5 * 60 * 1000
	// pruneBatch is the maximum number of records pruned by one command.
	pruneBatch = 64
)

// fingerprint is the first 16 bytes of the SHA-256 of a pruned key.
type fingerprint [16]byte

// Ledger is the state of the idempotency ledger. It is not safe for concurrent
// use.
type Ledger struct {
	// records holds the records of the keys within retention.
	records map[Key]Record
	// fingerprints maps the pruned keys without an issue time to their
	// customers.
	fingerprints map[fingerprint]string
	// fingerprintsByCustomer is the number of fingerprints of each customer.
	fingerprintsByCustomer map[string]int
	// expiry holds one item for each record, ordered by stamp.
	expiry expiryQueue
	// now is the ledger's time; keys with a stamp before horizon are too old.
	// Both are in Unix milliseconds and never decrease.
	now     int64
	horizon int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		records:                make(map[Key]Record),
		fingerprints:           make(map[fingerprint]string),
		fingerprintsByCustomer: make(map[string]int),
	}
}

// Reserve applies a committed reservation.
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

// reserveExisting applies a reservation of a key that already has a record.
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

// admit returns Granted if a key without a record may be reserved, and otherwise
// the reason for refusal.
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

// grant adds the record of a key's first reservation. The stamp is the issue
// time of the key, or the ledger's time if the key carries none.
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

// Settle applies a committed outcome. A cancellation is recorded even if its
// reservation has not been committed yet, so that the reservation can't be
// granted later.
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

// validTransition reports whether an outcome may change from state current to
// state next. Settled, Cancelled and OldSystem are final for an attempt. A call
// whose response was lost (Unknown) may still be settled by a late response, but
// not cancelled.
func validTransition(current, next State) bool {
	switch current {
	case Reserved:
		return next == Settled || next == Unknown || next == Cancelled || next == OldSystem
	case Unknown:
		return next == Settled
	}
	return false
}

// cancelBeforeReservation records a cancellation whose reservation has not been
// committed yet.
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

// Lookup returns the record of a key, if there is one.
func (l *Ledger) Lookup(key Key) (Record, bool) {
	record, ok := l.records[key]
	return record, ok
}

// Len returns the number of records and of fingerprints.
func (l *Ledger) Len() (records, fingerprints int) {
	return len(l.records), len(l.fingerprints)
}

// advance moves the ledger's time and horizon forward and prunes at most
// pruneBatch expired records. Times are in milliseconds.
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

// prune removes the record of a key. If the key carries no issue time, its
// fingerprint is kept, so that the key is still recognized as too old.
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
