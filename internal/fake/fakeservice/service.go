// Package fakeservice is a fake plain service, such as a booking service. It
// records every call that it executes, so that tests can check how often a call
// was executed. Faults can be injected while it runs.
package fakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Execution is one execution of a call by the service.
type Execution struct {
	Path           string `json:"path"`
	Customer       string `json:"customer"`
	IdempotencyKey string `json:"idempotency_key"`
	Attempt        string `json:"attempt"`
	Body           string `json:"body"`
	AtUnixMilli    int64  `json:"at_ms"`
}

// Receipt is the answer to a call.
type Receipt struct {
	// Number is the number of calls that the service has executed, this one
	// included.
	Number int    `json:"number"`
	Path   string `json:"path"`
}

// Faults lists the faults to inject into new calls.
type Faults struct {
	// Late delays answers after the call was executed; in nanoseconds in JSON.
	Late time.Duration `json:"late_ns"`
	// NoAnswer executes calls and never answers.
	NoAnswer bool `json:"no_answer"`
	// Crash executes calls and then aborts the connection.
	Crash bool `json:"crash"`
	// Twice sends each answer twice on the connection.
	Twice bool `json:"twice"`
}

// Service is a fake service. It is safe for concurrent use.
type Service struct {
	// delay is the duration of a call.
	delay time.Duration

	mu         sync.Mutex // guards the fields below
	executions []Execution
	receipts   map[string]Receipt
	faults     Faults
}

// New returns a service whose calls take the given time.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, receipts: make(map[string]Receipt)}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /record", s.record)
	mux.HandleFunc("GET /lookup", s.lookup)
	mux.HandleFunc("POST /fake/faults", s.handleSetFaults)
	mux.HandleFunc("/", s.call)
	return mux
}

// Executions returns the calls executed so far.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// SetFaults replaces the set of injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "decode faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Service) record(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Executions())
}

// lookup answers with the receipt of the call that was executed under a key.
func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	receipt, ok := s.receipts[receiptKey(r)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "key not known", http.StatusNotFound)
		return
	}
	writeJSON(w, receipt)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	receipt, faults := s.run(r, Execution{
		Path:           r.URL.Path,
		Customer:       r.Header.Get("Lagoonshift-Customer"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Attempt:        r.Header.Get("Lagoonshift-Attempt"),
		Body:           string(body),
		AtUnixMilli:    time.Now().UnixMilli(),
	})
	time.Sleep(s.delay + faults.Late)
	switch {
	case faults.Crash:
		panic(http.ErrAbortHandler)
	case faults.NoAnswer:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faults.Twice:
		answerTwice(w, receipt)
	default:
		writeJSON(w, receipt)
	}
}

// run records an execution and returns its receipt and the faults to inject.
func (s *Service) run(r *http.Request, e Execution) (Receipt, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, e)
	receipt := Receipt{Number: len(s.executions), Path: r.URL.Path}
	if e.IdempotencyKey != "" {
		s.receipts[receiptKey(r)] = receipt
	}
	return receipt, s.faults
}

func receiptKey(r *http.Request) string {
	return r.Header.Get("Lagoonshift-Customer") + "\x00" + r.Header.Get("Idempotency-Key")
}

// answerTwice writes the complete answer, including the status line, twice.
func answerTwice(w http.ResponseWriter, receipt Receipt) {
	body, err := json.Marshal(receipt)
	if err != nil {
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for range 2 {
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
		_, _ = buffered.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
		_, _ = buffered.Write(body)
	}
	_ = buffered.Flush()
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
