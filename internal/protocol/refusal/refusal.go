// Package refusal defines the error that a refused request gets: the reason,
// whether the request was executed and when the caller may retry.
package refusal

import (
	"fmt"
	"time"
)

// Executed states whether a refused request was executed.
type Executed string

const (
	// ExecutedNo means that no byte of the request was sent to a backend server. It is
	// used only where that is known for certain.
	ExecutedNo Executed = "no"
	// ExecutedUnknown means that the request may have been executed.
	ExecutedUnknown Executed = "unknown"
	// ExecutedYes means that the request was executed.
	ExecutedYes Executed = "yes"
)

// Kind is the reason for a refusal.
type Kind string

const (
	// Invalid means that the request is malformed or not allowed.
	Invalid Kind = "invalid"
	// NoLease means that the entry holds no lease and may not accept new work.
	NoLease Kind = "no-lease"
	// Overloaded means that no engine would answer in time.
	Overloaded Kind = "overloaded"
	// Unavailable means that no backend server accepts the request.
	Unavailable Kind = "unavailable"
	// Limited means that the customer has too many requests in progress.
	Limited Kind = "limited"
	// DeadlinePassed means that the request's deadline passed.
	DeadlinePassed Kind = "deadline-passed"
	// BackendFailed means that the backend servers failed the request.
	BackendFailed Kind = "backend-failed"
	// Corrupt means that the answer did not match its digest.
	Corrupt Kind = "corrupt"
	// KeyReused means that the idempotency key was used for a different request.
	KeyReused Kind = "key-reused"
	// KeyTooOld means that the idempotency key is older than the ledger's
	// retention period.
	KeyTooOld Kind = "key-too-old"
	// OutcomeUnknown means that the call was sent and its answer was lost.
	OutcomeUnknown Kind = "outcome-unknown"
	// InProgress means that another attempt of the call is still in progress.
	InProgress Kind = "in-progress"
	// LedgerUnreachable means that the ledger did not answer in time.
	LedgerUnreachable Kind = "ledger-unreachable"
	// AnswerNotKept means that the call was executed but its answer was too
	// large to be stored.
	AnswerNotKept Kind = "answer-not-kept"
)

// Error is the refusal of a request.
type Error struct {
	Kind     Kind
	Executed Executed
	// Detail explains the refusal to the caller.
	Detail string
	// RetryAfter is the time after which the caller may retry; zero if it should
	// not.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("refused (%s, executed %s): %s", e.Kind, e.Executed, e.Detail)
	}
	return fmt.Sprintf("refused (%s, executed %s): %s: %v", e.Kind, e.Executed, e.Detail, e.Cause)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Cause
}
