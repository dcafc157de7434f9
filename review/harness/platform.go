//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listServer is the platform's list of engines.
type listServer struct {
	mu        sync.Mutex // guards the fields below
	instances []json.RawMessage
}

// startList serves the list at the deployment's address.
func (d *deployment) startList() *listServer {
	l := &listServer{}
	listener, err := net.Listen("tcp", d.list)
	must(err, "listen for the list of engines")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", l.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return l
}

// set replaces the entries of the list.
func (l *listServer) set(entries ...json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = entries
}

func (l *listServer) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	entries := l.instances
	l.mu.Unlock()
	body := []byte(`{"instances":[`)
	for i, e := range entries {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, e...)
	}
	body = append(body, `],"nextToken":null}`...)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // the reader may have left
}

// refreshInterval is the time between two updates of the list.
const refreshInterval = 300 * time.Millisecond

// follow keeps the list up to date.
func (l *listServer) follow(entries func() []json.RawMessage) {
	l.set(entries()...)
	go func() {
		for range time.Tick(refreshInterval) {
			l.set(entries()...)
		}
	}()
}
