//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelService = "garden-advisor"
	streamPrefix = "/question/"
	streamLimit  = 8 * time.Second
	callLimit    = time.Second
	// streamsPerSecond and callsPerSecond are what one of eight entries gets on
	// the sheet of the deployment.
	streamsPerSecond = 24
	callsPerSecond   = 8
)

// newModelDocument returns a configuration with a streaming route, which may not
// be resumed, beside the routes of newDocument.
func newModelDocument(version int) documentSpec {
	document := newDocument(version)
	document.Routes = append(document.Routes, routeSpec{
		Name: "r-stream", Hostname: hostName, PathPrefix: streamPrefix, Kind: "streaming", TimeoutMs: int(streamLimit.Milliseconds()),
		TargetLatencyMs: 300, Priority: 1, Service: modelService, MaxAttempts: 1, Sticky: true, ItlTargetMs: 200,
	})
	document.Services = append(document.Services, serviceSpec{Name: modelService, HealthPath: "/healthz", MaxConns: 370, Protocol: "h1", Engine: json.RawMessage(
		`{"slots":64,"kvCacheTokens":670716,"tokenKvBytes":35136,"linkMbps":350000.0,"moves":true,"backups":true,"stride":9,"most":12,"kvTtlS":5.0,"roleSwitchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}`)})
	return document
}

var requestNumber atomic.Int64

// load sends requests at a constant rate for a time.
func load(group *sync.WaitGroup, length time.Duration, perSecond int, send func()) {
	group.Go(func() {
		var sent sync.WaitGroup
		for began := time.Now(); time.Since(began) < length; time.Sleep(time.Second / time.Duration(perSecond)) {
			sent.Go(send)
		}
		sent.Wait()
	})
}

// streamHeader returns the headers of a short prompt, which a decode engine
// prefills itself.
func streamHeader() http.Header {
	return http.Header{
		"X-Model": {"m"}, "X-Token-Usage": {"300,32"}, "X-Prompt-Prefix": {fmt.Sprintf("5c1e07a2:198,%x:102", requestNumber.Load())},
	}
}

// waitReady waits until the entry says that it is ready.
func (p *process) waitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := newClient(time.Second).Get("http://" + p.address(readyPort) + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}
