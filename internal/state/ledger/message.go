package ledger

// Key identifies a non-idempotent call.
type Key struct {
	// Service is the name of the service that is called.
	Service string `cbor:"1,keyasint" json:"service"`
	// Customer is the customer for whom the call is made.
	Customer string `cbor:"2,keyasint" json:"customer"`
	// IdempotencyKey is the key chosen by the caller.
	IdempotencyKey string `cbor:"3,keyasint" json:"idempotency_key"`
}

// Reserve reserves a key for one attempt. Repeating it with the same attempt is
// idempotent.
type Reserve struct {
	Key Key `cbor:"1,keyasint" json:"key"`
	// RequestDigest is the SHA-256 of the request's method, path, query,
	// content type and body.
	RequestDigest []byte `cbor:"2,keyasint" json:"request_digest"`
	// Entry is the name of the entry process; Incarnation changes with each
	// start of that process.
	Entry       string `cbor:"3,keyasint" json:"entry"`
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"`
	// Attempt is the unique ID of the reservation.
	Attempt string `cbor:"5,keyasint" json:"attempt"`
	// AtUnixMilli is the entry's wall time in Unix milliseconds. Retention is
	// based on it.
	AtUnixMilli int64 `cbor:"6,keyasint" json:"at_ms"`
	// RetentionMilli is the retention period in force at the entry, in
	// milliseconds; 0 leaves the horizon unchanged.
	RetentionMilli int64 `cbor:"7,keyasint,omitempty" json:"-"`
	// Stamp is the start of the retention period in Unix milliseconds. It is
	// set by the ledger.
	Stamp int64 `cbor:"8,keyasint,omitempty" json:"-"`
	// Call names the called operation of the service, for operators.
	Call string `cbor:"9,keyasint,omitempty" json:"call,omitempty"`
}

// Settle stores the outcome of an attempt.
type Settle struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt string  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	// RequestDigest is the request digest of a reservation that is cancelled.
	RequestDigest []byte `cbor:"4,keyasint,omitempty"`
	// AtUnixMilli is the entry's wall time in Unix milliseconds.
	AtUnixMilli int64 `cbor:"5,keyasint,omitempty"`
}

// State is the state of a reserved call.
type State string

const (
	// Reserved means that the call may have been sent.
	Reserved State = "reserved"
	// Settled means that the response is stored.
	Settled State = "settled"
	// Cancelled means that the call was not sent and never will be under
	// this attempt.
	Cancelled State = "cancelled"
	// Unknown means that the call was sent and its response was lost.
	Unknown State = "unknown"
	// OldSystem means that the old system already holds the key; the call was
	// not sent under this attempt.
	OldSystem State = "old-system"
)

// Outcome is the state of a call and, once it is settled, its stored response.
type Outcome struct {
	State State `cbor:"1,keyasint" json:"state"`
	// Status is the HTTP status code of the response.
	Status int `cbor:"2,keyasint,omitempty" json:"status,omitempty"`
	// ContentType and Body are the content of the response.
	ContentType string `cbor:"3,keyasint,omitempty" json:"content_type,omitempty"`
	Body        []byte `cbor:"4,keyasint,omitempty" json:"body,omitempty"`
	// Oversized means that the response was too large to be stored.
	Oversized bool `cbor:"5,keyasint,omitempty" json:"oversized,omitempty"`
}

// Record is the ledger's entry for one key.
type Record struct {
	Reserve Reserve `cbor:"1,keyasint" json:"reserve"`
	Outcome Outcome `cbor:"2,keyasint" json:"outcome"`
}

// Verdict is the decision on a Reserve or Settle.
type Verdict string

const (
	// Granted means that the attempt holds the key and may send the call.
	Granted Verdict = "granted"
	// Taken means that another attempt holds the key.
	Taken Verdict = "taken"
	// Mismatch means that the key was already used for a different request.
	Mismatch Verdict = "mismatch"
	// Stored means that the outcome was stored.
	Stored Verdict = "stored"
	// Stale means that the attempt does not hold the key.
	Stale Verdict = "stale"
	// TooOld means that the key is older than the retention period; its call
	// may already have run.
	TooOld Verdict = "too-old"
	// Ahead means that the key's issue time is too far in the future.
	Ahead Verdict = "ahead"
	// Full means that the ledger has reached a limit and can't store the key.
	Full Verdict = "full"
)

// Result is the result of a Reserve or Settle.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Record is the key's record after the command.
	Record Record `cbor:"2,keyasint"`
}
