// Package adminhttp serves the administration API of a control process.
package adminhttp

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 4 << 20

// Server handles operators' requests.
type Server struct {
	log   replog.Log
	store *store.Store
}

// New returns a server for the replica behind log and state.
func New(log replog.Log, state *store.Store) *Server {
	return &Server{log: log, store: state}
}

// Handler returns the administration API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/settings", s.get)
	mux.HandleFunc("POST /v1/settings/changes", s.change)
	mux.HandleFunc("GET /v1/ledger", s.ledger)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// ChangeRequest is the body of a settings change.
type ChangeRequest struct {
	Operator    string          `json:"operator"`
	Number      uint64          `json:"number"`
	Path        string          `json:"path"`
	BaseVersion uint64          `json:"base_version"`
	Content     json.RawMessage `json:"content"`
}

// ChangeAnswer is the answer to a settings change.
type ChangeAnswer struct {
	Outcome settings.Outcome `json:"outcome"`
	Version uint64           `json:"version"`
	Current json.RawMessage  `json:"current,omitempty"`
	Reason  string           `json:"reason,omitempty"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if err := s.log.ReadBarrier(r.Context()); err != nil {
		http.Error(w, "read settings: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	var content []byte
	var err error
	s.store.View(func(tree *settings.Tree, _ *ledger.Ledger) { content, err = tree.Document() })
	if err != nil {
		http.Error(w, "encode settings: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

func (s *Server) change(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "read change: "+err.Error(), http.StatusBadRequest)
		return
	}
	var request ChangeRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, "decode change: "+err.Error(), http.StatusBadRequest)
		return
	}
	command := store.Command{Change: &settings.Change{
		Operator:    request.Operator,
		Number:      request.Number,
		Path:        request.Path,
		BaseVersion: request.BaseVersion,
		Content:     request.Content,
	}}
	encoded, err := command.Encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	applied, err := s.log.Submit(r.Context(), encoded)
	if err != nil {
		http.Error(w, "commit change: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	result, err := store.DecodeResult(applied.Result)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	answer := ChangeAnswer{
		Outcome: result.Change.Outcome,
		Version: result.Change.Version,
		Current: result.Change.Current,
		Reason:  result.Change.Reason,
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(changeStatus(answer.Outcome))
	_ = json.NewEncoder(w).Encode(answer)
}

func changeStatus(outcome settings.Outcome) int {
	switch outcome {
	case settings.Accepted:
		return http.StatusOK
	case settings.Invalid:
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}
