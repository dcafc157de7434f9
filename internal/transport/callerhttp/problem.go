package callerhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Executed tells a caller whether its refused request was run.
type Executed string

const (
	// ExecutedNo means that no byte of the request went to a backend server
	// that could execute it.
	ExecutedNo Executed = "no"
	// ExecutedUnknown means that it may have been run.
	ExecutedUnknown Executed = "unknown"
	// ExecutedYes means that it was run.
	ExecutedYes Executed = "yes"
)

// Problem is a refusal as problem details (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Executed tells whether the request was run.
	Executed Executed `json:"executed"`
	// RetryAfter is when the caller may try again; it is also sent as the
	// Retry-After header, in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// write sends the problem as the whole answer.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
