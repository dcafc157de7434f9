//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a backend server: a model engine, or a plain server if its phase is
// empty.
type engine struct {
	deployment *deployment
	id         string
	service    string
	address    string
	born       int64
	// serve answers a request that has begun to run.
	serve func(e *engine, w http.ResponseWriter, r *http.Request)

	mu        sync.Mutex // guards the fields below
	phase     string
	state     string
	switching bool
	orders    int
	token     int64
	server    *http.Server

	arrivals atomic.Int64
}

// startEngine starts an engine at the address with the given last byte.
func (d *deployment) startEngine(service, phase string, host int, serve func(*engine, http.ResponseWriter, *http.Request)) *engine {
	e := &engine{
		deployment: d, id: fmt.Sprintf("i-%02d", host), service: service, phase: phase, state: "ready", serve: serve,
		address: fmt.Sprintf("%s%d:%d", d.network, host, enginePort), born: time.Now().UnixMilli(),
	}
	listener, err := net.Listen("tcp", e.address)
	must(err, "listen for an engine")
	e.server = &http.Server{Handler: e.handler()}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("DELETE /kv-handle/{handle}", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", e.request)
	return mux
}

// entry is the engine's entry in the platform's list.
func (e *engine) entry() json.RawMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	fields := map[string]any{
		"id": e.id, "service": e.service, "address": e.address, "zone": "zone-a", "version": "v1", "slots": 64,
		"state": e.state, "coldLeftMs": 0, "born": e.born,
	}
	if e.phase != "" {
		fields["phase"] = e.phase
		fields["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	content, err := json.Marshal(fields)
	must(err, "encode an engine")
	return content
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": e.phase, "busy": e.switching, "seq": e.orders, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 670716, "kvHandles": 0,
	})
}

// switchTime is how long a change of phase takes.
const switchTime = 3 * time.Second

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Phase, Holder string
		FencingToken      int64
		Expected          *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "phase" || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.FencingToken < e.token:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.switching, o.Expected != nil && *o.Expected != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.token = o.FencingToken
	e.orders++
	if o.Phase == e.phase {
		return
	}
	e.switching = true
	time.AfterFunc(switchTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.phase, e.switching = o.Phase, false
	})
	w.WriteHeader(http.StatusAccepted)
}

// request answers a request like a sound engine and passes it to serve if it runs.
func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	e.mu.Lock()
	phase, switching := e.phase, e.switching
	e.mu.Unlock()
	prefill := r.Header.Get("X-Stage") == "prefill"
	switch {
	case switching:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case phase != "" && prefill != (phase == "prefill"):
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case prefill:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"kvHandle": id + "-kv", "tokens": 300, "version": 1})
		return
	}
	e.arrivals.Add(1)
	w.Header().Set("X-Response-Stamp", "stamp."+id)
	e.serve(e, w, r)
}

// answerCall answers a call after its work time.
func answerCall(_ *engine, w http.ResponseWriter, _ *http.Request) {
	time.Sleep(15 * time.Millisecond)
	body := make([]byte, 800)
	for i := range body {
		body[i] = 'b'
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller may have left
}

const (
	streamEvents  = 32
	eventInterval = 25 * time.Millisecond
)

// answerStream answers with a whole stream of events.
func answerStream(_ *engine, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range streamEvents {
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i+1, i+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}
