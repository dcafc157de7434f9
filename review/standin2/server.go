package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of a plain service.
type server struct {
	id, service, address string
	slots                int
	born                 int64
	// work is how long a request takes.
	work time.Duration
	http *http.Server
	// places holds one element for each request that runs.
	places chan struct{}
	record *record

	mu sync.Mutex // guards the fields below
	// arrived holds the IDs of the requests whose headers have arrived.
	arrived map[string]bool
	ran     []run
}

// run is a request that a server ran.
type run struct {
	id, method, host, target, path string
	size                           int64
}

// startServer starts a server and lists it.
func (d *deployment) startServer(service string, slots int, work time.Duration) (*server, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.servers)
	s := &server{
		id: fmt.Sprintf("i-%08x", n+1), service: service, address: d.address(firstServer+n, serverPort),
		slots: slots, born: time.Now().UnixMilli(), work: work, places: make(chan struct{}, slots), record: d.record,
		arrived: make(map[string]bool),
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }() // until it is closed
	d.servers = append(d.servers, s)
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	if named := r.Header.Get("X-Target-Instance"); named != "" && named != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrived[id] = true
	s.mu.Unlock()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case s.places <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.places }()
	s.mu.Lock()
	s.ran = append(s.ran, run{id: id, method: r.Method, host: r.Host, target: r.RequestURI, path: r.URL.EscapedPath(), size: size})
	s.mu.Unlock()
	s.record.add("server %s runs %s: %s %s, host %s, path %s, %d bytes", s.id, id, r.Method, r.RequestURI, r.Host, r.URL.EscapedPath(), size)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	content := "done " + id
	w.Header().Set("X-Response-Stamp", "stamp-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = io.WriteString(w, content) // the caller may have left
}

// runs returns what the server has run.
func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}
