package backend

import (
	"errors"
)

// ErrNotSent means that no byte of a call was sent to the backend server.
var ErrNotSent = errors.New("backend: call not sent")

// ServiceCall is one attempt to call a plain service.
type ServiceCall struct {
	// URL is the full URL with path and query.
	URL         string
	Method      string
	ContentType string
	// Customer is passed on for the service's own records.
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
