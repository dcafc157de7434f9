package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

const (
	// maxRemembered bounds the crashes that a Detector remembers over a restart, and
	// maxRememberedCandidates the requests of each.
	maxRemembered           = 32
	maxRememberedCandidates = 8
)

// EvidenceGeneration changes whenever what is remembered does, ages aside; it is 0
// without evidence.
func (d *Detector) EvidenceGeneration() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.generation + d.recorded
}

// Remembered returns the evidence that is to outlive the process: the newest crashes,
// newest first, each with the candidates for which most speaks, and then when their
// parts and keys were answered.
func (d *Detector) Remembered() []Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	frequency := make(map[string]int)
	for _, c := range d.crashes {
		present, _ := c.presences()
		for part := range present {
			if d.speaksFor(c, part) {
				frequency[part]++
			}
		}
	}
	for key := range d.repeated {
		frequency[key] = len(d.byKey[key])
	}
	crashes := slices.SortedFunc(maps.Values(d.crashes), func(a, b *crash) int {
		return cmp.Or(cmp.Compare(b.at, a.at), strings.Compare(a.engine, b.engine))
	})
	var out []Evidence
	answered := make(map[string]bool)
	for _, c := range crashes[:min(len(crashes), maxRemembered)] {
		for _, e := range c.remember(frequency) {
			e.Age = now.Sub(c.at)
			out = append(out, e)
			for _, part := range slices.Concat(e.Parts, e.Fingerprint.Keys()) {
				_, answered[part] = d.answered[part]
			}
		}
	}
	for _, part := range slices.Sorted(maps.Keys(answered)) {
		if answered[part] {
			out = append(out, Evidence{Kind: Answered, Parts: []string{part}, Age: now.Sub(d.answered[part])})
		}
	}
	return out
}

// speaksFor reports whether no engine answered the part after the crash.
func (d *Detector) speaksFor(c *crash, part string) bool {
	answered, ok := d.answered[part]
	return !ok || c.at > answered
}

// remember returns as evidence the candidates that the engine had begun to answer, and
// those whose parts and keys are the most frequent at crashes.
func (c *crash) remember(frequency map[string]int) (out []Evidence) {
	value := make(map[string]int, len(c.requests))
	for id, s := range c.requests {
		for _, part := range slices.Concat(s.parts, s.keys) {
			value[id] += frequency[part]
		}
	}
	ids := slices.SortedFunc(maps.Keys(c.requests), func(a, b string) int {
		return cmp.Or(compareBool(c.requests[b].begun, c.requests[a].begun), cmp.Compare(value[b], value[a]), strings.Compare(a, b))
	})
	ids = ids[:min(len(ids), maxRememberedCandidates)]
	_, others := c.presences()
	for _, id := range ids {
		if len(c.requests[id].parts) > 0 {
			others--
		}
	}
	for _, id := range ids {
		s := c.requests[id]
		out = append(out, Evidence{
			Kind: Crash, Service: c.service, Engine: c.engine, Request: id, Begun: s.begun, Fingerprint: s.fingerprint, Parts: s.parts, Others: others,
		})
	}
	return out
}
