// Package fakeoldsystem is a fake of the old serving system that runs in parallel
// with Lagoonshift. Both systems share engines, callers and plain services. The
// old system has its own store of idempotency keys, in which either system can
// claim a key.
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
	// Engines lists the engines' base URLs; Services holds the base URL of one
	// backend server for each plain service.
	Engines  []string
	Services map[string]string
	// Lagoonshift lists base URLs of Lagoonshift's entries.
	Lagoonshift []string
	// LosesClaims makes the system accept claims without storing them. It is
	// a deliberate fault that tests must detect.
	LosesClaims bool
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

// keyRecord is a key that one of the two systems has claimed.
type keyRecord struct {
	// ownedHere is true if the old system claimed the key.
	ownedHere bool
	// finished is closed when answer holds the answer to the call.
	finished chan struct{}
	answer   answer
}

// answer is a complete HTTP answer.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// New returns an old system without any keys.
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

// claimKey returns the record of a key. A free key is claimed first, for the old
// system if here is true and for Lagoonshift otherwise, and first is true.
func (s *System) claimKey(k key, here bool) (record *keyRecord, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.keys[k]; ok {
		return o, false
	}
	record = &keyRecord{ownedHere: here, finished: make(chan struct{})}
	if here || !s.options.LosesClaims {
		s.keys[k] = record
	}
	return record, true
}

// claim claims a key for Lagoonshift. It answers 409 if the old system has it.
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

// send sends a call once, without cancelling it if its caller disconnects.
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

// outcomeUnknown returns the answer to a call that was sent but not answered.
func outcomeUnknown() answer {
	body, _ := json.Marshal(map[string]string{"title": "outcome unknown", "executed": "unknown"})
	return answer{status: http.StatusConflict, contentType: "application/problem+json", body: body}
}

func (a answer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", a.contentType)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// completions relays a stream from an engine chosen by round robin.
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
