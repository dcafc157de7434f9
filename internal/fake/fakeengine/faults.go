package fakeengine

import (
	"encoding/json"
	"net/http"
)

// Faults lists the faults to inject. Counts are in tokens sent on one stream;
// zero disables the fault.
type Faults struct {
	// CrashAfter aborts the connection after this many tokens.
	CrashAfter int `json:"crash_after"`
	// CutAfter closes the stream cleanly after this many tokens, without its
	// final event.
	CutAfter int `json:"cut_after"`
	// StallAfter stops sending after this many tokens and keeps the connection
	// open.
	StallAfter int `json:"stall_after"`
	// SkipAt omits this token, counted from one.
	SkipAt int `json:"skip_at"`
	// CorruptAt changes the text of this token, counted from one, but not the
	// digest.
	CorruptAt int `json:"corrupt_at"`
	// Doubled sends each token twice.
	Doubled bool `json:"doubled"`
	// Crossed sends a token of another attempt before each token.
	Crossed bool `json:"crossed"`
	// Draining refuses new requests; running requests are completed.
	Draining bool `json:"draining"`
	// Move hands running streams back to their callers; it is used together
	// with Draining.
	Move bool `json:"move"`
}

// copies returns how often each token is sent.
func (f Faults) copies() int {
	if f.Doubled {
		return 2
	}
	return 1
}

// SetFaults replaces the set of injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Move && !e.faults.Move {
		close(e.moveStreams)
	}
	if !f.Move && e.faults.Move {
		e.moveStreams = make(chan struct{})
	}
	e.faults = f
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) moveSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.moveStreams
}

func (e *Engine) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "decode faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}
