// Package callerhttp serves the HTTP API for callers of an entry: it decodes and
// validates requests and encodes responses. The packages request and servicecall
// execute the requests.
package callerhttp

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/protocol/address"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/limit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
	"github.com/lagoonshift/lagoonshift/internal/protocol/servicecall"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Headers of the caller API.
const (
	HeaderTeam           = "Lagoonshift-Team"
	HeaderCustomer       = "Lagoonshift-Customer"
	HeaderClass          = "Lagoonshift-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the request's timeout as a Go duration, such as "20s".
	HeaderTimeout = "Lagoonshift-Timeout"
	// HeaderLastEventID is the ID of the last event that the caller received.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderRepeated marks a stored answer of an earlier attempt.
	HeaderRepeated = "Lagoonshift-Repeated"
)

// writeTimeout limits the time for one write to a caller.
const writeTimeout = 10 * time.Second

// Directory lists the entries of the deployment.
type Directory interface {
	Members() []member.Member
}

// Options configures a Server.
type Options struct {
	// Zone is the entry's availability zone.
	Zone      string
	Directory Directory
	// Loads returns the load of other entries; nil if it is not known.
	Loads    address.Load
	Settings *atomic.Pointer[settings.Configuration]
	Lease    *lease.Holder
	Requests *request.Runner
	Services *servicecall.Protocol
	Gate     *limit.Gate
	// Leaving is closed when the entry starts to leave the deployment; nil if
	// it never does.
	Leaving <-chan struct{}
	Log     hclog.Logger
}

// Server handles callers' requests.
type Server struct {
	Options
	// addressRequests counts address requests, to spread callers over the
	// entries.
	addressRequests atomic.Uint64
	bodies          bodyLimiter
}

// New returns a server for the caller API.
func New(o Options) *Server {
	if o.Loads == nil {
		o.Loads = func(string) (int, bool) { return 0, false }
	}
	return &Server{Options: o, bodies: bodyLimiter{limit: maxTotalBodyBytes}}
}

// Handler returns the HTTP handler of the caller API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("POST /v1/completions", s.completions)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", s.service)
	mux.HandleFunc("GET /v1/services/{service}/{path...}", s.service)
	return s.prepareConnection(mux)
}

// prepareConnection clears the write deadline that an earlier request set on the
// connection. While the entry is leaving, it also asks callers to close their
// connections, so that none is idle when the listener closes.
func (s *Server) prepareConnection(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if s.leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// leaving reports whether the entry has started to leave the deployment.
func (s *Server) leaving() bool {
	select {
	case <-s.Leaving:
		return true
	default:
		return false
	}
}

// enter admits a request within the limits of its customer. All customers of a
// team that the settings do not name count as one. The caller must call leave
// when the request has ended.
func (s *Server) enter(team, customer string) (leave func(), err error) {
	known, ok := s.Settings.Load().Teams[team].Customers[customer]
	if !ok {
		customer = ""
	}
	bounds := limit.Bounds{MaxConcurrent: known.MaxConcurrent, Share: known.Share}
	return s.Gate.Enter(limit.Tenant{Team: team, Customer: customer}, bounds)
}

// withTimeout returns the request's context with the timeout d.
func withTimeout(r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), d)
}
