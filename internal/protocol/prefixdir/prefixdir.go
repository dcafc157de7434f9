// Package prefixdir knows which engine read a shared part of prompts last, so
// that others fetch it there instead of reading it again. It answers loads
// whose shared parts are too many for each engine to keep all of them. What it
// says are hints: an engine may have dropped a part meanwhile.
package prefixdir

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// minAnnouncedTokens is the number of shared tokens from which other entries
	// are told: below, a message to all of them costs more than the reading.
	minAnnouncedTokens = 1000
	// reannounceInterval is the time for which a holder that was told of is not told
	// of once more: engines keep parts for several times that.
	reannounceInterval = time.Second
	// maxHoldings bounds the directory, and maxPending what waits to be told.
	maxHoldings = 16384
	maxPending  = 1024
)

// Holding says that an engine read a shared part.
type Holding struct {
	// Part is the key of the shared prefix.
	Part string
	// Engine and Born name the incarnation of the engine.
	Engine string
	Born   int64
}

// Directory holds the last reader of each shared part. It is safe for
// concurrent use.
type Directory struct {
	mu sync.Mutex // guards the fields below
	// current and previous hold the last readers; previous is dropped once current is
	// full.
	current, previous map[string]record
	pending           []Holding
}

// record is the last known reader of a part.
type record struct {
	Holding
	announced time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{current: make(map[string]record)}
}

// Read notes that this entry had a part of the given length read by an engine.
func (d *Directory) Read(part string, tokens int, e fleet.Engine) {
	if part == "" {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.get(part)
	next := record{Holding: Holding{Part: part, Engine: e.ID, Born: e.Born}, announced: known.announced}
	repeated := known.Holding == next.Holding && now.Sub(known.announced) < reannounceInterval
	if tokens >= minAnnouncedTokens && !repeated && len(d.pending) < maxPending {
		d.pending = append(d.pending, next.Holding)
		next.announced = now
	}
	d.put(next)
}

// Learn takes what other entries told.
func (d *Directory) Learn(holdings []Holding) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range holdings {
		d.put(record{Holding: h, announced: now})
	}
}

// Holder returns the engine that read a part last.
func (d *Directory) Holder(part string) (h Holding, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held := d.get(part)
	return held.Holding, held.Engine != ""
}

// Drain returns what the other entries are to be told and forgets it.
func (d *Directory) Drain() []Holding {
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
