package fakeengine

import (
	"encoding/json"
	"net/http"
)

// Faults says what the engine does wrong. Counts are in tokens sent of one
// stream; zero switches a fault off.
type Faults struct {
	// CrashAfter breaks the connection after so many tokens.
	CrashAfter int `json:"crash_after"`
	// CutAfter ends the stream in good order but without its last event.
	CutAfter int `json:"cut_after"`
	// StallAfter sends nothing more and keeps the connection.
	StallAfter int `json:"stall_after"`
	// SkipAt leaves that token out.
	SkipAt int `json:"skip_at"`
	// CorruptAt changes that token's text, but not the digest.
	CorruptAt int `json:"corrupt_at"`
	// Doubled sends each token twice.
	Doubled bool `json:"doubled"`
	// Crossed sends tokens of another attempt in between.
	Crossed bool `json:"crossed"`
	// Draining refuses new requests; running ones are finished.
	Draining bool `json:"draining"`
	// Move gives running streams back, with Draining.
	Move bool `json:"move"`
}

func (f Faults) copies() int {
	if f.Doubled {
		return 2
	}
	return 1
}

// SetFaults replaces the faults in force.
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
