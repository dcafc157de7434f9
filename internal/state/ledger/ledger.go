// Package ledger is the replicated idempotency ledger. A non-idempotent call
// is reserved under its key before it is sent, so that it runs at most once.
package ledger

// Key identifies a non-idempotent call.
type Key struct {
	// Service is the plain service that is called.
	Service string `cbor:"1,keyasint"`
	// Customer is the customer for whom the call is made.
	Customer string `cbor:"2,keyasint"`
	// IdempotencyKey is the caller's key.
	IdempotencyKey string `cbor:"3,keyasint"`
}

// Reserve claims a key for one attempt. It is idempotent for one attempt.
type Reserve struct {
	Key Key `cbor:"1,keyasint"`
	// RequestDigest is the SHA-256 of the request.
	RequestDigest []byte `cbor:"2,keyasint"`
	// Entry names the entry process and Incarnation its run.
	Entry       string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// Attempt is unique for each reservation.
	Attempt string `cbor:"5,keyasint"`
	// AtUnixMilli is the entry's wall time in milliseconds, for retention.
	AtUnixMilli int64 `cbor:"6,keyasint"`
}

// Settle stores the outcome of an attempt.
type Settle struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt string  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
}

// State tells how far a call has come.
type State string

const (
	// Reserved means that the call may have been sent.
	Reserved State = "reserved"
	// Settled means that the outcome is stored.
	Settled State = "settled"
	// Cancelled means that the call was not sent and never will be under
	// this attempt.
	Cancelled State = "cancelled"
)

// Outcome is the stored answer of a call.
type Outcome struct {
	State State `cbor:"1,keyasint"`
	// Status is the HTTP status of the answer.
	Status int `cbor:"2,keyasint,omitempty"`
	// ContentType and Body are the answer.
	ContentType string `cbor:"3,keyasint,omitempty"`
	Body        []byte `cbor:"4,keyasint,omitempty"`
}

// Record is what the ledger keeps for a key.
type Record struct {
	Reserve Reserve `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
}

// Verdict is the answer to a Reserve or Settle.
type Verdict string

const (
	// Granted means that the attempt holds the key and may send the call.
	Granted Verdict = "granted"
	// Taken means that another attempt holds the key.
	Taken Verdict = "taken"
	// Mismatch means that the key was used for another request.
	Mismatch Verdict = "mismatch"
	// Stored means that the outcome was stored.
	Stored Verdict = "stored"
	// Stale means that the attempt does not hold the key.
	Stale Verdict = "stale"
)

// Result is the encoded answer to a Reserve or Settle.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Record is the key's record after the command.
	Record Record `cbor:"2,keyasint"`
}

// Ledger holds the records. It is not safe for concurrent use.
type Ledger struct {
	Records map[Key]Record `cbor:"-"`
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{Records: make(map[Key]Record)}
}

// Reserve executes a committed reservation.
func (l *Ledger) Reserve(r Reserve) Result {
	record, ok := l.Records[r.Key]
	switch {
	case !ok:
		record = Record{Reserve: r, Outcome: Outcome{State: Reserved}}
		l.Records[r.Key] = record
		return Result{Verdict: Granted, Record: record}
	case string(record.Reserve.RequestDigest) != string(r.RequestDigest):
		return Result{Verdict: Mismatch, Record: record}
	case record.Reserve.Attempt == r.Attempt:
		return Result{Verdict: Granted, Record: record}
	case record.Outcome.State == Cancelled:
		record = Record{Reserve: r, Outcome: Outcome{State: Reserved}}
		l.Records[r.Key] = record
		return Result{Verdict: Granted, Record: record}
	}
	return Result{Verdict: Taken, Record: record}
}

// Settle executes a committed outcome.
func (l *Ledger) Settle(s Settle) Result {
	record, ok := l.Records[s.Key]
	if !ok || record.Reserve.Attempt != s.Attempt {
		return Result{Verdict: Stale, Record: record}
	}
	if record.Outcome.State == Reserved {
		record.Outcome = s.Outcome
		l.Records[s.Key] = record
	}
	return Result{Verdict: Stored, Record: record}
}

// entry pairs a key with its record, because an encoded map can't have
// structured keys.
type entry struct {
	Key    Key    `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
}

// Encoded is the ledger as it stands in a snapshot.
type Encoded []entry

// Encode returns the ledger's content.
func (l *Ledger) Encode() Encoded {
	out := make(Encoded, 0, len(l.Records))
	for key, record := range l.Records {
		out = append(out, entry{Key: key, Record: record})
	}
	return out
}

// Decode returns the ledger with the given content.
func Decode(content Encoded) *Ledger {
	l := New()
	for _, e := range content {
		l.Records[e.Key] = e.Record
	}
	return l
}
