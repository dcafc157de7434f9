//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operatorTimeout is how long the operator waits for a response.
const operatorTimeout = time.Second

type routeSpec struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	ItlTargetMs     int    `json:"itlTargetMs,omitempty"`
}

type serviceSpec struct {
	Name       string          `json:"name"`
	HealthPath string          `json:"healthPath"`
	MaxConns   int             `json:"maxConns"`
	Protocol   string          `json:"protocol"`
	TLS        bool            `json:"tls"`
	Engine     json.RawMessage `json:"engine,omitempty"`
}

type documentSpec struct {
	Version  int            `json:"version"`
	Routes   []routeSpec    `json:"routes"`
	Services []serviceSpec  `json:"services"`
	Limits   map[string]int `json:"limits"`
}

const (
	hostName    = "desk.example"
	serviceName = "visit-desk"
)

// newDocument returns a configuration with a safe and an unsafe route to one
// service.
func newDocument(version int) documentSpec {
	route := func(kind, prefix string, attempts int) routeSpec {
		return routeSpec{
			Name: "r-" + kind, Hostname: hostName, PathPrefix: prefix, Kind: kind, TimeoutMs: 1000, TargetLatencyMs: 100,
			Priority: 2, Service: serviceName, MaxAttempts: attempts,
		}
	}
	return documentSpec{
		Version:  version,
		Routes:   []routeSpec{route("safe", "/lookup/", 2), route("unsafe", "/book/", 1)},
		Services: []serviceSpec{{Name: serviceName, HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// put sends a configuration to one control process.
func (d *deployment) put(to *process, document documentSpec) (status int, err error) {
	content, err := json.Marshal(document)
	if err != nil {
		return 0, err
	}
	response, err := newClient(operatorTimeout).Post("http://"+to.address(operatorPort)+"/Config.Put", "application/json", bytes.NewReader(content))
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	d.record.logf("operator sends version %d to %s: status %d, error %v", document.Version, to.name, status, err)
	return status, err
}

// putUntilAcknowledged sends a configuration to the control processes in turn
// until one acknowledges it.
func (d *deployment) putUntilAcknowledged(document documentSpec, limit time.Duration, to ...*process) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		for _, c := range to {
			if status, _ := d.put(c, document); status == http.StatusOK {
				return true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// get reads the configuration at one control process and returns its version.
func (d *deployment) get(from *process) (version, status int, err error) {
	response, err := newClient(operatorTimeout).Get("http://" + from.address(operatorPort) + "/Config.Get")
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, response.StatusCode, err
	}
	var read documentSpec
	if err := json.Unmarshal(content, &read); err != nil {
		return 0, response.StatusCode, fmt.Errorf("decode configuration: %w", err)
	}
	return read.Version, response.StatusCode, nil
}

// readBack reads the configuration at the given processes in turn, for the given
// time, and returns the newest version that was read, or zero.
func (d *deployment) readBack(limit time.Duration, from ...*process) (newest int) {
	deadline := time.Now().Add(limit)
	answers := map[string]int{}
	for time.Now().Before(deadline) {
		for _, c := range from {
			version, status, err := d.get(c)
			key := fmt.Sprintf("%s: version %d, status %d, error %v", c.name, version, status, err)
			if answers[key]++; answers[key] == 1 {
				d.record.logf("operator reads the configuration at %s", key)
			}
			newest = max(newest, version)
		}
		time.Sleep(200 * time.Millisecond)
	}
	for key, n := range answers {
		d.record.logf("%d times at %s", n, key)
	}
	return newest
}
