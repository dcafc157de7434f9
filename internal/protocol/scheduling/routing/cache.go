package routing

// CacheEvent reports which blocks were added to and removed from an engine's
// prefix cache. Events may arrive late or be lost.
type CacheEvent struct {
	// Sequence numbers the engine's events, starting at 1.
	Sequence uint64
	// Added and Removed are prefix hashes as PrefixHashes returns them.
	Added   []uint64
	Removed []uint64
}

// ApplyCacheEvent updates the prefix index from one cache event; an event that is
// not newer than the last one is ignored. After a gap in the sequence it is
// unknown what the engine evicted, so all of its hints are dropped. Requests
// sent to the engine and later events restore them.
func (t *Tracker) ApplyCacheEvent(engine string, event CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := (*t.engines.Load())[engine]
	if !ok || event.Sequence <= e.cacheSeq {
		return
	}
	if event.Sequence != e.cacheSeq+1 {
		e.prefixes.clear(e.position)
	}
	e.cacheSeq = event.Sequence
	for _, hash := range event.Removed {
		e.prefixes.remove(hash, e.position)
	}
	for _, hash := range event.Added {
		e.prefixes.add(hash, e.position)
	}
}
