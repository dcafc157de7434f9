// Package adminhttp implements the administration API of control and entry
// processes, both its server and its client.
package adminhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/inforce"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	// maxBodyBytes bounds a request's body, in bytes.
	maxBodyBytes = 2 << 20
	// commitTimeout bounds the commit of a change, and readTimeout the wait for
	// the read barrier.
	commitTimeout = 15 * time.Second
	readTimeout   = 5 * time.Second
)

// Submitter commits commands to the replicated state, whichever replica is the
// leader.
type Submitter interface {
	Submit(ctx context.Context, command *store.Command) (store.Result, error)
}

// Options configures a Server.
type Options struct {
	Log     replog.Log
	Store   *store.Store
	Control Submitter
	Tracker *inforce.Tracker
	Clock   clock.Clock
}

// Server handles operators' requests to a control process.
type Server struct {
	Options
}

// New returns a server.
func New(o Options) *Server {
	return &Server{Options: o}
}

// Register adds the administration API to mux. Every request needs an
// operator's token.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/settings", s.authenticated(s.settings))
	mux.HandleFunc("POST /v1/settings/changes", s.authenticated(s.change))
	mux.HandleFunc("GET /v1/settings/history", s.authenticated(s.history))
	mux.HandleFunc("GET /v1/settings/in-force", s.authenticated(s.inForce))
	mux.HandleFunc("GET /v1/status", s.authenticated(s.status))
	mux.HandleFunc("GET /v1/ledger", s.authenticated(s.ledger))
}

// operator identifies the operator who sent a request.
type operator struct {
	name string
	// tokenSHA256 is the hex SHA-256 of the token presented.
	tokenSHA256 string
}

// handler handles an authenticated request. An error that it returns is sent as a
// Problem.
type handler func(w http.ResponseWriter, r *http.Request, by operator) error

// authenticated looks up the operator by token in settings that include every
// change committed before the request. A change is authorized again when it is
// committed.
func (s *Server) authenticated(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		by, err := s.operator(r)
		if err == nil {
			err = next(w, r, by)
		}
		if err != nil {
			writeProblem(w, err)
		}
	}
}

func (s *Server) operator(r *http.Request) (operator, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return operator{}, &Problem{Title: "operator's token missing", Status: http.StatusUnauthorized}
	}
	if err := s.barrier(r.Context()); err != nil {
		return operator{}, err
	}
	by := operator{tokenSHA256: settings.HashToken(token)}
	var known bool
	s.Store.View(func(tree *settings.Tree, _ *ledger.Ledger) {
		by.name, known = tree.Configuration().FindOperator(by.tokenSHA256)
	})
	if !known {
		return operator{}, &Problem{Title: "operator's token unknown", Status: http.StatusUnauthorized}
	}
	return by, nil
}

// barrier waits until the local state includes everything that was committed
// before the call.
func (s *Server) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := s.Log.ReadBarrier(ctx); err != nil {
		return &Problem{Title: "no quorum of control replicas", Status: http.StatusServiceUnavailable, Detail: err.Error()}
	}
	return nil
}

// readJSON decodes a request's body. Unknown fields and trailing content are
// errors.
func readJSON(w http.ResponseWriter, r *http.Request, out any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(out)
	if err == nil {
		_, err = decoder.Token()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		err = errors.New("unexpected content after the document")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Problem{Title: "body too large", Status: http.StatusRequestEntityTooLarge, Detail: fmt.Sprintf("at most %d bytes", maxBodyBytes)}
	}
	return badRequest("decode body: " + err.Error())
}

func badRequest(detail string) error {
	return &Problem{Title: "bad request", Status: http.StatusBadRequest, Detail: detail}
}

func writeProblem(w http.ResponseWriter, err error) {
	var p *Problem
	if !errors.As(err, &p) {
		p = &Problem{Title: "internal error", Status: http.StatusInternalServerError, Detail: err.Error()}
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status has been sent, so an encoding or write error cannot be reported.
	_ = json.NewEncoder(w).Encode(value)
	return nil
}
