package backend

import (
	"errors"
)

// ErrNotSent means that no byte of a call went to the backend server.
var ErrNotSent = errors.New("backend: call not sent")

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// URL is the whole URL with path and query.
	URL         string
	Method      string
	ContentType string
	// Customer is handed on for the service's own records.
	Customer       string
	IdempotencyKey string
	// Attempt identifies this attempt.
	Attempt string
	Body    []byte
}

// ServiceAnswer is the answer to a ServiceCall.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}
