//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// late is how long after its route's timeout a request counts as unanswered.
	late = 500 * time.Millisecond
	// Pieces of a body without an end.
	pieceBytes    = 128
	pieceInterval = time.Millisecond
)

// endlessBody is an engine in trouble: the bodies of its answers have no end and
// are no events.
func endlessBody(_ *engine, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	piece := bytes.Repeat([]byte("\x00\n"), pieceBytes/2)
	for r.Context().Err() == nil {
		if _, err := w.Write(piece); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pieceInterval)
	}
}

// tally counts how the requests of one route ended.
type tally struct {
	sent, whole, failed, overLimit, unanswered atomic.Int64
}

func (t *tally) String() string {
	return fmt.Sprintf("%d sent, %d whole, %d failed or refused, %d lasted longer than the route's timeout, %d of them had no final answer 0.5 s after it",
		t.sent.Load(), t.whole.Load(), t.failed.Load(), t.overLimit.Load(), t.unanswered.Load())
}

// broken reports whether eight requests or more, and over a quarter of those that
// lasted longer than the timeout, had no final answer 0.5 s after it.
func (t *tally) broken() bool {
	return t.unanswered.Load() >= 8 && 4*t.unanswered.Load() > t.overLimit.Load()
}

// ask sends one request and counts how it ended.
func (t *tally) ask(d *deployment, address, method, path string, limit time.Duration, header http.Header) {
	t.sent.Add(1)
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	must(err, "make a request")
	request.Host = hostName
	for name, values := range header {
		request.Header[name] = values
	}
	id := fmt.Sprintf("%016x", requestNumber.Add(1))
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	began := time.Now()
	// The caller waits longer than its deadline only to see when an answer comes.
	response, err := newClient(limit + 4*time.Second).Do(request)
	status := 0
	if err == nil {
		status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	took := time.Since(began)
	if took > limit {
		t.overLimit.Add(1)
	}
	if took > limit+late {
		t.unanswered.Add(1)
		d.record.logf("request %s on %s: no final answer after %d ms, then status %d, error %v", id, path, took.Milliseconds(), status, err)
	}
	if err == nil && status == http.StatusOK {
		t.whole.Add(1)
	} else {
		t.failed.Add(1)
	}
}

func init() { scenarios["endless-bodies"] = endlessBodies }

// loadTime is how long callers send.
const loadTime = 40 * time.Second

// endlessBodies lets one of the engines answer with bodies without an end.
// Requests to other, sound servers must get their answers.
func endlessBodies(d *deployment) (held bool) {
	list := d.startList()
	engines := []*engine{
		d.startEngine(serviceName, "", 51, answerCall),
		d.startEngine(serviceName, "", 52, answerCall),
	}
	var inTrouble atomic.Bool
	for host := 61; host <= 70; host++ {
		phase, serve := "decode", answerStream
		switch host {
		case 61, 62:
			phase = "prefill"
		case 66, 67, 68, 70:
			serve = func(e *engine, w http.ResponseWriter, r *http.Request) {
				if inTrouble.Load() {
					endlessBody(e, w, r)
				} else {
					answerStream(e, w, r)
				}
			}
		}
		engines = append(engines, d.startEngine(modelService, phase, host, serve))
	}
	list.follow(func() []json.RawMessage {
		var entries []json.RawMessage
		for _, e := range engines {
			entries = append(entries, e.entry())
		}
		return entries
	})
	controls := []*process{d.newProcess("control", "core-1", 1), d.newProcess("control", "core-2", 2), d.newProcess("control", "core-3", 3)}
	entry := d.newProcess("entry", "front-1", 11)
	d.setSeeds(controls...)
	for _, p := range append(controls, entry) {
		p.start(true)
	}
	if !d.putUntilAcknowledged(newModelDocument(1), 20*time.Second, controls...) || !entry.waitReady(10*time.Second) {
		panic(errSetup{errNotStarted})
	}
	time.Sleep(8 * time.Second) // changes of phase after the start
	var calls, streams tally
	var group sync.WaitGroup
	load(&group, loadTime, callsPerSecond, func() {
		calls.ask(d, entry.address(callerPort), http.MethodGet, "/lookup/1", callLimit, nil)
	})
	load(&group, loadTime, streamsPerSecond, func() {
		streams.ask(d, entry.address(callerPort), http.MethodPost, streamPrefix+"1", streamLimit, streamHeader())
	})
	if d.trouble {
		time.AfterFunc(5*time.Second, func() { inTrouble.Store(true); d.record.logf("%s answers without end", "engines 66 to 70") })
		time.AfterFunc(25*time.Second, func() { inTrouble.Store(false); d.record.logf("%s is sound again", "engines 66 to 70") })
	}
	group.Wait()
	d.record.logf("%s: peak memory %s", entry.name, entry.peakMemory())
	d.record.logf("calls: %s", &calls)
	d.record.logf("streams: %s", &streams)
	for _, e := range engines {
		d.record.logf("engine %s of %s: %d requests ran", e.id, e.service, e.arrivals.Load())
	}
	return !calls.broken() && !streams.broken()
}
