// Package refusal defines how the system refuses a request: why, whether the
// request was run and when the caller may come back.
package refusal

import (
	"fmt"
	"time"
)

// Executed tells a caller whether its refused request was run.
type Executed string

const (
	// No means that no byte of the request went to a backend server. It is
	// said only by whoever knows that.
	No Executed = "no"
	// Unknown means that the request may have been run.
	Unknown Executed = "unknown"
	// Yes means that the request was run.
	Yes Executed = "yes"
)

// Kind is the reason for a refusal.
type Kind string

const (
	// Invalid means that the request itself is wrong.
	Invalid Kind = "invalid"
	// NoLease means that the entry may not take new work.
	NoLease Kind = "no-lease"
	// Overloaded means that no engine would answer in time.
	Overloaded Kind = "overloaded"
	// Unavailable means that no backend server takes the request.
	Unavailable Kind = "unavailable"
	// Limited means that the customer has too many requests in progress.
	Limited Kind = "limited"
	// DeadlinePassed means that the caller's time ran out.
	DeadlinePassed Kind = "deadline-passed"
	// BackendFailed means that backend servers failed the request.
	BackendFailed Kind = "backend-failed"
	// Corrupt means that an answer did not match its digest.
	Corrupt Kind = "corrupt"
	// KeyReused means that the idempotency key belongs to another request.
	KeyReused Kind = "key-reused"
	// KeyTooOld means that the key is older than the ledger's retention.
	KeyTooOld Kind = "key-too-old"
	// OutcomeUnknown means that a call was sent and its answer lost.
	OutcomeUnknown Kind = "outcome-unknown"
	// InProgress means that another attempt is still running the call.
	InProgress Kind = "in-progress"
	// LedgerUnreachable means that the ledger did not answer in time.
	LedgerUnreachable Kind = "ledger-unreachable"
	// AnswerNotKept means that the call was run and its answer was too large
	// to be stored.
	AnswerNotKept Kind = "answer-not-kept"
)

// Error is a refusal.
type Error struct {
	Kind     Kind
	Executed Executed
	// Detail explains the refusal to the caller.
	Detail string
	// RetryAfter is when the caller may try again; zero if it should not.
	RetryAfter time.Duration
	// Cause is the error behind the refusal, if any.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("refused (%s, executed %s): %s", e.Kind, e.Executed, e.Detail)
	}
	return fmt.Sprintf("refused (%s, executed %s): %s: %v", e.Kind, e.Executed, e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}
