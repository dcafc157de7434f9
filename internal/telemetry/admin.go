package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// maxLevelBody is the maximum size of the request body of a log level change, in
// bytes.
const maxLevelBody = 64

// NewLogger returns the logger of a process. The level is one of trace, debug,
// info, warn and error; an empty or unknown level means info.
func NewLogger(name, level string, json bool) hclog.Logger {
	return newLogger(name, level, json, hclog.DefaultOutput)
}

// NewServiceLogger returns a logger that writes JSON lines to out. The level is as
// for NewLogger.
func NewServiceLogger(name, level string, out io.Writer) hclog.Logger {
	return newLogger(name, level, true, out)
}

func newLogger(name, level string, json bool, out io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		JSONFormat: json,
		Output:     out,
	})
}

// Admin holds the endpoints that every process serves at its administration
// address.
type Admin struct {
	Metrics *Metrics
	Log     hclog.Logger
	// Ready returns nil if the process is ready, and otherwise the reason why
	// it is not.
	Ready func() error
}

// Register adds the endpoints for health, readiness, metrics, profiles and the log
// level to mux.
func (a *Admin) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", a.Metrics.handler)
	mux.HandleFunc("GET /v1/log-level", a.getLevel)
	mux.HandleFunc("PUT /v1/log-level", a.setLevel)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (a *Admin) getLevel(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, a.Log.GetLevel())
}

func (a *Admin) setLevel(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxLevelBody))
	if err != nil {
		http.Error(w, "read log level: "+err.Error(), http.StatusBadRequest)
		return
	}
	level := hclog.LevelFromString(strings.TrimSpace(string(body)))
	if level == hclog.NoLevel {
		http.Error(w, "expected trace, debug, info, warn or error", http.StatusBadRequest)
		return
	}
	a.Log.SetLevel(level)
	a.getLevel(w, r)
}
