package callerhttp

import (
	"net/http"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
	"github.com/lagoonshift/lagoonshift/internal/protocol/servicecall"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// service handles calls of plain services under /v1/services/.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	rule, ok := s.findCall(r)
	if !ok {
		refuse(w, invalid("unknown service or call", refusal.ExecutedNo))
		return
	}
	if !rule.Idempotent && r.Method == http.MethodGet {
		refuse(w, invalid("a non-idempotent call is sent by POST", refusal.ExecutedNo))
		return
	}
	if !rule.Idempotent && r.Header.Get(HeaderIdempotencyKey) == "" {
		refuse(w, invalid("a non-idempotent call needs the header "+HeaderIdempotencyKey, refusal.ExecutedNo))
		return
	}
	executed := executedBeforeLedger(rule)
	body, release, err := s.bodies.read(w, r, executed)
	if err != nil {
		refuse(w, err)
		return
	}
	defer release()
	call := newCall(r, body)
	labels := s.labels(r)
	if !s.Lease.Valid() {
		s.refuse(w, labels, noLease(executed))
		return
	}
	leave, err := s.enter(labels.Team, call.Customer)
	if err != nil {
		s.refuse(w, labels, limited(err, executed))
		return
	}
	defer leave()
	s.runCall(w, r, call, rule)
}

// labels returns the metric labels of a service call. A team that the settings
// do not name is left out, so that header values can't create new metric series.
func (s *Server) labels(r *http.Request) request.Labels {
	team := r.Header.Get(HeaderTeam)
	if _, ok := s.Settings.Load().Teams[team]; !ok {
		team = ""
	}
	return request.Labels{Team: team}
}

// executedBeforeLedger states whether a call was executed if it is refused
// before the ledger is consulted. Another entry may have executed a
// non-idempotent call with the same key.
func executedBeforeLedger(rule settings.Call) refusal.Executed {
	if rule.Idempotent {
		return refusal.ExecutedNo
	}
	return refusal.ExecutedUnknown
}

// findCall returns the settings of the requested call.
func (s *Server) findCall(r *http.Request) (settings.Call, bool) {
	rule, ok := s.Settings.Load().Services[r.PathValue("service")].Calls[r.PathValue("path")]
	return rule, ok
}

func newCall(r *http.Request, body []byte) *servicecall.Call {
	return &servicecall.Call{
		Service:     r.PathValue("service"),
		Path:        r.PathValue("path"),
		Query:       r.URL.RawQuery,
		Method:      r.Method,
		ContentType: r.Header.Get("Content-Type"),
		Customer:    r.Header.Get(HeaderCustomer),
		Key:         r.Header.Get(HeaderIdempotencyKey),
		Body:        body,
	}
}

// runCall executes a call and writes its answer or refusal.
func (s *Server) runCall(w http.ResponseWriter, r *http.Request, call *servicecall.Call, rule settings.Call) {
	timeout, err := requestTimeout(r, rule.Timeout.Std())
	if err != nil {
		refuse(w, invalid(err.Error(), executedBeforeLedger(rule)))
		return
	}
	ctx, cancel := withTimeout(r, timeout)
	defer cancel()
	run := s.Services.RunAtMostOnce
	if rule.Idempotent {
		run = s.Services.RunIdempotent
	}
	answer, err := run(ctx, call, rule)
	if err != nil {
		s.Log.Debug("service call failed", "service", call.Service, "call", call.Path, "error", err)
		s.refuse(w, s.labels(r), err)
		return
	}
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, answer servicecall.Answer) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", answer.ContentType)
	if answer.Repeated {
		w.Header().Set(HeaderRepeated, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
