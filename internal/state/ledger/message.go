package ledger

// Key identifies a non-idempotent call.
type Key struct {
	// Service is the plain service that is called.
	Service string `cbor:"1,keyasint" json:"service"`
	// Customer is the customer for whom the call is made.
	Customer string `cbor:"2,keyasint" json:"customer"`
	// IdempotencyKey is the caller's key.
	IdempotencyKey string `cbor:"3,keyasint" json:"idempotency_key"`
}

// Reserve claims a key for one attempt. It is idempotent for one attempt.
type Reserve struct {
	Key Key `cbor:"1,keyasint" json:"key"`
	// RequestDigest is the SHA-256 of the request's method, path, query,
	// content type and body.
	RequestDigest []byte `cbor:"2,keyasint" json:"request_digest"`
	// Entry names the entry process and Incarnation its run.
	Entry       string `cbor:"3,keyasint" json:"entry"`
	Incarnation uint64 `cbor:"4,keyasint" json:"incarnation"`
	// Attempt is unique for each reservation.
	Attempt string `cbor:"5,keyasint" json:"attempt"`
	// AtUnixMilli is the entry's wall time in milliseconds, for retention.
	AtUnixMilli int64 `cbor:"6,keyasint" json:"at_ms"`
	// RetentionMilli is the retention in force at the entry, in milliseconds.
	RetentionMilli int64 `cbor:"7,keyasint,omitempty" json:"-"`
	// Stamp is the time from which retention counts, in Unix milliseconds.
	// The ledger sets it.
	Stamp int64 `cbor:"8,keyasint,omitempty" json:"-"`
	// Call is the service's call, for operators.
	Call string `cbor:"9,keyasint,omitempty" json:"call,omitempty"`
}

// Settle stores the outcome of an attempt.
type Settle struct {
	Key     Key     `cbor:"1,keyasint"`
	Attempt string  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	// RequestDigest is the digest of the reservation that is cancelled.
	RequestDigest []byte `cbor:"4,keyasint,omitempty"`
	// AtUnixMilli is the entry's wall time in milliseconds.
	AtUnixMilli int64 `cbor:"5,keyasint,omitempty"`
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
	// Unknown means that the call was sent and its answer lost.
	Unknown State = "unknown"
	// OldSystem means that the old system took the key first; the call was
	// not sent under this attempt.
	OldSystem State = "old-system"
)

// Outcome is the stored answer of a call.
type Outcome struct {
	State State `cbor:"1,keyasint" json:"state"`
	// Status is the HTTP status of the answer.
	Status int `cbor:"2,keyasint,omitempty" json:"status,omitempty"`
	// ContentType and Body are the answer.
	ContentType string `cbor:"3,keyasint,omitempty" json:"content_type,omitempty"`
	Body        []byte `cbor:"4,keyasint,omitempty" json:"body,omitempty"`
	// Oversized means that the answer was too large to be kept.
	Oversized bool `cbor:"5,keyasint,omitempty" json:"oversized,omitempty"`
}

// Record is what the ledger keeps for a key.
type Record struct {
	Reserve Reserve `cbor:"1,keyasint" json:"reserve"`
	Outcome Outcome `cbor:"2,keyasint" json:"outcome"`
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
	// TooOld means that the key is older than retention; it may have been run.
	TooOld Verdict = "too-old"
	// Ahead means that the key's issue time lies in the future.
	Ahead Verdict = "ahead"
	// Full means that the ledger has no room for the key.
	Full Verdict = "full"
)

// Result is the encoded answer to a Reserve or Settle.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Record is the key's record after the command.
	Record Record `cbor:"2,keyasint"`
}
