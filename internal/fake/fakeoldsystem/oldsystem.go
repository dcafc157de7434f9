// Package fakeoldsystem is a small stand-in for the old serving system that
// runs beside this one. It shares engines, callers and plain services with it
// and has a key memory of its own, in which either side can claim a key.
package fakeoldsystem

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// Options configures a fake old system.
type Options struct {
	// Engines lists the engines' base URLs and Services those of a backend
	// server for each plain service.
	Engines  []string
	Services map[string]string
	// Lagoonshift lists base URLs of entries of the system beside it.
	Lagoonshift []string
	// ForgetsClaims answers claims and does not keep them. It is a fault for
	// tests of tests.
	ForgetsClaims bool
}

// System is a fake old system. It is safe for concurrent use.
type System struct {
	options      Options
	client       *http.Client
	requestCount atomic.Uint64

	mu   sync.Mutex // guards keys
	keys map[key]*keyRecord
}

// key identifies a non-idempotent call.
type key struct {
	service  string
	customer string
	id       string
}

// keyRecord is a key that one side has taken.
type keyRecord struct {
	// ownedHere is true if the old system has it.
	ownedHere bool
	// finished is closed when answer holds what came of the call.
	finished chan struct{}
	answer   answer
}

// answer is a whole HTTP answer.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// New returns an old system that knows no key.
func New(o Options) *System {
	return &System{options: o, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, keys: make(map[key]*keyRecord)}
}

// Handler returns the old system's caller API.
func (s *System) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.completions)
	mux.HandleFunc("POST /v1/services/{service}/{path...}", s.service)
	mux.HandleFunc("PUT /v1/keys/{service}", s.claim)
	return mux
}

// claimKey returns the owner of a key, which is the asking side if it was free.
func (s *System) claimKey(k key, here bool) (record *keyRecord, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.keys[k]; ok {
		return o, false
	}
	record = &keyRecord{ownedHere: here, finished: make(chan struct{})}
	if here || !s.options.ForgetsClaims {
		s.keys[k] = record
	}
	return record, true
}

// claim takes a key for the system beside this one.
func (s *System) claim(w http.ResponseWriter, r *http.Request) {
	k := key{service: r.PathValue("service"), customer: r.URL.Query().Get("customer"), id: r.URL.Query().Get("key")}
	if o, _ := s.claimKey(k, false); o.ownedHere {
		w.WriteHeader(http.StatusConflict)
	}
}

func (s *System) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k := key{service: r.PathValue("service"), customer: r.Header.Get("Lagoonshift-Customer"), id: r.Header.Get("Idempotency-Key")}
	record, first := s.claimKey(k, true)
	switch {
	case !record.ownedHere:
		s.send(r, s.options.Lagoonshift[0]+r.URL.Path, body).write(w)
		return
	case first:
		record.answer = s.send(r, s.options.Services[k.service]+"/"+r.PathValue("path"), body)
		close(record.finished)
	}
	select {
	case <-record.finished:
		record.answer.write(w)
	case <-r.Context().Done():
	}
}

// send sends a call once, even if its caller leaves meanwhile.
func (s *System) send(r *http.Request, url string, body []byte) answer {
	request, err := http.NewRequest(r.Method, url, bytes.NewReader(body))
	if err != nil {
		return outcomeUnknown()
	}
	request.Header = r.Header.Clone()
	response, err := s.client.Do(request)
	if err != nil {
		return outcomeUnknown()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return outcomeUnknown()
	}
	return answer{status: response.StatusCode, contentType: response.Header.Get("Content-Type"), body: content}
}

// outcomeUnknown is the answer to a call that was sent and not answered.
func outcomeUnknown() answer {
	body, _ := json.Marshal(map[string]string{"title": "outcome unknown", "executed": "unknown"})
	return answer{status: http.StatusConflict, contentType: "application/problem+json", body: body}
}

func (a answer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", a.contentType)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// completions relays a stream from the engine whose turn it is.
func (s *System) completions(w http.ResponseWriter, r *http.Request) {
	count := s.requestCount.Add(1)
	url := s.options.Engines[int(count%uint64(len(s.options.Engines)))] + r.URL.Path
	request, err := http.NewRequestWithContext(r.Context(), r.Method, url, r.Body)
	if err != nil {
		return
	}
	response, err := s.client.Do(request)
	if err != nil {
		http.Error(w, "engine not reached", http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	flush := http.NewResponseController(w)
	buffer := make([]byte, 4<<10)
	for {
		n, err := response.Body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
		_ = flush.Flush()
	}
}
