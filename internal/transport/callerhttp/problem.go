package callerhttp

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/limit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
)

// Problem is a refusal in the form of problem details (RFC 9457).
type Problem struct {
	// Type is problemType followed by the kind of refusal.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Executed states whether the request was executed.
	Executed refusal.Executed `json:"executed"`
	// RetryAfter is the time after which the caller may retry, in whole
	// seconds rounded up. It is also sent as the Retry-After header.
	RetryAfter int `json:"retry_after_s,omitempty"`
}

// problemType is the prefix of problem types.
const problemType = "urn:lagoonshift:problem:"

// newProblem returns the problem details of a refusal.
func newProblem(r *refusal.Error) *Problem {
	return &Problem{
		Type:       problemType + string(r.Kind),
		Title:      string(r.Kind),
		Status:     statusOf(r.Kind),
		Detail:     r.Detail,
		Executed:   r.Executed,
		RetryAfter: int(math.Ceil(r.RetryAfter.Seconds())),
	}
}

// statusOf returns the HTTP status code for a kind of refusal.
func statusOf(kind refusal.Kind) int {
	switch kind {
	case refusal.Invalid:
		return http.StatusBadRequest
	case refusal.Limited:
		return http.StatusTooManyRequests
	case refusal.DeadlinePassed:
		return http.StatusGatewayTimeout
	case refusal.BackendFailed, refusal.Corrupt:
		return http.StatusBadGateway
	case refusal.KeyReused:
		return http.StatusUnprocessableEntity
	case refusal.KeyTooOld, refusal.AnswerNotKept:
		return http.StatusGone
	case refusal.OutcomeUnknown, refusal.InProgress:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// write sends the problem as the complete response.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// refuse reports a refusal to the observer and sends it as the complete
// response.
func (s *Server) refuse(w http.ResponseWriter, l request.Labels, err error) {
	var r *refusal.Error
	if errors.As(err, &r) {
		s.Requests.Observer.Refused(l, string(r.Kind))
	}
	refuse(w, err)
}

// refuse sends an error as the complete response. An error that is not a
// refusal is sent as an internal error without its text.
func refuse(w http.ResponseWriter, err error) {
	var r *refusal.Error
	if !errors.As(err, &r) {
		r = &refusal.Error{Kind: refusal.BackendFailed, Executed: refusal.ExecutedUnknown, Detail: "internal error"}
	}
	newProblem(r).write(w)
}

// invalid returns the refusal of a malformed request.
func invalid(detail string, executed refusal.Executed) *refusal.Error {
	return &refusal.Error{Kind: refusal.Invalid, Executed: executed, Detail: detail}
}

// noLease returns the refusal of an entry that holds no valid lease.
func noLease(executed refusal.Executed) *refusal.Error {
	return &refusal.Error{
		Kind:       refusal.NoLease,
		Executed:   executed,
		Detail:     "this entry may not take new work; use another address",
		RetryAfter: time.Second,
	}
}

// limited returns the refusal for an error of the package limit.
func limited(err error, executed refusal.Executed) *refusal.Error {
	kind := refusal.Limited
	if errors.Is(err, limit.ErrFull) {
		kind = refusal.Overloaded
	}
	return &refusal.Error{Kind: kind, Executed: executed, Detail: err.Error(), RetryAfter: time.Second}
}
