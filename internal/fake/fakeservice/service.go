// Package fakeservice is a small stand-in for a plain service such as a
// booking service. It records every call that it runs, so that tests can tell
// how often a call was executed.
package fakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Execution is one call that the service ran.
type Execution struct {
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	Attempt        string `json:"attempt"`
	Body           string `json:"body"`
	AtUnixMilli    int64  `json:"at_ms"`
}

// Receipt is the answer to a call.
type Receipt struct {
	// Number counts the calls that this service ran.
	Number int    `json:"number"`
	Path   string `json:"path"`
}

// Service is a fake service. It is safe for concurrent use.
type Service struct {
	// Delay is how long a call takes.
	delay time.Duration

	mu   sync.Mutex // guards runs
	runs []Execution
}

// New returns a service whose calls take delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /record", s.record)
	mux.HandleFunc("/", s.call)
	return mux
}

// Executions returns the calls that ran so far.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.runs...)
}

func (s *Service) record(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Executions())
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	number := s.run(Execution{
		Path:           r.URL.Path,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Attempt:        r.Header.Get("Lagoonshift-Attempt"),
		Body:           string(body),
		AtUnixMilli:    time.Now().UnixMilli(),
	})
	time.Sleep(s.delay)
	writeJSON(w, Receipt{Number: number, Path: r.URL.Path})
}

func (s *Service) run(e Execution) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, e)
	return len(s.runs)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
