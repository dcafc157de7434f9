// Package prefixdir is a directory of the engine that last prefilled each shared
// prompt prefix, so that other engines fetch its KV cache from there instead of
// prefilling it again. It is built for loads with more shared prefixes than one
// engine can cache. Its answers are hints: an engine may have evicted a prefix
// in the meantime.
package prefixdir

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// minAnnouncedTokens is the prefix length from which holdings are announced:
	// for shorter ones a message to all entries costs more than the prefill.
	minAnnouncedTokens = 1000
	// reannounceInterval is the minimum time between two announcements of the
	// same holder. They only replace announcements that were lost.
	reannounceInterval = 5 * time.Second
	// maxHoldings bounds the directory, and maxPending the holdings that are not
	// announced yet.
	maxHoldings = 16384
	maxPending  = 1024
)

// Holding states that an engine prefilled a shared prefix.
type Holding struct {
	// Part is the key of the shared prefix at the engine's software version.
	Part string
	// Engine is the engine's id.
	Engine string
	// EngineStartedMs is the start of the engine's incarnation in Unix milliseconds.
	EngineStartedMs int64
}

// Directory holds the engine that last prefilled each shared prefix. It is safe
// for concurrent use.
type Directory struct {
	mu sync.Mutex // guards the fields below
	// current and previous are two generations of records; once current is
	// full, it becomes previous and the old previous is dropped.
	current, previous map[string]record
	// pending holds what is not announced yet.
	pending []Holding
}

// record is the last known holding of a prefix.
type record struct {
	Holding
	// announced is when a holding of the prefix was last announced by any entry.
	announced time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{current: make(map[string]record)}
}

// keyOf returns the key of a shared prefix at one software version: the KV caches of
// two versions don't fit together.
func keyOf(part, version string) string {
	if version == "" {
		return part
	}
	return part + "@" + version
}

// RecordPrefill records that an engine prefilled a prefix of the given length for this
// entry. An empty part is ignored.
func (d *Directory) RecordPrefill(part string, tokens int, e fleet.Engine) {
	if part == "" {
		return
	}
	key, now := keyOf(part, e.Version), time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.get(key)
	next := record{Holding: Holding{Part: key, Engine: e.ID, EngineStartedMs: e.StartedMs}, announced: known.announced}
	repeated := known.Holding == next.Holding && now.Sub(known.announced) < reannounceInterval
	if tokens >= minAnnouncedTokens && !repeated && len(d.pending) < maxPending {
		d.pending = append(d.pending, next.Holding)
		next.announced = now
	}
	d.put(next)
}

// AddRemote records the holdings that other entries announced.
func (d *Directory) AddRemote(holdings []Holding) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range holdings {
		d.put(record{Holding: h, announced: now})
	}
}

// Holder returns the holding of the engine of a software version that last prefilled a
// prefix; ok is false if none is known.
func (d *Directory) Holder(part, version string) (h Holding, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.get(keyOf(part, version))
	return held.Holding, held.Engine != ""
}

// TakePending returns the holdings to announce to the other entries and clears them.
func (d *Directory) TakePending() []Holding {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.pending
	d.pending = nil
	return out
}

func (d *Directory) get(part string) record {
	if held, ok := d.current[part]; ok {
		return held
	}
	return d.previous[part]
}

func (d *Directory) put(r record) {
	if len(d.current) >= maxHoldings/2 {
		d.previous, d.current = d.current, make(map[string]record)
	}
	d.current[r.Part] = r
}
