// Package callerhttp serves the caller API of an entry: it turns bytes into
// typed messages and back. The life cycles of requests are in the packages
// request and servicecall.
package callerhttp

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/protocol/address"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limit"
	"github.com/lagoonshift/lagoonshift/internal/protocol/request"
	"github.com/lagoonshift/lagoonshift/internal/protocol/servicecall"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Headers of the caller API.
const (
	HeaderTeam     = "Lagoonshift-Team"
	HeaderCustomer = "Lagoonshift-Customer"
	HeaderClass    = "Lagoonshift-Class"
	HeaderKey      = "Idempotency-Key"
	// HeaderTimeout is how long the caller waits, as a duration with its
	// unit, such as "20s".
	HeaderTimeout = "Lagoonshift-Timeout"
	// HeaderLastEventID is the id of the last event that the caller has.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderRepeated marks an answer that an earlier attempt stored.
	HeaderRepeated = "Lagoonshift-Repeated"
)

// writeTimeout bounds one write to a caller.
const writeTimeout = 10 * time.Second

// Directory lists the entries of the deployment.
type Directory interface {
	Members() []member.Member
}

// Options holds what a Server needs.
type Options struct {
	// Zone is the entry's availability zone.
	Zone      string
	Directory Directory
	// Loads tells the load of entries; nil if it is not known.
	Loads    address.Load
	Settings *atomic.Pointer[settings.Configuration]
	Lease    *lease.Holder
	Requests *request.Runner
	Services *servicecall.Protocol
	Gate     *limit.Gate
	// Leaving is closed when the entry begins to leave; nil if it never does.
	Leaving <-chan struct{}
	Log     hclog.Logger
}

// Server handles callers' requests.
type Server struct {
	Options
	// addressRequests counts address answers, to spread callers.
	addressRequests atomic.Uint64
	bodies          bodyLimiter
}

// New returns a server.
func New(o Options) *Server {
	if o.Loads == nil {
		o.Loads = func(string) (int, bool) { return 0, false }
	}
	return &Server{Options: o, bodies: bodyLimiter{limit: maxTotalBodyBytes}}
}

// Handler returns the caller API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", s.addresses)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("POST /v1/completions", s.completions)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", s.service)
	mux.HandleFunc("GET /v1/services/{service}/{path...}", s.service)
	return s.prepareConnection(mux)
}

// prepareConnection clears the deadlines that an earlier request left on the connection.
// It asks callers of a leaving entry to give up their connections, so that
// none is idle when the listener closes.
func (s *Server) prepareConnection(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if s.leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) leaving() bool {
	select {
	case <-s.Leaving:
		return true
	default:
		return false
	}
}

// enter counts a request in. Customers that the settings do not name share
// one count for each team.
func (s *Server) enter(team, customer string) (leave func(), err error) {
	known, ok := s.Settings.Load().Teams[team].Customers[customer]
	if !ok {
		customer = ""
	}
	bounds := limit.Bounds{MaxConcurrent: known.MaxConcurrent, Share: known.Share}
	return s.Gate.Enter(limit.Tenant{Team: team, Customer: customer}, bounds)
}

// withTimeout returns a context that ends with the caller's time.
func withTimeout(r *http.Request, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), d)
}
